//! State of the orders duty and the dispatch of its messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use serde_json::json;
use toucan_config::Document;
use toucan_platform::{LogEntry, OrderError, formats::EngineLoad};
use toucan_router::{
    ModelKey, ModelPlanner, Order, OrderClaim, OrderGroup, OrderKind, OrderReconciler,
    OrderSettings, PlannerSettings, ReportedState, TargetState, WeightDownloadLimiter,
    WeightDownloadSettings,
};
use toucan_types::{FastHashMap, FastHashSet, Offset, TargetName};

use super::{
    LiveNodes, OrdersMessage,
    demand::{demand, next_models, planner_target},
};
use crate::{
    admission::{KnownTarget, target_role},
    kernel::{Duty, Identity, Ring},
    platform_io::PlatformCommand,
    shard_sync::{decode, encode},
    targets::TargetsMessage,
};

/// Time after which a claim that was not read back is appended again, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 3_000;
/// Maximum age of a report before its engine is excluded from plans, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 10_000;

/// Rings that the orders duty sends to.
pub(crate) struct OrdersLinks {
    /// Platform duty.
    pub(crate) platform: Ring<PlatformCommand>,
    /// Targets duty.
    pub(crate) targets: Ring<TargetsMessage>,
}

/// Last report of an engine.
struct Report {
    state: TargetState,
    as_of_ms: u64,
    received_ms: u64,
    batch_limit: u32,
    requests: u64,
}

/// Duty that decides the orders for the groups of targets that this node claimed.
pub(crate) struct OrdersDuty {
    identity: Identity,
    links: OrdersLinks,
    reconciler: OrderReconciler,
    document: Arc<Document>,
    groups: BTreeMap<OrderGroup, Vec<KnownTarget>>,
    reports: FastHashMap<TargetName, Report>,
    planners: FastHashMap<OrderGroup, ModelPlanner>,
    live: LiveNodes,
    /// Appended claims that were not read back, with their timeouts in milliseconds since 1970.
    pending_claims: FastHashMap<OrderGroup, u64>,
    /// Targets whose last order has no outcome yet.
    in_flight: FastHashSet<TargetName>,
    /// Downloads per minute in the document, and the limiter for them.
    download_limiter: Option<(u32, WeightDownloadLimiter)>,
    next_offset: Offset,
}

impl OrdersDuty {
    /// Returns a duty that has read no claims.
    pub(crate) fn new(identity: Identity, settings: OrderSettings, links: OrdersLinks) -> Self {
        let reconciler = OrderReconciler::new(settings, identity.incarnation);
        Self {
            identity,
            links,
            reconciler,
            document: Arc::new(Document::default()),
            groups: BTreeMap::new(),
            reports: FastHashMap::default(),
            planners: FastHashMap::default(),
            live: LiveNodes::default(),
            pending_claims: FastHashMap::default(),
            in_flight: FastHashSet::default(),
            download_limiter: None,
            next_offset: Offset(0),
        }
    }

    fn read(
        &mut self,
        entries: &[LogEntry],
        next_offset: Offset,
        requested_at: Instant,
        now_ms: u64,
    ) {
        for entry in entries {
            self.next_offset = entry.offset.next();
            let Some(claim) = decode::<OrderClaim>(&entry.data) else {
                log::error!(
                    "cannot decode record {} of the claims stream",
                    entry.offset.0
                );
                continue;
            };
            self.reconciler.apply_claim(&claim, entry.offset, now_ms);
            if claim.incarnation == self.identity.incarnation {
                self.pending_claims.remove(&claim.group);
                let group = &claim.group;
                log::info!(
                    "claimed the orders of {} in {}",
                    group.service,
                    group.data_centre
                );
            }
        }
        if self.next_offset >= next_offset {
            // The response reflects the time of the request: a pause of the process in between must
            // not make it appear more recent.
            let age_ms = u64::try_from(requested_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.reconciler
                .record_caught_up(now_ms.saturating_sub(age_ms));
        }
    }

    fn apply_targets(&mut self, document: Arc<Document>, targets: Vec<KnownTarget>, now_ms: u64) {
        let mut groups: BTreeMap<OrderGroup, Vec<KnownTarget>> = BTreeMap::new();
        let mut all = BTreeSet::new();
        for target in targets.into_iter().filter(|target| target.is_engine) {
            let group = OrderGroup {
                data_centre: target.description.data_centre.clone(),
                service: target.description.service.clone(),
            };
            all.insert(group.clone());
            if group.data_centre == self.identity.data_centre {
                groups.entry(group).or_default().push(target);
            }
        }
        for targets in groups.values_mut() {
            targets.sort_by(|one, other| one.description.name.cmp(&other.description.name));
        }
        let known: FastHashSet<&TargetName> = groups
            .values()
            .flatten()
            .map(|target| &target.description.name)
            .collect();
        let gone: Vec<TargetName> = self
            .reports
            .keys()
            .filter(|name| !known.contains(name))
            .cloned()
            .collect();
        for name in gone {
            self.reports.remove(&name);
            self.reconciler.forget(&name);
        }
        self.planners.retain(|group, _| groups.contains_key(group));
        self.groups = groups;
        self.document = document;
        self.configure_download_limiter(all.len(), now_ms);
    }

    /// Limits this node to its even share of the weight store's rate, by groups of the fleet.
    fn configure_download_limiter(&mut self, groups: usize, now_ms: u64) {
        let downloads_per_minute = self.document.operations().weight_store.downloads_per_min;
        let own = self
            .groups
            .keys()
            .filter(|group| self.reconciler.fencing_number(group).is_some())
            .count();
        let deciders = u32::try_from(groups.div_ceil(own.max(1))).unwrap_or(u32::MAX);
        match &mut self.download_limiter {
            Some((rate, limiter)) if *rate == downloads_per_minute => {
                limiter.set_deciders(deciders);
            }
            limiter => {
                let settings = WeightDownloadSettings {
                    downloads_per_minute,
                };
                *limiter = Some((
                    downloads_per_minute,
                    WeightDownloadLimiter::new(settings, deciders, now_ms),
                ));
            }
        }
    }

    fn apply_load(&mut self, target: TargetName, load: &EngineLoad, now_ms: u64) {
        let state = TargetState {
            models: load
                .models
                .iter()
                .map(|name| ModelKey::parse(name))
                .collect(),
            role: target_role(load.role),
        };
        let report = Report {
            state,
            as_of_ms: load.as_of_ms,
            received_ms: now_ms,
            batch_limit: load.batch_limit,
            requests: u64::from(load.running).saturating_add(u64::from(load.waiting)),
        };
        if load.leaving {
            // A leaving engine receives no orders; its next reports repeat that it is leaving.
            self.reports.remove(&target);
        } else {
            self.reports.insert(target, report);
        }
    }

    fn claim(&mut self, group: &OrderGroup, now_ms: u64) {
        if self
            .pending_claims
            .get(group)
            .is_some_and(|until_ms| now_ms < *until_ms)
        {
            return;
        }
        let is_decider = group.decider(&self.live.here) == Some(&self.identity.vm);
        let live = &self.live.incarnations;
        let wanted =
            self.reconciler
                .wanted_claim(group, is_decider, |other| live.contains(&other), now_ms);
        let Some(bytes) = wanted.and_then(|claim| encode(&claim)) else {
            return;
        };
        let append = PlatformCommand::AppendClaim { bytes };
        if self.links.platform.try_send(append).is_ok() {
            metrics::counter!("toucan_order_claims_total").increment(1);
            let until_ms = now_ms.saturating_add(CLAIM_TIMEOUT_MS);
            self.pending_claims.insert(group.clone(), until_ms);
        }
    }

    fn send_orders(&mut self, group: &OrderGroup, now_ms: u64) {
        // A draining node decides nothing more; another node claims the group.
        let is_draining = !self.live.here.contains(&self.identity.vm);
        if is_draining || self.reconciler.fencing_number(group).is_none() {
            return;
        }
        let Some(service) = self.document.service(group.service.as_str()) else {
            return;
        };
        let honours_fencing = service.honours_fencing;
        let targets = self.groups.get(group).map_or(&[][..], Vec::as_slice);
        let reporting: Vec<(&KnownTarget, &Report)> = targets
            .iter()
            .filter(|target| !target.leaving_by_platform && !target.drained_by_operator)
            .filter_map(|target| Some((target, self.reports.get(&target.description.name)?)))
            .filter(|(_, report)| now_ms.saturating_sub(report.received_ms) <= MAX_REPORT_AGE_MS)
            .collect();
        let requests = reporting.iter().map(|(_, report)| report.requests).sum();
        let demands = demand(&self.document, group, reporting.len(), requests);
        let planned: Vec<_> = reporting
            .iter()
            .map(|(target, report)| {
                let name = &target.description.name;
                planner_target(name, &report.state.models, report.batch_limit, &demands)
            })
            .collect();
        let planner = self
            .planners
            .entry(group.clone())
            .or_insert_with(|| ModelPlanner::new(PlannerSettings::default()));
        let plan = planner.plan(&demands, &planned, now_ms);
        for (target, report) in reporting {
            let name = &target.description.name;
            let Some(models) = plan.get(name) else {
                continue;
            };
            if self.in_flight.contains(name) {
                continue;
            }
            let reported = ReportedState {
                state: report.state.clone(),
                as_of_ms: report.as_of_ms,
                honours_fencing,
            };
            let desired = TargetState {
                models: next_models(&report.state.models, models),
                // The document does not assign roles to targets.
                role: report.state.role,
            };
            let order = self
                .reconciler
                .peek_order(group, name, &reported, &desired, now_ms);
            let Some(order) = order else {
                continue;
            };
            let is_load = matches!(order.kind, OrderKind::Load { .. });
            let mut may_load = || {
                let limiter = self.download_limiter.as_mut();
                limiter.is_some_and(|(_, limiter)| limiter.try_acquire(now_ms))
            };
            if is_load && !may_load() {
                continue;
            }
            let message = TargetsMessage::Order {
                order: order.clone(),
                address: target.address,
                decided_at: Instant::now(),
            };
            if self.links.targets.try_send(message).is_ok() {
                log::info!(
                    "order {} to {name}: {:?}",
                    order.fencing_number.0,
                    order.kind
                );
                self.reconciler.record_sent(&order, now_ms);
                self.in_flight.insert(name.clone());
            }
        }
    }

    fn record_outcome(&mut self, order: &Order, outcome: Result<(), OrderError>, now_ms: u64) {
        let target = &order.target;
        self.in_flight.remove(target);
        let is_load = matches!(order.kind, OrderKind::Load { .. });
        let limiter = self.download_limiter.as_mut().map(|(_, limiter)| limiter);
        match outcome {
            Ok(()) => {
                if let Some(limiter) = limiter.filter(|_| is_load) {
                    limiter.record_allowed();
                }
            }
            Err(OrderError::Fenced { seen }) => {
                self.reconciler.undo_sent(target);
                let group = self.groups.iter().find_map(|(group, targets)| {
                    let is_this = |known: &KnownTarget| known.description.name == *target;
                    targets.iter().any(is_this).then_some(group)
                });
                if let Some(group) = group {
                    self.reconciler.record_refusal(group, seen);
                }
            }
            Err(OrderError::RateLimited { retry_after_ms }) => {
                self.reconciler.undo_sent(target);
                if let Some(limiter) = limiter {
                    limiter.record_refused(retry_after_ms, now_ms);
                }
            }
            // Sent again after the retry interval.
            Err(error) => log::warn!("order {} to {target}: {error}", order.fencing_number.0),
        }
    }
}

impl Duty for OrdersDuty {
    type Message = OrdersMessage;

    const NAME: &'static str = "orders";
    const TICK_MS: u64 = 250;

    fn handle(&mut self, message: OrdersMessage, now_ms: u64) {
        match message {
            OrdersMessage::Targets { document, targets } => {
                self.apply_targets(document, targets, now_ms);
            }
            OrdersMessage::Load { target, load } => self.apply_load(target, &load, now_ms),
            OrdersMessage::LiveNodes(live) => self.live = live,
            OrdersMessage::Read {
                entries,
                next_offset,
                requested_at,
            } => self.read(&entries, next_offset, requested_at, now_ms),
            OrdersMessage::Expired(first) => {
                self.next_offset = self.next_offset.max(first);
                let from = self.next_offset;
                let _ended = self
                    .links
                    .platform
                    .send(PlatformCommand::FollowOrders { from });
            }
            OrdersMessage::OrderCompleted { order, outcome } => {
                self.record_outcome(&order, outcome, now_ms);
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let groups: Vec<OrderGroup> = self.groups.keys().cloned().collect();
        for group in groups {
            self.claim(&group, now_ms);
            self.send_orders(&group, now_ms);
        }
    }

    fn dump(&self, _now_ms: u64) -> serde_json::Value {
        let groups = self.groups.iter().map(|(group, targets)| {
            let fencing_number = self.reconciler.fencing_number(group);
            json!({
                "service": group.service,
                "targets": targets.len(),
                "decider": group.decider(&self.live.here),
                "fencing_number": fencing_number.map(|number| number.0),
            })
        });
        let limiter = self.download_limiter.as_ref();
        json!({
            "groups": groups.collect::<Vec<_>>(),
            "downloads_per_min": limiter.map(|(_, limiter)| limiter.downloads_per_minute()),
            "orders_under_way": self.in_flight.len(),
            "claims_read_to": self.next_offset,
        })
    }
}
