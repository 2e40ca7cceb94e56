//! Admission of requests: limits, token reservations and queue entries; grant transfers.

use tokio::sync::oneshot;
use toucan_ledger::{GrantTransfer, ReserveError};
use toucan_router::{
    AdmissionQueue, OrganisationLimits, PoolKey, QueueEntry, QueueRefusal, QueueSettings,
    RateRefusal, SchedulingShare, TargetPolicy,
};
use toucan_types::{BudgetName, IncarnationId, OrganisationName, Tokens};

use super::{
    AdmissionDuty, AdmissionRequest,
    queued::{Parked, Queued, Reserved, TicketReply, choice_request},
};
use crate::{
    callers::{Refusal, RefusalCode},
    peers::PeersMessage,
};

/// Retry delay for callers that lack tokens, which a peer or a top-up may provide, in milliseconds.
const BUDGET_RETRY_AFTER_MS: u64 = 2_000;
/// Retry delay for callers while no target is available or the node is not ready, in milliseconds.
const TARGET_RETRY_AFTER_MS: u64 = 1_000;
/// Seconds per minute.
const S_PER_MINUTE: u64 = 60;
/// Burst of an organisation, in seconds of its rate.
const BURST_S: u64 = 2;

impl AdmissionDuty {
    /// Admits a request: checks its limits, reserves its tokens and queues it.
    pub(super) fn admit(
        &mut self,
        request: Box<AdmissionRequest>,
        reply: TicketReply,
        now_ms: u64,
    ) {
        match self.check(&request, now_ms) {
            Ok(()) if self.by_bill.contains_key(&request.bill) => {
                self.take_over(&request, reply, now_ms);
            }
            Ok(()) => self.reserve(request, reply, now_ms),
            Err(refusal) => refuse(reply, refusal),
        }
    }

    fn check(&mut self, request: &AdmissionRequest, now_ms: u64) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::new(RefusalCode::NotReady, "this node is stopping")
                .retry_after_ms(TARGET_RETRY_AFTER_MS));
        }
        if self.shards.is_empty() {
            return Err(
                Refusal::new(RefusalCode::NotReady, "no document is in force yet")
                    .retry_after_ms(TARGET_RETRY_AFTER_MS),
            );
        }
        let limits = self.limits_of(&request.organisation);
        self.limiter
            .admit(&request.organisation, limits, now_ms)
            .map_err(rate_refusal)
    }

    fn limits_of(&self, organisation: &OrganisationName) -> OrganisationLimits {
        let limits = self.document.limits(organisation);
        let fleet_limits = OrganisationLimits {
            requests_per_minute: Some(u64::from(limits.requests_per_s) * S_PER_MINUTE),
            burst_requests: u64::from(limits.requests_per_s) * BURST_S,
            concurrent_requests: Some(limits.concurrency),
        };
        fleet_limits.per_node(self.total_nodes)
    }

    fn reserve(&mut self, request: Box<AdmissionRequest>, reply: TicketReply, now_ms: u64) {
        match self.try_reserve(&request, now_ms) {
            Ok(reserved) => self.enqueue(request, reply, reserved, now_ms),
            Err(ReserveError::NoGrant { missing_tokens }) => {
                self.ask_for_grant(&request, missing_tokens, now_ms);
                let grant_deadline_ms = now_ms
                    .saturating_add(self.settings.grant_timeout_ms)
                    .min(request.deadline_ms);
                self.parked.push(Parked {
                    request,
                    reply,
                    grant_deadline_ms,
                });
            }
            Err(shortage) => self.refuse_shortage(&request, reply, shortage),
        }
    }

    fn try_reserve(
        &mut self,
        request: &AdmissionRequest,
        now_ms: u64,
    ) -> Result<Reserved, ReserveError> {
        let tokens = request.reserve_tokens;
        let Some(shard) = self.current_wallet(&request.budget) else {
            return Err(ReserveError::NoGrant {
                missing_tokens: tokens,
            });
        };
        let incarnation = shard.wallet().incarnation();
        match shard.wallet_mut().reserve(&request.budget, tokens, now_ms) {
            Ok(reservation) => Ok(Reserved {
                reservation,
                incarnation,
            }),
            Err(ReserveError::Fenced) => Err(ReserveError::Fenced),
            Err(_) => Err(shard.wallet().refusal(&request.budget, tokens)),
        }
    }

    /// Requests tokens from live peers and draws from the log.
    fn ask_for_grant(&mut self, request: &AdmissionRequest, missing_tokens: Tokens, now_ms: u64) {
        let Some(shard) = self.current_wallet(&request.budget) else {
            return;
        };
        let incarnation = shard.wallet().incarnation();
        shard
            .wallet_mut()
            .record_demand(&request.budget, request.reserve_tokens, now_ms);
        let is_announced = shard.wallet().is_announced();
        self.resize_grants(now_ms);
        if is_announced {
            // If the ring is full, only the draw from the log remains.
            let _full = self.links.peers.try_send(PeersMessage::AskGrant {
                budget: request.budget.clone(),
                tokens: missing_tokens,
                to: incarnation,
            });
        }
    }

    /// Retries the requests that wait for tokens, and refuses those whose wait has timed out.
    pub(super) fn retry_parked(&mut self, now_ms: u64) {
        for parked in std::mem::take(&mut self.parked) {
            if parked.reply.is_closed() {
                self.limiter.finish(&parked.request.organisation);
                continue;
            }
            match self.try_reserve(&parked.request, now_ms) {
                Ok(reserved) => {
                    self.enqueue(parked.request, parked.reply, reserved, now_ms);
                }
                Err(ReserveError::NoGrant { .. }) if now_ms < parked.grant_deadline_ms => {
                    let tokens = parked.request.reserve_tokens;
                    if let Some(shard) = self.current_wallet(&parked.request.budget) {
                        shard
                            .wallet_mut()
                            .record_demand(&parked.request.budget, tokens, now_ms);
                    }
                    self.parked.push(parked);
                }
                Err(shortage) => {
                    self.refuse_shortage(&parked.request, parked.reply, shortage);
                }
            }
        }
    }

    fn refuse_shortage(
        &mut self,
        request: &AdmissionRequest,
        reply: TicketReply,
        shortage: ReserveError,
    ) {
        self.limiter.finish(&request.organisation);
        let refusal = match shortage {
            ReserveError::Spent { unspent_tokens } => Refusal::new(
                RefusalCode::BudgetSpent,
                format!(
                    "budget {} has {unspent_tokens} tokens left, the request may cost {}",
                    request.budget, request.reserve_tokens
                ),
            ),
            ReserveError::NoGrant { missing_tokens } => Refusal::new(
                RefusalCode::BudgetNotReachable,
                format!(
                    "{missing_tokens} tokens of budget {} cannot be had from here now",
                    request.budget
                ),
            )
            .retry_after_ms(BUDGET_RETRY_AFTER_MS),
            ReserveError::Fenced => {
                Refusal::new(RefusalCode::NotReady, "this node was fenced and restarts")
                    .retry_after_ms(BUDGET_RETRY_AFTER_MS)
            }
        };
        refuse(reply, refusal);
    }

    fn enqueue(
        &mut self,
        request: Box<AdmissionRequest>,
        reply: TicketReply,
        reserved: Reserved,
        now_ms: u64,
    ) {
        if now_ms >= self.warm_up_until_ms && !self.can_be_served(&request, now_ms) {
            let refusal = Refusal::new(RefusalCode::NoCapacity, "no target serves this now")
                .retry_after_ms(TARGET_RETRY_AFTER_MS);
            self.drop_admitted(&request, reserved);
            return refuse(reply, refusal);
        }
        let entry = queue_entry(&request, now_ms);
        let service = request.service.clone();
        let settings = self.queue_settings();
        let queue = self
            .queues
            .entry(service)
            .or_insert_with(|| AdmissionQueue::new(settings));
        let queued = Queued {
            request,
            reply,
            reserved,
        };
        if let Err(refused) = queue.offer(queued, entry, now_ms) {
            self.refuse_queued(refused.item, refused.refusal);
        }
        self.dispatch_queued(now_ms);
    }

    /// Returns whether some target serves the request, even if it has no free slot.
    fn can_be_served(&mut self, request: &AdmissionRequest, now_ms: u64) -> bool {
        let choice = choice_request(request, now_ms);
        let target = self
            .target_policy
            .choose(&self.table, &choice, &mut self.rng);
        target.is_some()
    }

    /// Refuses a request that left the queue without being dispatched.
    pub(super) fn refuse_queued(&mut self, queued: Queued, refusal: QueueRefusal) {
        self.drop_admitted(&queued.request, queued.reserved);
        refuse(queued.reply, queue_refusal(refusal));
    }

    /// Cancels the admission of a request that did not run.
    pub(super) fn drop_admitted(&mut self, request: &AdmissionRequest, reserved: Reserved) {
        self.limiter.finish(&request.organisation);
        if let Some(shard) = self.wallet_of(&request.budget, reserved.incarnation) {
            shard.wallet_mut().cancel(reserved.reservation);
        }
    }

    /// Returns the queue settings for the operators' scheduling order.
    pub(super) fn queue_settings(&self) -> QueueSettings {
        let operations = self.document.operations();
        let order = &operations.order;
        let mut settings = QueueSettings {
            capacity_entries: self.settings.max_queued_requests,
            ..QueueSettings::default()
        };
        if order.ageing_ms == 0 {
            settings = settings.strict();
        } else {
            settings.ageing_ms = order.ageing_ms;
        }
        for (name, class) in order.classes.iter() {
            let share = SchedulingShare::ranked(u32::MAX - 1 - class.priority.min(u32::MAX - 1));
            settings = settings.with_class(name.clone(), share);
        }
        for (name, organisation) in order.organisations.iter() {
            let share = SchedulingShare::weighted(organisation.weight);
            settings = settings.with_organisation(name.clone(), share);
        }
        settings
    }

    /// Transfers unspent tokens to a peer.
    pub(super) fn transfer_grant(
        &mut self,
        budget: &BudgetName,
        tokens: Tokens,
        to: IncarnationId,
        reply: oneshot::Sender<GrantTransfer>,
    ) {
        let Some(shard) = self.current_wallet(budget) else {
            return;
        };
        let Some(transfer) = shard.wallet_mut().transfer(budget, tokens, to) else {
            return;
        };
        shard.send_when_durable(transfer, reply);
    }

    /// Receives tokens that a peer transferred.
    pub(super) fn receive_grant(&mut self, transfer: &GrantTransfer, now_ms: u64) {
        let Some(shard) = self.current_wallet(&transfer.note.budget) else {
            return;
        };
        if shard.wallet_mut().receive(transfer) {
            self.retry_parked(now_ms);
        }
    }
}

fn queue_entry(request: &AdmissionRequest, now_ms: u64) -> QueueEntry {
    QueueEntry {
        organisation: request.organisation.clone(),
        class: request.class.clone(),
        priority: 0,
        deadline_ms: request.deadline_ms,
        service_ms: 0,
        cost_tokens: request.reserve_tokens,
        enqueued_at_ms: now_ms,
        pool: PoolKey::of(&request.service, request.model.as_ref()),
    }
}

fn queue_refusal(refusal: QueueRefusal) -> Refusal {
    let code = match refusal {
        QueueRefusal::Full { .. } | QueueRefusal::Displaced { .. } => RefusalCode::NoCapacity,
        QueueRefusal::TooLate { .. } | QueueRefusal::Expired { .. } => {
            RefusalCode::DeadlineExceeded
        }
    };
    Refusal::new(code, refusal.to_string()).retry_after_ms(refusal.retry_after_ms())
}

fn rate_refusal(refusal: RateRefusal) -> Refusal {
    Refusal::new(RefusalCode::RateLimited, refusal.to_string())
        .retry_after_ms(refusal.retry_after_ms())
}

/// Sends a refusal to a caller, which may have disconnected.
pub(super) fn refuse(reply: TicketReply, refusal: Refusal) {
    let _unread = reply.send(Err(refusal));
}
