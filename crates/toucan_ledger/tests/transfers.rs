//! Transfers between nodes, with the sender's or the recipient's record applied first.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use support::{Stream, budget};
use test_case::test_case;
use toucan_ledger::{FenceEvidence, LedgerEvent, LedgerRecord, ReleaseProof, Wallet};
use toucan_types::{BillId, IncarnationId, Tokens};

const RECIPIENT: IncarnationId = IncarnationId(2);

fn spend(wallet: &mut Wallet, id: u128, tokens: u64, now_ms: u64) {
    let reservation = wallet.reserve(&budget(), Tokens(tokens), now_ms).unwrap();
    wallet.settle(reservation, BillId(id), Tokens(tokens), now_ms);
}

#[test_case(true; "transfer record first")]
#[test_case(false; "receive record first")]
fn tokens_move_once_in_either_order_of_the_two_records(sender_first: bool) {
    let mut stream = Stream::new(1_000);
    let mut sender = stream.announced_wallet(1, "i-1", 600);
    let mut recipient = stream.announced_wallet(2, "i-2", 0);
    let transfer = sender.transfer(&budget(), Tokens(250), RECIPIENT).unwrap();
    assert!(recipient.receive(&transfer));
    assert!(
        !recipient.receive(&transfer),
        "a repeated transfer is not credited"
    );
    spend(&mut recipient, 1, 100, stream.now_ms);
    if sender_first {
        stream.sync(&mut sender);
        // The log lists the transfer as not yet received, although the recipient has credited it.
        stream.read_back(&mut recipient);
        stream.sync(&mut recipient);
    } else {
        stream.sync(&mut recipient);
        stream.sync(&mut sender);
    }
    stream.read_back(&mut recipient);
    assert_eq!(sender.available(&budget()), Tokens(350));
    assert_eq!(recipient.available(&budget()), Tokens(150));
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.outstanding_tokens, account.spent_tokens),
        (Tokens(500), Tokens(100))
    );
}

#[test]
fn a_lost_transfer_reaches_the_recipient_through_the_log() {
    let mut stream = Stream::new(1_000);
    let mut sender = stream.announced_wallet(1, "i-1", 600);
    let mut recipient = stream.announced_wallet(2, "i-2", 0);
    let late = sender.transfer(&budget(), Tokens(250), RECIPIENT).unwrap();
    stream.sync(&mut sender);
    stream.read_back(&mut recipient);
    assert_eq!(recipient.available(&budget()), Tokens(250));
    assert!(
        !recipient.receive(&late),
        "a late transfer is not credited twice"
    );
    stream.sync(&mut recipient);
    stream.read_back(&mut recipient);
    assert_eq!(recipient.available(&budget()), Tokens(250));
}

#[test]
fn received_tokens_are_transferable_only_once_the_receipt_is_applied() {
    let mut stream = Stream::new(1_000);
    let mut sender = stream.announced_wallet(1, "i-1", 600);
    let mut relay = stream.announced_wallet(2, "i-2", 0);
    let transfer = sender.transfer(&budget(), Tokens(250), RECIPIENT).unwrap();
    relay.receive(&transfer);
    assert_eq!(
        relay.transfer(&budget(), Tokens(250), IncarnationId(3)),
        None
    );
    stream.sync(&mut relay);
    assert!(
        relay
            .transfer(&budget(), Tokens(250), IncarnationId(3))
            .is_some()
    );
}

#[test]
fn the_recipient_keeps_the_tokens_if_the_sender_crashes() {
    let mut stream = Stream::new(1_000);
    let mut sender = stream.announced_wallet(1, "i-1", 600);
    let mut recipient = stream.announced_wallet(2, "i-2", 0);
    let transfer = sender.transfer(&budget(), Tokens(250), RECIPIENT).unwrap();
    recipient.receive(&transfer);
    spend(&mut recipient, 1, 250, stream.now_ms);
    // The sender's record never reaches the log; its release follows the recipient's records.
    stream.sync(&mut recipient);
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
    let events = stream.sync(&mut sender);
    assert!(matches!(events[..], [LedgerEvent::Late { .. }]));
}

#[test]
fn a_transfer_to_an_ended_recipient_is_returned() {
    let mut stream = Stream::new(1_000);
    let mut sender = stream.announced_wallet(1, "i-1", 600);
    let mut recipient = stream.announced_wallet(2, "i-2", 0);
    sender.transfer(&budget(), Tokens(250), RECIPIENT).unwrap();
    recipient.shut_down().unwrap();
    stream.sync(&mut recipient);
    stream.sync(&mut sender);
    let account = stream.ledger.account(&budget()).unwrap();
    assert_eq!(
        (account.remaining_tokens, account.outstanding_tokens),
        (Tokens(650), Tokens(350))
    );
}
