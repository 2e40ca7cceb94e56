//! What is known of a target that falls over when it turns away too many calls.

/// Time after a rejection for which the target gets no calls, so that it gets rid of some that it has.
const REJECTION_PAUSE_MS: u64 = 500;
/// Time by which the end of that pause is spread over the gateways, which know of the rejection at the same time.
const SPREAD_MS: u64 = 500;
/// Time after which a target without room is looked at again.
const NO_ROOM_PAUSE_MS: u64 = 50;

/// Whether a target is brittle: it states how many calls it may turn away in a second, from all gateways together,
/// before it falls over.
///
/// The number is a budget of rejections that no gateway can count by itself, so none is spent on purpose. A brittle
/// target gets calls only while it has a free slot, as far as the gateways have told each other, and from each of them
/// no more at the same time than its share of the slots: what is told is older than many calls, and all would take the
/// same free slot. After any gateway was turned away all leave the target alone for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BrittleRecord {
    rejections_per_s: Option<u32>,
    /// Number of gateways that send calls at the same time.
    gateways: u32,
    closed_until_ms: u64,
}

/// Calls in flight at a target with slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotUse {
    /// Calls that the target runs at once.
    pub slots: u32,
    /// Calls of this gateway.
    pub own: u32,
    /// Calls of all gateways.
    pub all: u32,
}

impl BrittleRecord {
    /// Records what the target states, as one of `gateways`; returns whether that changed.
    pub fn record_statement(&mut self, rejections_per_s: Option<u32>, gateways: u32) -> bool {
        self.gateways = gateways;
        std::mem::replace(&mut self.rejections_per_s, rejections_per_s) != rejections_per_s
    }

    /// Records that the target has turned away a call of any gateway. `seed` is random for this process. Returns
    /// whether the target gets no calls for a while because of that.
    pub fn record_rejection(&mut self, seed: u64, now_ms: u64) -> bool {
        if !self.is_brittle() {
            return false;
        }
        let until_ms = now_ms + REJECTION_PAUSE_MS + seed % SPREAD_MS;
        self.closed_until_ms = self.closed_until_ms.max(until_ms);
        true
    }

    /// Returns whether the target states that it is brittle.
    #[must_use]
    pub const fn is_brittle(&self) -> bool {
        self.rejections_per_s.is_some()
    }

    /// Returns the calls that the target may turn away in a second; [`None`] if it is not brittle.
    #[must_use]
    pub const fn rejections_per_s(&self) -> Option<u32> {
        self.rejections_per_s
    }

    /// Returns the time until the target may get a call of this gateway; 0 if it is not brittle.
    #[must_use]
    pub fn pause_ms(&self, calls: SlotUse, now_ms: u64) -> u64 {
        if !self.is_brittle() {
            return 0;
        }
        let slots = calls.slots.max(1);
        let share = slots.div_ceil(self.gateways.max(1));
        let has_room = calls.own < share && calls.all < slots;
        let no_room_ms = if has_room { 0 } else { NO_ROOM_PAUSE_MS };
        self.closed_until_ms.saturating_sub(now_ms).max(no_room_ms)
    }
}
