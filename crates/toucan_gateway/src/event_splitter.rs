//! Splits a byte stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Buffers the bytes of a stream until an event is complete.
///
/// A target may fail in the middle of an event. An incomplete event is never forwarded, so another
/// target can resume the stream after the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Position in `pending` of the first byte that was not searched for a line feed.
    scanned: usize,
    /// Position in `pending` at which the last line begins.
    line_start: usize,
    last_id: Option<String>,
    events: u64,
}

/// Prefix of the line with the event's id.
const ID_FIELD: &str = "id:";
/// First byte of a line that is a comment.
const COMMENT: u8 = b':';

impl EventSplitter {
    /// Appends bytes and returns all events that are now complete, unchanged.
    ///
    /// An empty line ends an event. Lines end with a line feed or with a carriage return and a line
    /// feed.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut complete_end = 0;
        while let Some(position) = find_line_feed(&self.pending[self.scanned..]) {
            let line_end = self.scanned + position;
            let is_event_end = is_empty_line(&self.pending[self.line_start..line_end]);
            self.scanned = line_end + 1;
            self.line_start = self.scanned;
            if is_event_end {
                self.record_event(complete_end, self.scanned);
                complete_end = self.scanned;
            }
        }
        let events = self.pending.split_to(complete_end).freeze();
        self.scanned = self.pending.len();
        self.line_start -= complete_end;
        (!events.is_empty()).then_some(events)
    }

    /// Returns whether the bytes after the last complete event begin another one.
    ///
    /// A stream that ends there was broken off, however its end is marked.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.pending[..]
            .split(|byte| *byte == b'\n')
            .any(|line| !is_empty_line(line) && line[0] != COMMENT)
    }

    /// Returns the comments after the last complete event, at the regular end of a stream.
    pub fn finish(&mut self) -> Bytes {
        self.scanned = 0;
        self.line_start = 0;
        self.pending.split().freeze()
    }

    /// Discards the bytes after the last complete event, before another target resumes the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.scanned = 0;
        self.line_start = 0;
    }

    /// Returns the number of complete events, without those that contain only comments.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes after the last complete event.
    #[must_use]
    pub fn partial_event_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn record_event(&mut self, start: usize, end: usize) {
        let Ok(text) = std::str::from_utf8(&self.pending[start..end]) else {
            self.events += 1;
            return;
        };
        let mut has_data = false;
        let mut id = None;
        for line in text.lines() {
            if let Some(value) = line.strip_prefix(ID_FIELD) {
                id = Some(value.trim().to_owned());
            }
            has_data |= !line.is_empty() && !line.starts_with(':');
        }
        if id.is_some() {
            self.last_id = id;
        }
        self.events += u64::from(has_data);
    }
}

fn find_line_feed(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Returns whether a line, given without its line feed, is empty.
fn is_empty_line(line: &[u8]) -> bool {
    line.is_empty() || line == b"\r"
}
