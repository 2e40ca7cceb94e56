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
    /// Whether another target resumed the stream, so that each event has to have an id after the last one.
    is_resumed: bool,
    is_discontinuous: bool,
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
                let event = EventSummary::new(&self.pending[complete_end..self.scanned]);
                if self.is_resumed && !event.follows(self.last_id.as_deref()) {
                    self.is_discontinuous = true;
                    break;
                }
                self.record_event(event);
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

    /// Returns whether the last bytes are no continuation of the stream, such as an error of the target that was to
    /// resume it. They are not among the events that were returned.
    #[must_use]
    pub const fn is_discontinuous(&self) -> bool {
        self.is_discontinuous
    }

    /// Discards the bytes after the last complete event, before another target resumes the stream.
    pub fn discard_partial(&mut self) {
        self.is_resumed = self.last_id.is_some();
        self.is_discontinuous = false;
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

    fn record_event(&mut self, event: EventSummary) {
        self.events += u64::from(event.has_data);
        if event.id.is_some() {
            self.last_id = event.id;
        }
    }
}

/// What an event is counted and resumed by.
struct EventSummary {
    id: Option<String>,
    /// Whether it consists of more than comments.
    has_data: bool,
}

impl EventSummary {
    fn new(event: &[u8]) -> Self {
        let Ok(text) = std::str::from_utf8(event) else {
            return Self {
                id: None,
                has_data: true,
            };
        };
        let mut lines = text.lines();
        let mut ids = text.lines().filter_map(|line| line.strip_prefix(ID_FIELD));
        Self {
            id: ids.next_back().map(|id| id.trim().to_owned()),
            has_data: lines.any(|line| !line.is_empty() && !line.starts_with(':')),
        }
    }

    /// Returns whether the event may come after the one with `last_id`. Ids increase.
    fn follows(&self, last_id: Option<&str>) -> bool {
        let (Some(id), Some(last_id)) = (&self.id, last_id) else {
            return !self.has_data;
        };
        match (id.parse::<u64>(), last_id.parse::<u64>()) {
            (Ok(id), Ok(last_id)) => id > last_id,
            _ => id != last_id,
        }
    }
}

fn find_line_feed(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Returns whether a line, given without its line feed, is empty.
fn is_empty_line(line: &[u8]) -> bool {
    line.is_empty() || line == b"\r"
}
