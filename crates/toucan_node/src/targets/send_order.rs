//! Sends an order to an engine.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use toucan_platform::formats::{EngineOrder, EngineOrderKind, EngineRole};
use toucan_platform::{EngineClient, OrderError};
use toucan_router::{Order, OrderKind, TargetRole};

use crate::{kernel::Ring, orders::OrdersMessage};

/// Age of a decision beyond which its order is not sent, since the process may have been paused.
const MAX_DECISION_AGE: Duration = Duration::from_secs(2);
/// Retry delay while the orders duty's ring is full.
const RING_FULL_DELAY: Duration = Duration::from_millis(20);

/// Sends an order and reports its outcome to the orders duty.
pub(super) async fn send_order(
    engines: Arc<EngineClient>,
    orders: Ring<OrdersMessage>,
    order: Order,
    address: SocketAddr,
    decided_at: Instant,
) {
    let outcome = if decided_at.elapsed() > MAX_DECISION_AGE {
        let reason = "the decision is too old".to_owned();
        Err(OrderError::NotSent { reason })
    } else {
        engines.order(address, &engine_order(&order)).await
    };
    metrics::counter!("toucan_orders_total", "outcome" => outcome_name(&outcome)).increment(1);
    let mut message = OrdersMessage::OrderCompleted { order, outcome };
    // The orders duty sends the target no other order until it has the outcome.
    while let Err(returned) = orders.offer(message) {
        message = returned;
        tokio::time::sleep(RING_FULL_DELAY).await;
    }
}

fn engine_order(order: &Order) -> EngineOrder {
    let kind = match &order.kind {
        OrderKind::Load {
            model,
            version,
            adapter,
        } => EngineOrderKind::Load {
            model: model.to_string(),
            version: version.to_string(),
            adapter: adapter.as_ref().map(ToString::to_string),
        },
        OrderKind::Unload { model, version } => EngineOrderKind::Unload {
            model: model.to_string(),
            version: version.to_string(),
        },
        OrderKind::ChangeRole { role } => EngineOrderKind::ChangeRole {
            role: match role {
                TargetRole::Both => EngineRole::Both,
                TargetRole::Prefill => EngineRole::Prefill,
                TargetRole::Decode => EngineRole::Decode,
            },
        },
    };
    EngineOrder {
        fencing_number: order.fencing_number.0,
        kind,
    }
}

fn outcome_name(outcome: &Result<(), OrderError>) -> &'static str {
    match outcome {
        Ok(()) => "carried_out",
        Err(OrderError::NotSent { .. }) => "not_sent",
        Err(OrderError::Fenced { .. }) => "fenced",
        Err(OrderError::RateLimited { .. }) => "rate_limited",
        Err(OrderError::Refused { .. }) => "refused",
        Err(OrderError::Unknown { .. }) => "unknown",
    }
}
