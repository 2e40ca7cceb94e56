//! A burst of prompts twice as large as an engine reads, replayed through the refusal of calls.

use toucan_gateway::placement::overload_retry_after_ms;

/// Prompt tokens that the engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 50.0;
/// Latency objective of the calls.
const GOAL_MS: u64 = 800;
/// How long the burst lasts.
const BURST_MS: u64 = 6_000;

#[derive(Debug, Default)]
struct Tally {
    on_time: u32,
    late: u32,
    refused: u32,
}

/// One engine that reads prompts one after the other; a call arrives every `gap_ms`.
fn replay(tokens_of: impl Fn(u64) -> f64, gap_ms: u64, with_refusals: bool) -> Vec<(f64, Tally)> {
    let mut by_size: Vec<(f64, Tally)> = Vec::new();
    let mut free_at_ms = 0.0_f64;
    for (number, now_ms) in (0..BURST_MS).step_by(gap_ms as usize).enumerate() {
        let now_ms = now_ms as f64;
        let tokens = tokens_of(number as u64);
        let at = match by_size.iter().position(|(size, _tally)| *size == tokens) {
            Some(at) => at,
            None => {
                by_size.push((tokens, Tally::default()));
                by_size.len() - 1
            }
        };
        let tally = &mut by_size[at].1;
        let backlog_ms = (free_at_ms - now_ms).max(0.0);
        if with_refusals && overload_retry_after_ms(backlog_ms, GOAL_MS).is_some() {
            tally.refused += 1;
            continue;
        }
        free_at_ms = free_at_ms.max(now_ms) + tokens / TOKENS_PER_MS;
        if free_at_ms - now_ms <= GOAL_MS as f64 {
            tally.on_time += 1;
        } else {
            tally.late += 1;
        }
    }
    by_size
}

fn total(tallies: &[(f64, Tally)]) -> Tally {
    tallies
        .iter()
        .fold(Tally::default(), |sum, (_size, tally)| Tally {
            on_time: sum.on_time + tally.on_time,
            late: sum.late + tally.late,
            refused: sum.refused + tally.refused,
        })
}

#[test]
fn more_calls_are_on_time_than_if_all_are_taken() {
    let all_taken = total(&replay(|_number| 5_000.0, 50, false));
    let refusing = total(&replay(|_number| 5_000.0, 50, true));
    assert!(
        refusing.on_time > 2 * all_taken.on_time,
        "{refusing:?} {all_taken:?}"
    );
    // Nothing is refused that the engine had time for.
    let read = refusing.on_time + refusing.late;
    let capacity = (BURST_MS as f64 * TOKENS_PER_MS / 5_000.0) as u32;
    assert!(read >= capacity, "{refusing:?} of {capacity}");
}

#[test]
fn long_prompts_are_refused_no_more_often_than_short_ones() {
    let sizes = replay(
        |number| if number % 2 == 0 { 1_000.0 } else { 9_000.0 },
        50,
        true,
    );
    let refused_part = |tally: &Tally| {
        f64::from(tally.refused) / f64::from(tally.refused + tally.on_time + tally.late)
    };
    let [(_, short), (_, long)] = &sizes[..] else {
        panic!("two sizes were sent");
    };
    assert!(
        refused_part(long) <= refused_part(short) + 0.15,
        "{sizes:?}"
    );
}

#[test]
fn an_engine_that_keeps_up_refuses_nothing() {
    let calm = total(&replay(|_number| 5_000.0, 120, true));
    assert_eq!(calm.refused, 0);
}

#[test]
fn the_time_to_return_grows_with_the_backlog() {
    assert_eq!(overload_retry_after_ms(500.0, GOAL_MS), None);
    let soon = overload_retry_after_ms(1_000.0, GOAL_MS).expect("it is behind");
    let later = overload_retry_after_ms(4_000.0, GOAL_MS).expect("it is far behind");
    assert!(soon < later);
}
