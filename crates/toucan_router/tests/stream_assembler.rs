//! Each token once and in order, over any mix of attempts.

use proptest::prelude::*;
use toucan_router::{OfferOutcome, StreamAssembler, StreamFault};
use toucan_types::RequestId;

fn own() -> RequestId {
    RequestId::from("r-1")
}

#[test]
fn a_token_of_another_request_is_refused() {
    let mut answer = StreamAssembler::new(own(), 4);
    let fault = answer.offer(&"r-2".into(), 0, "x").unwrap_err();
    assert!(matches!(fault, StreamFault::OtherRequest { .. }));
    assert!(answer.end(&"r-2".into(), 0).is_err());
    assert_eq!(answer.take(), None);
    assert!(!answer.is_complete());
}

#[test]
fn what_is_held_is_bounded_and_the_gap_is_known() {
    let mut answer = StreamAssembler::new(own(), 2);
    for index in [5, 7] {
        assert_eq!(
            answer.offer(&own(), index, index),
            Ok(OfferOutcome::Buffered)
        );
    }
    let fault = answer.offer(&own(), 9, 9).unwrap_err();
    assert_eq!(
        fault,
        StreamFault::TooFarAhead {
            index: 9,
            most_held: 2
        }
    );
    assert_eq!(answer.gap(), Some(0..5));
    // The next token is always taken, or a full answer could never go on.
    assert_eq!(answer.offer(&own(), 0, 0), Ok(OfferOutcome::Ready));
    assert_eq!(answer.take(), Some((0, 0)));
    assert_eq!(answer.gap(), Some(1..5));
}

#[test]
fn ends_that_contradict_are_found() {
    let mut answer = StreamAssembler::new(own(), 4);
    answer.offer(&own(), 2, "c").unwrap();
    assert!(answer.end(&own(), 2).is_err());
    answer.end(&own(), 3).unwrap();
    answer.end(&own(), 3).unwrap();
    assert_eq!(
        answer.end(&own(), 4),
        Err(StreamFault::TwoEnds {
            first: 3,
            second: 4
        })
    );
    assert!(answer.offer(&own(), 3, "d").is_err());
}

#[test]
fn a_takeover_starts_where_the_caller_is() {
    let mut answer = StreamAssembler::new(own(), 4).starting_at(2);
    assert_eq!(answer.offer(&own(), 1, "b"), Ok(OfferOutcome::Duplicate));
    assert_eq!(answer.offer(&own(), 2, "c"), Ok(OfferOutcome::Ready));
    answer.end(&own(), 3).unwrap();
    assert_eq!(answer.take(), Some((2, "c")));
    assert!(answer.is_complete());
}

proptest! {
    /// Attempts that each deliver a run of tokens, interleaved at will, then one whole replay.
    #[test]
    fn each_token_once_and_in_order(
        tokens in 1..40_u64,
        attempts in proptest::collection::vec((0..40_u64, 0..40_u64), 0..6),
        order in any::<u64>(),
    ) {
        let mut arrivals: Vec<u64> = attempts
            .iter()
            .flat_map(|(from, count)| (*from..from + count).filter(|index| *index < tokens))
            .collect();
        let count = arrivals.len() as u64;
        arrivals.sort_by_key(|index| (index * 31 + order) % (count + 7));
        arrivals.extend(0..tokens);
        let mut answer = StreamAssembler::new(own(), 8);
        let mut taken = Vec::new();
        for index in arrivals {
            match answer.offer(&own(), index, index) {
                Ok(_) | Err(StreamFault::TooFarAhead { .. }) => {}
                Err(fault) => prop_assert!(false, "{}", fault),
            }
            taken.extend(std::iter::from_fn(|| answer.take()));
        }
        answer.end(&own(), tokens).expect("all tokens lie before the end");
        prop_assert!(answer.is_complete());
        let expected: Vec<_> = (0..tokens).map(|index| (index, index)).collect();
        prop_assert_eq!(taken, expected);
    }
}
