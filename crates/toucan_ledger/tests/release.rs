//! Fences, held tokens and releases, in particular of a paused holder that is unaware of its fence.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]
#![allow(clippy::needless_pass_by_value, reason = "cases pass values")]

mod support;

use support::{Stream, budget};
use test_case::test_case;
use toucan_ledger::{
    FenceEvidence, LedgerEvent, LedgerRecord, ListedState, OpenReservation, ReleaseDecision,
    ReleaseFacts, ReleasePolicy, ReleaseProof, ReserveError,
};
use toucan_types::{BillId, IncarnationId, Sequence, Tokens};

const HOLDER: IncarnationId = IncarnationId(1);

fn facts() -> ReleaseFacts {
    ReleaseFacts {
        silent_ms: 3_600_000,
        listed: ListedState::Live,
        listed_at_ms: 0,
        missing_journals: Vec::new(),
        last_journaled: Sequence(0),
    }
}

fn fence() -> LedgerRecord {
    LedgerRecord::Fence {
        incarnation: HOLDER,
        evidence: FenceEvidence::Silent { silent_ms: 10_000 },
    }
}

fn gone(instance: &str) -> ReleaseProof {
    ReleaseProof::InstanceGone {
        instance: instance.into(),
        listed_at_ms: 5,
    }
}

fn release(proof: ReleaseProof, open: &[(u128, u64)]) -> LedgerRecord {
    let open_reservations = open.iter().map(|(bill, tokens)| OpenReservation {
        bill: BillId(*bill),
        budget: budget(),
        reserved_tokens: Tokens(*tokens),
    });
    LedgerRecord::Release {
        incarnation: HOLDER,
        proof,
        open_reservations: open_reservations.collect(),
    }
}

#[test]
fn a_paused_holder_that_resumes_after_its_fence_spends_only_held_tokens() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence()]);
    // Silence is no proof, even after an hour.
    let decision = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts());
    assert_eq!(decision, ReleaseDecision::WaitForProof);
    let mut other = stream.announced_wallet(2, "i-2", 1_000);
    assert_eq!(other.available(&budget()), Tokens(400));

    // The holder resumes and finishes a request from its grant before it reads back its fence.
    let reservation = holder.reserve(&budget(), Tokens(500), 5).unwrap();
    holder.settle(reservation, BillId(1), Tokens(500), stream.now_ms);
    let events = stream.sync(&mut holder);
    assert!(matches!(
        events[..],
        [LedgerEvent::Settled {
            spent_tokens: Tokens(500),
            ..
        }]
    ));
    let reservation = other
        .reserve(&budget(), Tokens(400), stream.now_ms)
        .unwrap();
    other.settle(reservation, BillId(2), Tokens(400), stream.now_ms);
    stream.sync(&mut other);

    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(account.spent_tokens, Tokens(900));
    assert_eq!(account.held_tokens, Tokens(100));
    // After reading back the fence it admits no requests, and its remaining grant is returned.
    assert_eq!(
        holder.reserve(&budget(), Tokens(1), 6),
        Err(ReserveError::Fenced)
    );
    holder.shut_down().unwrap();
    stream.sync(&mut holder);
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().remaining_tokens,
        Tokens(100)
    );
}

#[test_case(ListedState::Unlisted, ReleaseDecision::WaitForProof; "an instance that is not listed")]
#[test_case(ListedState::Live, ReleaseDecision::WaitForProof; "a lagging list")]
#[test_case(ListedState::Leaving, ReleaseDecision::WaitForProof; "an instance that is leaving")]
#[test_case(
    ListedState::Gone,
    ReleaseDecision::Release(ReleaseProof::InstanceGone {
        instance: "i-1".into(),
        listed_at_ms: 0,
    });
    "a destroyed instance"
)]
fn the_vm_list_permits_a_release_only_of_a_destroyed_instance(
    listed: ListedState,
    expected: ReleaseDecision,
) {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence()]);
    let facts = ReleaseFacts { listed, ..facts() };
    let decision = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts);
    assert_eq!(decision, expected);
}

#[test_case("i-1", true; "the same instance proves that the old process has ended")]
#[test_case("i-9", false; "another instance under the same name proves nothing")]
fn a_successor_is_proof_only_on_the_same_instance(instance: &str, released: bool) {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence()]);
    let mut successor = stream.announced_wallet(2, instance, 0);
    stream.sync(&mut successor);
    let decision = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts());
    let proof = ReleaseProof::Successor(IncarnationId(2));
    assert_eq!(
        decision == ReleaseDecision::Release(proof.clone()),
        released
    );
    // The ledger verifies the proof itself, in case the policy was wrong.
    let events = stream.append(vec![release(proof, &[])]);
    let refused = matches!(events[..], [LedgerEvent::ReleaseRefused { .. }]);
    assert_eq!(refused, !released);
    let remaining = stream.ledger.account(&budget()).unwrap().remaining_tokens;
    assert_eq!(remaining, Tokens(if released { 1_000 } else { 400 }));
}

#[test]
fn a_late_announce_of_an_older_process_is_no_proof_against_the_newer_one() {
    let mut stream = Stream::new(1_000);
    // The older process of the VM sent its announce to a paused batcher and then ended.
    let mut older = support::wallet(2, "i-1");
    let announce = older.outbox_mut().take_unsent(1);
    let newer = stream.announced_wallet(1, "i-1", 600);
    stream.append(announce);
    let decision = ReleasePolicy::default().decide(&stream.ledger, newer.incarnation(), &facts());
    assert!(!matches!(
        decision,
        ReleaseDecision::Fence(FenceEvidence::Superseded(_))
    ));
    stream.append(vec![fence()]);
    let proof = ReleaseProof::Successor(older.incarnation());
    let events = stream.append(vec![release(proof, &[])]);
    assert!(matches!(events[..], [LedgerEvent::ReleaseRefused { .. }]));
}

#[test]
fn a_release_waits_for_all_journals_and_their_records() {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence()]);
    let policy = ReleasePolicy::default();
    let gone = ReleaseFacts {
        listed: ListedState::Gone,
        ..facts()
    };
    let silent = ReleaseFacts {
        missing_journals: vec![IncarnationId(3)],
        ..gone.clone()
    };
    assert_eq!(
        policy.decide(&stream.ledger, HOLDER, &silent),
        ReleaseDecision::WaitForJournals
    );
    let unread = ReleaseFacts {
        last_journaled: Sequence(3),
        ..gone
    };
    assert_eq!(
        policy.decide(&stream.ledger, HOLDER, &unread),
        ReleaseDecision::WaitForRecords
    );
}

#[test]
fn replacing_every_vm_at_once_keeps_grants_held_until_journals_or_an_operator_respond() {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.announced_wallet(2, "i-2", 300);
    stream.append(vec![fence()]);
    let missing_journals = vec![IncarnationId(2)];
    let facts = ReleaseFacts {
        listed: ListedState::Gone,
        missing_journals,
        ..facts()
    };
    let decision = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts);
    assert_eq!(decision, ReleaseDecision::WaitForJournals);
    stream.append(vec![release(ReleaseProof::Operator, &[])]);
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().remaining_tokens,
        Tokens(700)
    );
}

#[test]
fn open_reservations_stay_held_until_their_bill_is_known() {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence(), release(gone("i-1"), &[(7, 100), (8, 50)])]);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.held_tokens, account.remaining_tokens),
        (Tokens(150), Tokens(850))
    );

    // A retry on another node bills the first request, so the tokens retained for it are returned.
    let mut other = stream.announced_wallet(2, "i-2", 100);
    let reservation = other.reserve(&budget(), Tokens(80), stream.now_ms).unwrap();
    other.settle(reservation, BillId(7), Tokens(60), stream.now_ms);
    stream.sync(&mut other);
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().held_tokens,
        Tokens(50)
    );

    // A second release does not return the tokens retained for the second request; its late bill is
    // paid from them.
    stream.append(vec![release(gone("i-1"), &[])]);
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().held_tokens,
        Tokens(50)
    );
    let late = LedgerRecord::Settle {
        incarnation: HOLDER,
        sequence: Sequence(3),
        entries: vec![toucan_ledger::SettleEntry {
            budget: budget(),
            bills: vec![toucan_ledger::Bill {
                id: BillId(8),
                tokens: Tokens(40),
                admitted_at_ms: stream.now_ms,
            }],
            returned_tokens: Tokens(500),
        }],
    };
    stream.append(vec![late]);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(account.spent_tokens, Tokens(100));
    assert_eq!(account.held_tokens, Tokens(0));
}
