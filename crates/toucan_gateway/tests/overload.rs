//! Simulates a burst of prompts at twice the rate that an engine can process, with load shedding.

use toucan_gateway::placement::overload_retry_after_ms;

/// Prompt tokens that the engine processes per millisecond.
const TOKENS_PER_MS: f64 = 50.0;
/// Latency objective of the calls.
const LATENCY_OBJECTIVE_MS: u64 = 800;
/// Duration of the burst.
const BURST_MS: u64 = 6_000;

#[derive(Debug, Default)]
struct Counts {
    on_time: u32,
    late: u32,
    refused: u32,
}

/// Simulates an engine that processes prompts one after the other, with a call every `interval_ms`.
///
/// Returns the outcomes by size of the prompt.
fn simulate(
    tokens_of: impl Fn(u64) -> f64,
    interval_ms: u64,
    sheds_load: bool,
) -> Vec<(f64, Counts)> {
    let mut by_size: Vec<(f64, Counts)> = Vec::new();
    let mut free_at_ms = 0.0_f64;
    for (number, now_ms) in (0..BURST_MS).step_by(interval_ms as usize).enumerate() {
        let now_ms = now_ms as f64;
        let tokens = tokens_of(number as u64);
        let at = match by_size.iter().position(|(size, _counts)| *size == tokens) {
            Some(at) => at,
            None => {
                by_size.push((tokens, Counts::default()));
                by_size.len() - 1
            }
        };
        let counts = &mut by_size[at].1;
        let backlog_ms = (free_at_ms - now_ms).max(0.0);
        if sheds_load && overload_retry_after_ms(backlog_ms, LATENCY_OBJECTIVE_MS).is_some() {
            counts.refused += 1;
            continue;
        }
        free_at_ms = free_at_ms.max(now_ms) + tokens / TOKENS_PER_MS;
        if free_at_ms - now_ms <= LATENCY_OBJECTIVE_MS as f64 {
            counts.on_time += 1;
        } else {
            counts.late += 1;
        }
    }
    by_size
}

fn total(counts_by_size: &[(f64, Counts)]) -> Counts {
    counts_by_size
        .iter()
        .fold(Counts::default(), |sum, (_size, counts)| Counts {
            on_time: sum.on_time + counts.on_time,
            late: sum.late + counts.late,
            refused: sum.refused + counts.refused,
        })
}

#[test]
fn shedding_lets_more_calls_finish_on_time() {
    let unlimited = total(&simulate(|_number| 5_000.0, 50, false));
    let limited = total(&simulate(|_number| 5_000.0, 50, true));
    assert!(
        limited.on_time > 2 * unlimited.on_time,
        "{limited:?} {unlimited:?}"
    );
    // No call is refused that the engine had the capacity for.
    let processed = limited.on_time + limited.late;
    let capacity = (BURST_MS as f64 * TOKENS_PER_MS / 5_000.0) as u32;
    assert!(processed >= capacity, "{limited:?} of {capacity}");
}

#[test]
fn long_prompts_are_refused_no_more_often_than_short_ones() {
    let sizes = simulate(
        |number| if number % 2 == 0 { 1_000.0 } else { 9_000.0 },
        50,
        true,
    );
    let refused_fraction = |counts: &Counts| {
        f64::from(counts.refused) / f64::from(counts.refused + counts.on_time + counts.late)
    };
    let [(_, short), (_, long)] = &sizes[..] else {
        panic!("prompts of two sizes were sent");
    };
    assert!(
        refused_fraction(long) <= refused_fraction(short) + 0.15,
        "{sizes:?}"
    );
}

#[test]
fn engine_that_keeps_up_refuses_nothing() {
    let counts = total(&simulate(|_number| 5_000.0, 120, true));
    assert_eq!(counts.refused, 0);
}

#[test]
fn retry_after_grows_with_the_backlog() {
    assert_eq!(overload_retry_after_ms(500.0, LATENCY_OBJECTIVE_MS), None);
    let short_wait_ms =
        overload_retry_after_ms(1_000.0, LATENCY_OBJECTIVE_MS).expect("the engine has a backlog");
    let long_wait_ms = overload_retry_after_ms(4_000.0, LATENCY_OBJECTIVE_MS)
        .expect("the engine has a large backlog");
    assert!(short_wait_ms < long_wait_ms);
}
