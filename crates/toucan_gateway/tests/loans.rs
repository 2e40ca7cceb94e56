//! Tests that loans between gateways count once and are recovered when datagrams are lost.

use test_case::test_case;
use toucan_gateway::peers::{Datagram, DatagramError, Lending, PeerMessage, loan_size};
use toucan_types::{OrganisationName, Tokens, VmName};

fn organisation_and_lender() -> (OrganisationName, VmName) {
    (OrganisationName::from("o"), VmName::from("lender"))
}

#[test]
fn loan_counts_once() {
    let (organisation, lender) = organisation_and_lender();
    let mut lending = Lending::default();
    let (id, _tokens) = lending.ask(&organisation, &lender, 7, Tokens(100));
    assert!(lending.accept(id, &organisation, &lender, 7));
    assert!(!lending.accept(id, &organisation, &lender, 7));
}

#[test]
fn loan_from_another_start_of_the_lender_is_rejected() {
    let (organisation, lender) = organisation_and_lender();
    let mut lending = Lending::default();
    let (id, _tokens) = lending.ask(&organisation, &lender, 7, Tokens(100));
    assert!(!lending.accept(id, &organisation, &lender, 8));
}

#[test]
fn unanswered_request_is_repeated_with_its_id() {
    let (organisation, lender) = organisation_and_lender();
    let mut lending = Lending::default();
    let first = lending.ask(&organisation, &lender, 7, Tokens(100));
    assert_eq!(lending.ask(&organisation, &lender, 7, Tokens(900)), first);
    assert_ne!(
        lending.ask(&organisation, &lender, 8, Tokens(900)).0,
        first.0
    );
}

#[test]
fn repeated_request_gets_the_same_loan() {
    let (_organisation, borrower) = organisation_and_lender();
    let mut lending = Lending::default();
    let (id, _tokens) =
        Lending::default().ask(&organisation_and_lender().0, &borrower, 1, Tokens(5));
    let key = (borrower, 3, id);
    assert_eq!(lending.previous_loan(&key), None);
    lending.record_loan(key.clone(), Tokens(40));
    assert_eq!(lending.previous_loan(&key), Some(Tokens(40)));
}

#[test]
fn rounds_ask_all_peers_in_turn() {
    let organisation = organisation_and_lender().0;
    let mut lending = Lending::default();
    let mut asked = std::collections::BTreeSet::new();
    for round in 0..4 {
        asked.extend(lending.next_round(&organisation, 10, 1_000 + round * 100));
    }
    assert_eq!(asked.len(), 10);
    assert!(
        lending.next_round(&organisation, 10, 1_301).is_empty(),
        "the previous round was too recent"
    );
}

#[test_case(100, 1_000, 0.0 => 100; "an idle gateway lends all that is requested")]
#[test_case(900, 1_000, 0.0 => 500; "an idle gateway lends at most half")]
#[test_case(100, 1_000, 900.0 => 100; "a busy gateway still lends a small amount")]
#[test_case(100, 0, 0.0 => 0; "an empty wallet lends nothing")]
fn lent_tokens(requested: u64, available: u64, rate_per_s: f64) -> u64 {
    loan_size(Tokens(requested), Tokens(available), rate_per_s).0
}

#[test]
fn datagrams_are_authenticated() {
    let key = [7; 32];
    let datagram = Datagram {
        vm: VmName::from("a"),
        start: 5,
        message: PeerMessage::Load(Vec::new()),
    };
    let bytes = datagram.encode(&key).expect("the datagram can be encoded");
    assert_eq!(
        Datagram::decode(&bytes, |_vm, _start| Some(key)),
        Ok(datagram)
    );

    let mut tampered = bytes.clone();
    if let Some(last) = tampered.last_mut() {
        *last ^= 1;
    }
    assert!(Datagram::decode(&tampered, |_vm, _start| Some(key)).is_err());
    let wrong_key = Datagram::decode(&bytes, |_vm, _start| Some([8; 32]));
    assert_eq!(wrong_key, Err(DatagramError::NotAuthentic));
    let unknown_sender = Datagram::decode(&bytes, |_vm, _start| None);
    assert_eq!(unknown_sender, Err(DatagramError::UnknownSender));
    assert_eq!(
        Datagram::decode(&bytes[..3], |_vm, _start| Some(key)),
        Err(DatagramError::TooShort)
    );
}
