//! Fences, holds and releases, above all of a holder that was paused and does not know.

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
fn a_paused_holder_that_wakes_after_its_fence_spends_only_what_is_held() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence()]);
    // Silence for an hour is no proof, however long it lasts.
    let verdict = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts());
    assert_eq!(verdict, ReleaseDecision::WaitForProof);
    let mut other = stream.announced_wallet(2, "i-2", 1_000);
    assert_eq!(other.available(&budget()), Tokens(400));

    // The holder wakes, has read nothing back yet, and finishes a request from its grant.
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
    // Reading back told it: no request is admitted any more, and the rest goes home.
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
    ReleaseDecision::Release(ReleaseProof::InstanceGone { instance: "i-1".into(), listed_at_ms: 0 });
    "a destroyed instance"
)]
fn only_a_destroyed_instance_is_released_by_the_list(
    listed: ListedState,
    expected: ReleaseDecision,
) {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence()]);
    let facts = ReleaseFacts { listed, ..facts() };
    let verdict = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts);
    assert_eq!(verdict, expected);
}

#[test_case("i-1", true; "the same instance proves that the old process is gone")]
#[test_case("i-9", false; "another instance under the same name proves nothing")]
fn a_successor_counts_only_on_the_same_instance(instance: &str, released: bool) {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fence()]);
    let mut successor = stream.announced_wallet(2, instance, 0);
    stream.sync(&mut successor);
    let verdict = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts());
    let proof = ReleaseProof::Successor(IncarnationId(2));
    assert_eq!(verdict == ReleaseDecision::Release(proof.clone()), released);
    // The fold does not take the word of a wrong judge.
    let events = stream.append(vec![release(proof, &[])]);
    let refused = matches!(events[..], [LedgerEvent::ReleaseRefused { .. }]);
    assert_eq!(refused, !released);
    let remaining = stream.ledger.account(&budget()).unwrap().remaining_tokens;
    assert_eq!(remaining, Tokens(if released { 1_000 } else { 400 }));
}

#[test]
fn a_late_announce_of_an_older_process_is_no_proof_against_the_newer_one() {
    let mut stream = Stream::new(1_000);
    // The older process of the VM sent its announce to a batcher that was paused, and died.
    let mut older = support::wallet(2, "i-1");
    let announce = older.outbox_mut().take_unsent(1);
    let newer = stream.announced_wallet(1, "i-1", 600);
    stream.append(announce);
    let verdict = ReleasePolicy::default().decide(&stream.ledger, newer.incarnation(), &facts());
    assert!(!matches!(
        verdict,
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
fn every_vm_replaced_at_once_leaves_the_grants_held_until_journals_or_an_operator_answer() {
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
    let verdict = ReleasePolicy::default().decide(&stream.ledger, HOLDER, &facts);
    assert_eq!(verdict, ReleaseDecision::WaitForJournals);
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

    // A retry elsewhere bills the first from another grant: what was kept for it goes home.
    let mut other = stream.announced_wallet(2, "i-2", 100);
    let reservation = other.reserve(&budget(), Tokens(80), stream.now_ms).unwrap();
    other.settle(reservation, BillId(7), Tokens(60), stream.now_ms);
    stream.sync(&mut other);
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().held_tokens,
        Tokens(50)
    );

    // A second release brings nothing of the other back; its late bill is paid from it.
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
