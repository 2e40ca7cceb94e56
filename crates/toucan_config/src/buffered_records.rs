//! Buffer of records that arrive while earlier records are missing.

use std::collections::VecDeque;

use toucan_types::Offset;

/// Maximum size of the buffered records in bytes; the oldest are dropped first.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Consecutive records that cannot be applied yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferedRecords {
    first_offset: Offset,
    records: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl BufferedRecords {
    pub(crate) fn from_offset(first_offset: Offset) -> Self {
        Self {
            first_offset,
            ..Self::default()
        }
    }

    /// Returns the offset of the oldest buffered record, or of the next one if the buffer is empty.
    pub(crate) const fn first_offset(&self) -> Offset {
        self.first_offset
    }

    pub(crate) fn next_offset(&self) -> Offset {
        Offset(self.first_offset.0 + self.records.len() as u64)
    }

    /// Appends a record; an offset other than [`Self::next_offset`] clears the buffer first.
    pub(crate) fn push(&mut self, offset: Offset, bytes: &[u8]) {
        if offset != self.next_offset() {
            *self = Self::from_offset(offset);
        }
        self.bytes += bytes.len();
        self.records.push_back(bytes.to_vec());
        while self.bytes > MAX_BUFFERED_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.len();
            self.first_offset = self.first_offset.next();
        }
    }

    pub(crate) fn into_records(self) -> impl Iterator<Item = (Offset, Vec<u8>)> {
        (self.first_offset.0..).map(Offset).zip(self.records)
    }
}
