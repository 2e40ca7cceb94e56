//! Loans between gateways are never doubled, and lost datagrams bring them back.

use test_case::test_case;
use toucan_gateway::peers::{Datagram, DatagramError, Lending, PeerMessage, loan_size};
use toucan_types::{OrganisationName, Tokens, VmName};

fn names() -> (OrganisationName, VmName) {
    (OrganisationName::from("o"), VmName::from("lender"))
}

#[test]
fn a_loan_counts_once() {
    let (organisation, lender) = names();
    let mut lending = Lending::default();
    let (id, _tokens) = lending.ask(&organisation, &lender, 7, Tokens(100));
    assert!(lending.accept(id, &organisation, &lender, 7));
    assert!(!lending.accept(id, &organisation, &lender, 7));
}

#[test]
fn a_loan_of_another_start_of_the_lender_does_not_count() {
    let (organisation, lender) = names();
    let mut lending = Lending::default();
    let (id, _tokens) = lending.ask(&organisation, &lender, 7, Tokens(100));
    assert!(!lending.accept(id, &organisation, &lender, 8));
}

#[test]
fn an_unanswered_request_is_repeated_with_its_number() {
    let (organisation, lender) = names();
    let mut lending = Lending::default();
    let first = lending.ask(&organisation, &lender, 7, Tokens(100));
    assert_eq!(lending.ask(&organisation, &lender, 7, Tokens(900)), first);
    assert_ne!(
        lending.ask(&organisation, &lender, 8, Tokens(900)).0,
        first.0
    );
}

#[test]
fn a_repeated_request_gets_the_same_loan() {
    let (_organisation, asker) = names();
    let mut lending = Lending::default();
    let (id, _tokens) = Lending::default().ask(&names().0, &asker, 1, Tokens(5));
    let key = (asker, 3, id);
    assert_eq!(lending.previous_loan(&key), None);
    lending.record_loan(key.clone(), Tokens(40));
    assert_eq!(lending.previous_loan(&key), Some(Tokens(40)));
}

#[test]
fn rounds_reach_all_peers_in_turn() {
    let organisation = names().0;
    let mut lending = Lending::default();
    let mut asked = std::collections::BTreeSet::new();
    for round in 0..4 {
        asked.extend(lending.next_round(&organisation, 10, 1_000 + round * 100));
    }
    assert_eq!(asked.len(), 10);
    assert!(
        lending.next_round(&organisation, 10, 1_301).is_empty(),
        "asked just before"
    );
}

#[test_case(100, 1_000, 0.0 => 100; "an idle lender gives all that is asked for")]
#[test_case(900, 1_000, 0.0 => 500; "but no more than half")]
#[test_case(100, 1_000, 900.0 => 100; "a busy one still gives a little")]
#[test_case(100, 0, 0.0 => 0; "nothing is lent of nothing")]
fn size(asked: u64, available: u64, rate_per_s: f64) -> u64 {
    loan_size(Tokens(asked), Tokens(available), rate_per_s).0
}

#[test]
fn datagrams_are_authenticated() {
    let key = [7; 32];
    let datagram = Datagram {
        vm: VmName::from("a"),
        start: 5,
        message: PeerMessage::Load(Vec::new()),
    };
    let bytes = datagram.encode(&key).expect("it can be encoded");
    assert_eq!(
        Datagram::decode(&bytes, |_vm, _start| Some(key)),
        Ok(datagram)
    );

    let mut changed = bytes.clone();
    if let Some(last) = changed.last_mut() {
        *last ^= 1;
    }
    assert!(Datagram::decode(&changed, |_vm, _start| Some(key)).is_err());
    let other = Datagram::decode(&bytes, |_vm, _start| Some([8; 32]));
    assert_eq!(other, Err(DatagramError::NotAuthentic));
    let unknown = Datagram::decode(&bytes, |_vm, _start| None);
    assert_eq!(unknown, Err(DatagramError::UnknownSender));
    assert_eq!(
        Datagram::decode(&bytes[..3], |_vm, _start| Some(key)),
        Err(DatagramError::TooShort)
    );
}
