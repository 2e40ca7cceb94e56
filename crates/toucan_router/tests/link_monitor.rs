//! Tests of the link monitor: silent links are detected and slow ones are kept.

use test_case::test_case;
use toucan_router::{LinkMonitor, LinkMonitorSettings, LinkState, ProbeAnswer};

/// Simulates time, sends due probes and answers them with `answer`. Returns the time at which the
/// link is detected as silent.
fn silence_detected_at_ms(
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

fn busy_monitor() -> LinkMonitor {
    let mut monitor = LinkMonitor::new(LinkMonitorSettings::default());
    monitor.record_request(0);
    monitor
}

#[test]
fn a_link_without_probe_answers_is_detected_within_seconds() {
    assert_eq!(
        silence_detected_at_ms(&mut busy_monitor(), 60_000, |_| None),
        Some(2_500)
    );
}

#[test]
fn a_link_that_loses_tokens_is_detected_over_another_connection() {
    let detected_at_ms = silence_detected_at_ms(&mut busy_monitor(), 60_000, |_| {
        Some(ProbeAnswer::TargetAhead)
    });
    assert_eq!(detected_at_ms, Some(1_550));
}

#[test_case(ProbeAnswer::TargetNotAhead)]
#[test_case(ProbeAnswer::LinkAlive)]
fn the_link_of_a_slow_target_is_kept(answer: ProbeAnswer) {
    assert_eq!(
        silence_detected_at_ms(&mut busy_monitor(), 600_000, |_| Some(answer)),
        None
    );
}

#[test]
fn a_slow_link_that_turns_silent_is_detected_within_the_longest_probe_interval() {
    let detected_at_ms = silence_detected_at_ms(&mut busy_monitor(), 120_000, |now_ms| {
        (now_ms < 60_000).then_some(ProbeAnswer::TargetNotAhead)
    });
    assert!(
        detected_at_ms.is_some_and(|at_ms| at_ms <= 60_000 + 4_000 + 1_500),
        "{detected_at_ms:?}"
    );
}

#[test]
fn slowly_arriving_tokens_require_no_probe() {
    let mut monitor = busy_monitor();
    for now_ms in (0..60_000).step_by(900) {
        assert!(!monitor.is_probe_due(now_ms));
        monitor.record_progress(now_ms);
    }
}

#[test]
fn tokens_that_arrive_after_the_target_was_ahead_restore_a_healthy_state() {
    let mut monitor = busy_monitor();
    monitor.record_probe(1_000);
    monitor.record_probe_answer(ProbeAnswer::TargetAhead, 1_005);
    assert_eq!(
        monitor.state(1_400),
        LinkState::Suspect,
        "a token may be in transit"
    );
    monitor.record_progress(1_400);
    assert_eq!(monitor.state(1_600), LinkState::Healthy);
    monitor.record_probe_answer(ProbeAnswer::TargetAhead, 1_700);
    assert_eq!(
        monitor.state(2_300),
        LinkState::Healthy,
        "the answer belongs to an old probe"
    );
}

#[test]
fn an_idle_link_is_not_probed() {
    let mut monitor = busy_monitor();
    monitor.record_response_end(100);
    assert!(!monitor.is_probe_due(1_000_000));
    assert_eq!(monitor.state(1_000_000), LinkState::Healthy);
    assert_eq!(monitor.next_check_ms(), None);
}
