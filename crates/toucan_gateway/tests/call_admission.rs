//! Tests of the admission of calls by the room that a VM has.

use rand::{Rng, SeedableRng, rngs::StdRng};
use toucan_gateway::{VmResources, overload::CallAdmission};

/// Bandwidth of the link, in bytes per second.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
const BODY_BYTES: u64 = 80_000;
const RESOURCES: VmResources = VmResources {
    memory_bytes: Some(96 * 1_048_576),
    link_bits_per_s: Some(LINK_BYTES_PER_S * 8.0),
    cpu_share: Some(0.09),
    max_open_files: None,
};

/// Returns the admitted and the refused calls in 100 s, which arrive at random and use this part of the link.
fn simulate(link_fraction: f64, seed: u64) -> (u32, u32) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut admission = CallAdmission::new(RESOURCES);
    let (mut admitted, mut refused) = (0, 0);
    let interval_ms = BODY_BYTES as f64 / (LINK_BYTES_PER_S * link_fraction) * 1_000.0;
    let mut now_ms = 0.0;
    while now_ms < 100_000.0 {
        match admission.admit(0, BODY_BYTES, now_ms as u64) {
            Ok(_counted) => admitted += 1,
            Err(no_room) => {
                assert!((50..=500).contains(&no_room.return_ms));
                refused += 1;
            }
        }
        now_ms += -interval_ms * random.random_range(f64::EPSILON..1.0).ln();
    }
    (admitted, refused)
}

/// Fails if a gateway takes more calls than its link carries, or refuses calls that it has room for.
#[test]
fn bodies_are_admitted_up_to_the_link() {
    for seed in 0..20 {
        assert_eq!(simulate(0.5, seed).1, 0, "seed {seed}");
        let (admitted, _refused) = simulate(4.0, seed);
        let used = f64::from(admitted) * BODY_BYTES as f64 / (LINK_BYTES_PER_S * 100.0);
        assert!((0.85..0.95).contains(&used), "seed {seed}: {used}");
    }
}

/// Fails if calls in progress exhaust the memory of a small VM, or if a VM without limits refuses calls.
#[test]
fn calls_in_progress_are_bounded_by_the_memory() {
    let mut admission = CallAdmission::new(RESOURCES);
    let max_calls = admission.max_calls();
    assert!((200..600).contains(&max_calls), "{max_calls}");
    assert!(admission.admit(max_calls - 1, 10, 0).is_ok());
    assert!(admission.admit(max_calls, 10, 0).is_err());
    let mut unlimited = CallAdmission::new(VmResources::default());
    assert!(unlimited.admit(100_000, u64::MAX, 0).is_ok());
}

/// Fails if one caller who announces a large body keeps the others out for the time that it would take.
#[test]
fn announced_body_that_is_not_sent_keeps_nobody_out() {
    let mut admission = CallAdmission::new(RESOURCES);
    let counted = admission.admit(0, 4_000_000, 0).expect("the link is idle");
    assert!(admission.admit(0, BODY_BYTES, 0).is_ok());
    // The rest counts once it was read.
    admission.record_body(4_000_000 - counted, 0);
    assert!(admission.admit(0, BODY_BYTES, 2_000).is_err());
    assert!(admission.admit(0, BODY_BYTES, 4_000).is_ok());
}
