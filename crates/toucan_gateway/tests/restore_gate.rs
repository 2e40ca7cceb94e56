//! Guards against draws from a restored store while it lacks grants, and against a gate that
//! never opens.

use test_case::test_case;
use toucan_gateway::budget::{PeerRecovery, RestoreGate};

const RECOVERING: PeerRecovery = PeerRecovery {
    rewritten_restore: 0,
    open_restore: 0,
};
const REWRITTEN: PeerRecovery = PeerRecovery {
    rewritten_restore: 1,
    open_restore: 0,
};
const OPEN: PeerRecovery = PeerRecovery {
    rewritten_restore: 1,
    open_restore: 1,
};

#[test]
fn gate_is_open_without_a_restore() {
    let mut gate = RestoreGate::default();
    gate.observe(0, 0);
    assert!(gate.update(&[RECOVERING], 0));
    assert_eq!(gate.to_tell(), None);
}

#[test_case(&[], 0 => true; "alone")]
#[test_case(&[REWRITTEN, REWRITTEN], 0 => true; "all have rewritten")]
#[test_case(&[REWRITTEN, RECOVERING], 9_999 => false; "one has not rewritten")]
#[test_case(&[REWRITTEN, RECOVERING], 10_000 => true; "one has not rewritten for long")]
fn gate_after_a_restore(peers: &[PeerRecovery], waited_ms: u64) -> bool {
    let mut gate = RestoreGate::default();
    gate.observe(0, 0);
    gate.observe(1, 100);
    assert!(!gate.update(peers, 100), "the own records come first");
    gate.record_rewritten(1);
    gate.update(peers, 100 + waited_ms)
}

#[test_case(&[], 0 => false; "it may not know the others yet")]
#[test_case(&[], 3_000 => true; "alone")]
#[test_case(&[REWRITTEN], 2_999 => false; "not all may be known")]
#[test_case(&[OPEN, RECOVERING], 0 => true; "another one draws")]
fn gate_of_a_process_that_started_after_a_restore(peers: &[PeerRecovery], waited_ms: u64) -> bool {
    let mut gate = RestoreGate::default();
    gate.observe(1, 0);
    gate.record_rewritten(1);
    gate.update(peers, waited_ms)
}

#[test]
fn second_restore_closes_the_gate_again() {
    let mut gate = RestoreGate::default();
    gate.observe(0, 0);
    gate.observe(1, 100);
    gate.record_rewritten(1);
    assert!(gate.update(&[], 100));
    assert_eq!(gate.to_tell(), Some(OPEN));
    gate.observe(2, 200);
    assert!(!gate.update(&[OPEN], 200));
    gate.record_rewritten(2);
    assert!(
        !gate.update(&[OPEN], 200),
        "the other one has not rewritten"
    );
}
