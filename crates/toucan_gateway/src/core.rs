//! The state of a gateway that its tasks share.

use std::rc::Rc;

use toucan_router::RetryBudget;
use toucan_types::{FastHashMap, OrganisationName, ServiceName, Tokens};

use crate::{
    budget::Wallet,
    config::FleetConfig,
    peers::Members,
    placement::TargetTable,
    retries::{initial_retry_budget, retry_share},
    settings::Bounds,
};

/// Time for which calls are still accepted after the process was told to stop. The balancer notices
/// a VM that is not ready within two of its questions, which it asks once a second.
pub(crate) const ACCEPT_MS: u64 = 2_500;

/// Everything that decisions are made from; no sockets, no clock.
#[derive(Debug, Default)]
pub(crate) struct Core {
    /// The configuration in force; [`None`] until one has been read.
    pub(crate) config: Option<Rc<FleetConfig>>,
    /// Targets; empty until they have been read.
    pub(crate) targets: TargetTable,
    /// Whether the targets have been read once.
    pub(crate) targets_known: bool,
    /// Whether the grants have been read once.
    pub(crate) grants_known: bool,
    /// Tokens by organisation.
    pub(crate) wallets: FastHashMap<OrganisationName, Wallet>,
    /// Tokens that calls wait for, by organisation.
    pub(crate) waiting: FastHashMap<OrganisationName, Tokens>,
    /// What is left of each budget for certain, as last read from the store.
    pub(crate) budget_views: FastHashMap<OrganisationName, BudgetView>,
    /// Calls that found no tokens anywhere, by organisation.
    pub(crate) shortages: FastHashMap<OrganisationName, ShortageNote>,
    /// Other gateways.
    pub(crate) members: Members,
    /// Allowances of retries by service.
    pub(crate) retries: FastHashMap<ServiceName, RetryBudget>,
    /// When the process was told to stop.
    pub(crate) stopping_since_ms: Option<u64>,
    /// Calls in progress.
    pub(crate) calls_in_progress: u32,
}

/// What the store said of a budget when it was last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BudgetView {
    /// When it was read.
    pub(crate) read_at_ms: u64,
    /// Most tokens of the organisation.
    pub(crate) prepaid: Tokens,
    /// Tokens granted to all processes.
    pub(crate) granted: Tokens,
    /// Tokens that all processes have reported as spent.
    pub(crate) spent: Tokens,
}

/// A call that found no tokens anywhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShortageNote {
    at_ms: u64,
    tokens: Tokens,
}

impl Core {
    /// Notes that nobody had so many tokens.
    pub(crate) fn note_short(
        &mut self,
        organisation: &OrganisationName,
        tokens: Tokens,
        now_ms: u64,
    ) {
        let note = ShortageNote {
            at_ms: now_ms,
            tokens,
        };
        self.shortages.insert(organisation.clone(), note);
    }

    /// Whether nobody had so many tokens within the last `within_ms`.
    pub(crate) fn is_short(
        &self,
        organisation: &OrganisationName,
        tokens: Tokens,
        now_ms: u64,
        within_ms: u64,
    ) -> bool {
        self.shortages
            .get(organisation)
            .is_some_and(|note| now_ms < note.at_ms + within_ms && tokens >= note.tokens)
    }

    /// Whether new calls may be accepted.
    pub(crate) const fn is_ready(&self) -> bool {
        self.config.is_some()
            && self.targets_known
            && self.grants_known
            && self.stopping_since_ms.is_none()
    }

    /// Time for which calls are still accepted; [`None`] if no stop is planned.
    pub(crate) fn remaining_accept_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.stopping_since_ms?;
        Some((since_ms + ACCEPT_MS).saturating_sub(now_ms))
    }

    /// Whether a planned stop has come so far that calls are refused.
    pub(crate) fn refuses_new_calls(&self, now_ms: u64) -> bool {
        self.remaining_accept_ms(now_ms) == Some(0)
    }

    /// The wallet of an organisation.
    pub(crate) fn wallet(&mut self, organisation: &OrganisationName) -> &mut Wallet {
        self.wallets.entry(organisation.clone()).or_default()
    }

    /// Counts a call for the allowance of retries of its service.
    pub(crate) fn note_call(&mut self, service: &ServiceName, bounds: &Bounds, now_ms: u64) {
        self.retry_budget(service, bounds, now_ms).record_success();
    }

    /// Takes one retry from the allowance of a service.
    pub(crate) fn take_retry(
        &mut self,
        service: &ServiceName,
        bounds: &Bounds,
        now_ms: u64,
    ) -> bool {
        self.retry_budget(service, bounds, now_ms).take(now_ms)
    }

    fn retry_budget(
        &mut self,
        service: &ServiceName,
        bounds: &Bounds,
        now_ms: u64,
    ) -> &mut RetryBudget {
        let processes = self.members.process_count(now_ms);
        let budget = self
            .retries
            .entry(service.clone())
            .or_insert_with(|| initial_retry_budget(bounds, processes, now_ms));
        budget.set_settings(retry_share(bounds, processes));
        budget
    }
}
