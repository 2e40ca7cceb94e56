//! Log line that is written when a call ends.

use crate::{EventSplitter, Refusal};

use super::body_framing::BodyFraming;

/// Content of the log line of a call.
#[derive(Debug, Default)]
pub(crate) struct CallLog {
    /// Id of the caller's attempt.
    pub(crate) id: String,
    /// Name of the route; empty if none matched.
    pub(crate) route: String,
    /// Name of the organisation; empty if the call has none.
    pub(crate) organisation: String,
    /// Parts of its prompt that other calls may have too; empty if it has none.
    pub(crate) shared_parts: String,
    /// Version of the configuration that applied to the call.
    pub(crate) config_version: u64,
    /// When the call was received.
    pub(crate) began_ms: u64,
    /// Targets that the call was sent to, in order.
    pub(crate) sent_to: Vec<String>,
    /// Software versions of those targets.
    pub(crate) software_versions: Vec<String>,
    /// Attempt whose stream the caller resumes; empty if it resumes none or names none.
    pub(crate) resumes: String,
    /// Id of the last event that the caller received before it resumed; empty if there is none.
    pub(crate) resumes_after: String,
    /// Time from the receipt of the call to the last choice of its target.
    pub(crate) chosen_ms: u64,
    /// Time since the targets' registrations had been read when its target was last chosen.
    pub(crate) targets_read_ms_ago: u64,
    /// Longest time for which a request waited for a connection to its target.
    pub(crate) held_ms: u64,
    /// Tokens reserved for the call.
    pub(crate) reserved_tokens: u64,
    /// Expected time from the last send to the first event.
    pub(crate) expected_ms: u64,
    /// Measured time from the last send to the first event.
    pub(crate) first_event_ms: u64,
    /// Framing of the last response of a target.
    pub(crate) framing: BodyFraming,
    /// Complete events that the caller has received.
    pub(crate) events: u64,
    /// Bytes that the last target sent after its last complete event.
    pub(crate) partial_event_bytes: usize,
}

impl CallLog {
    /// Logs and counts a call that the gateway refused or that failed.
    pub(crate) fn log_refused(
        &self,
        refusal: Refusal,
        reason: &str,
        spent_tokens: u64,
        now_ms: u64,
    ) {
        metrics::counter!("toucan_refusals_total", "reason" => refusal.name()).increment(1);
        log::info!(
            target: "call",
            id = self.id.as_str(),
            route = self.route.as_str(),
            organisation = self.organisation.as_str(),
            shared_parts = self.shared_parts.as_str(),
            config_version = self.config_version,
            sent_to = self.sent_to.join(",").as_str(),
            software_versions = self.software_versions.join(",").as_str(),
            resumes = self.resumes.as_str(),
            resumes_after = self.resumes_after.as_str(),
            chosen_ms = self.chosen_ms,
            targets_read_ms_ago = self.targets_read_ms_ago,
            held_ms = self.held_ms,
            reserved_tokens = self.reserved_tokens,
            spent_tokens = spent_tokens,
            took_ms = now_ms.saturating_sub(self.began_ms),
            outcome = refusal.name(),
            reason = reason;
            "call refused"
        );
    }

    /// Records that a target was chosen by registrations that were read `read_ms_ago`.
    pub(crate) fn record_choice(&mut self, read_ms_ago: u64, now_ms: u64) {
        self.chosen_ms = now_ms.saturating_sub(self.began_ms);
        self.targets_read_ms_ago = read_ms_ago;
        metrics::histogram!("toucan_target_read_age_seconds").record(read_ms_ago as f64 / 1_000.0);
    }

    /// Records how long a request waited for a connection to its target.
    pub(crate) fn record_held(&mut self, held_ms: u64) {
        self.held_ms = self.held_ms.max(held_ms);
        metrics::histogram!("toucan_send_wait_seconds").record(held_ms as f64 / 1_000.0);
    }

    /// Records how much of an incomplete event has been read.
    pub(crate) fn record_progress(&mut self, stream: &EventSplitter) {
        self.partial_event_bytes = stream.partial_event_bytes();
    }

    /// Logs and counts a call that a target answered.
    pub(crate) fn log_answered(&self, status: u16, outcome: &str, spent_tokens: u64, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(self.began_ms);
        metrics::histogram!("toucan_call_seconds").record(took_ms as f64 / 1_000.0);
        let framing = self.framing.name();
        metrics::counter!("toucan_answers_total", "outcome" => outcome.to_owned(), "framing" => framing)
            .increment(1);
        log::info!(
            target: "call",
            id = self.id.as_str(),
            route = self.route.as_str(),
            organisation = self.organisation.as_str(),
            shared_parts = self.shared_parts.as_str(),
            config_version = self.config_version,
            sent_to = self.sent_to.join(",").as_str(),
            software_versions = self.software_versions.join(",").as_str(),
            resumes = self.resumes.as_str(),
            resumes_after = self.resumes_after.as_str(),
            chosen_ms = self.chosen_ms,
            targets_read_ms_ago = self.targets_read_ms_ago,
            held_ms = self.held_ms,
            reserved_tokens = self.reserved_tokens,
            spent_tokens = spent_tokens,
            expected_ms = self.expected_ms,
            first_event_ms = self.first_event_ms,
            framing = framing,
            events = self.events,
            partial_event_bytes = self.partial_event_bytes,
            status = status,
            took_ms = took_ms,
            outcome = outcome;
            "call answered"
        );
    }
}
