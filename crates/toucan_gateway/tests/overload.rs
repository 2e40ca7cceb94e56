//! Simulates a burst of prompts at twice the rate that an engine can process, with load shedding.

use toucan_gateway::overload::{ReturnSchedule, UrgencyTokens, overload_retry_after_ms};

/// Prompt tokens that the engine processes per millisecond.
const TOKENS_PER_MS: f64 = 50.0;
/// Latency objective of the calls.
const LATENCY_OBJECTIVE_MS: u64 = 800;
/// Time that callers have left.
const LEFT_MS: u64 = 10_000;
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
        if sheds_load
            && overload_retry_after_ms(backlog_ms, LATENCY_OBJECTIVE_MS, LEFT_MS).is_some()
        {
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
    assert_eq!(
        overload_retry_after_ms(500.0, LATENCY_OBJECTIVE_MS, LEFT_MS),
        None
    );
    let short_wait_ms = overload_retry_after_ms(1_000.0, LATENCY_OBJECTIVE_MS, LEFT_MS)
        .expect("the engine has a backlog");
    let long_wait_ms = overload_retry_after_ms(4_000.0, LATENCY_OBJECTIVE_MS, LEFT_MS)
        .expect("the engine has a large backlog");
    assert!(short_wait_ms < long_wait_ms);
}

/// Fails if a call is sent although the caller has given up by the time of the first event.
#[test]
fn call_that_cannot_be_answered_in_the_time_left_is_refused() {
    assert_eq!(
        overload_retry_after_ms(500.0, LATENCY_OBJECTIVE_MS, 700),
        None
    );
    assert!(overload_retry_after_ms(500.0, LATENCY_OBJECTIVE_MS, 400).is_some());
}

/// Simulates an engine that serves urgent calls first, with calls of two urgencies in turn.
///
/// Returns the numbers of refused urgent and less urgent calls, and of urgent calls on time.
fn simulate_urgencies(load: f64) -> (u32, u32, u32) {
    const CALL_MS: f64 = 100.0;
    let tokens = (CALL_MS * TOKENS_PER_MS) as u64;
    let mut queues: [Vec<f64>; 2] = [Vec::new(), Vec::new()];
    let mut refused = [0, 0];
    let (mut free_at_ms, mut urgent_on_time) = (0.0_f64, 0);
    let mut now_ms = 0.0;
    let mut number = 0;
    while now_ms < BURST_MS as f64 {
        while free_at_ms <= now_ms {
            let Some(queue) = queues.iter_mut().find(|queue| !queue.is_empty()) else {
                free_at_ms = now_ms;
                break;
            };
            let is_urgent = queue.len() == queues[0].len() && !queues[0].is_empty();
            let queue = &mut queues[usize::from(!is_urgent)];
            let arrived_ms = queue.remove(0);
            free_at_ms += CALL_MS;
            let is_on_time = free_at_ms - arrived_ms <= LATENCY_OBJECTIVE_MS as f64;
            urgent_on_time += u32::from(is_urgent && is_on_time);
        }
        let mut waiting = UrgencyTokens::default();
        for (urgency, queue) in queues.iter().enumerate() {
            waiting.add(urgency as u8, tokens * queue.len() as u64);
        }
        let urgency = number % 2;
        let total_ms = (queues[0].len() + queues[1].len()) as f64 * CALL_MS;
        let later_ms = waiting.less_urgent_than(urgency as u8) as f64 / TOKENS_PER_MS;
        let backlog_ms = total_ms - later_ms + (free_at_ms - now_ms);
        if overload_retry_after_ms(backlog_ms, LATENCY_OBJECTIVE_MS, LEFT_MS).is_some() {
            refused[urgency] += 1;
        } else {
            queues[urgency].push(now_ms);
        }
        number += 1;
        now_ms += CALL_MS / load;
    }
    (refused[0], refused[1], urgent_on_time)
}

/// Fails if less urgent calls take the capacity from urgent ones, or if calls are refused without need.
#[test]
fn less_urgent_calls_are_refused_first() {
    assert_eq!(simulate_urgencies(0.5).0 + simulate_urgencies(0.5).1, 0);
    for percent in (100..=300).step_by(25) {
        let (urgent, less_urgent, on_time) = simulate_urgencies(f64::from(percent) / 100.0);
        let figures = format!("load {percent} %: {urgent}, {less_urgent}, {on_time}");
        assert!(
            urgent < less_urgent || urgent + less_urgent == 0,
            "{figures}"
        );
        // The capacity is 60 calls, half of the calls at twice that load.
        let urgent_calls = BURST_MS as u32 * percent / 100 / 200;
        assert!(on_time * 10 >= urgent_calls.min(60) * 8, "{figures}");
    }
}

/// Fails if callers who are refused together return together, or wait longer than they can.
#[test]
fn refused_callers_return_as_capacity_becomes_free() {
    let mut schedule = ReturnSchedule::default();
    let waits_ms: Vec<u64> = (0..40)
        .map(|_caller| schedule.assign(300, 20.0, 3_000, 1_000))
        .collect();
    assert_eq!(waits_ms[0], 300);
    // Each call takes 20 ms, and a quarter of the capacity is for calls that return.
    for pair in waits_ms.windows(2) {
        assert!(pair[1] - pair[0] == 80 || pair[1] == 900, "{waits_ms:?}");
    }
    assert_eq!(waits_ms.last(), Some(&900));
    // A caller with little time left is not told to return after its deadline.
    assert_eq!(schedule.assign(300, 20.0, 600, 1_000), 180);
    // Times that were assigned and have passed do not delay later callers.
    assert_eq!(schedule.assign(300, 20.0, 3_000, 9_000), 300);
}

/// Fails if callers who return at the time that they were told are refused again.
#[test]
fn callers_who_return_as_told_after_a_burst_are_served() {
    const CALL_MS: f64 = 20.0;
    let mut schedule = ReturnSchedule::default();
    // Arrivals by time; whether the caller has been refused before, and when it gives up.
    let mut arrivals: Vec<(u64, bool, u64)> = Vec::new();
    let mut now_ms = 0.0;
    while now_ms < 20_000.0 {
        let load = if (2_000.0..4_000.0).contains(&now_ms) {
            2.0
        } else {
            0.4
        };
        let at_ms = now_ms as u64;
        arrivals.push((at_ms, false, at_ms + LEFT_MS));
        now_ms += CALL_MS / load;
    }
    let mut free_at_ms = 0.0_f64;
    let (mut returned, mut served) = (0, 0);
    while !arrivals.is_empty() {
        let (next, _) = arrivals
            .iter()
            .enumerate()
            .min_by_key(|(_at, arrival)| arrival.0)
            .expect("there are arrivals");
        let (now_ms, was_refused, until_ms) = arrivals.swap_remove(next);
        returned += u32::from(was_refused);
        let backlog_ms = (free_at_ms - now_ms as f64).max(0.0);
        let left_ms = until_ms - now_ms;
        match overload_retry_after_ms(backlog_ms, LATENCY_OBJECTIVE_MS, left_ms) {
            Some(overload_ms) if !was_refused => {
                let wait_ms = schedule.assign(overload_ms, CALL_MS, left_ms, now_ms);
                arrivals.push((now_ms + wait_ms, true, until_ms));
            }
            Some(_overload_ms) => {}
            None => {
                free_at_ms = free_at_ms.max(now_ms as f64) + CALL_MS;
                served += u32::from(was_refused);
            }
        }
    }
    assert!(returned >= 50, "{returned}");
    assert!(
        served * 10 >= returned * 9,
        "{served} of {returned} callers"
    );
}
