//! Origins of recent streams.

use std::collections::VecDeque;

use toucan_types::{FastHashMap, RequestId};

use super::{MAX_STREAM_AGE_MS, StreamOrigin};

/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 16_384;
/// Maximum length of an attempt's id. Longer ones would let a caller fill the memory.
const MAX_ID_BYTES: usize = 64;

/// Origins of recent streams, by the caller's attempt that received the first event.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    by_attempt: FastHashMap<RequestId, StreamOrigin>,
    /// Attempts with the times at which they were recorded, oldest first.
    by_age: VecDeque<(u64, RequestId)>,
}

impl OriginTable {
    /// Records where a stream began; a stream that is known keeps its origin.
    ///
    /// Returns whether the origin is new.
    pub fn record(&mut self, attempt: &RequestId, origin: &StreamOrigin, now_ms: u64) -> bool {
        self.remove_old(now_ms);
        if attempt.as_str().len() > MAX_ID_BYTES || self.by_attempt.contains_key(attempt) {
            return false;
        }
        if self.by_age.len() >= MAX_STREAMS {
            self.remove_oldest();
        }
        self.by_attempt.insert(attempt.clone(), origin.clone());
        self.by_age.push_back((now_ms, attempt.clone()));
        true
    }

    /// Returns where a stream began.
    #[must_use]
    pub fn get(&self, attempt: &RequestId) -> Option<&StreamOrigin> {
        self.by_attempt.get(attempt)
    }

    /// Returns the number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    fn remove_old(&mut self, now_ms: u64) {
        while let Some((recorded_ms, _attempt)) = self.by_age.front()
            && now_ms > recorded_ms + MAX_STREAM_AGE_MS
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_recorded_ms, attempt)) = self.by_age.pop_front() {
            self.by_attempt.remove(&attempt);
        }
    }
}
