//! Interface of the policies that choose a target for a request.

use rand::Rng;
use toucan_types::ServiceName;

use crate::{ModelKey, TargetIndex, TargetRole, TargetTable};

/// Properties of a request that matter for the choice of a target.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Requested service.
    pub service: &'a ServiceName,
    /// Model that the target must have loaded; [`None`] for plain services.
    pub model: Option<&'a ModelKey>,
    /// Hashes of the prompt's blocks, computed by [`block_hashes`](crate::block_hashes).
    pub blocks: &'a [u64],
    /// Tokens per block.
    pub block_tokens: u32,
    /// Tokens in the whole prompt.
    pub prompt_tokens: u64,
    /// Role that the target must have; targets with [`TargetRole::Both`] always match.
    pub role: TargetRole,
    /// Excluded targets, such as those of earlier attempts.
    pub exclude: &'a [TargetIndex],
    /// Whether the target must have a free batch slot.
    pub require_free_slot: bool,
    /// Current time.
    pub now_ms: u64,
}

impl<'a> ChoiceRequest<'a> {
    /// Creates a request for a service, without a model, a prompt or exclusions.
    #[must_use]
    pub const fn new(service: &'a ServiceName, now_ms: u64) -> Self {
        Self {
            service,
            model: None,
            blocks: &[],
            block_tokens: 16,
            prompt_tokens: 0,
            role: TargetRole::Both,
            exclude: &[],
            require_free_slot: false,
            now_ms,
        }
    }

    /// Sets the model.
    #[must_use]
    pub const fn with_model(mut self, model: &'a ModelKey) -> Self {
        self.model = Some(model);
        self
    }

    /// Sets the prompt.
    #[must_use]
    pub const fn with_prompt(
        mut self,
        blocks: &'a [u64],
        block_tokens: u32,
        prompt_tokens: u64,
    ) -> Self {
        self.blocks = blocks;
        self.block_tokens = block_tokens;
        self.prompt_tokens = prompt_tokens;
        self
    }

    /// Sets the excluded targets.
    #[must_use]
    pub const fn excluding(mut self, exclude: &'a [TargetIndex]) -> Self {
        self.exclude = exclude;
        self
    }

    /// Requires a target with a free batch slot.
    #[must_use]
    pub const fn require_free_slot(mut self) -> Self {
        self.require_free_slot = true;
        self
    }
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange<'a> {
    /// Blocks were stored.
    Stored(&'a [u64]),
    /// Blocks were evicted.
    Removed(&'a [u64]),
    /// All blocks were evicted.
    Cleared,
}

/// Outcome of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The target responded.
    Completed {
        /// Prompt tokens that the engine reports as cache hits.
        cached_tokens: Option<u64>,
    },
    /// The connection was refused, broke or timed out, or the target returned an error.
    Failed,
    /// This node or the caller cancelled the request; says nothing about the target.
    Cancelled,
}

/// Policy that chooses the target of a request.
pub trait TargetPolicy {
    /// Returns a target that may serve the request, or [`None`] if there is none.
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex>;
}
