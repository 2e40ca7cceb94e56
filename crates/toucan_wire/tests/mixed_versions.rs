//! Interoperability of this release with the previous one.

#![allow(
    clippy::unwrap_used,
    reason = "clippy does not recognise the helpers as part of a test"
)]

use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, client};
use http::{Request as HttpRequest, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use toucan_types::{BudgetName, IncarnationId, Offset, Tokens};
use toucan_wire::{
    FrameError, LinkError, LinkSettings, NEWEST_FRAME_VERSION, PeerIdentity, PeerLink, PeerServer,
    PeerServerSettings, PeerTarget, Reply, Request, decode_reply, decode_request, encode_reply,
    encode_request,
};

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn ask() -> Request {
    Request::AskGrant {
        budget: BudgetName::from("guild"),
        tokens: Tokens(10),
        // Version 1 cannot name the receiver, so the request is only the same in both versions
        // without one.
        to: IncarnationId::default(),
    }
}

fn given() -> Reply {
    Reply::GrantTransferred {
        budget: BudgetName::from("guild"),
        tokens: Tokens(4),
        transfer: Bytes::from_static(b"transfer"),
    }
}

async fn body_of(mut body: RecvStream) -> Vec<u8> {
    let mut whole = Vec::new();
    while let Some(part) = body.data().await {
        whole.extend_from_slice(&part.unwrap());
    }
    whole
}

/// Serves as a node that supports no frame version above `newest`.
async fn serve_old(listener: TcpListener, newest: u8) {
    loop {
        let (socket, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let mut connection = h2::server::handshake(socket).await.unwrap();
            while let Some(Ok((request, respond))) = connection.accept().await {
                tokio::spawn(answer_old(request, respond, newest));
            }
        });
    }
}

async fn answer_old(
    request: HttpRequest<RecvStream>,
    mut respond: SendResponse<Bytes>,
    newest: u8,
) {
    let frame = body_of(request.into_body()).await;
    let mut response = Response::new(());
    let body = if frame[0] > newest {
        *response.status_mut() = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
        let newest = u16::from(newest).into();
        response
            .headers_mut()
            .insert("x-toucan-frame-version", newest);
        Bytes::new()
    } else {
        assert_eq!(decode_request(&frame), Ok((ask(), newest)));
        encode_reply(&given(), newest).unwrap()
    };
    let mut stream = respond.send_response(response, false).unwrap();
    stream.send_data(body, true).unwrap();
}

async fn link_to_old(newest: u8) -> PeerLink {
    let listener = TcpListener::bind(local()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_old(listener, newest));
    let peer = PeerTarget {
        identity: PeerIdentity::new("vm-1", "dc-a"),
        address,
    };
    let local = PeerIdentity::new("vm-2", "dc-a");
    PeerLink::new(peer, &local, None, LinkSettings::default())
}

#[tokio::test]
async fn requests_to_an_older_peer_use_its_version() {
    let link = link_to_old(1).await;
    assert_eq!(link.request(&ask()).await, Ok(given()));
    assert_eq!(link.counts().frame_version, 1);
    assert_eq!(link.request(&ask()).await, Ok(given()));
    // A request that the older version cannot express is not sent.
    let hints = link.request(&Request::Hints(Vec::new())).await;
    let error = FrameError::NotInVersion { version: 1 };
    assert_eq!(hints, Err(LinkError::Request(error)));
}

#[tokio::test]
async fn a_peer_without_a_common_version_is_reported() {
    let link = link_to_old(0).await;
    let error = link.request(&ask()).await.unwrap_err();
    assert!(
        matches!(error, LinkError::Refused { status: 505, .. }),
        "{error:?}"
    );
    assert!(error.is_not_sent());
    assert_eq!(link.counts().frame_version, NEWEST_FRAME_VERSION);
}

async fn give(_: PeerIdentity, request: Request) -> Reply {
    match request {
        Request::AskGrant { .. } => given(),
        _ => Reply::Done,
    }
}

/// Sends a frame unchanged and returns the status, the offered frame version and the body.
async fn call_raw(address: SocketAddr, frame: Bytes) -> (StatusCode, Option<u8>, Vec<u8>) {
    let socket = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = client::handshake(socket).await.unwrap();
    tokio::spawn(connection);
    let request = HttpRequest::post("/peer")
        .header("x-toucan-vm", "vm-2")
        .header("x-toucan-data-centre", "dc-a")
        .body(())
        .unwrap();
    let mut sender = sender.ready().await.unwrap();
    let (response, mut stream) = sender.send_request(request, false).unwrap();
    stream.send_data(frame, true).unwrap();
    let (head, body) = response.await.unwrap().into_parts();
    let newest = head.headers.get("x-toucan-frame-version");
    let newest = newest.map(|newest| newest.to_str().unwrap().parse().unwrap());
    (head.status, newest, body_of(body).await)
}

#[tokio::test]
async fn an_older_caller_gets_replies_in_its_version_and_a_newer_one_the_supported_version() {
    let server = PeerServer::bind(local(), None, PeerServerSettings::default(), give).unwrap();
    let frame = encode_request(&ask(), 1).unwrap();
    let (status, _, body) = call_raw(server.address(), frame).await;
    assert_eq!((status, body[0]), (StatusCode::OK, 1));
    assert_eq!(decode_reply(&body), Ok(given()));
    let newer = Bytes::from_static(&[NEWEST_FRAME_VERSION + 1, 1, 2, 3]);
    let (status, newest, _) = call_raw(server.address(), newer).await;
    assert_eq!(status, StatusCode::HTTP_VERSION_NOT_SUPPORTED);
    assert_eq!(newest, Some(NEWEST_FRAME_VERSION));
    let malformed = Bytes::from_static(&[NEWEST_FRAME_VERSION, 250]);
    let (status, _, _) = call_raw(server.address(), malformed).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let from = Request::DocumentSince {
        from: Offset(0),
        limit: 1,
    };
    let frame = encode_request(&from, 2).unwrap();
    let (status, _, body) = call_raw(server.address(), frame).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(decode_reply(&body), Ok(Reply::Done));
}
