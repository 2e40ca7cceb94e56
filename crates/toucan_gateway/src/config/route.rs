//! A route, which assigns calls to services.

use toucan_types::ServiceName;

use super::AllowedRegions;

/// Whether and how a route's calls may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call may run at most once for each attempt of the caller.
    NonIdempotent,
    /// A call is answered by a stream of events. It runs at most once unless it is resumable.
    Streaming {
        /// Whether another target may continue after the last delivered event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a call that may have run can be sent again from its start.
    #[must_use]
    pub const fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service of a route, with its share of the route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that runs the calls.
    pub service: ServiceName,
    /// Share of the calls, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Settings for the calls that match a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration and in logs.
    pub name: String,
    /// Host of the calls, in lower case and without a port.
    pub host: String,
    /// Prefix of the path, which begins and ends with a slash.
    pub path_prefix: String,
    /// Whether and how calls may be retried.
    pub kind: RouteKind,
    /// Services that run the calls; at least one.
    pub services: Vec<WeightedService>,
    /// Longest time until the caller has the whole answer.
    pub timeout_ms: u64,
    /// Time within which the answer or its first event should reach the caller.
    pub latency_objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Regions that calls may reach.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Returns whether calls of the route may run at a service.
    #[must_use]
    pub fn uses_service(&self, service: &ServiceName) -> bool {
        self.services
            .iter()
            .any(|candidate| candidate.service == *service)
    }

    /// Returns the service for one call; the same `random` always gives the same service.
    ///
    /// `random` must be uniformly distributed over the calls, such as a hash of the call's id.
    #[must_use]
    pub fn service_for(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.services.first().map(|s| &s.service);
        }
        let mut remaining = random % total;
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if remaining < weight {
                return Some(&candidate.service);
            }
            remaining -= weight;
        }
        None
    }
}
