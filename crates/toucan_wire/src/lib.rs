//! Messages between nodes over h2 and bincode, health checks of links, mutual TLS, membership.
//!
//! - [`Request`] and [`Reply`] are the messages; [`encode_request`] and the related functions turn
//!   them into versioned frames.
//! - [`PeerServer`] serves requests of peers; [`PeerClient`] and [`PeerLink`] send requests to
//!   them.
//! - [`Tls`] holds the keys; a peer's certificate proves the VM and the data centre it claims.
//! - [`Membership`] decides which VMs are live and which of them has a role; it does no I/O.
//!
//! See also `docs/design/wire.md`, `docs/design/tls.md` and `docs/design/membership.md`.

#![allow(
    clippy::doc_markdown,
    reason = "error messages, which displaydoc takes from doc comments, name fields"
)]

mod client_connection;
mod frame;
mod heartbeat;
mod keep_alive;
mod link_error;
mod link_settings;
mod membership;
mod message;
mod peer_client;
mod peer_handler;
mod peer_identity;
mod peer_link;
mod peer_server;
mod refusals;
mod server_connection;
mod server_settings;
mod tls;
mod tls_settings;
mod transport;
mod watched_io;
mod wire_bytes;
mod wire_v1;
mod wire_v2;

pub use frame::{
    FrameError, MAX_FRAME_BYTES, NEWEST_FRAME_VERSION, OLDEST_FRAME_VERSION, decode_reply,
    decode_request, encode_reply, encode_request,
};
pub use heartbeat::{
    DataCentreDigest, Heartbeat, Introduction, LoadHint, MemberDigest, MemberState,
};
pub use link_error::LinkError;
pub use link_settings::LinkSettings;
pub use membership::{
    Connectivity, DataCentreView, ListedPeer, ListedState, Member, MemberChange, Membership,
    MembershipSettings, OutgoingHeartbeat,
};
pub use message::{DocumentRecord, Reply, Request, ShardEntries, ShutdownNotice};
pub use peer_client::PeerClient;
pub use peer_handler::PeerHandler;
pub use peer_identity::{PeerIdentity, PeerNameError, PeerTarget};
pub use peer_link::{LinkCounts, PeerLink};
pub use peer_server::PeerServer;
pub use refusals::{Refusal, RefusalCounts};
pub use server_settings::PeerServerSettings;
pub use tls::{Tls, TlsError};
pub use tls_settings::TlsSettings;
