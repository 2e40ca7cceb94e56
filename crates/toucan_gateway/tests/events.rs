//! Streams are split at whole events, wherever the bytes are cut.

use proptest::prelude::*;
use toucan_gateway::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n";

proptest! {
    #[test]
    fn any_cuts_give_the_same_events(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut from = 0;
        for cut in cuts {
            if let Some(whole) = splitter.push(&STREAM[from..cut]) {
                prop_assert!(whole.ends_with(b"\n\n"));
                passed.extend_from_slice(&whole);
            }
            from = cut;
        }
        prop_assert_eq!(passed, STREAM.to_vec());
        prop_assert_eq!(splitter.events(), 3);
        prop_assert_eq!(splitter.last_id(), Some("3"));
    }
}

#[test]
fn a_part_of_an_event_is_not_passed_on() {
    let mut splitter = EventSplitter::default();
    let whole = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("one event is whole");
    assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    splitter.discard_partial();
    assert_eq!(splitter.last_id(), Some("1"));
    let whole = splitter
        .push(b"id: 2\ndata: b\n\n")
        .expect("another target goes on");
    assert_eq!(&whole[..], b"id: 2\ndata: b\n\n");
    assert!(splitter.finish().is_empty());
}
