//! Guards against a limit of a target that is exceeded, or left unused, whatever happens to gateways.

mod limit_fleet;

use limit_fleet::{Fleet, LENGTH_MS, Plan, Trouble};
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

/// Window in which the users count the calls of a target with a limit.
const WINDOW_MS: u64 = 4_000;
/// Time at which the load has settled.
const SETTLED_MS: u64 = 12_000;

/// Returns the highest number of calls within any window.
fn most_in_window(sent_ms: &[u64]) -> usize {
    let calls_from = |first: usize| {
        let until_ms = sent_ms[first] + WINDOW_MS;
        sent_ms[first..].partition_point(|at_ms| *at_ms < until_ms)
    };
    (0..sent_ms.len()).map(calls_from).max().unwrap_or(0)
}

/// Returns the number of calls that a target may get in a window, as the users count.
fn allowed_calls(limit_per_s: f64) -> f64 {
    limit_per_s * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0
}

fn random_plan(trouble: Trouble, random: &mut StdRng) -> Plan {
    let gateways = if random.random_ratio(1, 40) {
        random.random_range(30..=200)
    } else {
        random.random_range(3..=12)
    };
    let limit_per_s = 10.0_f64.powf(random.random_range(-0.7..=2.7));
    Plan {
        gateways,
        limit_per_s,
        calls_per_s: (limit_per_s * random.random_range(0.5..4.0)).min(600.0),
        busy_gateways: random.random_range(1..=gateways),
        trouble,
    }
}

#[test_case(Trouble::None; "nothing happens")]
#[test_case(Trouble::Restarts; "processes are restarted")]
#[test_case(Trouble::Replacements; "virtual machines are replaced")]
#[test_case(Trouble::Cuts; "parts of the fleet are cut off")]
#[test_case(Trouble::Freezes; "processes are suspended")]
fn no_history_exceeds_the_limit_of_a_target(trouble: Trouble) {
    let histories: u64 = std::env::var("TOUCAN_HISTORIES").map_or(60, |text| {
        text.parse().expect("the number of histories is a number")
    });
    let first: u64 = rand::rng().random();
    for history in 0..histories {
        let seed = first.wrapping_add(history);
        let plan = random_plan(trouble, &mut StdRng::seed_from_u64(seed));
        let most = most_in_window(&Fleet::new(plan, seed).run());
        assert!(
            most as f64 <= allowed_calls(plan.limit_per_s),
            "{most} calls, seed {seed}, {plan:?}"
        );
    }
}

/// Returns the part of the limit that was used, with three times the calls that it allows.
fn used_fraction(gateways: usize, busy_gateways: usize, limit_per_s: f64) -> f64 {
    let plan = Plan {
        gateways,
        limit_per_s,
        calls_per_s: 3.0 * limit_per_s,
        busy_gateways,
        trouble: Trouble::None,
    };
    let sent_ms = Fleet::new(plan, 1).run();
    let settled = sent_ms.iter().filter(|at_ms| **at_ms >= SETTLED_MS).count();
    settled as f64 * 1_000.0 / (LENGTH_MS - SETTLED_MS) as f64 / limit_per_s
}

/// The goal is nine tenths of the limit where the demand is there.
#[test_case(8, 1, 200.0; "one busy gateway of eight")]
#[test_case(8, 2, 200.0; "two busy gateways of eight")]
#[test_case(8, 8, 20.0; "eight busy gateways")]
#[test_case(195, 3, 200.0; "three busy gateways of many")]
#[test_case(195, 195, 20.0; "many busy gateways")]
fn limit_of_a_target_is_used(gateways: usize, busy_gateways: usize, limit_per_s: f64) {
    let used = used_fraction(gateways, busy_gateways, limit_per_s);
    assert!(used >= 0.9, "{used}");
}
