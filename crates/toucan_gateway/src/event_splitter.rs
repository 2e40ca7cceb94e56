//! Splits a byte stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Buffers the bytes of a stream until an event is complete.
///
/// A target may fail in the middle of an event. An incomplete event is never forwarded, so another
/// target can resume the stream after the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanned: usize,
    last_id: Option<String>,
    events: u64,
}

/// Terminates an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";
/// Prefix of the line with the event's id.
const ID_FIELD: &str = "id:";

impl EventSplitter {
    /// Appends bytes and returns all events that are now complete, unchanged.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut complete_end = 0;
        while let Some(position) = find(&self.pending[self.scanned..], EVENT_TERMINATOR) {
            let end = self.scanned + position + EVENT_TERMINATOR.len();
            self.record_event(complete_end, end);
            complete_end = end;
            self.scanned = end;
        }
        let events = self.pending.split_to(complete_end).freeze();
        // The terminator of an event may be split between two chunks.
        self.scanned = self
            .pending
            .len()
            .saturating_sub(EVENT_TERMINATOR.len() - 1);
        (!events.is_empty()).then_some(events)
    }

    /// Returns the bytes after the last complete event, at the regular end of a stream.
    pub fn finish(&mut self) -> Bytes {
        self.scanned = 0;
        self.pending.split().freeze()
    }

    /// Discards the bytes after the last complete event, before another target resumes the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.scanned = 0;
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

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
