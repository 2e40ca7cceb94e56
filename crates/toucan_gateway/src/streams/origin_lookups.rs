//! Questions to other gateways about where a stream began.

use toucan_types::{FastHashMap, FastHashSet, RequestId, VmName};

/// Questions that other gateways have not answered yet, by the attempt that began the stream.
#[derive(Debug, Default)]
pub struct OriginLookups {
    by_attempt: FastHashMap<RequestId, Lookup>,
}

/// A question about one stream.
#[derive(Debug, Default)]
struct Lookup {
    /// Number of calls that wait for the answer.
    calls: u32,
    /// Gateways that were asked and have not said that they do not know the stream.
    unanswered: FastHashSet<VmName>,
}

impl OriginLookups {
    /// Begins to ask the gateways about a stream.
    pub fn begin(&mut self, attempt: &RequestId, gateways: impl IntoIterator<Item = VmName>) {
        let lookup = self.by_attempt.entry(attempt.clone()).or_default();
        lookup.calls += 1;
        lookup.unanswered.extend(gateways);
    }

    /// Records that a gateway does not know the stream.
    pub fn record_unknown(&mut self, attempt: &RequestId, gateway: &VmName) {
        if let Some(lookup) = self.by_attempt.get_mut(attempt) {
            lookup.unanswered.remove(gateway);
        }
    }

    /// Returns the gateways that may still know the stream.
    #[must_use]
    pub fn unanswered(&self, attempt: &RequestId) -> Vec<VmName> {
        let lookup = self.by_attempt.get(attempt);
        lookup.map_or_else(Vec::new, |lookup| {
            lookup.unanswered.iter().cloned().collect()
        })
    }

    /// Ends the question of one call.
    pub fn end(&mut self, attempt: &RequestId) {
        let Some(lookup) = self.by_attempt.get_mut(attempt) else {
            return;
        };
        lookup.calls = lookup.calls.saturating_sub(1);
        if lookup.calls == 0 {
            self.by_attempt.remove(attempt);
        }
    }
}
