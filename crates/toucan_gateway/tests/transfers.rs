//! Tests that tokens which one gateway gives back to another count once.
//!
//! Guards against a repeated or delayed datagram that adds the same tokens to a wallet twice, which
//! would overspend the budget.

use toucan_gateway::peers::Transfers;
use toucan_types::{OrganisationName, Tokens, VmName};

/// Start of the receiving process.
const RECEIVER_START: u64 = 5;
/// Start of the sending process.
const SENDER_START: u64 = 9;

fn receiver() -> VmName {
    VmName::from("receiver")
}

fn sender() -> VmName {
    VmName::from("sender")
}

fn transfers_with_one_pending() -> Transfers {
    let mut transfers = Transfers::default();
    let organisation = OrganisationName::from("organisation");
    transfers.begin(receiver(), RECEIVER_START, organisation, Tokens(70));
    transfers
}

#[test]
fn transfer_is_repeated_until_it_is_acknowledged() {
    let mut sent = transfers_with_one_pending();
    assert!(!sent.is_idle(&receiver()));
    let first = sent.to_send(|_vm| Some(RECEIVER_START));
    assert_eq!(sent.to_send(|_vm| Some(RECEIVER_START)), first);

    let id = first[0].1.id;
    sent.acknowledge(&VmName::from("another"), id);
    assert!(!sent.is_complete(), "only its receiver can acknowledge it");
    sent.acknowledge(&receiver(), id);
    assert!(sent.is_complete());
    assert!(sent.to_send(|_vm| Some(RECEIVER_START)).is_empty());
}

#[test]
fn repeated_transfer_counts_once() {
    let mut sent = transfers_with_one_pending();
    let id = sent.to_send(|_vm| Some(RECEIVER_START))[0].1.id;
    let mut received = Transfers::default();
    assert!(received.accept(&sender(), SENDER_START, id));
    assert!(!received.accept(&sender(), SENDER_START, id));
}

#[test]
fn delayed_copy_of_an_earlier_transfer_does_not_count() {
    let mut sent = transfers_with_one_pending();
    let first = sent.to_send(|_vm| Some(RECEIVER_START))[0].1.id;
    sent.acknowledge(&receiver(), first);
    let organisation = OrganisationName::from("organisation");
    sent.begin(receiver(), RECEIVER_START, organisation, Tokens(30));
    let second = sent.to_send(|_vm| Some(RECEIVER_START))[0].1.id;

    let mut received = Transfers::default();
    assert!(received.accept(&sender(), SENDER_START, first));
    assert!(received.accept(&sender(), SENDER_START, second));
    assert!(!received.accept(&sender(), SENDER_START, first));
}

#[test]
fn transfer_of_a_restarted_sender_counts() {
    let id = transfers_with_one_pending().to_send(|_vm| Some(RECEIVER_START))[0]
        .1
        .id;
    let mut received = Transfers::default();
    assert!(received.accept(&sender(), SENDER_START, id));
    assert!(received.accept(&sender(), SENDER_START + 1, id));
    let is_counted_again = received.accept(&sender(), SENDER_START, id);
    assert!(
        !is_counted_again,
        "a copy of the earlier start's transfer is late"
    );
}

#[test]
fn transfer_to_a_process_that_has_ended_is_given_up() {
    let mut sent = transfers_with_one_pending();
    assert!(sent.to_send(|_vm| Some(RECEIVER_START + 1)).is_empty());
    assert!(sent.is_complete());
}
