//! Orders to targets: one node issues them, one at a time, and the target's report confirms each.

use toucan_types::{
    AdapterName, FastHashMap, FencingNumber, IncarnationId, ModelName, Offset, TargetName,
    VersionName,
};

use crate::{ModelKey, OrderClaim, OrderClaims, OrderGroup, TargetRole};

/// Settings of an [`OrderReconciler`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Shortest time between a new claim and its first order, and between two contradictory orders
    /// to a target. At least twice the longest time for which an order may be in flight.
    pub settle_ms: u64,
    /// Time for which the claim of another live node is respected. Prevents two nodes with
    /// different views of which nodes are live from taking the group over from each other in turn.
    pub takeover_cooldown_ms: u64,
    /// Longest time since this node last reached the end of the log for which it still assumes that
    /// its claim is active.
    pub max_log_staleness_ms: u64,
    /// Time after which an order is sent again if the target's reports do not confirm it.
    pub resend_after_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            settle_ms: 10_000,
            takeover_cooldown_ms: 60_000,
            max_log_staleness_ms: 4_000,
            resend_after_ms: 30_000,
        }
    }
}

/// Command to a target. All commands are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load a version of a model, with an adapter if one is given.
    Load {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
        /// Adapter.
        adapter: Option<AdapterName>,
    },
    /// Unload a version of a model once its streams have ended.
    Unload {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
    },
    /// Change the role of the target.
    ChangeRole {
        /// New role.
        role: TargetRole,
    },
}

/// Order to a target, with the fencing number of the claim under which it is issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Target.
    pub target: TargetName,
    /// Fencing number, which increases with each new claim.
    pub fencing_number: FencingNumber,
    /// Command.
    pub kind: OrderKind,
}

/// Models and role of a target, either desired or reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetState {
    /// Loaded models.
    pub models: Vec<ModelKey>,
    /// Role.
    pub role: TargetRole,
}

/// State of a target according to its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedState {
    /// Models and role.
    pub state: TargetState,
    /// Time at which the reported state was current.
    pub as_of_ms: u64,
    /// Whether the target rejects orders with an outdated fencing number.
    pub honours_fencing: bool,
}

#[derive(Clone, Debug)]
struct LastOrder {
    kind: OrderKind,
    sent_ms: u64,
    /// The preceding order and the time at which it was sent. It becomes the last one again if the
    /// target did not execute this one.
    previous: Option<(OrderKind, u64)>,
}

/// Issues the orders that bring the targets of this node's claimed groups to their desired state.
///
/// See also [`OrderGroup::decider`] for the node that should claim a group, and
/// [`ModelPlanner`](crate::ModelPlanner) for the desired state of a target.
#[derive(Clone, Debug)]
pub struct OrderReconciler {
    settings: OrderSettings,
    incarnation: IncarnationId,
    claims: OrderClaims,
    caught_up_ms: Option<u64>,
    last_orders: FastHashMap<TargetName, LastOrder>,
    /// Largest fencing number with which targets of a group refused orders of this node.
    highest_seen: FastHashMap<OrderGroup, FencingNumber>,
}

impl OrderReconciler {
    /// Creates a reconciler, which issues no orders before it reads a claim of this node from the
    /// log.
    #[must_use]
    pub fn new(settings: OrderSettings, incarnation: IncarnationId) -> Self {
        Self {
            settings,
            incarnation,
            claims: OrderClaims::default(),
            caught_up_ms: None,
            last_orders: FastHashMap::default(),
            highest_seen: FastHashMap::default(),
        }
    }

    /// Applies a claim read from the log.
    pub fn apply_claim(&mut self, claim: &OrderClaim, offset: Offset, now_ms: u64) {
        self.claims.apply(claim, offset, now_ms);
    }

    /// Records that all claims in the log were applied at `now_ms`.
    pub fn record_caught_up(&mut self, now_ms: u64) {
        self.caught_up_ms = Some(now_ms);
    }

    /// Returns the claim to append to the log, if this node should issue the group's orders but
    /// does not do so yet.
    ///
    /// `is_live` tells whether the node of another claim is considered live. The claim of a live node
    /// is respected for [`OrderSettings::takeover_cooldown_ms`]. After a target refused this node's
    /// fencing number as outdated, a claim is returned at once: the log then holds a newer claim
    /// that this node has not read, and only a claim after it gets a higher number.
    #[must_use]
    pub fn wanted_claim(
        &self,
        group: &OrderGroup,
        is_decider: bool,
        is_live: impl Fn(IncarnationId) -> bool,
        now_ms: u64,
    ) -> Option<OrderClaim> {
        if !is_decider || self.caught_up_ms.is_none() {
            return None;
        }
        let highest_seen = self.highest_seen.get(group).copied().unwrap_or_default();
        let is_claimed = self.claims.active_claim(group).is_some_and(|claim| {
            let is_own = claim.incarnation == self.incarnation;
            let in_cooldown =
                now_ms.saturating_sub(claim.read_at_ms) < self.settings.takeover_cooldown_ms;
            is_own && claim.fencing_number > highest_seen
                || !is_own && in_cooldown && is_live(claim.incarnation)
        });
        (!is_claimed).then(|| OrderClaim {
            group: group.clone(),
            incarnation: self.incarnation,
        })
    }

    /// Returns the fencing number of this node's orders for the group, if this node's claim is the
    /// active one as far as it knows.
    #[must_use]
    pub fn fencing_number(&self, group: &OrderGroup) -> Option<FencingNumber> {
        let claim = self.claims.active_claim(group)?;
        (claim.incarnation == self.incarnation).then_some(claim.fencing_number)
    }

    /// Returns the next order that brings a target closer to `desired` and records it as sent, or
    /// returns [`None`] if no order may be sent now.
    ///
    /// See also [`OrderReconciler::peek_order`].
    pub fn next_order(
        &mut self,
        group: &OrderGroup,
        target: &TargetName,
        reported: &ReportedState,
        desired: &TargetState,
        now_ms: u64,
    ) -> Option<Order> {
        let order = self.peek_order(group, target, reported, desired, now_ms)?;
        self.record_sent(&order, now_ms);
        Some(order)
    }

    /// Returns the order that [`OrderReconciler::next_order`] would return, without recording it.
    #[must_use]
    pub fn peek_order(
        &self,
        group: &OrderGroup,
        target: &TargetName,
        reported: &ReportedState,
        desired: &TargetState,
        now_ms: u64,
    ) -> Option<Order> {
        let claim = self.claims.active_claim(group)?;
        if claim.incarnation != self.incarnation {
            return None;
        }
        let is_settled = now_ms.saturating_sub(claim.read_at_ms) >= self.settings.settle_ms;
        if !is_settled {
            return None;
        }
        let kind = orders_towards(&reported.state, desired)
            .into_iter()
            .find(|kind| self.may_send(target, kind, reported, now_ms))?;
        Some(Order {
            target: target.clone(),
            fencing_number: claim.fencing_number,
            kind,
        })
    }

    /// Records an order as sent.
    pub fn record_sent(&mut self, order: &Order, now_ms: u64) {
        let previous = self.last_orders.remove(&order.target);
        let last = LastOrder {
            kind: order.kind.clone(),
            sent_ms: now_ms,
            previous: previous.map(|previous| (previous.kind, previous.sent_ms)),
        };
        self.last_orders.insert(order.target.clone(), last);
    }

    /// Discards the record of a target's last order, which the target certainly did not execute.
    pub fn undo_sent(&mut self, target: &TargetName) {
        let Some(last) = self.last_orders.remove(target) else {
            return;
        };
        if let Some((kind, sent_ms)) = last.previous {
            let last = LastOrder {
                kind,
                sent_ms,
                previous: None,
            };
            self.last_orders.insert(target.clone(), last);
        }
    }

    /// Records that a target refused this node's fencing number because it had seen a larger one.
    pub fn record_refusal(&mut self, group: &OrderGroup, seen: FencingNumber) {
        let largest = self.highest_seen.entry(group.clone()).or_default();
        *largest = (*largest).max(seen);
    }

    /// Removes the records of a target that no longer exists.
    pub fn forget(&mut self, target: &TargetName) {
        self.last_orders.remove(target);
    }

    fn may_send(
        &self,
        target: &TargetName,
        kind: &OrderKind,
        reported: &ReportedState,
        now_ms: u64,
    ) -> bool {
        let is_log_fresh = self.caught_up_ms.is_some_and(|at_ms| {
            now_ms.saturating_sub(at_ms) <= self.settings.max_log_staleness_ms
        });
        // Another node may hold a newer claim that this node has not read. An order is then safe
        // only if the target checks fencing numbers or if the order removes nothing.
        let is_additive = matches!(kind, OrderKind::Load { .. });
        if !is_log_fresh && !reported.honours_fencing && !is_additive {
            return false;
        }
        let Some(last) = self.last_orders.get(target) else {
            return true;
        };
        let since_ms = now_ms.saturating_sub(last.sent_ms);
        if last.kind == *kind {
            return since_ms >= self.settings.resend_after_ms;
        }
        // A report from before the last order may show the state before that order.
        reported.as_of_ms > last.sent_ms
            && (!contradicts(&last.kind, kind) || since_ms >= self.settings.settle_ms)
    }
}

/// Returns all orders that lead from one state to another.
///
/// Loads precede unloads, so that capacity does not drop in between.
fn orders_towards(from: &TargetState, to: &TargetState) -> Vec<OrderKind> {
    let mut orders = Vec::new();
    if from.role != to.role {
        orders.push(OrderKind::ChangeRole { role: to.role });
    }
    for key in to.models.iter().filter(|key| !from.models.contains(key)) {
        let Some(version) = &key.version else {
            continue;
        };
        orders.push(OrderKind::Load {
            model: key.model.clone(),
            version: version.clone(),
            adapter: key.adapter.clone(),
        });
    }
    for key in &from.models {
        let Some(version) = &key.version else {
            continue;
        };
        let wanted = to
            .models
            .iter()
            .any(|wanted| wanted.model == key.model && wanted.version == key.version);
        let unload = OrderKind::Unload {
            model: key.model.clone(),
            version: version.clone(),
        };
        if !wanted && !orders.contains(&unload) {
            orders.push(unload);
        }
    }
    orders
}

fn contradicts(last: &OrderKind, next: &OrderKind) -> bool {
    match (last, next) {
        (OrderKind::ChangeRole { .. }, OrderKind::ChangeRole { .. }) => true,
        (
            OrderKind::Load { model, version, .. },
            OrderKind::Unload {
                model: m,
                version: v,
            },
        )
        | (
            OrderKind::Unload { model, version },
            OrderKind::Load {
                model: m,
                version: v,
                ..
            },
        ) => model == m && version == v,
        _ => false,
    }
}
