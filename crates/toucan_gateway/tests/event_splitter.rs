//! Tests that streams are split at event boundaries, independent of chunk boundaries.

use proptest::prelude::*;
use toucan_gateway::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n";

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let mut from = 0;
        for cut in cuts {
            if let Some(complete) = splitter.push(&STREAM[from..cut]) {
                prop_assert!(complete.ends_with(b"\n\n"));
                events.extend_from_slice(&complete);
            }
            from = cut;
        }
        prop_assert_eq!(events, STREAM.to_vec());
        prop_assert_eq!(splitter.events(), 3);
        prop_assert_eq!(splitter.last_id(), Some("3"));
    }
}

#[test]
fn incomplete_events_are_not_returned() {
    let mut splitter = EventSplitter::default();
    let complete = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("one event is complete");
    assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
    splitter.discard_partial();
    assert_eq!(splitter.last_id(), Some("1"));
    let complete = splitter
        .push(b"id: 2\ndata: b\n\n")
        .expect("the resumed stream has a complete event");
    assert_eq!(&complete[..], b"id: 2\ndata: b\n\n");
    assert!(splitter.finish().is_empty());
}
