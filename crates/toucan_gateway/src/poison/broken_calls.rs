//! Calls whose connections broke, until it is known whether their targets have ended.

use toucan_types::FastHashMap;

use super::{SuspectCall, TargetEnd, TargetInstance};

/// Age of an answer up to which its call may be what ended its target. A target that has written for
/// longer did not end because it began to write, and such a call ends no target.
pub const SOUND_AFTER_MS: u64 = 300;
/// Maximum number of suspects that are kept for one target.
const MAX_SUSPECTS: usize = 64;

/// Calls whose connections broke, by target.
///
/// A broken connection alone does not tell whether its target ended, closed only this connection, or
/// cannot be reached.
#[derive(Clone, Debug, Default)]
pub struct BrokenCalls {
    by_target: FastHashMap<TargetInstance, TargetEnd>,
}

impl BrokenCalls {
    /// Records that the connection of a call broke before its answer was complete.
    ///
    /// `first_event_ms` is when the first event of the answer arrived, if any did. Returns whether no
    /// other call of the target is recorded, so that the target is to be checked.
    pub fn record(
        &mut self,
        instance: &TargetInstance,
        call: SuspectCall,
        first_event_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let is_first = !self.by_target.contains_key(instance);
        let end = self
            .by_target
            .entry(instance.clone())
            .or_insert_with(|| TargetEnd {
                instance: instance.clone(),
                ended_at_ms: now_ms,
                broken_calls: 0,
                suspects: Vec::new(),
            });
        end.broken_calls += 1;
        let has_just_begun =
            first_event_ms.is_none_or(|began_ms| now_ms <= began_ms + SOUND_AFTER_MS);
        let is_suspect = has_just_begun && !call.fingerprints.is_empty();
        if is_suspect && end.suspects.len() < MAX_SUSPECTS {
            end.suspects.push(call);
        }
        is_first
    }

    /// Removes and returns the calls of a target that broke off.
    pub fn take(&mut self, instance: &TargetInstance) -> Option<TargetEnd> {
        self.by_target.remove(instance)
    }
}
