//! Tests that loans between gateways count once and are recovered when datagrams are lost.

use test_case::test_case;
use toucan_gateway::peers::{Datagram, DatagramError, Lending, LoadReport, PeerMessage, loan_size};
use toucan_types::{OrganisationName, Tokens, VmName};

fn organisation_and_lender() -> (OrganisationName, VmName) {
    (OrganisationName::from("o"), VmName::from("lender"))
}

#[test]
fn loan_counts_once() {
    let (organisation, lender) = organisation_and_lender();
    let mut lending = Lending::default();
    let (id, _tokens) = lending.ask(&organisation, &lender, 7, Tokens(100), 0);
    assert!(lending.accept(id, &organisation, (&lender, 7), Tokens::ZERO, 0));
    assert!(!lending.accept(id, &organisation, (&lender, 7), Tokens::ZERO, 0));
}

#[test]
fn loan_from_another_start_of_the_lender_is_rejected() {
    let (organisation, lender) = organisation_and_lender();
    let mut lending = Lending::default();
    let (id, _tokens) = lending.ask(&organisation, &lender, 7, Tokens(100), 0);
    assert!(!lending.accept(id, &organisation, (&lender, 8), Tokens::ZERO, 0));
}

#[test]
fn unanswered_request_is_repeated_with_its_id() {
    let (organisation, lender) = organisation_and_lender();
    let mut lending = Lending::default();
    let first = lending.ask(&organisation, &lender, 7, Tokens(100), 0);
    assert_eq!(
        lending.ask(&organisation, &lender, 7, Tokens(900), 0),
        first
    );
    assert_ne!(
        lending.ask(&organisation, &lender, 8, Tokens(900), 0).0,
        first.0
    );
}

#[test]
fn repeated_request_gets_the_same_loan() {
    let (_organisation, borrower) = organisation_and_lender();
    let mut lending = Lending::default();
    let (id, _tokens) =
        Lending::default().ask(&organisation_and_lender().0, &borrower, 1, Tokens(5), 0);
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
        message: PeerMessage::Load(LoadReport::default()),
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

#[test]
fn cycle_asks_each_lender_once_and_then_pauses() {
    let (organisation, _lender) = organisation_and_lender();
    let mut lending = Lending::default();
    let mut asked = Vec::new();
    // Every answer arrives after 5 ms without tokens.
    for now_ms in (1_000..1_150).step_by(5) {
        for at in lending.next_round(&organisation, 8, now_ms) {
            let lender = VmName::from(format!("vm-{at}"));
            let (id, _tokens) = lending.ask(&organisation, &lender, 1, Tokens(10), now_ms);
            assert!(lending.accept(id, &organisation, (&lender, 1), Tokens::ZERO, 0));
            asked.push(at);
        }
    }
    assert_eq!(asked, (0..8).collect::<Vec<_>>());
    assert!(lending.is_cycle_over(&organisation, 1_150));
    assert!(!lending.is_cycle_over(&organisation, 2_000));
}

#[test]
fn next_lender_is_asked_when_the_first_one_does_not_answer() {
    let (organisation, lender) = organisation_and_lender();
    let mut lending = Lending::default();
    assert_eq!(lending.next_round(&organisation, 4, 1_000), [0]);
    lending.ask(&organisation, &lender, 1, Tokens(10), 1_000);
    assert!(lending.next_round(&organisation, 4, 1_010).is_empty());
    assert_eq!(lending.next_round(&organisation, 4, 1_030), [1, 2, 3]);
}

#[test]
fn silent_lender_is_asked_last_for_some_time() {
    let (organisation, lender) = organisation_and_lender();
    let other = VmName::from("other");
    let mut lending = Lending::default();
    lending.ask(&organisation, &lender, 1, Tokens(10), 1_000);

    let mut lenders = [lender.clone(), other.clone()];
    lending.reorder(&organisation, &mut lenders, 1_100);
    assert_eq!(lenders, [other.clone(), lender.clone()]);
    let mut lenders = [lender.clone(), other.clone()];
    lending.reorder(&organisation, &mut lenders, 2_500);
    assert_eq!(lenders, [lender, other]);
}

/// Guards against calls that are refused while the first lender has tokens left, because the calls before
/// them borrowed from it a moment ago and the rounds went on to lenders without tokens.
#[test]
fn lender_that_has_lent_all_that_was_asked_is_asked_again_at_once() {
    let organisation = organisation_and_lender().0;
    let mut lending = Lending::default();
    for now_ms in (1_000..1_500).step_by(10) {
        let usual_order: Vec<VmName> = ["empty", "full"].map(VmName::from).to_vec();
        let mut lenders = usual_order.clone();
        let mut has_borrowed = false;
        while !has_borrowed && !lending.is_cycle_over(&organisation, now_ms) {
            let chosen = lending.next_round(&organisation, lenders.len(), now_ms);
            lenders.clone_from(&usual_order);
            lending.reorder(&organisation, &mut lenders, now_ms);
            for lender in chosen.into_iter().map(|at| &lenders[at]) {
                let (id, asked) = lending.ask(&organisation, lender, 1, Tokens(10), now_ms);
                let has_tokens = *lender == usual_order[1];
                let lent = if has_tokens { asked } else { Tokens::ZERO };
                assert!(lending.accept(id, &organisation, (lender, 1), lent, now_ms));
                has_borrowed |= has_tokens;
            }
        }
        assert!(has_borrowed, "refused at {now_ms} ms");
    }
}
