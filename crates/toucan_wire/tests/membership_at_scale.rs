//! Membership of 410 nodes in 7 data centres.

mod fleet;

use fleet::{Fleet, Node, STEP_MS};
use toucan_wire::{MemberState, MembershipSettings};

const SIZES: [usize; 7] = [59, 59, 59, 59, 58, 58, 58];
/// Overhead of a heartbeat exchange beyond its frames in both directions, including packet headers,
/// in bytes; the test `heartbeat_bytes` checks it.
const EXCHANGE_OVERHEAD_BYTES: u64 = 350;
const MAX_CONTROL_BYTES_PER_S: u64 = 8_000;

#[test]
fn control_traffic_stays_within_its_limit_and_no_member_is_suspected() {
    let mut fleet = Fleet::new(&SIZES);
    fleet.run(15_000);
    for node in fleet.nodes.values_mut() {
        (node.frame_bytes, node.exchanges) = (0, 0);
    }
    let seconds = 12;
    let mut max_age_ms = 0;
    for _ in 0..seconds * 1_000 / STEP_MS {
        fleet.step();
        for node in fleet.running().step_by(20) {
            for member in node.membership.live_peers() {
                max_age_ms = max_age_ms.max(member.last_seen_age_ms(fleet.now_ms));
            }
        }
    }
    let bytes = |node: &Node| node.frame_bytes + node.exchanges * EXCHANGE_OVERHEAD_BYTES;
    let all: u64 = fleet.running().map(bytes).sum();
    let mean = all / seconds / fleet.nodes.len() as u64;
    let worst = fleet.running().map(bytes).max().unwrap() / seconds;
    println!("mean {mean} B/s, worst node {worst} B/s, oldest news {max_age_ms} ms");
    assert!(worst < MAX_CONTROL_BYTES_PER_S);
    assert!(max_age_ms < MembershipSettings::default().suspect_after_ms);
    for node in fleet.running() {
        let states = node.membership.members();
        assert!(
            states
                .iter()
                .all(|member| member.state == MemberState::Live)
        );
        assert_eq!(
            node.membership.connectivity(fleet.now_ms).reachable.len(),
            6
        );
    }
}
