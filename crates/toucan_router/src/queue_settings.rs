//! Settings of the admission queue: scheduling order of classes and organisations.

use toucan_types::{FastHashMap, OrganisationName, Permille, RequestClass};

/// Rank and weight of a class or organisation in the scheduling order.
///
/// Smaller ranks are served first. Members of the same rank share the capacity by weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingShare {
    /// Rank. Smaller ranks are served first.
    pub rank: u32,
    /// Weight among the members of the same rank, at least 1.
    pub weight: u32,
}

impl Default for SchedulingShare {
    fn default() -> Self {
        Self { rank: 0, weight: 1 }
    }
}

impl SchedulingShare {
    /// Creates a share of rank 0 with a weight.
    #[must_use]
    pub const fn weighted(weight: u32) -> Self {
        Self { rank: 0, weight }
    }

    /// Creates a share of a rank with weight 1.
    #[must_use]
    pub const fn ranked(rank: u32) -> Self {
        Self { rank, weight: 1 }
    }
}

/// Settings of an [`AdmissionQueue`](crate::AdmissionQueue).
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of entries.
    pub capacity_entries: usize,
    /// Shares of the classes. Classes that are not listed get the last rank.
    pub classes: FastHashMap<RequestClass, SchedulingShare>,
    /// Shares of the organisations within each class. Organisations that are not listed get the
    /// default.
    pub organisations: FastHashMap<OrganisationName, SchedulingShare>,
    /// Wait after which an entry counts as aged.
    pub ageing_ms: u64,
    /// Fraction of the dispatches that go to the oldest aged entry regardless of its rank. 0
    /// enforces strict order, in which low ranks may starve.
    pub aged_fraction: Permille,
    /// Largest fraction of the time until the latest start that the estimated wait may take. The
    /// rest is a margin for estimation errors: without it, requests are admitted that wait for long
    /// and then expire.
    pub max_wait_fraction: Permille,
    /// Time window over which the observed service rate is averaged.
    pub rate_window_ms: u64,
    /// Shortest retry delay sent to a refused caller.
    pub min_retry_after_ms: u64,
    /// Longest retry delay sent to a refused caller.
    pub max_retry_after_ms: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity_entries: 2_048,
            classes: FastHashMap::default(),
            organisations: FastHashMap::default(),
            ageing_ms: 2_000,
            aged_fraction: Permille(50),
            max_wait_fraction: Permille(700),
            rate_window_ms: 5_000,
            min_retry_after_ms: 100,
            max_retry_after_ms: 60_000,
        }
    }
}

impl QueueSettings {
    /// Sets the share of a class.
    #[must_use]
    pub fn with_class(mut self, class: impl Into<RequestClass>, share: SchedulingShare) -> Self {
        self.classes.insert(class.into(), share);
        self
    }

    /// Sets the share of an organisation.
    #[must_use]
    pub fn with_organisation(
        mut self,
        organisation: impl Into<OrganisationName>,
        share: SchedulingShare,
    ) -> Self {
        self.organisations.insert(organisation.into(), share);
        self
    }

    /// Sets the maximum number of entries.
    #[must_use]
    pub const fn with_capacity(mut self, capacity_entries: usize) -> Self {
        self.capacity_entries = capacity_entries;
        self
    }

    /// Serves ranks in strict order, in which low ranks may starve.
    #[must_use]
    pub const fn strict(mut self) -> Self {
        self.aged_fraction = Permille(0);
        self
    }

    pub(crate) fn class_share(&self, class: &RequestClass) -> SchedulingShare {
        let last = SchedulingShare::ranked(u32::MAX);
        self.classes.get(class).copied().unwrap_or(last)
    }

    pub(crate) fn organisation_share(&self, organisation: &OrganisationName) -> SchedulingShare {
        self.organisations
            .get(organisation)
            .copied()
            .unwrap_or_default()
    }
}
