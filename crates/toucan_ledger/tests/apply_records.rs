//! Applying funds, bills, claims and repeated records to the ledger.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use support::{Stream, budget, fund, wallet};
use test_case::test_case;
use toucan_ledger::{
    Bill, IntentKey, LedgerEvent, LedgerRecord, LedgerSettings, ReserveError, SettleEntry,
};
use toucan_types::{BillId, IncarnationId, Sequence, Tokens};

const WINDOW_MS: u64 = 3_600_000;

fn settlement(sequence: u64, bill: u128, tokens: u64, admitted_at_ms: u64) -> LedgerRecord {
    LedgerRecord::Settle {
        incarnation: IncarnationId(1),
        sequence: Sequence(sequence),
        entries: vec![SettleEntry {
            budget: budget(),
            bills: vec![Bill {
                id: BillId(bill),
                tokens: Tokens(tokens),
                admitted_at_ms,
            }],
            returned_tokens: Tokens::ZERO,
        }],
    }
}

#[test]
fn a_reduction_is_taken_from_remaining_tokens_and_then_from_returned_tokens() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![fund(2, 300)]);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.remaining_tokens, account.cut_owed_tokens),
        (Tokens(0), Tokens(300))
    );
    let reservation = holder
        .reserve(&budget(), Tokens(200), stream.now_ms)
        .unwrap();
    holder.settle(reservation, BillId(1), Tokens(200), stream.now_ms);
    holder.shut_down().unwrap();
    stream.sync(&mut holder);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.remaining_tokens, account.cut_owed_tokens),
        (Tokens(100), Tokens(0))
    );
    assert_eq!(account.purchased_tokens, Tokens(300));
}

#[test_case(1, 5_000, 1_000; "the same version again changes nothing")]
#[test_case(2, 5_000, 5_000; "a later version is applied")]
fn a_fund_is_idempotent_by_version(version: u64, total: u64, expected: u64) {
    let mut stream = Stream::new(1_000);
    stream.append(vec![fund(version, total)]);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(account.remaining_tokens, Tokens(expected));
}

#[test]
fn the_first_fund_is_applied_whatever_its_version() {
    let mut ledger = toucan_ledger::Ledger::new(LedgerSettings::default());
    let records = vec![fund(0, 700)];
    let batch = toucan_ledger::RecordBatch {
        writer: IncarnationId(1),
        number: 0,
        records,
    };
    ledger
        .apply(toucan_types::Offset(0), 1, &batch.encode().unwrap())
        .unwrap();
    assert_eq!(
        ledger.account(&budget()).unwrap().remaining_tokens,
        Tokens(700)
    );
}

#[test]
fn both_routers_of_a_retried_request_bill_it_once() {
    let mut stream = Stream::new(1_000);
    let mut first = stream.announced_wallet(1, "i-1", 300);
    let mut second = stream.announced_wallet(2, "i-2", 300);
    for wallet in [&mut first, &mut second] {
        let reservation = wallet
            .reserve(&budget(), Tokens(200), stream.now_ms)
            .unwrap();
        wallet.settle(reservation, BillId(7), Tokens(120), stream.now_ms);
        stream.sync(wallet);
    }
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.spent_tokens, account.remaining_tokens),
        (Tokens(120), Tokens(520))
    );
}

#[test_case(WINDOW_MS / 2, false; "a bill at the limit is spent")]
#[test_case(WINDOW_MS / 2 + 1, true; "a bill past the limit is disputed")]
fn a_bill_too_old_to_deduplicate_is_held(late_ms: u64, disputed: bool) {
    assert_eq!(LedgerSettings::default().bill_window_ms, WINDOW_MS);
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    let admitted_at_ms = stream.now_ms;
    stream.now_ms += late_ms - 10;
    stream.append(vec![settlement(3, 1, 100, admitted_at_ms)]);
    let account = stream.ledger.account(&budget()).unwrap();
    let (spent, held) = if disputed { (0, 100) } else { (100, 0) };
    assert_eq!(
        (account.spent_tokens, account.disputed_tokens),
        (Tokens(spent), Tokens(held))
    );
}

#[test]
fn a_retry_within_half_a_window_is_deduplicated_even_if_its_bill_is_as_late_as_allowed() {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![settlement(3, 1, 100, stream.now_ms)]);
    stream.now_ms += WINDOW_MS / 2;
    let retried_at_ms = stream.now_ms;
    stream.now_ms += WINDOW_MS / 2 - 10;
    stream.append(vec![settlement(4, 1, 100, retried_at_ms)]);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.spent_tokens, account.disputed_tokens),
        (Tokens(100), Tokens(0))
    );
}

#[test]
fn old_bill_ids_are_dropped() {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    stream.append(vec![settlement(3, 1, 100, stream.now_ms)]);
    assert_eq!(stream.ledger.remembered_bills(), 1);
    stream.now_ms += 2 * WINDOW_MS;
    stream.append(vec![fund(2, 2_000)]);
    assert_eq!(stream.ledger.remembered_bills(), 0);
}

#[test]
fn a_repeated_record_is_applied_once_and_a_record_after_a_gap_once_the_gap_is_filled() {
    let mut stream = Stream::new(1_000);
    stream.announced_wallet(1, "i-1", 600);
    let now_ms = stream.now_ms;
    let events = stream.append(vec![settlement(4, 2, 50, now_ms)]);
    assert!(matches!(
        events[..],
        [LedgerEvent::Gap {
            expected: Sequence(3),
            ..
        }]
    ));
    let both = vec![settlement(3, 1, 100, now_ms), settlement(4, 2, 50, now_ms)];
    stream.append(both.clone());
    let events = stream.append(both);
    assert!(matches!(
        events[..],
        [LedgerEvent::Duplicate { .. }, LedgerEvent::Duplicate { .. }]
    ));
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().spent_tokens,
        Tokens(150)
    );
}

#[test]
fn a_draw_of_an_incarnation_that_was_not_announced_grants_nothing() {
    let mut stream = Stream::new(1_000);
    let mut wallet = wallet(1, "i-1");
    wallet.draw(&budget(), Tokens(500), 0);
    let records = wallet.outbox_mut().take_unsent(10);
    let events = stream.append(records[1..].to_vec());
    assert!(matches!(
        events[..],
        [LedgerEvent::Gap {
            expected: Sequence(1),
            ..
        }]
    ));
    // When appended again after its announce, the draw is granted.
    stream.append(records);
    stream.read_back(&mut wallet);
    assert_eq!(wallet.available(&budget()), Tokens(500));
}

#[test]
fn a_bill_is_capped_at_the_reservation() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 300);
    let reservation = holder
        .reserve(&budget(), Tokens(200), stream.now_ms)
        .unwrap();
    holder.settle(reservation, BillId(1), Tokens(900), stream.now_ms);
    stream.sync(&mut holder);
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().spent_tokens,
        Tokens(200)
    );
    let short = ReserveError::NoGrant {
        missing_tokens: Tokens(50),
    };
    assert_eq!(
        holder.reserve(&budget(), Tokens(150), stream.now_ms),
        Err(short)
    );
}

#[test]
fn only_the_first_claim_of_a_call_may_dispatch_it() {
    let key = IntentKey(5);
    let mut stream = Stream::new(1_000);
    let mut first = stream.announced_wallet(1, "i-1", 0);
    let mut second = stream.announced_wallet(2, "i-2", 0);
    first.claim(key).unwrap();
    second.claim(key).unwrap();
    let events = stream.sync(&mut second);
    assert!(matches!(events[..], [LedgerEvent::IntentFirst { .. }]));
    let events = stream.sync(&mut first);
    let owner = Some(IncarnationId(2));
    assert!(matches!(events[..], [LedgerEvent::IntentLost { owner: o, .. }] if o == owner));
    assert_eq!(stream.ledger.intent(key).unwrap().outcome, None);
    // Only the owner of the claim can record the outcome, and only once.
    first.record_claim_outcome(key, 1, 500);
    assert_eq!(stream.sync(&mut first), []);
    second.record_claim_outcome(key, 77, 200);
    stream.sync(&mut second);
    assert_eq!(
        stream.ledger.intent(key).unwrap().outcome.unwrap().digest,
        77
    );
}

#[test]
fn a_fenced_incarnation_may_not_claim() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 0);
    holder.claim(IntentKey(5)).unwrap();
    let evidence = toucan_ledger::FenceEvidence::Operator;
    stream.append(vec![LedgerRecord::Fence {
        incarnation: IncarnationId(1),
        evidence,
    }]);
    let events = stream.sync(&mut holder);
    assert!(matches!(
        events[..],
        [LedgerEvent::IntentLost { owner: None, .. }]
    ));
}

#[test_case(40, 70, 70; "a retry that delivers more adds the difference")]
#[test_case(70, 40, 70; "a smaller later bill adds nothing")]
#[test_case(70, 70, 70; "the same bill again adds nothing")]
fn a_request_costs_its_largest_bill(first: u64, second: u64, spent: u64) {
    let mut stream = Stream::new(1_000);
    let mut holders = [
        stream.announced_wallet(1, "i-1", 300),
        stream.announced_wallet(2, "i-2", 300),
    ];
    for (holder, tokens) in holders.iter_mut().zip([first, second]) {
        let reserved = holder.reserve(&budget(), Tokens(100), stream.now_ms);
        holder.settle(reserved.unwrap(), BillId(9), Tokens(tokens), stream.now_ms);
        holder.flush().unwrap();
        stream.sync(holder);
    }
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(account.spent_tokens, Tokens(spent));
    for holder in &mut holders {
        holder.shut_down().unwrap();
        stream.sync(holder);
    }
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(account.remaining_tokens, Tokens(1_000 - spent));
}
