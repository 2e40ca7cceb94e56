//! Verification of peers, and replacement of keys without a restart.

#![allow(
    clippy::unwrap_used,
    reason = "clippy does not recognise the helpers as part of a test"
)]

mod keys;
mod relay;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use keys::Authority;
use relay::Relay;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use toucan_wire::{
    LinkError, LinkSettings, PeerClient, PeerHandler, PeerIdentity, PeerServer, PeerServerSettings,
    PeerTarget, Refusal, Reply, Request, Tls, TlsError, TlsSettings,
};

/// Handler that counts its requests.
#[derive(Clone, Default)]
struct Counting(Arc<AtomicU64>);

impl PeerHandler for Counting {
    async fn handle(&self, _: PeerIdentity, _: Request) -> Reply {
        self.0.fetch_add(1, Ordering::SeqCst);
        Reply::Done
    }
}

fn server_identity() -> PeerIdentity {
    PeerIdentity::new("vm-1", "dc-a")
}

fn caller_identity() -> PeerIdentity {
    PeerIdentity::new("vm-2", "dc-a")
}

struct Server {
    authority: Authority,
    tls: Arc<Tls>,
    handled: Counting,
    server: PeerServer<Counting>,
}

impl Server {
    fn start() -> Self {
        let authority = Authority::new();
        let tls = authority.tls(&server_identity()).unwrap();
        let handled = Counting::default();
        let server = PeerServer::bind(
            SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            Some(Arc::clone(&tls)),
            PeerServerSettings::default(),
            handled.clone(),
        )
        .unwrap();
        Self {
            authority,
            tls,
            handled,
            server,
        }
    }

    fn target(&self) -> PeerTarget {
        PeerTarget {
            identity: server_identity(),
            address: self.server.address(),
        }
    }

    fn handled(&self) -> u64 {
        self.handled.0.load(Ordering::SeqCst)
    }

    async fn wait_for(&self, refusal: Refusal) {
        while self.server.refusals().get(refusal) == 0 {
            tokio::task::yield_now().await;
        }
    }
}

async fn call(
    keys: &TlsSettings,
    claim: PeerIdentity,
    target: &PeerTarget,
) -> Result<Reply, LinkError> {
    let tls = Some(Arc::new(Tls::new(keys).unwrap()));
    let client = PeerClient::new(claim, tls, LinkSettings::default());
    client.request(target, &Request::Journal(Vec::new())).await
}

#[tokio::test]
async fn peers_with_keys_of_the_authority_are_accepted() {
    let server = Server::start();
    let keys = server.authority.settings(&caller_identity());
    let reply = call(&keys, caller_identity(), &server.target()).await;
    assert_eq!(reply, Ok(Reply::Done));
    assert_eq!(server.server.refusals().total(), 0);
}

#[tokio::test]
async fn a_caller_with_an_expired_certificate_is_refused() {
    let server = Server::start();
    let keys = server.authority.settings_until(&caller_identity(), 2020);
    let error = call(&keys, caller_identity(), &server.target()).await;
    let error = error.unwrap_err();
    assert!(matches!(error, LinkError::Untrusted { .. }), "{error:?}");
    assert!(error.is_not_sent());
    server.wait_for(Refusal::Expired).await;
    assert_eq!(server.handled(), 0);
}

#[tokio::test]
async fn a_caller_of_another_authority_is_refused() {
    let server = Server::start();
    let mut keys = Authority::new().settings(&caller_identity());
    // The caller trusts the server, but the server does not trust the caller.
    keys.authorities_pem = server.authority.pem();
    let error = call(&keys, caller_identity(), &server.target()).await;
    let error = error.unwrap_err();
    assert!(matches!(error, LinkError::Untrusted { .. }), "{error:?}");
    server.wait_for(Refusal::WrongAuthority).await;
    assert_eq!(server.handled(), 0);
}

#[tokio::test]
async fn no_request_is_sent_to_a_server_of_another_authority() {
    let server = Server::start();
    let keys = Authority::new().settings(&caller_identity());
    let error = call(&keys, caller_identity(), &server.target()).await;
    let error = error.unwrap_err();
    assert!(matches!(error, LinkError::Untrusted { .. }), "{error:?}");
    assert_eq!(server.handled(), 0);
}

#[test_case("vm-2", "dc-b" ; "another data centre")]
#[test_case("vm-3", "dc-a" ; "another vm")]
#[test_case("vm-2.dc-a", "toucan" ; "dots in a name")]
#[test_case("", "" ; "no name")]
#[tokio::test]
async fn a_caller_that_claims_another_name_is_refused(vm: &str, data_centre: &str) {
    let server = Server::start();
    let keys = server.authority.settings(&caller_identity());
    let claim = PeerIdentity::new(vm, data_centre);
    let error = call(&keys, claim, &server.target()).await.unwrap_err();
    let LinkError::Refused { status: 403, .. } = error else {
        panic!("{error:?}");
    };
    assert!(error.is_not_sent());
    assert_eq!(server.server.refusals().get(Refusal::WrongName), 1);
    assert_eq!(server.handled(), 0);
}

#[test_case("vm-1", "dc-b" ; "another data centre")]
#[test_case("vm-9", "dc-a" ; "another vm")]
#[tokio::test]
async fn no_request_is_sent_to_a_server_with_another_name(vm: &str, data_centre: &str) {
    let server = Server::start();
    let keys = server.authority.settings(&caller_identity());
    let target = PeerTarget {
        identity: PeerIdentity::new(vm, data_centre),
        address: server.server.address(),
    };
    let error = call(&keys, caller_identity(), &target).await.unwrap_err();
    assert!(matches!(error, LinkError::Untrusted { .. }), "{error:?}");
    assert_eq!(server.handled(), 0);
}

#[tokio::test]
async fn a_caller_without_a_certificate_is_refused() {
    let server = Server::start();
    let mut authorities = rustls::RootCertStore::empty();
    let authority = server.authority.pem();
    let authority = CertificateDer::from_pem_slice(authority.as_bytes()).unwrap();
    authorities.add(authority).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(authorities)
        .with_no_client_auth();
    config.alpn_protocols = vec![b"h2".to_vec()];
    let socket = TcpStream::connect(server.server.address()).await.unwrap();
    let name = server_identity().server_name().unwrap();
    let stream = TlsConnector::from(Arc::new(config))
        .connect(name, socket)
        .await;
    // In TLS 1.3 the client's handshake completes before the refusal arrives.
    let refused = match stream {
        Err(error) => error,
        Ok(mut stream) => stream.read_u8().await.unwrap_err(),
    };
    assert!(
        refused.to_string().contains("CertificateRequired"),
        "{refused}"
    );
    server.wait_for(Refusal::NoCertificate).await;
    assert_eq!(server.handled(), 0);
}

#[tokio::test]
async fn plain_text_is_refused() {
    let server = Server::start();
    let plain = PeerClient::new(caller_identity(), None, LinkSettings::default());
    let error = plain
        .request(&server.target(), &Request::Journal(Vec::new()))
        .await
        .unwrap_err();
    assert!(matches!(error, LinkError::NotConnected { .. }), "{error:?}");
    server.wait_for(Refusal::PlainText).await;
    let mut socket = TcpStream::connect(server.server.address()).await.unwrap();
    socket.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    assert!(!answer.starts_with(b"HTTP"));
    assert_eq!(server.handled(), 0);
}

#[tokio::test]
async fn a_replayed_record_is_rejected_and_closes_its_connection() {
    let server = Server::start();
    let relay = Relay::to(server.server.address()).await;
    let target = PeerTarget {
        identity: server_identity(),
        address: relay.address,
    };
    let tls = server.authority.tls(&caller_identity());
    let client = PeerClient::new(caller_identity(), tls, LinkSettings::default());
    let request = Request::Journal(Vec::new());
    assert_eq!(client.request(&target, &request).await, Ok(Reply::Done));
    relay.faults.duplicate_next.store(true, Ordering::SeqCst);
    // The reply may or may not arrive before the connection is closed.
    let _ = client.request(&target, &request).await;
    server.wait_for(Refusal::BadRecord).await;
    assert_eq!(relay.faults.duplicated.load(Ordering::SeqCst), 1);
    assert_eq!(client.request(&target, &request).await, Ok(Reply::Done));
    assert!(server.handled() <= 3);
    assert_eq!(relay.opened(), 2);
}

#[tokio::test]
async fn a_connection_with_a_replayed_client_hello_is_rejected() {
    let server = Server::start();
    let relay = Relay::to(server.server.address()).await;
    // The first chunk from a caller is its ClientHello; a second one is not valid at any point.
    relay.faults.duplicate_next.store(true, Ordering::SeqCst);
    let target = PeerTarget {
        identity: server_identity(),
        address: relay.address,
    };
    let keys = server.authority.settings(&caller_identity());
    let error = call(&keys, caller_identity(), &target).await.unwrap_err();
    assert!(error.is_not_sent(), "{error:?}");
    assert_eq!(server.handled(), 0);
}

#[tokio::test]
async fn keys_and_authorities_are_replaced_without_a_restart_or_failed_requests() {
    let server = Server::start();
    let next = Authority::new();
    let both = format!("{}{}", server.authority.pem(), next.pem());
    let with = |mut keys: TlsSettings, authorities: &str| {
        keys.authorities_pem = authorities.to_owned();
        keys
    };
    let caller_tls = server.authority.tls(&caller_identity()).unwrap();
    let client = PeerClient::new(
        caller_identity(),
        Some(Arc::clone(&caller_tls)),
        LinkSettings::default(),
    );
    let target = server.target();
    let request = Request::Journal(Vec::new());
    let steps = [
        // First both authorities are trusted, then keys of the new authority are used, then the
        // old authority is no longer trusted.
        (
            with(server.authority.settings(&server_identity()), &both),
            with(server.authority.settings(&caller_identity()), &both),
        ),
        (
            with(next.settings(&server_identity()), &both),
            with(next.settings(&caller_identity()), &both),
        ),
        (
            next.settings(&server_identity()),
            next.settings(&caller_identity()),
        ),
    ];
    for (server_keys, caller_keys) in &steps {
        server.tls.reload(server_keys).unwrap();
        assert_eq!(client.request(&target, &request).await, Ok(Reply::Done));
        caller_tls.reload(caller_keys).unwrap();
        assert_eq!(client.request(&target, &request).await, Ok(Reply::Done));
    }
    let old = server.authority.settings(&caller_identity());
    let old = with(old, &both);
    let error = call(&old, caller_identity(), &target).await.unwrap_err();
    assert!(matches!(error, LinkError::Untrusted { .. }), "{error:?}");
    let bad = TlsSettings::default();
    assert_eq!(server.tls.reload(&bad), Err(TlsError::CertificateChain));
    assert_eq!(client.request(&target, &request).await, Ok(Reply::Done));
    assert_eq!(server.tls.generation(), 3);
}

#[tokio::test]
async fn an_idle_connection_with_previous_keys_is_closed_by_the_server() {
    let server = Server::start();
    let tls = server.authority.tls(&caller_identity());
    let client = PeerClient::new(caller_identity(), tls, LinkSettings::default());
    let target = server.target();
    let request = Request::Journal(Vec::new());
    assert_eq!(client.request(&target, &request).await, Ok(Reply::Done));
    let keys = server.authority.settings(&server_identity());
    server.tls.reload(&keys).unwrap();
    while client.link(&target).counts().is_connected {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert_eq!(client.request(&target, &request).await, Ok(Reply::Done));
    assert_eq!(client.link(&target).counts().connections, 2);
}

#[test]
fn mismatched_keys_are_rejected() {
    let authority = Authority::new();
    let mut keys = authority.settings(&caller_identity());
    keys.private_key_pem = authority.settings(&caller_identity()).private_key_pem;
    assert!(matches!(
        Tls::new(&keys).err(),
        Some(TlsError::Mismatch { .. })
    ));
    assert!(!format!("{keys:?}").contains("PRIVATE"));
}
