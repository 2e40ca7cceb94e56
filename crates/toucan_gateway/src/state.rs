//! State that the tasks of a gateway share.

use std::rc::Rc;

use toucan_router::RetryBudget;
use toucan_types::{FastHashMap, OrganisationName, ServiceName, TargetName, Tokens};

use crate::{
    budget::{RestoreGate, Wallet},
    config::{Evacuations, FleetConfig, Route},
    limits::{CallRate, PermitGrant, PermitGranter},
    overload::{CallAdmission, CallDurations, FairShares, Relief, ReturnSchedule},
    peers::{GatewayLocation, Members},
    placement::{
        DepartureCatchUp, DepartureHistory, PlannedDepartures, RecentDepartures, RecordPlace,
        RegistrationRead, TargetTable,
    },
    poison::{BrokenCalls, PoisonTable, VerdictOutbox},
    retries::{initial_retry_budget, retry_share},
    settings::Bounds,
    streams::{OriginOutbox, OriginTable, VersionHistory},
};

/// Time for which a process that is shutting down still accepts calls. The load balancer probes
/// readiness once a second and notices a VM that is not ready within two probes.
pub(crate) const SHUTDOWN_ACCEPT_MS: u64 = 2_500;

/// Part of the time until the process is killed in which calls may complete, in thousandths.
const DRAIN_PERMILLE: u64 = 900;

/// Time for which a configuration is told again, in case a datagram was lost.
const CONFIG_REPEAT_MS: u64 = 2_500;

/// Maximum age of a record that shows a budget as fully granted. Later, other gateways may have
/// returned tokens, or the organisation may have paid for more.
const FULLY_GRANTED_MAX_AGE_MS: u64 = 500;

/// Everything that decisions are based on. It holds no sockets and reads no clock.
#[derive(Debug, Default)]
pub(crate) struct GatewayState {
    /// Current configuration; [`None`] until one has been read.
    pub(crate) config: Option<Rc<FleetConfig>>,
    /// Highest version of a configuration that another gateway has told to be in force.
    pub(crate) told_config_version: u64,
    /// When the current configuration was read; [`None`] until one has been.
    pub(crate) config_read_at_ms: Option<u64>,
    /// Evacuated data centres.
    pub(crate) evacuations: Evacuations,
    /// Whether all targets are in evacuated data centres, as last reported.
    pub(crate) all_evacuated: bool,
    /// Registered targets; empty until they have been read.
    pub(crate) targets: TargetTable,
    /// Departures of targets that this gateway knows of.
    pub(crate) departures: DepartureHistory,
    /// Departures as evidence of how the processes of targets end.
    pub(crate) planned_departures: PlannedDepartures,
    /// How old the knowledge of `departures` is.
    pub(crate) departure_catch_up: DepartureCatchUp,
    /// Departures that this gateway has read lately, which it tells the others.
    pub(crate) told_departures: RecentDepartures,
    /// Software versions that the targets have recently run.
    pub(crate) target_versions: VersionHistory,
    /// Where recent streams began.
    pub(crate) stream_origins: OriginTable,
    /// Where running streams began that the store does not tell yet.
    pub(crate) origin_outbox: OriginOutbox,
    /// Permits that this gateway grants for calls to targets with a limit.
    pub(crate) permit_granter: PermitGranter,
    /// Calls whose connections broke, until it is known whether their targets have ended.
    pub(crate) broken_calls: BrokenCalls,
    /// Fingerprints of calls that may end targets.
    pub(crate) poison: PoisonTable,
    /// Verdicts on them that are to be written to the store.
    pub(crate) verdict_outbox: VerdictOutbox,
    /// Whether the targets have been read at least once.
    pub(crate) targets_loaded: bool,
    /// When tasks last ran so late that a target may have started again unnoticed; [`None`] if they never did.
    pub(crate) ran_late_at_ms: Option<u64>,
    /// When the last read of the targets began that returned all.
    pub(crate) targets_read_at_ms: u64,
    /// Whether the other gateways have been read at least once.
    pub(crate) members_loaded: bool,
    /// Whether the last synchronisation of the wallets with the store failed.
    pub(crate) grants_unreachable: bool,
    /// Whether the grants have been read at least once.
    pub(crate) grants_loaded: bool,
    /// Holds back draws after a restore of the store.
    pub(crate) restore_gate: RestoreGate,
    /// Wallet of each organisation.
    pub(crate) wallets: FastHashMap<OrganisationName, Wallet>,
    /// Tokens that calls are waiting for, by organisation.
    pub(crate) waiting_tokens: FastHashMap<OrganisationName, WaitingTokens>,
    /// Totals of each budget, as last read from the store.
    pub(crate) budget_snapshots: FastHashMap<OrganisationName, BudgetSnapshot>,
    /// Last shortage of each organisation.
    pub(crate) shortages: FastHashMap<OrganisationName, RecentShortage>,
    /// The other gateways.
    pub(crate) members: Members,
    /// Admits calls by the room that this VM has.
    pub(crate) admission: CallAdmission,
    /// Whether callers are moved to other gateways; [`None`] before the first load message.
    pub(crate) relief: Option<Relief>,
    /// Work of organisations, for their shares while targets are behind.
    pub(crate) fair_shares: FairShares,
    /// When refused callers of each service return.
    pub(crate) return_schedules: FastHashMap<ServiceName, ReturnSchedule>,
    /// Retry budget of each service.
    pub(crate) retry_budgets: FastHashMap<ServiceName, RetryBudget>,
    /// When the shutdown began; [`None`] if the process is not shutting down.
    pub(crate) stopping_since_ms: Option<u64>,
    /// Number of calls in progress.
    pub(crate) calls_in_progress: u32,
    /// How long calls have taken.
    pub(crate) call_durations: CallDurations,
}

/// Tokens of one organisation that calls are waiting for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WaitingTokens {
    /// Tokens that calls to this gateway need.
    pub(crate) local: Tokens,
    /// Tokens that calls to other gateways need, which asked this one for a loan.
    pub(crate) remote: Tokens,
    /// The part of `local` whose calls have waited too long for a loan.
    pub(crate) overdue: Tokens,
}

/// Totals of one budget, as read from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BudgetSnapshot {
    /// When the totals were read.
    pub(crate) read_at_ms: u64,
    /// Tokens that the organisation has paid for.
    pub(crate) prepaid: Tokens,
    /// Tokens granted to all processes together.
    pub(crate) granted: Tokens,
    /// Tokens that all processes together have reported as spent.
    pub(crate) spent: Tokens,
}

/// Shortage that a call met: this gateway, its peers and the store had too few tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentShortage {
    at_ms: u64,
    tokens: Tokens,
}

impl GatewayState {
    /// Returns the time since the registrations of targets were read.
    pub(crate) const fn targets_read_ms_ago(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.targets_read_at_ms)
    }

    /// Returns what is known of the record at `place` about a target, which no complete read has shown before.
    pub(crate) const fn registration_read(
        &self,
        place: RecordPlace,
        now_ms: u64,
    ) -> RegistrationRead {
        RegistrationRead {
            place,
            accepted_after_ms: self.targets_read_at_ms,
            now_ms,
        }
    }

    /// Records that neither the store nor a peer had this many tokens.
    pub(crate) fn record_shortage(
        &mut self,
        organisation: &OrganisationName,
        tokens: Tokens,
        now_ms: u64,
    ) {
        let shortage = RecentShortage {
            at_ms: now_ms,
            tokens,
        };
        self.shortages.insert(organisation.clone(), shortage);
    }

    /// Returns whether a call for at most `tokens` found a shortage within the last `within_ms`.
    pub(crate) fn has_recent_shortage(
        &self,
        organisation: &OrganisationName,
        tokens: Tokens,
        now_ms: u64,
        within_ms: u64,
    ) -> bool {
        self.shortages.get(organisation).is_some_and(|shortage| {
            now_ms < shortage.at_ms + within_ms && tokens >= shortage.tokens
        })
    }

    /// Returns whether anything was read from the store or granted by it.
    pub(crate) const fn has_used_store(&self) -> bool {
        let has_read = self.config.is_some() || self.targets_loaded || self.members_loaded;
        has_read || self.grants_loaded
    }

    /// Returns whether another gateway has a newer configuration than this one.
    pub(crate) fn is_config_outdated(&self) -> bool {
        let version = self.config.as_ref().map_or(0, |config| config.version.0);
        self.told_config_version > version
    }

    /// Returns the version of the configuration that this gateway has read lately and tells the others.
    pub(crate) fn config_to_tell(&self, location: &GatewayLocation, now_ms: u64) -> Option<u64> {
        let read_at_ms = self.config_read_at_ms?;
        let version = self.config.as_ref()?.version.0;
        let is_recent = now_ms <= read_at_ms + CONFIG_REPEAT_MS;
        let is_teller = self.members.is_teller(&version, location, now_ms);
        (is_recent && is_teller).then_some(version)
    }

    /// Returns whether the gateway is ready to accept new calls.
    pub(crate) fn is_ready(&self) -> bool {
        self.config.is_some()
            && self.targets_loaded
            && self.grants_loaded
            && self.stopping_since_ms.is_none()
            && !self.moves_callers()
    }

    /// Returns whether callers are moved to other gateways, because this one carries much more.
    pub(crate) fn moves_callers(&self) -> bool {
        self.relief.is_some_and(|relief| relief.is_active())
    }

    /// Returns the part of the resources of this VM that is in use.
    pub(crate) fn utilisation_permille(&self, now_ms: u64) -> u32 {
        self.admission
            .utilisation_permille(self.calls_in_progress, now_ms)
    }

    /// Decides whether callers are moved to other gateways; returns whether that changed.
    pub(crate) fn update_relief(&mut self, id: u64, local: &GatewayLocation, now_ms: u64) -> bool {
        let was_active = self.moves_callers();
        let utilisation_permille = self.utilisation_permille(now_ms);
        let reports = self.members.utilisations(local, now_ms);
        let relief = self.relief.get_or_insert_with(|| Relief::new(now_ms));
        relief.update(id, utilisation_permille, &reports, now_ms);
        self.moves_callers() != was_active
    }

    /// Returns the time for which calls are still accepted; [`None`] if no shutdown has begun.
    pub(crate) fn remaining_accept_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.stopping_since_ms?;
        Some((since_ms + SHUTDOWN_ACCEPT_MS).saturating_sub(now_ms))
    }

    /// Returns whether a shutdown has reached the phase in which new calls are refused.
    pub(crate) fn refuses_new_calls(&self, now_ms: u64) -> bool {
        self.remaining_accept_ms(now_ms) == Some(0)
    }

    /// Returns when calls in progress are cut off, `stop_ms` being the time until the process is killed; [`None`] if no
    /// shutdown has begun.
    pub(crate) fn cut_off_ms(&self, stop_ms: u64) -> Option<u64> {
        let since_ms = self.stopping_since_ms?;
        Some(since_ms + stop_ms * DRAIN_PERMILLE / 1_000)
    }

    /// Returns whether a call on a route that may run once can be sent and will have ended before the process does. One
    /// that may be repeated is always sent.
    pub(crate) fn ends_before_stop(
        &self,
        route: &Route,
        left_ms: u64,
        stop_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(cut_off_ms) = self.cut_off_ms(stop_ms) else {
            return true;
        };
        let available_ms = cut_off_ms.saturating_sub(now_ms);
        let durations = &self.call_durations;
        route.kind.may_run_again()
            || durations.ends_within(&route.name, left_ms, available_ms, now_ms)
    }

    /// Returns the tokens of an organisation that calls to this gateway wait for and that its
    /// wallet lacks.
    pub(crate) fn missing_tokens(&mut self, organisation: &OrganisationName) -> Tokens {
        let waiting = self.waiting(organisation).local;
        waiting.saturating_sub(self.wallet(organisation).available())
    }

    /// Returns the tokens of an organisation that calls are waiting for.
    pub(crate) fn waiting(&self, organisation: &OrganisationName) -> WaitingTokens {
        self.waiting_tokens
            .get(organisation)
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether the store has granted the whole budget of an organisation, as far as was
    /// read recently.
    pub(crate) fn is_fully_granted(&self, organisation: &OrganisationName, now_ms: u64) -> bool {
        self.budget_snapshots
            .get(organisation)
            .is_some_and(|snapshot| {
                snapshot.granted >= snapshot.prepaid
                    && now_ms <= snapshot.read_at_ms + FULLY_GRANTED_MAX_AGE_MS
            })
    }

    /// Returns whether tokens may be drawn, as far as the store's last restore is concerned.
    pub(crate) fn may_draw(&mut self, now_ms: u64) -> bool {
        let recoveries = self.members.recoveries(now_ms);
        self.restore_gate.update(recoveries, now_ms)
    }

    /// Returns whether there are targets and all of them are in evacuated data centres.
    pub(crate) fn are_all_targets_evacuated(&self) -> bool {
        let mut targets = self.targets.iter().peekable();
        !self.evacuations.is_empty()
            && targets.peek().is_some()
            && targets.all(|target| self.evacuations.contains(&target.entry.data_centre))
    }

    /// Notes which gateways are heard from, and forgets the permits for targets that have ended.
    pub(crate) fn observe_members(&mut self, now_ms: u64) {
        if self.members_loaded {
            self.members.observe(now_ms);
        }
        let targets = &self.targets;
        self.permit_granter
            .retain(|target| targets.get(target).is_some());
    }

    /// Returns the limit on the calls to a target from all gateways together; [`None`] if there is none.
    pub(crate) fn call_limit(&self, target: &TargetName, now_ms: u64) -> Option<CallRate> {
        let target = self.targets.get(target)?;
        let services = self.config.as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(&target.entry.service));
        target.call_limit(service.and_then(|service| service.cold_limit), now_ms)
    }

    /// Grants up to `wanted` permits for calls to a target, as far as this gateway may. `asked_limit` is the
    /// limit that the asking gateway knows.
    pub(crate) fn grant_permits(
        &mut self,
        target: &TargetName,
        asked_limit: CallRate,
        location: &GatewayLocation,
        wanted: u32,
        now_ms: u64,
    ) -> PermitGrant {
        let known_limit = self.call_limit(target, now_ms);
        let limit = known_limit.map_or(asked_limit, |limit| limit.min(asked_limit));
        let share = if self.members_loaded {
            self.members.permit_share(target, location, now_ms)
        } else {
            0.0
        };
        let granter = &mut self.permit_granter;
        granter.grant(target, limit, share, wanted, now_ms)
    }

    /// Returns whether this gateway holds tokens of an organisation for its data centre.
    pub(crate) fn is_holder(
        &self,
        organisation: &OrganisationName,
        location: &GatewayLocation,
        now_ms: u64,
    ) -> bool {
        self.members_loaded && self.members.is_holder(organisation, location, now_ms)
    }

    /// Returns the wallet of an organisation, creating an empty one if there is none.
    pub(crate) fn wallet(&mut self, organisation: &OrganisationName) -> &mut Wallet {
        self.wallets.entry(organisation.clone()).or_default()
    }

    /// Counts a call towards the retry budget of its service.
    pub(crate) fn record_call(&mut self, service: &ServiceName, bounds: &Bounds, now_ms: u64) {
        self.retry_budget(service, bounds, now_ms).record_success();
    }

    /// Takes one retry from the budget of a service; returns false if none is left.
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
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(|| initial_retry_budget(bounds, processes, now_ms));
        budget.set_settings(retry_share(bounds, processes));
        budget
    }
}
