//! The operators' order of classes and organisations.

use toucan_types::{FastHashMap, OrganisationName, Permille, RequestClass};

/// Place in the operators' order.
///
/// A smaller rank is served first; members of equal rank share the service by their weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingShare {
    /// Rank; smaller is served first.
    pub rank: u32,
    /// Share among members of the same rank, at least 1.
    pub weight: u32,
}

impl Default for SchedulingShare {
    fn default() -> Self {
        Self { rank: 0, weight: 1 }
    }
}

impl SchedulingShare {
    /// The first rank with this weight.
    #[must_use]
    pub const fn weighted(weight: u32) -> Self {
        Self { rank: 0, weight }
    }

    /// This rank with weight 1.
    #[must_use]
    pub const fn ranked(rank: u32) -> Self {
        Self { rank, weight: 1 }
    }
}

/// Settings of an [`AdmissionQueue`](crate::AdmissionQueue).
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Most entries.
    pub capacity_entries: usize,
    /// Order of the classes; a class that is not named gets the last rank.
    pub classes: FastHashMap<RequestClass, SchedulingShare>,
    /// Order of the organisations within each class; one that is not named gets the default.
    pub organisations: FastHashMap<OrganisationName, SchedulingShare>,
    /// Wait after which an entry counts as aged.
    pub ageing_ms: u64,
    /// Share of the dispatches that go to the oldest aged entry whatever its rank; 0 is strict order,
    /// which lets low ranks starve.
    pub aged_share: Permille,
    /// Share of the time left before the latest start that the expected wait may take. The rest is
    /// for the error of the expectation: without it requests are admitted that wait long and are
    /// refused after all.
    pub wait_share: Permille,
    /// Time over which the observed rate of service is averaged.
    pub rate_window_ms: u64,
    /// Shortest time that a refused caller is told to wait.
    pub least_retry_after_ms: u64,
    /// Longest time that a refused caller is told to wait.
    pub most_retry_after_ms: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity_entries: 2_048,
            classes: FastHashMap::default(),
            organisations: FastHashMap::default(),
            ageing_ms: 2_000,
            aged_share: Permille(50),
            wait_share: Permille(700),
            rate_window_ms: 5_000,
            least_retry_after_ms: 100,
            most_retry_after_ms: 60_000,
        }
    }
}

impl QueueSettings {
    /// Sets the place of a class.
    #[must_use]
    pub fn with_class(mut self, class: impl Into<RequestClass>, share: SchedulingShare) -> Self {
        self.classes.insert(class.into(), share);
        self
    }

    /// Sets the place of an organisation.
    #[must_use]
    pub fn with_organisation(
        mut self,
        organisation: impl Into<OrganisationName>,
        share: SchedulingShare,
    ) -> Self {
        self.organisations.insert(organisation.into(), share);
        self
    }

    /// Sets the most entries.
    #[must_use]
    pub const fn with_capacity(mut self, capacity_entries: usize) -> Self {
        self.capacity_entries = capacity_entries;
        self
    }

    /// Serves ranks strictly, so that low ranks may starve.
    #[must_use]
    pub const fn strict(mut self) -> Self {
        self.aged_share = Permille(0);
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
