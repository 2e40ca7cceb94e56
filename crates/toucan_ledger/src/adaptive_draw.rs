//! Policy that sizes draws by the node's rate, the unspent tokens and the fleet's rate.

use toucan_types::Tokens;

use crate::{DrawDecision, DrawPolicy, DrawView};

/// Policy that sizes draws by the node's rate, the unspent tokens and the fleet's rate.
///
/// A grant should cover what the node spends during an outage of the length that the organisation
/// sets, but at most the node's share of the unspent tokens, in proportion to its rate of spending.
/// Grants shrink with the unspent tokens. Once a grant would cover only a few requests, the node
/// draws for each request alone and returns the rest, so that the last tokens are not split into
/// amounts too small for any request. While nothing is read back from the log, nothing is returned,
/// since it could not be drawn again.
#[derive(Clone, Debug, PartialEq)]
pub struct AdaptiveDraw {
    /// Minimum number of requests that a grant covers; a smaller grant is returned.
    ///
    /// Each request counts with the largest recent reservation.
    pub min_requests: u64,
    /// Rate of spending for which a grant is sized, in thousandths of the present rate.
    pub headroom_permille: u64,
    /// Part of the unspent tokens, in thousandths, that all nodes together may draw ahead.
    pub max_prefetch_permille: u64,
    /// Part of the desired size, in thousandths, below which a grant is refilled.
    pub refill_permille: u64,
    /// Part of the desired size, in thousandths, above which the excess is returned.
    pub return_permille: u64,
    /// Idle time after which a whole grant is returned, in milliseconds.
    pub idle_ms: u64,
    /// Time since anything was read back after which nothing is returned, in milliseconds.
    pub max_staleness_ms: u64,
}

impl Default for AdaptiveDraw {
    fn default() -> Self {
        Self {
            min_requests: 1,
            headroom_permille: 2_500,
            max_prefetch_permille: 800,
            refill_permille: 800,
            return_permille: 1_250,
            idle_ms: 120_000,
            max_staleness_ms: 2_500,
        }
    }
}

/// Returns a part of a whole, given in thousandths, without overflow.
fn permille_of(whole: u64, permille: u64) -> u64 {
    let product = u128::from(whole) * u128::from(permille) / 1000;
    u64::try_from(product).unwrap_or(u64::MAX)
}

impl AdaptiveDraw {
    /// Returns the number of unreserved tokens that the node should hold.
    fn desired_tokens(&self, view: &DrawView) -> u64 {
        let minimum = view.max_request_tokens.0.saturating_mul(self.min_requests);
        let bridge = view.rate_tokens_per_s * view.bridge_ms as f64 / 1000.0;
        let wanted = permille_of(bridge as u64, self.headroom_permille).max(minimum);
        let unspent = view.purchased_tokens.saturating_sub(view.spent_tokens).0;
        let share = permille_of(unspent, self.max_prefetch_permille) as f64 * node_share(view);
        let desired = wanted.min(share as u64);
        if desired < minimum { 0 } else { desired }
    }
}

/// Returns the node's share of the fleet's rate, from 0 to 1.
fn node_share(view: &DrawView) -> f64 {
    let (own, fleet) = (view.long_rate_tokens_per_s, view.fleet_rate_tokens_per_s);
    if own > 0.0 && fleet > 0.0 {
        return (own / fleet.max(own)).clamp(0.0, 1.0);
    }
    1.0 / f64::from(view.holder_count.max(1))
}

impl DrawPolicy for AdaptiveDraw {
    fn decide(&self, view: &DrawView) -> DrawDecision {
        let available = view.available_tokens.0;
        let shortage = view.shortage_tokens.0;
        if view.is_backing_off && shortage > 0 && available < view.max_request_tokens.0 {
            // A remainder too small for any request is returned, so that one node can combine them.
            return DrawDecision {
                draw_tokens: Tokens::ZERO,
                return_tokens: view.available_tokens,
            };
        }
        let idle = view.idle_ms >= self.idle_ms;
        let desired = if idle { 0 } else { self.desired_tokens(view) };
        if shortage > 0 || available < permille_of(desired, self.refill_permille) {
            let draw = desired.saturating_sub(available).max(shortage);
            return DrawDecision {
                draw_tokens: Tokens(draw),
                return_tokens: Tokens::ZERO,
            };
        }
        let is_stale = view.staleness_ms >= self.max_staleness_ms;
        let excess = available > permille_of(desired, self.return_permille) && !is_stale;
        let returned = if excess { available - desired } else { 0 };
        DrawDecision {
            draw_tokens: Tokens::ZERO,
            return_tokens: Tokens(returned),
        }
    }
}
