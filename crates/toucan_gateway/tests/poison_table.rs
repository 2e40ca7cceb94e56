//! Guards against suspicions that fill the memory, verdicts that never end or that cost more targets than
//! the users allow, and ends that were none.

use test_case::test_case;
use toucan_gateway::{
    poison::{
        CallDigest, ENDS_TO_CONDEMN, ENDS_TO_RESTRICT, Fingerprint, PoisonCheck, PoisonTable,
        SuspectCall, TargetEnd, TargetInstance,
    },
    wire_format::PartId,
};
use toucan_types::TargetName;

const A: Fingerprint = Fingerprint::Part(PartId(0xa));
const B: Fingerprint = Fingerprint::Part(PartId(0xb));
const C: Fingerprint = Fingerprint::Part(PartId(0xc));
/// Time between two ends.
const INTERVAL_MS: u64 = 1_000;
/// Number of calls with a condemned fingerprint that the users allow.
const MAX_TRIALS: usize = 3;

fn instance(at: u64) -> TargetInstance {
    TargetInstance {
        name: TargetName::from(format!("t{at}")),
        started_at_unix_ms: 1,
    }
}

/// Returns the end of target `at`, which held a call with these fingerprints.
fn end(at: u64, fingerprints: &[Fingerprint]) -> TargetEnd {
    TargetEnd {
        instance: instance(at),
        ended_at_ms: at * INTERVAL_MS,
        broken_calls: 1,
        suspects: vec![SuspectCall {
            fingerprints: fingerprints.to_vec(),
            sent_at_ms: at * INTERVAL_MS - 100,
        }],
    }
}

/// Returns a table that has seen `ends` targets end under these fingerprints, and the time after that.
fn table_after(ends: usize, fingerprints: &[Fingerprint]) -> (PoisonTable, u64) {
    let mut table = PoisonTable::default();
    let mut now_ms = 0;
    for at in 1..=ends as u64 {
        now_ms = at * INTERVAL_MS + 25;
        table.record_end(&end(at, fingerprints), now_ms);
    }
    (table, now_ms)
}

#[test_case(ENDS_TO_RESTRICT - 1 => PoisonCheck::Clear; "one end changes nothing")]
#[test_case(ENDS_TO_RESTRICT => PoisonCheck::Trial; "two ends")]
fn calls_are_held_back_after_several_ends(ends: usize) -> PoisonCheck {
    let (table, now_ms) = table_after(ends, &[A]);
    table.check(&[A], false, now_ms)
}

#[test]
fn call_that_may_have_ended_a_target_is_not_sent_again() {
    let (table, now_ms) = table_after(ENDS_TO_RESTRICT, &[A]);
    assert_eq!(table.check(&[A], true, now_ms), PoisonCheck::Suspected);
}

#[test]
fn one_call_is_tried_at_a_time_while_a_part_is_suspected() {
    let (mut table, now_ms) = table_after(ENDS_TO_RESTRICT, &[A]);
    assert_eq!(table.begin_trial(&[A], now_ms), [A]);
    assert_eq!(table.check(&[A], false, now_ms), PoisonCheck::Wait);
    table.end_trial(&[A]);
    assert_eq!(table.check(&[A], false, now_ms), PoisonCheck::Trial);
}

#[test]
fn condemned_part_is_tried_no_more_often_than_allowed() {
    let (mut table, mut now_ms) = table_after(ENDS_TO_CONDEMN, &[A]);
    let mut trials = 0;
    for step in 0..10_000 {
        now_ms += 60_000;
        if table.check(&[A], false, now_ms) != PoisonCheck::Trial {
            continue;
        }
        trials += 1;
        table.begin_trial(&[A], now_ms);
        let at = 100 + step;
        let ended = TargetEnd {
            ended_at_ms: now_ms + 50,
            ..end(at, &[A])
        };
        table.record_end(&ended, now_ms + 75);
    }
    assert!((1..=MAX_TRIALS).contains(&trials), "{trials}");
}

/// A gateway that only suspects a part tells of its trial. It must not be taken for the one that is due ten
/// seconds after the verdict, or the part is refused for ten minutes.
#[test_case(2_000 => true; "of a gateway without the verdict")]
#[test_case(9_500 => false; "of a gateway whose trial was due a little sooner")]
fn trial_of_another_gateway_counts_if_it_is_due(begun_after_ms: u64) -> bool {
    let (mut table, now_ms) = table_after(ENDS_TO_CONDEMN, &[A]);
    table.record_trial(&[A], true, now_ms + begun_after_ms);
    table.record_trial(&[A], false, now_ms + begun_after_ms + 100);
    table.check(&[A], false, now_ms + 12_000) == PoisonCheck::Trial
}

#[test]
fn complete_answer_clears_its_parts_and_leaves_the_others() {
    let (mut table, now_ms) = table_after(ENDS_TO_CONDEMN, &[A, B]);
    assert_eq!(table.check(&[A, C], false, now_ms), PoisonCheck::Clear);
    let sound = table.record_sound(&[A, C]);
    assert_eq!(sound.lifted, [A]);
    assert_eq!(sound.narrowed, [B]);
    assert!(table.is_condemned(B));
    assert!(matches!(
        table.check(&[C, B], false, now_ms),
        PoisonCheck::Condemned { .. }
    ));
}

#[test_case(&[500, 1_700] => false; "registrations written before the end")]
#[test_case(&[2_500] => false; "a single delayed registration")]
#[test_case(&[2_500, 3_700] => true; "a target that goes on to write")]
fn verdict_falls_if_a_target_has_not_ended(registered_after_ms: &[u64]) -> bool {
    let (mut table, _now_ms) = table_after(ENDS_TO_CONDEMN, &[A]);
    let ended_ms = ENDS_TO_CONDEMN as u64 * INTERVAL_MS;
    for after_ms in registered_after_ms {
        let last = instance(ENDS_TO_CONDEMN as u64);
        table.record_registration(&last, ended_ms + after_ms);
    }
    !table.is_condemned(A)
}

#[test]
fn targets_that_end_together_count_once() {
    let mut table = PoisonTable::default();
    for at in 1..=10 {
        let together = TargetEnd {
            ended_at_ms: 5_000 + at,
            suspects: vec![SuspectCall {
                fingerprints: vec![A],
                sent_at_ms: 4_000,
            }],
            ..end(at, &[A])
        };
        table.record_end(&together, 5_050);
    }
    assert_eq!(table.check(&[A], false, 5_050), PoisonCheck::Clear);
}

#[test]
fn same_end_that_several_gateways_tell_counts_once() {
    let mut table = PoisonTable::default();
    for told_ms in 0..10 {
        table.record_end(&end(1, &[A]), INTERVAL_MS + told_ms * 20);
    }
    assert_eq!(table.check(&[A], false, 2_000), PoisonCheck::Clear);
}

#[test]
fn verdict_of_another_gateway_is_in_force_at_one_that_starts() {
    let (told, _now_ms) = table_after(ENDS_TO_CONDEMN, &[A]);
    let verdict = told.verdict(A, 0).expect("the fingerprint is condemned");
    let decoded = toucan_gateway::poison::PoisonVerdict::decode(
        &verdict.encode().expect("a verdict can be encoded"),
    );
    let mut table = PoisonTable::default();
    table.apply_verdict(&decoded.expect("it can be decoded"), 2_000, 50_000);
    let PoisonCheck::Condemned { return_ms } = table.check(&[A], false, 50_000) else {
        panic!("the verdict is not in force");
    };
    assert!(return_ms < 10_000, "{return_ms}");
}

#[test]
fn verdict_that_another_gateway_has_narrowed_is_narrowed_here() {
    let (mut told, now_ms) = table_after(ENDS_TO_CONDEMN, &[A, B]);
    let (mut table, _now_ms) = table_after(ENDS_TO_CONDEMN, &[A, B]);
    told.record_sound(&[A]);
    let verdict = told.verdict(B, 0).expect("the fingerprint is condemned");
    assert_eq!(table.check(&[C, B], false, now_ms), PoisonCheck::Clear);
    let wider = table.verdict(B, 0).expect("the fingerprint is condemned");
    table.apply_verdict(&verdict, 0, now_ms);
    assert!(table.knows_no_more_than(&verdict));
    assert!(!table.knows_no_more_than(&wider));
    assert!(matches!(
        table.check(&[C, B], false, now_ms),
        PoisonCheck::Condemned { .. }
    ));
}

#[test]
fn flood_of_parts_does_not_fill_the_memory() {
    const MAX_FINGERPRINTS: usize = 1_024;
    let (mut table, _now_ms) = table_after(ENDS_TO_CONDEMN, &[A]);
    for at in 10..5_000 {
        table.record_end(
            &end(
                at,
                &[
                    Fingerprint::Part(PartId(at * 2)),
                    Fingerprint::Part(PartId(at * 2 + 1)),
                ],
            ),
            at,
        );
    }
    assert!(table.len() <= MAX_FINGERPRINTS, "{}", table.len());
    assert!(table.is_condemned(A), "the verdict was forgotten");
}

fn repeated_call() -> Fingerprint {
    let digest = CallDigest::from_hex("000102030405060708090a0b0c0d0e0f");
    Fingerprint::Call(digest.expect("the text is a digest"))
}

/// In a small service, calls with a common part are at each target that a repeated call ends.
#[test]
fn part_that_was_near_at_each_end_of_a_repeated_call_is_served() {
    let mut table = PoisonTable::default();
    for at in 1..=ENDS_TO_CONDEMN as u64 {
        let mut end = end(at, &[repeated_call()]);
        end.suspects.push(SuspectCall {
            fingerprints: vec![A],
            sent_at_ms: end.ended_at_ms - 100,
        });
        table.record_end(&end, end.ended_at_ms);
        table.lift_explained();
    }
    assert!(table.is_condemned(repeated_call()));
    assert!(!table.is_condemned(A));
    let now_ms = ENDS_TO_CONDEMN as u64 * INTERVAL_MS;
    assert_eq!(table.check(&[A], false, now_ms), PoisonCheck::Clear);
}

/// Returns the end of target `at`, which held a call with each of these lists of fingerprints.
fn end_of_calls(at: u64, calls: &[&[Fingerprint]]) -> TargetEnd {
    let suspects = calls.iter().flat_map(|call| end(at, call).suspects);
    TargetEnd {
        suspects: suspects.collect(),
        ..end(at, &[])
    }
}

/// A gateway condemns a part before the others have told it of the repeated call at the same targets, and its
/// verdict arrives by the store when all others know the call.
#[test]
fn verdict_on_a_part_is_not_applied_if_a_repeated_call_explains_its_ends() {
    let (told, now_ms) = table_after(ENDS_TO_CONDEMN, &[A]);
    let mut table = PoisonTable::default();
    for at in 1..=ENDS_TO_CONDEMN as u64 {
        table.record_end(&end_of_calls(at, &[&[repeated_call()], &[A]]), now_ms);
    }
    let verdict = told.verdict(A, 0).expect("the fingerprint is condemned");
    assert_eq!(table.apply_verdict(&verdict, 0, now_ms), [A]);
    assert_eq!(table.check(&[A], false, now_ms), PoisonCheck::Clear);
}

/// The verdict on the repeated call arrives last at a gateway that did not learn of one of its ends.
#[test]
fn verdict_on_a_repeated_call_lifts_those_on_parts_near_its_ends() {
    let (told, now_ms) = table_after(ENDS_TO_CONDEMN, &[repeated_call()]);
    let (mut table, _now_ms) = table_after(ENDS_TO_CONDEMN, &[A]);
    let verdict = told.verdict(repeated_call(), 0);
    let verdict = verdict.expect("the fingerprint is condemned");
    assert_eq!(table.apply_verdict(&verdict, 0, now_ms), [A]);
    assert!(table.is_condemned(repeated_call()));
    assert_eq!(table.check(&[A], false, now_ms), PoisonCheck::Clear);
}

/// A datagram about one end was lost. The trial of the repeated call ends a third target near part A.
#[test]
fn part_is_served_by_a_gateway_that_missed_an_end_of_a_repeated_call() {
    let (told, now_ms) = table_after(ENDS_TO_CONDEMN, &[repeated_call()]);
    let verdict = told.verdict(repeated_call(), 0);
    let mut table = PoisonTable::default();
    table.record_end(&end_of_calls(1, &[&[repeated_call()]]), now_ms);
    table.record_end(&end_of_calls(2, &[&[repeated_call()], &[A]]), now_ms);
    table.record_end(&end_of_calls(3, &[&[A]]), now_ms);
    table.apply_verdict(&verdict.expect("it is condemned"), 0, now_ms);
    table.record_end(&end_of_calls(4, &[&[A, repeated_call()]]), now_ms);
    assert!(!table.is_condemned(A));
}

/// A part in many calls was near at each end of a repeated call, and at one that had another reason.
#[test]
fn repeated_call_is_condemned_beside_a_part_with_one_more_end() {
    let mut table = PoisonTable::default();
    table.record_end(&end(1, &[A]), INTERVAL_MS);
    for at in 2..2 + ENDS_TO_CONDEMN as u64 {
        let ended = end_of_calls(at, &[&[A], &[repeated_call()]]);
        table.record_end(&ended, at * INTERVAL_MS);
        table.lift_explained();
    }
    assert!(table.is_condemned(repeated_call()));
}

/// Ends `fresh_calls` calls of 16 parts that never come again with each target, and one with part A, which is
/// told last. Returns the number of ends until A is condemned.
fn ends_until_condemned(fresh_calls: u64) -> Option<u64> {
    const PARTS: u64 = 16;
    let mut table = PoisonTable::default();
    for at in 1..=20 {
        let mut end = end(at, &[]);
        let fresh_call = |call: u64| SuspectCall {
            fingerprints: (0..PARTS)
                .map(|part| ((at * fresh_calls + call) * PARTS + part) + 1_000)
                .map(|part| Fingerprint::Part(PartId(part)))
                .collect(),
            sent_at_ms: end.ended_at_ms - 100,
        };
        let mut suspects: Vec<SuspectCall> = (0..fresh_calls).map(fresh_call).collect();
        suspects.push(SuspectCall {
            fingerprints: vec![A],
            sent_at_ms: end.ended_at_ms - 100,
        });
        end.suspects = suspects;
        table.record_end(&end, end.ended_at_ms + 25);
        if table.is_condemned(A) {
            return Some(at);
        }
    }
    None
}

#[test_case(63 => Some(ENDS_TO_CONDEMN as u64); "a thousand parts an end")]
#[test_case(625 => Some(ENDS_TO_CONDEMN as u64); "ten thousand parts an end")]
fn fresh_parts_do_not_drive_out_the_one_that_ends_targets(fresh_calls: u64) -> Option<u64> {
    ends_until_condemned(fresh_calls)
}
