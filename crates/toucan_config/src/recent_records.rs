//! Buffer of the latest records, from which nodes that lag slightly catch up.

use std::collections::VecDeque;

use toucan_types::Offset;

/// Maximum size of the buffered records in bytes; the oldest are dropped first.
const MAX_RECENT_BYTES: usize = 1 << 20;

/// The latest applied records, with consecutive offsets.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRecords {
    first_offset: Offset,
    records: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl RecentRecords {
    pub(crate) fn push(&mut self, offset: Offset, bytes: &[u8]) {
        let next = self.first_offset.0 + self.records.len() as u64;
        if offset.0 != next {
            *self = Self {
                first_offset: offset,
                ..Self::default()
            };
        }
        self.bytes += bytes.len();
        self.records.push_back(bytes.to_vec());
        while self.bytes > MAX_RECENT_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.len();
            self.first_offset = self.first_offset.next();
        }
    }

    /// Returns the records from this offset on if there is at least one and all are in the buffer.
    pub(crate) fn since(&self, offset: Offset) -> Option<Vec<Vec<u8>>> {
        let skipped = offset.0.checked_sub(self.first_offset.0)?;
        let skipped = usize::try_from(skipped).ok()?;
        if skipped >= self.records.len() {
            return None;
        }
        Some(self.records.iter().skip(skipped).cloned().collect())
    }
}
