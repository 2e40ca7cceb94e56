//! Guards against calls that a stopping process takes and cannot end, and against refusals of those that it can.

use test_case::test_case;
use toucan_gateway::overload::CallDurations;

const NOW_MS: u64 = 100_000;

#[test_case(&[], 5_000, 7_000 => true; "the time limit comes first")]
#[test_case(&[], 8_000, 7_000 => false; "nothing is known of the route")]
#[test_case(&[(1_000, 0)], 8_000, 7_000 => true; "calls are short")]
#[test_case(&[(6_000, 0), (100, 0)], 8_000, 7_000 => false; "one call was long")]
#[test_case(&[(6_000, 200_000), (100, 0)], 8_000, 7_000 => true; "the long call is long ago")]
#[test_case(&[(100, 200_000)], 8_000, 7_000 => false; "all calls are long ago")]
fn call_is_expected_to_end(calls: &[(u64, u64)], limit_ms: u64, available_ms: u64) -> bool {
    let mut durations = CallDurations::default();
    let now_ms = NOW_MS + 200_000;
    for (took_ms, ago_ms) in calls {
        durations.record("route", *took_ms, now_ms - ago_ms);
    }
    durations.record("other", 1, now_ms);
    durations.ends_within("route", limit_ms, available_ms, now_ms)
}
