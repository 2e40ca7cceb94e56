//! Transfers between nodes, with the sender's or the recipient's record applied first.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use support::{Stream, budget};
use test_case::test_case;
use toucan_ledger::{FenceEvidence, LedgerEvent, LedgerRecord, ReleaseProof, Wallet};
use toucan_types::{BillId, IncarnationId, Tokens};

const TAKER: IncarnationId = IncarnationId(2);

fn spend(wallet: &mut Wallet, id: u128, tokens: u64, now_ms: u64) {
    let reservation = wallet.reserve(&budget(), Tokens(tokens), now_ms).unwrap();
    wallet.settle(reservation, BillId(id), Tokens(tokens), now_ms);
}

#[test_case(true; "transfer record first")]
#[test_case(false; "receive record first")]
fn both_orders_of_the_halves_move_the_tokens_once(giver_first: bool) {
    let mut stream = Stream::new(1_000);
    let mut giver = stream.announced_wallet(1, "i-1", 600);
    let mut taker = stream.announced_wallet(2, "i-2", 0);
    let transfer = giver.transfer(&budget(), Tokens(250), TAKER).unwrap();
    assert!(taker.receive(&transfer));
    assert!(
        !taker.receive(&transfer),
        "a repeated transfer is not credited"
    );
    spend(&mut taker, 1, 100, stream.now_ms);
    if giver_first {
        stream.sync(&mut giver);
        // The log lists the transfer as not yet received, although the recipient has credited it.
        stream.read_back(&mut taker);
        stream.sync(&mut taker);
    } else {
        stream.sync(&mut taker);
        stream.sync(&mut giver);
    }
    stream.read_back(&mut taker);
    assert_eq!(giver.available(&budget()), Tokens(350));
    assert_eq!(taker.available(&budget()), Tokens(150));
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.outstanding_tokens, account.spent_tokens),
        (Tokens(500), Tokens(100))
    );
}

#[test]
fn a_lost_parcel_reaches_the_taker_through_the_log() {
    let mut stream = Stream::new(1_000);
    let mut giver = stream.announced_wallet(1, "i-1", 600);
    let mut taker = stream.announced_wallet(2, "i-2", 0);
    let late = giver.transfer(&budget(), Tokens(250), TAKER).unwrap();
    stream.sync(&mut giver);
    stream.read_back(&mut taker);
    assert_eq!(taker.available(&budget()), Tokens(250));
    assert!(
        !taker.receive(&late),
        "a late transfer is not credited twice"
    );
    stream.sync(&mut taker);
    stream.read_back(&mut taker);
    assert_eq!(taker.available(&budget()), Tokens(250));
}

#[test]
fn tokens_taken_from_a_neighbour_are_given_on_only_once_the_log_has_them() {
    let mut stream = Stream::new(1_000);
    let mut giver = stream.announced_wallet(1, "i-1", 600);
    let mut middle = stream.announced_wallet(2, "i-2", 0);
    let transfer = giver.transfer(&budget(), Tokens(250), TAKER).unwrap();
    middle.receive(&transfer);
    assert_eq!(
        middle.transfer(&budget(), Tokens(250), IncarnationId(3)),
        None
    );
    stream.sync(&mut middle);
    assert!(
        middle
            .transfer(&budget(), Tokens(250), IncarnationId(3))
            .is_some()
    );
}

#[test]
fn a_giver_that_dies_right_after_leaves_the_tokens_with_the_taker() {
    let mut stream = Stream::new(1_000);
    let mut giver = stream.announced_wallet(1, "i-1", 600);
    let mut taker = stream.announced_wallet(2, "i-2", 0);
    let transfer = giver.transfer(&budget(), Tokens(250), TAKER).unwrap();
    taker.receive(&transfer);
    spend(&mut taker, 1, 250, stream.now_ms);
    // The sender's record never reaches the log; its release follows the recipient's records.
    stream.sync(&mut taker);
    let incarnation = IncarnationId(1);
    let proof = ReleaseProof::InstanceGone {
        instance: "i-1".into(),
        listed_at_ms: 0,
    };
    stream.append(vec![
        LedgerRecord::Fence {
            incarnation,
            evidence: FenceEvidence::ListedAway,
        },
        LedgerRecord::Release {
            incarnation,
            proof,
            open_reservations: Vec::new(),
        },
    ]);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.spent_tokens, account.remaining_tokens),
        (Tokens(250), Tokens(750))
    );
    let events = stream.sync(&mut giver);
    assert!(matches!(events[..], [LedgerEvent::Late { .. }]));
}

#[test]
fn a_transfer_to_a_taker_that_has_ended_goes_back() {
    let mut stream = Stream::new(1_000);
    let mut giver = stream.announced_wallet(1, "i-1", 600);
    let mut taker = stream.announced_wallet(2, "i-2", 0);
    giver.transfer(&budget(), Tokens(250), TAKER).unwrap();
    taker.shut_down().unwrap();
    stream.sync(&mut taker);
    stream.sync(&mut giver);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.remaining_tokens, account.outstanding_tokens),
        (Tokens(650), Tokens(350))
    );
}
