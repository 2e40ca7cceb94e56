//! Tests of the stream assembler: each token once and in order, for any mix of attempts.

use proptest::prelude::*;
use toucan_router::{AssemblyError, OfferOutcome, StreamAssembler};
use toucan_types::RequestId;

fn own_request() -> RequestId {
    RequestId::from("r-1")
}

#[test]
fn a_token_of_another_request_is_rejected() {
    let mut answer = StreamAssembler::new(own_request(), 4);
    let error = answer.offer(&"r-2".into(), 0, "x").unwrap_err();
    assert!(matches!(error, AssemblyError::OtherRequest { .. }));
    assert!(answer.set_end(&"r-2".into(), 0).is_err());
    assert_eq!(answer.take(), None);
    assert!(!answer.is_complete());
}

#[test]
fn the_buffer_is_bounded_and_the_gap_is_known() {
    let mut answer = StreamAssembler::new(own_request(), 2);
    for index in [5, 7] {
        assert_eq!(
            answer.offer(&own_request(), index, index),
            Ok(OfferOutcome::Buffered)
        );
    }
    let error = answer.offer(&own_request(), 9, 9).unwrap_err();
    assert_eq!(
        error,
        AssemblyError::TooFarAhead {
            index: 9,
            max_buffered: 2
        }
    );
    assert_eq!(answer.gap(), Some(0..5));
    // The next token is always accepted. Otherwise a full buffer would block the answer forever.
    assert_eq!(answer.offer(&own_request(), 0, 0), Ok(OfferOutcome::Ready));
    assert_eq!(answer.take(), Some((0, 0)));
    assert_eq!(answer.gap(), Some(1..5));
}

#[test]
fn conflicting_ends_are_rejected() {
    let mut answer = StreamAssembler::new(own_request(), 4);
    answer.offer(&own_request(), 2, "c").unwrap();
    assert!(answer.set_end(&own_request(), 2).is_err());
    answer.set_end(&own_request(), 3).unwrap();
    answer.set_end(&own_request(), 3).unwrap();
    assert_eq!(
        answer.set_end(&own_request(), 4),
        Err(AssemblyError::ConflictingEnds {
            first: 3,
            second: 4
        })
    );
    assert!(answer.offer(&own_request(), 3, "d").is_err());
}

#[test]
fn a_stream_may_start_at_a_later_token() {
    let mut answer = StreamAssembler::new(own_request(), 4).starting_at(2);
    assert_eq!(
        answer.offer(&own_request(), 1, "b"),
        Ok(OfferOutcome::Duplicate)
    );
    assert_eq!(
        answer.offer(&own_request(), 2, "c"),
        Ok(OfferOutcome::Ready)
    );
    answer.set_end(&own_request(), 3).unwrap();
    assert_eq!(answer.take(), Some((2, "c")));
    assert!(answer.is_complete());
}

proptest! {
    /// Several attempts each deliver a range of tokens, interleaved, followed by a complete replay.
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
        let mut answer = StreamAssembler::new(own_request(), 8);
        let mut taken = Vec::new();
        for index in arrivals {
            match answer.offer(&own_request(), index, index) {
                Ok(_) | Err(AssemblyError::TooFarAhead { .. }) => {}
                Err(error) => prop_assert!(false, "{}", error),
            }
            taken.extend(std::iter::from_fn(|| answer.take()));
        }
        answer.set_end(&own_request(), tokens).expect("all tokens lie before the end");
        prop_assert!(answer.is_complete());
        let expected: Vec<_> = (0..tokens).map(|index| (index, index)).collect();
        prop_assert_eq!(taken, expected);
    }
}
