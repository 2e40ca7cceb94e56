//! Policies for how many tokens a node draws ahead and how many it returns.

use toucan_types::Tokens;

/// State of one budget on one node, the input of a policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DrawView {
    /// Unreserved tokens of the grant.
    pub available_tokens: Tokens,
    /// Tokens reserved by running requests.
    pub reserved_tokens: Tokens,
    /// Tokens that the waiting requests lack in total, 0 if none waits.
    pub shortage_tokens: Tokens,
    /// Whether draws are in backoff because the last one granted nothing.
    pub is_backing_off: bool,
    /// Largest recent reservation, 0 if there was none.
    pub max_request_tokens: Tokens,
    /// Tokens per second that this node spends, averaged over the last seconds.
    pub rate_tokens_per_s: f64,
    /// Tokens per second that this node spends, averaged over the last minute.
    pub long_rate_tokens_per_s: f64,
    /// Tokens per second that the whole fleet spends, averaged over the last minute, as read back.
    pub fleet_rate_tokens_per_s: f64,
    /// Time since the last reservation, in milliseconds.
    pub idle_ms: u64,
    /// Time since anything was read back from the log, in milliseconds.
    pub staleness_ms: u64,
    /// Purchased total, as last read back.
    pub purchased_tokens: Tokens,
    /// Tokens that may be drawn, as last read back.
    pub remaining_tokens: Tokens,
    /// Tokens billed, as last read back.
    pub spent_tokens: Tokens,
    /// Number of nodes that hold a grant, as last read back.
    pub holder_count: u32,
    /// Number of nodes of the fleet.
    pub nodes: u32,
    /// Length of an outage or partition that a grant should cover, in milliseconds.
    ///
    /// A setting of the organisation.
    pub bridge_ms: u64,
}

/// Decision of a policy on one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrawDecision {
    /// Tokens to ask for, 0 for none.
    pub draw_tokens: Tokens,
    /// Unreserved tokens to return, 0 for none.
    pub return_tokens: Tokens,
}

/// Decides how many tokens a node draws ahead and which it returns.
pub trait DrawPolicy {
    /// Returns the decision on one budget.
    fn decide(&self, view: &DrawView) -> DrawDecision;
}

impl<P: DrawPolicy> DrawPolicy for &P {
    fn decide(&self, view: &DrawView) -> DrawDecision {
        (*self).decide(view)
    }
}
