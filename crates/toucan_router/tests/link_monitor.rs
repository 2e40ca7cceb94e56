//! Silent links are found, slow ones kept.

use test_case::test_case;
use toucan_router::{LinkMonitor, LinkMonitorSettings, LinkState, ProbeAnswer};

/// Steps through time, sending probes when wanted and answering them by `answer`; returns the time
/// at which the link is found silent.
fn found_silent_ms(
    monitor: &mut LinkMonitor,
    until_ms: u64,
    mut answer: impl FnMut(u64) -> Option<ProbeAnswer>,
) -> Option<u64> {
    for now_ms in (0..until_ms).step_by(50) {
        if monitor.is_probe_due(now_ms) {
            monitor.record_probe(now_ms);
            if let Some(answer) = answer(now_ms) {
                monitor.record_probe_answer(answer, now_ms + 5);
            }
        }
        if monitor.state(now_ms) == LinkState::Silent {
            return Some(now_ms);
        }
    }
    None
}

fn busy() -> LinkMonitor {
    let mut monitor = LinkMonitor::new(LinkMonitorSettings::default());
    monitor.record_request(0);
    monitor
}

#[test]
fn a_link_that_answers_nothing_is_found_in_a_few_seconds() {
    assert_eq!(found_silent_ms(&mut busy(), 60_000, |_| None), Some(2_500));
}

#[test]
fn a_link_that_loses_what_the_target_sends_is_found_by_asking_elsewhere() {
    let found = found_silent_ms(&mut busy(), 60_000, |_| Some(ProbeAnswer::TargetAhead));
    assert_eq!(found, Some(1_550));
}

#[test_case(ProbeAnswer::TargetNotAhead)]
#[test_case(ProbeAnswer::LinkAlive)]
fn a_slow_target_is_never_left(answer: ProbeAnswer) {
    assert_eq!(
        found_silent_ms(&mut busy(), 600_000, |_| Some(answer)),
        None
    );
}

#[test]
fn a_slow_link_that_turns_silent_is_found_within_the_longest_quiet_time() {
    let found = found_silent_ms(&mut busy(), 120_000, |now_ms| {
        (now_ms < 60_000).then_some(ProbeAnswer::TargetNotAhead)
    });
    assert!(
        found.is_some_and(|at_ms| at_ms <= 60_000 + 4_000 + 1_500),
        "{found:?}"
    );
}

#[test]
fn tokens_that_trickle_need_no_probe() {
    let mut monitor = busy();
    for now_ms in (0..60_000).step_by(900) {
        assert!(!monitor.is_probe_due(now_ms));
        monitor.record_progress(now_ms);
    }
}

#[test]
fn tokens_that_come_after_the_target_was_ahead_clear_the_suspicion() {
    let mut monitor = busy();
    monitor.record_probe(1_000);
    monitor.record_probe_answer(ProbeAnswer::TargetAhead, 1_005);
    assert_eq!(
        monitor.state(1_400),
        LinkState::Suspect,
        "a token may be under way"
    );
    monitor.record_progress(1_400);
    assert_eq!(monitor.state(1_600), LinkState::Healthy);
    monitor.record_probe_answer(ProbeAnswer::TargetAhead, 1_700);
    assert_eq!(
        monitor.state(2_300),
        LinkState::Healthy,
        "an answer to an old question"
    );
}

#[test]
fn an_idle_link_is_left_alone() {
    let mut monitor = busy();
    monitor.record_response_end(100);
    assert!(!monitor.is_probe_due(1_000_000));
    assert_eq!(monitor.state(1_000_000), LinkState::Healthy);
    assert_eq!(monitor.next_check_ms(), None);
}
