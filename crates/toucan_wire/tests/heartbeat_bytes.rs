//! Size of a heartbeat exchange on the wire.

mod fleet;
mod keys;
mod relay;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;

use fleet::{Fleet, introduction};
use keys::Authority;
use relay::Relay;
use toucan_types::Offset;
use toucan_wire::{
    Heartbeat, LinkSettings, LoadHint, NEWEST_FRAME_VERSION, PeerIdentity, PeerLink, PeerServer,
    PeerServerSettings, PeerTarget, Reply, Request, encode_reply, encode_request,
};

/// Size of the IPv4 and TCP headers of a segment, with TCP timestamps, in bytes.
const SEGMENT_HEADER_BYTES: u64 = 52;
const HEARTBEATS: u64 = 100;
/// Overhead per exchange beyond its frames that `membership_at_scale` assumes, in bytes.
const EXCHANGE_OVERHEAD_BYTES: u64 = 350;

fn heartbeat_of_a_full_data_centre() -> Heartbeat {
    let mut fleet = Fleet::new(&[59, 2, 2, 2, 2, 2, 2]);
    fleet.run(10_000);
    let sender = introduction(0, 7).vm;
    let receiver = introduction(0, 8).vm;
    let now_ms = fleet.now_ms;
    let load = LoadHint::default();
    let first = fleet
        .node(&sender)
        .membership
        .due_heartbeats(now_ms + 2_000, load, Offset(1));
    let membership = &mut fleet.node(&receiver).membership;
    membership.answer_heartbeat(&first[0].heartbeat, now_ms + 2_000, load, Offset(1))
}

#[tokio::test]
async fn a_heartbeat_exchange_has_little_overhead_beyond_its_frames() {
    let authority = Authority::new();
    let server_name = PeerIdentity::new("vm-0-8", "dc-0");
    let caller = PeerIdentity::new("vm-0-7", "dc-0");
    let answer = heartbeat_of_a_full_data_centre();
    let mut heartbeat = answer.clone();
    heartbeat.sender = introduction(0, 7);
    assert_eq!(heartbeat.members.len(), 58);
    let request = Request::Heartbeat(Box::new(heartbeat));
    let reply = Reply::Heartbeat(Box::new(answer));
    let frames = encode_request(&request, NEWEST_FRAME_VERSION)
        .unwrap()
        .len()
        + encode_reply(&reply, NEWEST_FRAME_VERSION).unwrap().len();
    let handler = move |_: PeerIdentity, _: Request| {
        let reply = reply.clone();
        async move { reply }
    };
    let server = PeerServer::bind(
        SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        authority.tls(&server_name),
        PeerServerSettings::default(),
        handler,
    )
    .unwrap();
    let relay = Relay::to(server.address()).await;
    let peer = PeerTarget {
        identity: server_name,
        address: relay.address,
    };
    let tls = authority.tls(&caller);
    let link = PeerLink::new(peer, &caller, tls, LinkSettings::default());
    link.request(&request).await.unwrap();
    let (bytes, chunks) = (&relay.faults.bytes, &relay.faults.chunks);
    let before = (bytes.load(Ordering::SeqCst), chunks.load(Ordering::SeqCst));
    for _ in 0..HEARTBEATS {
        link.request(&request).await.unwrap();
    }
    let bytes = bytes.load(Ordering::SeqCst) - before.0;
    // Each segment may be acknowledged by a separate segment.
    let segments = 2 * (chunks.load(Ordering::SeqCst) - before.1);
    let total = (bytes + segments * SEGMENT_HEADER_BYTES) / HEARTBEATS;
    let overhead = total - frames as u64;
    println!(
        "frames {frames} B, bytes {} B, segments {:.1}, total {total} B, overhead {overhead} B",
        bytes / HEARTBEATS,
        segments as f64 / HEARTBEATS as f64,
    );
    assert!(overhead <= EXCHANGE_OVERHEAD_BYTES);
}
