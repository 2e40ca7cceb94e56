//! How many tokens a process draws from the store or returns to it.

use toucan_types::Tokens;

/// Settings of [`decide_draw`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawSettings {
    /// Longest time that the tokens of all processes together should last without the store.
    pub bridge_s: f64,
    /// Largest part of a fresh budget that all processes hold together; it shrinks with the cube of
    /// the part that is unspent.
    pub most_held_part: f64,
    /// Part of the target that follows the process's own rate; the rest is shared out evenly.
    pub own_part: f64,
    /// Part of the target at or below which more are drawn.
    pub refill_at: f64,
    /// Part of the target above which the surplus is returned.
    pub return_above: f64,
    /// Part of the whole budget that all processes hold together before the first calls; it shrinks
    /// with the square of what is left.
    pub initial_part: f64,
    /// Largest part of what is not granted yet that one draw takes beyond the calls that wait.
    pub most_of_rest: f64,
}

impl DrawSettings {
    /// The settings of a gateway.
    pub const DEFAULT: Self = Self {
        // Longer than two usual outages of the store, of 8 to 9 s, that follow each other closely.
        bridge_s: 16.0,
        // What is in hand when processes die is lost. A budget that runs out soon must not lose more
        // than a few hundredths; its calls that are refused during an outage are made up for by
        // later ones.
        most_held_part: 0.75,
        // Few calls of widely different sizes make a process's own rate uncertain, and processes
        // lend to each other.
        own_part: 0.5,
        refill_at: 0.85,
        return_above: 1.2,
        initial_part: 0.2,
        most_of_rest: 0.25,
    };
}

impl Default for DrawSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// What a draw is decided from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawView {
    /// Most tokens of the organisation.
    pub prepaid: Tokens,
    /// Tokens of it that are granted to any process.
    pub granted_to_all: Tokens,
    /// Tokens available here.
    pub available: Tokens,
    /// Tokens that calls wait for.
    pub waiting: Tokens,
    /// Tokens a second that calls ask for here.
    pub rate_per_s: f64,
    /// Tokens a second that calls ask for at the other processes.
    pub others_rate_per_s: f64,
    /// Processes that draw from the budget.
    pub processes: u32,
    /// Time for which a process that stops still accepts calls; [`None`] if no stop is planned.
    pub remaining_accept_ms: Option<u64>,
}

/// What to do about the tokens in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrawDecision {
    /// Nothing.
    Keep,
    /// Draw so many more.
    Draw(Tokens),
    /// Return so many.
    Return(Tokens),
}

/// Decides whether to draw tokens, and how many.
///
/// Holds enough to bridge an outage of the store, draws less as the budget runs out so that others
/// can draw too, and returns everything that is idle when more is granted than was paid. A process
/// that stops holds only what its last calls need.
#[must_use]
pub fn decide_draw(view: &DrawView, settings: &DrawSettings) -> DrawDecision {
    if view.granted_to_all > view.prepaid {
        return match view.available {
            Tokens::ZERO => DrawDecision::Keep,
            idle => DrawDecision::Return(idle),
        };
    }
    let rest = view.prepaid.saturating_sub(view.granted_to_all);
    let target = target_holding(view, settings);
    let surplus_above = scaled(target, settings.return_above);
    if view.waiting.is_zero() && view.available > surplus_above {
        return DrawDecision::Return(view.available.saturating_sub(target));
    }
    let lacking = target
        .saturating_add(view.waiting)
        .saturating_sub(view.available);
    let is_due = !view.waiting.is_zero() || view.available <= scaled(target, settings.refill_at);
    if !is_due || lacking.is_zero() || rest.is_zero() {
        return DrawDecision::Keep;
    }
    let ahead = lacking.min(scaled(rest, settings.most_of_rest));
    let draw = ahead.max(view.waiting).min(rest);
    match draw {
        Tokens::ZERO => DrawDecision::Keep,
        draw => DrawDecision::Draw(draw),
    }
}

/// Tokens that a process should have in hand.
fn target_holding(view: &DrawView, settings: &DrawSettings) -> Tokens {
    if let Some(left_ms) = view.remaining_accept_ms {
        // Whatever else it holds is better returned while the store answers than just before the end.
        return Tokens((view.rate_per_s * left_ms as f64 / 1_000.0) as u64);
    }
    let processes = f64::from(view.processes.max(1));
    let rest = view.prepaid.saturating_sub(view.granted_to_all).0 as f64;
    let unspent = rest + view.available.0 as f64 * processes;
    let fleet_rate = view.rate_per_s + view.others_rate_per_s;
    let prepaid = (view.prepaid.0 as f64).max(1.0);
    let most_held = unspent * (unspent / prepaid).powi(2) * settings.most_held_part;
    let held_by_all = (fleet_rate * settings.bridge_s).min(most_held);
    let own_share = if fleet_rate > 0.0 {
        view.rate_per_s / fleet_rate
    } else {
        0.0
    };
    let share = own_share * settings.own_part + (1.0 - settings.own_part) / processes;
    // Without calls, an equal part of what is left keeps the first call from waiting.
    let left_part = rest / prepaid;
    let initial = prepaid * settings.initial_part * left_part * left_part;
    Tokens((held_by_all * share).max(initial / processes) as u64)
}

fn scaled(tokens: Tokens, factor: f64) -> Tokens {
    Tokens((tokens.0 as f64 * factor) as u64)
}
