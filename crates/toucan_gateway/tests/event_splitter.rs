//! Guards against events that are split, joined or lost where the chunks of a stream begin and end,
//! and against incomplete events that count as complete.

use bytes::Bytes;
use proptest::prelude::*;
use test_case::test_case;
use toucan_gateway::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n";

/// Splits the stream at `cuts` and returns the pieces that hold complete events.
fn push_in_pieces(splitter: &mut EventSplitter, stream: &[u8], mut cuts: Vec<usize>) -> Vec<Bytes> {
    cuts.push(stream.len());
    cuts.sort_unstable();
    let mut from = 0;
    let mut complete = Vec::new();
    for cut in cuts {
        complete.extend(splitter.push(&stream[from..cut]));
        from = cut;
    }
    complete
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(
        cuts in prop::collection::vec(0..STREAM.len(), 0..8),
        has_carriage_returns: bool,
    ) {
        let (stream, event_end) = if has_carriage_returns {
            let text = std::str::from_utf8(STREAM).expect("the stream is text");
            (text.replace('\n', "\r\n").into_bytes(), &b"\r\n\r\n"[..])
        } else {
            (STREAM.to_vec(), &b"\n\n"[..])
        };
        let mut splitter = EventSplitter::default();
        let pieces = push_in_pieces(&mut splitter, &stream, cuts);
        for piece in &pieces {
            prop_assert!(piece.ends_with(event_end));
        }
        prop_assert_eq!(pieces.concat(), stream);
        prop_assert_eq!(splitter.events(), 3);
        prop_assert_eq!(splitter.last_id(), Some("3"));
        prop_assert!(!splitter.is_inside_event());
    }
}

#[test_case(b"", false; "nothing")]
#[test_case(b"i", true; "part of a field name")]
#[test_case(b"data: b", true; "a field without the end of its line")]
#[test_case(b"data: b\n", true; "a field without the empty line")]
#[test_case(b"data: b\r\n\r", true; "a field before half of the empty line")]
#[test_case(b": note\ndata", true; "a comment and part of a field")]
#[test_case(b": note", false; "part of a comment")]
#[test_case(b"\r", false; "half of an empty line")]
fn rest_of_a_stream_is_inside_an_event(rest: &[u8], expected: bool) {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\n");
    splitter.push(rest);
    assert_eq!(splitter.is_inside_event(), expected);
    assert_eq!(splitter.events(), 1);
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
