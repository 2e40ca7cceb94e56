//! Decides how many tokens a process draws from the store or returns to it.

use toucan_types::Tokens;

/// Settings of [`decide_draw`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawSettings {
    /// Store outage, in seconds, that the tokens held by all processes together should cover.
    pub outage_reserve_s: f64,
    /// Factor of the limit on what all processes hold together: this times the budget times the fourth power of
    /// its unspent fraction, so more than is unspent at the start of a budget.
    pub max_held_factor: f64,
    /// Fraction of the desired total that is split by each process's own rate; the rest is split
    /// evenly.
    pub own_rate_weight: f64,
    /// Fraction of the desired balance at or below which more tokens are drawn.
    pub refill_threshold: f64,
    /// Multiple of the desired balance above which the surplus is returned.
    pub return_threshold: f64,
    /// Fraction of the whole budget that all processes hold together before the first calls. It
    /// shrinks with the square of the ungranted fraction.
    pub initial_fraction: f64,
    /// Largest fraction of the ungranted tokens that one draw takes, unless waiting calls need
    /// more.
    pub max_draw_fraction: f64,
}

impl DrawSettings {
    /// The settings that gateways use.
    pub const DEFAULT: Self = Self {
        // Calls ask for about twice the tokens that they use, so this covers nearly twice the time.
        outage_reserve_s: 9.0,
        // Tokens that a process holds when it crashes are lost. A budget that is nearly spent must
        // not lose more than a few hundredths this way, one of which half is left can afford it.
        max_held_factor: 3.5,
        // A process's own rate is a noisy estimate, because calls are few and differ widely in
        // size. Processes with too few tokens can also borrow from others.
        own_rate_weight: 0.5,
        refill_threshold: 0.85,
        return_threshold: 1.2,
        initial_fraction: 0.2,
        max_draw_fraction: 0.25,
    };
}

impl Default for DrawSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Input of [`decide_draw`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawInput {
    /// Total tokens that the organisation has paid for.
    pub prepaid: Tokens,
    /// Tokens granted to all processes together.
    pub granted_to_all: Tokens,
    /// Tokens that all processes together have reported as spent or that former processes held.
    pub spent_or_lost: Tokens,
    /// Tokens available to this process.
    pub available: Tokens,
    /// The part of `available` that can be returned to the store.
    pub returnable: Tokens,
    /// Whether this process holds tokens for other gateways and for its next calls.
    pub is_holder: bool,
    /// Tokens that waiting calls need.
    pub waiting: Tokens,
    /// Tokens per second that calls to this process ask for.
    pub rate_per_s: f64,
    /// Tokens per second that calls to the other processes ask for.
    pub others_rate_per_s: f64,
    /// Number of processes that hold tokens of the budget.
    pub holders: u32,
    /// Time for which a stopping process still accepts calls; [`None`] if no stop is planned.
    pub remaining_accept_ms: Option<u64>,
}

/// Whether a process draws or returns tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrawDecision {
    /// Neither draw nor return.
    Keep,
    /// Draw this many tokens.
    Draw(Tokens),
    /// Return this many tokens.
    Return(Tokens),
}

/// Decides whether to draw or return tokens, and how many.
///
/// The process holds enough tokens for a store outage. It draws less as the budget runs out, so
/// that the other processes can draw too. It returns all idle tokens when more is granted than was
/// paid for. A stopping process holds only what its last calls need.
#[must_use]
pub fn decide_draw(input: &DrawInput, settings: &DrawSettings) -> DrawDecision {
    if input.granted_to_all > input.prepaid {
        return return_up_to(input.available, input);
    }
    let ungranted = input.prepaid.saturating_sub(input.granted_to_all);
    let desired = desired_balance(input, settings);
    let surplus_limit = scaled(desired, settings.return_threshold);
    if input.waiting.is_zero() && input.available > surplus_limit {
        return return_up_to(input.available.saturating_sub(desired), input);
    }
    let shortfall = desired
        .saturating_add(input.waiting)
        .saturating_sub(input.available);
    let should_draw =
        !input.waiting.is_zero() || input.available <= scaled(desired, settings.refill_threshold);
    if !should_draw || shortfall.is_zero() || ungranted.is_zero() {
        return DrawDecision::Keep;
    }
    let prefetch = shortfall.min(scaled(ungranted, settings.max_draw_fraction));
    let draw = prefetch.max(input.waiting).min(ungranted);
    match draw {
        Tokens::ZERO => DrawDecision::Keep,
        draw => DrawDecision::Draw(draw),
    }
}

/// Returns the decision to return `surplus` tokens, as far as they can be returned.
fn return_up_to(surplus: Tokens, input: &DrawInput) -> DrawDecision {
    match surplus.min(input.returnable) {
        Tokens::ZERO => DrawDecision::Keep,
        idle => DrawDecision::Return(idle),
    }
}

/// Returns the number of available tokens that a process should hold.
fn desired_balance(input: &DrawInput, settings: &DrawSettings) -> Tokens {
    if !input.is_holder {
        return Tokens::ZERO;
    }
    if let Some(remaining_ms) = input.remaining_accept_ms {
        // The rest is returned early, because the store may be unreachable when the process ends.
        return Tokens((input.rate_per_s * remaining_ms as f64 / 1_000.0) as u64);
    }
    let holders = f64::from(input.holders.max(1));
    let ungranted = input.prepaid.saturating_sub(input.granted_to_all).0 as f64;
    let unspent = input.prepaid.saturating_sub(input.spent_or_lost).0 as f64;
    let fleet_rate = input.rate_per_s + input.others_rate_per_s;
    let prepaid = (input.prepaid.0 as f64).max(1.0);
    let max_held = unspent * (unspent / prepaid).powi(3) * settings.max_held_factor;
    let held_by_all = (fleet_rate * settings.outage_reserve_s).min(max_held);
    let rate_share = if fleet_rate > 0.0 {
        input.rate_per_s / fleet_rate
    } else {
        0.0
    };
    let share = rate_share * settings.own_rate_weight + (1.0 - settings.own_rate_weight) / holders;
    // An idle holder holds an equal share, so that its first call need not wait for a draw.
    let ungranted_fraction = ungranted / prepaid;
    let initial = prepaid * settings.initial_fraction * ungranted_fraction * ungranted_fraction;
    Tokens((held_by_all * share).max(initial / holders) as u64)
}

fn scaled(tokens: Tokens, factor: f64) -> Tokens {
    Tokens((tokens.0 as f64 * factor) as u64)
}
