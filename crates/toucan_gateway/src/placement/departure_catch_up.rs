//! When a gateway that reads the store late asks the others which targets have left.

use super::DepartureAnswer;

/// Age of what is known of departures from which on the other gateways are asked.
const MAX_UNASKED_AGE_MS: u64 = 1_000;
/// Time between two rounds of questions.
const ASK_INTERVAL_MS: u64 = 250;
/// Time without a datagram after which the first one shows that this gateway was cut off from the others.
const SILENCE_MS: u64 = 500;
/// Longest time for which calls wait for an answer, since there is a reason to expect one.
const MAX_HOLD_MS: u64 = 400;

/// How old a gateway's knowledge of departures is.
///
/// Each successful read of the store makes it new. So does an answer of another gateway, for two purposes: the gateway
/// goes on asking until it knows what a fresh read would tell, but calls wait only until it knows as much as those that
/// it can ask, since a whole data centre may be unable to read the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct DepartureCatchUp {
    /// Time up to which all departures are known.
    read_at_ms: u64,
    /// Time at which the last gateway was asked that has told what it knows.
    told_at_ms: u64,
    asked_at_ms: u64,
    heard_at_ms: u64,
    /// When the first datagram after a silence came.
    heard_again_at_ms: u64,
    /// Whether any gateway has answered a question. Those of earlier versions don't.
    has_answers: bool,
}

impl DepartureCatchUp {
    /// Creates the state of a gateway that starts at `now_ms`.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            read_at_ms: now_ms,
            heard_at_ms: now_ms,
            ..Self::default()
        }
    }

    /// Returns the time since all departures were known.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.read_at_ms)
    }

    /// Records that a read of the store that began at `began_ms` has told all departures.
    pub fn record_read(&mut self, began_ms: u64) {
        self.read_at_ms = self.read_at_ms.max(began_ms);
    }

    /// Records an answer that came at `now_ms` and leaves no gap after what this gateway knew.
    pub fn record_answer(&mut self, answer: &DepartureAnswer, now_ms: u64) {
        self.has_answers = true;
        let Some(age_ms) = answer.age_ms else {
            return;
        };
        // The answer was sent later than the question, by a time that is not known. No question was sent later than now.
        let known_at_ms = answer.asked_at_ms.min(now_ms);
        self.told_at_ms = self.told_at_ms.max(known_at_ms);
        self.record_read(known_at_ms.saturating_sub(age_ms));
    }

    /// Records that a datagram came. Returns whether it is the first after a silence, so that others should be asked at
    /// once.
    pub fn record_datagram(&mut self, now_ms: u64) -> bool {
        let was_silent = now_ms.saturating_sub(self.heard_at_ms) > SILENCE_MS;
        self.heard_at_ms = now_ms;
        if was_silent {
            self.heard_again_at_ms = now_ms;
        }
        was_silent && self.age_ms(now_ms) > MAX_UNASKED_AGE_MS
    }

    /// Returns how long it takes until others are to be asked if nothing is learnt meanwhile; 0 if they are now.
    #[must_use]
    pub fn ask_in_ms(&self, now_ms: u64) -> u64 {
        let due_ms = (self.read_at_ms + MAX_UNASKED_AGE_MS).max(self.asked_at_ms + ASK_INTERVAL_MS);
        due_ms.saturating_sub(now_ms)
    }

    /// Records that others are asked at `now_ms`.
    pub fn record_asked(&mut self, now_ms: u64) {
        self.asked_at_ms = now_ms;
    }

    /// Returns whether calls wait for an answer before they are sent.
    ///
    /// They do if departures up to half of `drain_ms` ago may be unknown, and no longer than it takes to find out that
    /// nobody answers: a gateway that is cut off from all others serves by what it knows.
    #[must_use]
    pub fn holds_calls(&self, drain_ms: u64, now_ms: u64) -> bool {
        let outdated_at_ms = self.read_at_ms.max(self.told_at_ms) + drain_ms / 2;
        let hold_from_ms = outdated_at_ms.max(self.heard_again_at_ms);
        self.has_answers && outdated_at_ms <= now_ms && now_ms < hold_from_ms + MAX_HOLD_MS
    }
}
