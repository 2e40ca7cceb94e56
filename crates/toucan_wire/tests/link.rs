//! Requests over a link without TLS, including over a faulty network path.

#![allow(
    clippy::unwrap_used,
    reason = "clippy does not recognise the helpers as part of a test"
)]

mod relay;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use relay::Relay;
use toucan_types::ShardIndex;
use toucan_wire::{
    FrameError, LinkError, LinkSettings, MAX_FRAME_BYTES, PeerClient, PeerHandler, PeerIdentity,
    PeerServer, PeerServerSettings, PeerTarget, Refusal, Reply, Request, ShardEntries,
};

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn echo(_: PeerIdentity, request: Request) -> Reply {
    match request {
        Request::Journal(acknowledgements) => Reply::Journaled { acknowledgements },
        _ => Reply::Done,
    }
}

async fn slow_echo(peer: PeerIdentity, request: Request) -> Reply {
    // Longer than the silence after which a connection is closed.
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    echo(peer, request).await
}

fn entries(size_bytes: usize) -> Vec<ShardEntries> {
    vec![ShardEntries {
        shard: ShardIndex(3),
        entries: vec![Bytes::from(vec![7; size_bytes]), Bytes::new()],
    }]
}

fn client() -> PeerClient {
    client_with(LinkSettings::default())
}

fn client_with(settings: LinkSettings) -> PeerClient {
    PeerClient::new(PeerIdentity::new("vm-2", "dc-a"), None, settings)
}

fn target(address: SocketAddr) -> PeerTarget {
    PeerTarget {
        identity: PeerIdentity::new("vm-1", "dc-a"),
        address,
    }
}

fn start() -> PeerServer<impl PeerHandler> {
    PeerServer::bind(local(), None, PeerServerSettings::default(), echo).unwrap()
}

#[tokio::test]
async fn a_request_gets_its_reply() {
    let server = PeerServer::bind(local(), None, PeerServerSettings::default(), echo).unwrap();
    let peer = PeerTarget {
        identity: PeerIdentity::new("vm-1", "dc-a"),
        address: server.address(),
    };
    let client = Arc::new(client());
    let mut tasks = Vec::new();
    for size_bytes in [0, 1, 1_000, 100_000, 1_000_000] {
        let client = Arc::clone(&client);
        let peer = peer.clone();
        tasks.push(tokio::spawn(async move {
            let sent = entries(size_bytes);
            let reply = client.request(&peer, &Request::Journal(sent.clone())).await;
            assert_eq!(
                reply,
                Ok(Reply::Journaled {
                    acknowledgements: sent
                })
            );
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(client.link(&peer).counts().connections, 1);
}

#[tokio::test]
async fn a_request_to_a_closed_port_is_reported_as_not_sent() {
    let free = std::net::TcpListener::bind(local()).unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let peer = PeerTarget {
        identity: PeerIdentity::new("vm-1", "dc-a"),
        address,
    };
    let error = client().request(&peer, &Request::Journal(Vec::new())).await;
    let error = error.unwrap_err();
    assert!(matches!(error, LinkError::NotConnected { .. }), "{error}");
    assert!(error.is_not_sent());
}

#[tokio::test]
async fn the_peer_port_is_bound_exclusively() {
    let server = PeerServer::bind(local(), None, PeerServerSettings::default(), echo).unwrap();
    let second = PeerServer::bind(server.address(), None, PeerServerSettings::default(), echo);
    let error = second.err().expect("the port is taken");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
}

#[tokio::test]
async fn a_silent_connection_is_replaced_for_the_next_request() {
    let server = start();
    let relay = Relay::to(server.address()).await;
    let peer = target(relay.address);
    // The reply timeout is too long to matter, so only the silence ends the wait.
    let client = client_with(LinkSettings::default().with_reply_timeout_ms(3_600_000));
    let request = Request::Journal(entries(10));
    client.request(&peer, &request).await.unwrap();
    relay.silence();
    let (first, second) = tokio::join!(
        client.request(&peer, &request),
        client.request(&peer, &request),
    );
    assert_eq!(first, Err(LinkError::Silent));
    assert_eq!(second, Err(LinkError::Silent));
    client.request(&peer, &request).await.unwrap();
    let counts = client.link(&peer).counts();
    assert_eq!((counts.connections, counts.silent_connections), (2, 1));
    assert_eq!(relay.opened(), 2);
}

/// All requests that wait on a silent connection must see it as silent, whichever thread wakes
/// first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_connection_is_never_reported_as_broken() {
    let server = start();
    let relay = Relay::to(server.address()).await;
    let peer = target(relay.address);
    let mut settings = LinkSettings::default().with_silent_after_ms(50);
    settings.busy_ping_after_ms = 50;
    let client = client_with(settings);
    let request = Request::Journal(entries(10));
    for round in 0..20 {
        client.request(&peer, &request).await.unwrap();
        relay.silence();
        let lost = client.request(&peer, &request).await;
        assert_eq!(lost, Err(LinkError::Silent), "round {round}");
    }
    assert_eq!(client.link(&peer).counts().silent_connections, 20);
}

#[tokio::test]
async fn an_idle_silent_connection_is_closed_before_the_next_request() {
    let server = start();
    let relay = Relay::to(server.address()).await;
    let peer = target(relay.address);
    let mut settings = LinkSettings::default().with_silent_after_ms(100);
    settings.idle_ping_after_ms = 100;
    let client = client_with(settings);
    let request = Request::Journal(entries(10));
    client.request(&peer, &request).await.unwrap();
    relay.silence();
    while client.link(&peer).counts().is_connected {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    client.request(&peer, &request).await.unwrap();
    assert_eq!(relay.opened(), 2);
}

#[tokio::test]
async fn a_slow_path_and_a_slow_reply_do_not_close_the_connection() {
    let server = PeerServer::bind(local(), None, PeerServerSettings::default(), slow_echo).unwrap();
    let relay = Relay::to(server.address()).await;
    relay.faults.delay_ms.store(20, Ordering::SeqCst);
    relay.faults.chunk_bytes.store(2_000, Ordering::SeqCst);
    let peer = target(relay.address);
    let client = client_with(LinkSettings::default().with_silent_after_ms(1_000));
    let sent = entries(60_000);
    let reply = client.request(&peer, &Request::Journal(sent.clone())).await;
    let acknowledgements = sent;
    assert_eq!(reply, Ok(Reply::Journaled { acknowledgements }));
    let counts = client.link(&peer).counts();
    assert_eq!((counts.connections, counts.silent_connections), (1, 0));
}

#[tokio::test]
async fn an_oversized_request_is_not_sent_and_does_not_affect_the_connection() {
    let server = start();
    let peer = target(server.address());
    let client = client();
    let error = client
        .request(&peer, &Request::Journal(entries(MAX_FRAME_BYTES)))
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        LinkError::Request(FrameError::TooLarge { .. })
    ));
    let request = Request::Journal(entries(MAX_FRAME_BYTES - 100));
    assert!(client.request(&peer, &request).await.is_ok());
    assert_eq!(client.link(&peer).counts().connections, 1);
}

#[tokio::test]
async fn a_dropped_server_releases_its_port() {
    let server = start();
    let address = server.address();
    let peer = target(address);
    let client = client();
    let request = Request::Journal(entries(1));
    client.request(&peer, &request).await.unwrap();
    drop(server);
    // The listener is dropped with its task, which ends when it is next polled.
    let server = loop {
        match PeerServer::bind(address, None, PeerServerSettings::default(), echo) {
            Ok(server) => break server,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    // The first request may still use the old connection.
    let _ = client.request(&peer, &request).await;
    client.request(&peer, &request).await.unwrap();
    assert_eq!(server.refusals().total(), 0);
}

#[tokio::test]
async fn a_request_in_flight_completes_when_its_server_stops() {
    let server = PeerServer::bind(local(), None, PeerServerSettings::default(), slow_echo).unwrap();
    let peer = target(server.address());
    let client = client();
    let sent = entries(1_000);
    let request = Request::Journal(sent.clone());
    let stop = async {
        // Long enough for the request to arrive, but shorter than its handling.
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
        server.stop();
    };
    let (reply, ()) = tokio::join!(client.request(&peer, &request), stop);
    let acknowledgements = sent;
    assert_eq!(reply, Ok(Reply::Journaled { acknowledgements }));
    let after = client.request(&peer, &request).await.unwrap_err();
    assert!(after.is_not_sent(), "{after:?}");
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_until_one_is_closed() {
    let settings = PeerServerSettings {
        max_connections: 1,
        ..PeerServerSettings::default()
    };
    let server = PeerServer::bind(local(), None, settings, echo).unwrap();
    let peer = target(server.address());
    let request = Request::Journal(entries(1));
    let first = client();
    first.request(&peer, &request).await.unwrap();
    let refused = client().request(&peer, &request).await.unwrap_err();
    assert!(refused.is_not_sent(), "{refused:?}");
    assert_eq!(server.refusals().get(Refusal::TooManyConnections), 1);
    drop(first);
    while client().request(&peer, &request).await.is_err() {
        tokio::task::yield_now().await;
    }
}
