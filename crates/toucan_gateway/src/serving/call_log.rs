//! The line in the log that tells how a call ended.

use crate::Refusal;

/// What is told of a call when it ends, whichever way.
#[derive(Debug, Default)]
pub(crate) struct CallLog {
    /// Id of the caller's attempt.
    pub(crate) id: String,
    /// Route, empty if none was found.
    pub(crate) route: String,
    /// Organisation, empty if the call needs none.
    pub(crate) organisation: String,
    /// Version of the configuration that decided.
    pub(crate) config_version: u64,
    /// When it was read.
    pub(crate) began_ms: u64,
    /// Targets that it was sent to, in order.
    pub(crate) sent_to: Vec<String>,
    /// Tokens reserved at most.
    pub(crate) reserved_tokens: u64,
    /// Time from the last sending to the first event, as it was expected.
    pub(crate) expected_ms: u64,
    /// Time from the last sending to the first event, as it was.
    pub(crate) first_event_ms: u64,
}

impl CallLog {
    /// The call was refused or failed.
    pub(crate) fn refused(&self, refusal: Refusal, reason: &str, spent_tokens: u64, now_ms: u64) {
        metrics::counter!("toucan_refusals_total", "reason" => refusal.name()).increment(1);
        log::info!(
            target: "call",
            id = self.id.as_str(),
            route = self.route.as_str(),
            organisation = self.organisation.as_str(),
            config_version = self.config_version,
            sent_to = self.sent_to.join(",").as_str(),
            reserved_tokens = self.reserved_tokens,
            spent_tokens = spent_tokens,
            took_ms = now_ms.saturating_sub(self.began_ms),
            outcome = refusal.name(),
            reason = reason;
            "call refused"
        );
    }

    /// The call was answered by a target.
    pub(crate) fn answered(&self, status: u16, outcome: &str, spent_tokens: u64, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(self.began_ms);
        metrics::histogram!("toucan_call_seconds").record(took_ms as f64 / 1_000.0);
        metrics::counter!("toucan_answers_total", "outcome" => outcome.to_owned()).increment(1);
        log::info!(
            target: "call",
            id = self.id.as_str(),
            route = self.route.as_str(),
            organisation = self.organisation.as_str(),
            config_version = self.config_version,
            sent_to = self.sent_to.join(",").as_str(),
            reserved_tokens = self.reserved_tokens,
            spent_tokens = spent_tokens,
            expected_ms = self.expected_ms,
            first_event_ms = self.first_event_ms,
            status = status,
            took_ms = took_ms,
            outcome = outcome;
            "call answered"
        );
    }
}
