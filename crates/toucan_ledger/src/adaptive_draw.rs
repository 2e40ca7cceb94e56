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
    pub least_requests: u64,
    /// Rate of spending for which a grant is sized, in thousandths of the present rate.
    pub headroom_permille: u64,
    /// Part of the unspent tokens, in thousandths, that all nodes together may draw ahead.
    pub ahead_permille: u64,
    /// Part of the desired size, in thousandths, below which a grant is refilled.
    pub refill_permille: u64,
    /// Part of the desired size, in thousandths, above which the excess is returned.
    pub return_permille: u64,
    /// Idle time after which a whole grant is returned, in milliseconds.
    pub idle_ms: u64,
    /// Time since anything was read back after which nothing is returned, in milliseconds.
    pub cut_off_ms: u64,
}

impl Default for AdaptiveDraw {
    fn default() -> Self {
        Self {
            least_requests: 1,
            headroom_permille: 2_500,
            ahead_permille: 800,
            refill_permille: 800,
            return_permille: 1_250,
            idle_ms: 120_000,
            cut_off_ms: 2_500,
        }
    }
}

/// Returns a part of a whole, given in thousandths, without overflow.
fn part(whole: u64, permille: u64) -> u64 {
    let product = u128::from(whole) * u128::from(permille) / 1000;
    u64::try_from(product).unwrap_or(u64::MAX)
}

impl AdaptiveDraw {
    /// Returns the number of unreserved tokens that the node should hold.
    fn aim(&self, view: &DrawView) -> u64 {
        let least = view.request_tokens.0.saturating_mul(self.least_requests);
        let bridge = view.rate_tokens_per_s * view.bridge_ms as f64 / 1000.0;
        let wanted = part(bridge as u64, self.headroom_permille).max(least);
        let unspent = view.purchased_tokens.saturating_sub(view.spent_tokens).0;
        let share = part(unspent, self.ahead_permille) as f64 * own_part(view);
        let aim = wanted.min(share as u64);
        if aim < least { 0 } else { aim }
    }
}

/// Returns the node's share of the fleet's rate, from 0 to 1.
fn own_part(view: &DrawView) -> f64 {
    let (own, fleet) = (view.long_rate_tokens_per_s, view.fleet_rate_tokens_per_s);
    if own > 0.0 && fleet > 0.0 {
        return (own / fleet.max(own)).clamp(0.0, 1.0);
    }
    1.0 / f64::from(view.holder_count.max(1))
}

impl DrawPolicy for AdaptiveDraw {
    fn decide(&self, view: &DrawView) -> DrawDecision {
        let available = view.available_tokens.0;
        let short = view.shortage_tokens.0;
        if view.denied && short > 0 && available < view.request_tokens.0 {
            // Rests too small for any request are returned, so that one node can use them together.
            return DrawDecision {
                draw_tokens: Tokens::ZERO,
                return_tokens: view.available_tokens,
            };
        }
        let idle = view.idle_ms >= self.idle_ms;
        let aim = if idle { 0 } else { self.aim(view) };
        if short > 0 || available < part(aim, self.refill_permille) {
            let draw = aim.saturating_sub(available).max(short);
            return DrawDecision {
                draw_tokens: Tokens(draw),
                return_tokens: Tokens::ZERO,
            };
        }
        let cut_off = view.unread_ms >= self.cut_off_ms;
        let excess = available > part(aim, self.return_permille) && !cut_off;
        let back = if excess { available - aim } else { 0 };
        DrawDecision {
            draw_tokens: Tokens::ZERO,
            return_tokens: Tokens(back),
        }
    }
}
