//! Whether another address leads to the store that this gateway has used.

use displaydoc::Display;
use toucan_types::Offset;

use crate::{
    Gateway, Platform,
    keyed_log::{KeyedLog, Partition, ReadError, Topic},
    peers::MemberEntry,
};

/// Why a store may not take the place of the one in use.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub enum StoreMismatch {
    /// it cannot be read: {0}
    Unread(ReadError),
    /// it does not hold the registration of this process, so it is another store or a copy from before
    Foreign,
    /// its registrations of targets end at {end}, and this process has read them up to {known}
    Older {
        /// End offset of the other store.
        end: Offset,
        /// Offset up to which this process has read.
        known: Offset,
    },
}

impl std::error::Error for StoreMismatch {}

impl<P: Platform> Gateway<P> {
    /// Returns the platform.
    pub const fn platform(&self) -> &P {
        &self.platform
    }

    /// Checks that a store holds what this process has read and written in the one in use. Tokens that are held would
    /// otherwise count as not granted there, and be granted once more.
    ///
    /// The registration of this process, which has a random number, identifies the store. Targets register all the time, so the
    /// end of their records tells a copy from the store itself; one that is marked as restored is handled as such.
    ///
    /// # Errors
    ///
    /// [`StoreMismatch`] if it does not, or cannot be read.
    pub async fn check_store(&self, other: &impl KeyedLog) -> Result<(), StoreMismatch> {
        if !self.state.borrow().has_used_store() {
            return Ok(());
        }
        let read = |topic| other.read_newest(Partition { topic, number: 0 });
        let members = read(Topic::Members).await.map_err(StoreMismatch::Unread)?;
        let is_registered = members.records.iter().any(|read| {
            let entry = read.record.value.as_ref().map(|v| MemberEntry::decode(v));
            let is_own_vm = read.record.key == self.settings.vm.as_str();
            is_own_vm && matches!(entry, Some(Ok(entry)) if entry.start == self.start_id())
        });
        if !is_registered {
            return Err(StoreMismatch::Foreign);
        }
        let known = self.state.borrow().departures.known_to();
        let targets = read(Topic::Targets).await.map_err(StoreMismatch::Unread)?;
        if let Some(known) = known
            && other.last_restore() <= known.restore
            && targets.end <= known.offset
        {
            return Err(StoreMismatch::Older {
                end: targets.end,
                known: known.offset,
            });
        }
        Ok(())
    }
}
