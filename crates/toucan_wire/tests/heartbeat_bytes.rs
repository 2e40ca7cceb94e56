//! What a heartbeat costs on the wire.

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

/// Headers of a TCP segment over IPv4 with time stamps, in bytes.
const SEGMENT_HEADER_BYTES: u64 = 52;
const HEARTBEATS: u64 = 100;
/// What `membership_at_scale` counts for an exchange beside the frames.
const EXCHANGE_BYTES: u64 = 350;

fn heartbeat_of_a_full_data_centre() -> Heartbeat {
    let mut fleet = Fleet::new(&[59, 2, 2, 2, 2, 2, 2]);
    fleet.run(10_000);
    let asking = introduction(0, 7).vm;
    let answering = introduction(0, 8).vm;
    let now_ms = fleet.now_ms;
    let load = LoadHint::default();
    let first = fleet
        .node(&asking)
        .membership
        .due_heartbeats(now_ms + 2_000, load, Offset(1));
    let membership = &mut fleet.node(&answering).membership;
    membership.answer_heartbeat(&first[0].heartbeat, now_ms + 2_000, load, Offset(1))
}

#[tokio::test]
async fn an_exchange_of_heartbeats_costs_little_beside_its_frames() {
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
    let (bytes, parts) = (&relay.faults.bytes, &relay.faults.parts);
    let before = (bytes.load(Ordering::SeqCst), parts.load(Ordering::SeqCst));
    for _ in 0..HEARTBEATS {
        link.request(&request).await.unwrap();
    }
    let bytes = bytes.load(Ordering::SeqCst) - before.0;
    // Each segment may be acknowledged by one of its own.
    let segments = 2 * (parts.load(Ordering::SeqCst) - before.1);
    let whole = (bytes + segments * SEGMENT_HEADER_BYTES) / HEARTBEATS;
    let beside = whole - frames as u64;
    println!(
        "frames {frames} B, bytes {} B, segments {:.1}, whole {whole} B, beside {beside} B",
        bytes / HEARTBEATS,
        segments as f64 / HEARTBEATS as f64,
    );
    assert!(beside <= EXCHANGE_BYTES);
}
