//! Simple policies to which the adaptive one is compared.

use toucan_types::Tokens;

use crate::{DrawDecision, DrawPolicy, DrawView};

/// Policy that gives each node an even part of the unspent tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvenSplit;

impl DrawPolicy for EvenSplit {
    fn decide(&self, view: &DrawView) -> DrawDecision {
        let unspent = view.purchased_tokens.saturating_sub(view.spent_tokens).0;
        let part = unspent / u64::from(view.nodes.max(1));
        let held = view.available_tokens.saturating_add(view.reserved_tokens).0;
        DrawDecision {
            draw_tokens: Tokens(part.saturating_sub(held)).max(view.shortage_tokens),
            return_tokens: Tokens(0),
        }
    }
}

/// Policy that draws what the waiting requests lack and keeps nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrawPerRequest;

impl DrawPolicy for DrawPerRequest {
    fn decide(&self, view: &DrawView) -> DrawDecision {
        if view.shortage_tokens.is_zero() {
            return DrawDecision {
                draw_tokens: Tokens::ZERO,
                return_tokens: view.available_tokens,
            };
        }
        DrawDecision {
            draw_tokens: view.shortage_tokens,
            return_tokens: Tokens::ZERO,
        }
    }
}

/// Policy that draws one chunk when a grant falls below half a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FixedChunk {
    /// Tokens per draw.
    pub chunk_tokens: Tokens,
}

impl DrawPolicy for FixedChunk {
    fn decide(&self, view: &DrawView) -> DrawDecision {
        let shortage = view.shortage_tokens.0;
        let low = view.available_tokens.0 < self.chunk_tokens.0 / 2;
        let draw = if shortage > 0 || low {
            self.chunk_tokens.0.max(shortage)
        } else {
            0
        };
        DrawDecision {
            draw_tokens: Tokens(draw),
            return_tokens: Tokens::ZERO,
        }
    }
}
