//! One route of the gateway.

use toucan_types::ServiceName;

/// What may be repeated of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by a sequence of events; runs at most once unless it may be resumed.
    Streaming {
        /// Whether another target may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a call that may have run can be sent again from its start.
    #[must_use]
    pub const fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Whether the answer is a sequence of events.
    #[must_use]
    pub const fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// One service that a route leads to, with its share of the calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that runs the calls.
    pub service: ServiceName,
    /// Share of the calls, relative to the other services of the route.
    pub weight: u32,
}

/// Calls that are handled alike, selected by host and longest path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration, used in logs.
    pub name: String,
    /// Host of the calls, in lower case and without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services that run the calls; at least one.
    pub services: Vec<WeightedService>,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout_ms: u64,
    /// Time within which the answer, or its first event, should reach the caller.
    pub latency_objective_ms: u64,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// The service for one call; the same `draw` always gives the same service.
    ///
    /// `draw` is a number that is evenly distributed over the calls, such as a hash of the call's id.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.services.first().map(|s| &s.service);
        }
        let mut left = draw % total;
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if left < weight {
                return Some(&candidate.service);
            }
            left -= weight;
        }
        None
    }
}
