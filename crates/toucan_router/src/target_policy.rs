//! The choice of a target for one request.

use rand::Rng;
use toucan_types::ServiceName;

use crate::{ModelKey, TargetIndex, TargetRole, TargetTable};

/// What a choice has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Model that has to be loaded; [`None`] for plain services.
    pub model: Option<&'a ModelKey>,
    /// Hashes of the prompt's blocks, as [`block_hashes`](crate::block_hashes) gives them.
    pub blocks: &'a [u64],
    /// Tokens that a block covers.
    pub block_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Role that the target must have; targets of [`TargetRole::Both`] always fit.
    pub role: TargetRole,
    /// Targets that must not be chosen, such as those of earlier attempts.
    pub exclude: &'a [TargetIndex],
    /// Whether only targets with a free place may be chosen.
    pub require_free_slot: bool,
    /// Present time.
    pub now_ms: u64,
}

impl<'a> ChoiceRequest<'a> {
    /// A request for a service, with no model, prefix or exclusions.
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

    /// Sets the targets that must not be chosen.
    #[must_use]
    pub const fn excluding(mut self, exclude: &'a [TargetIndex]) -> Self {
        self.exclude = exclude;
        self
    }

    /// Allows only targets with a free place.
    #[must_use]
    pub const fn require_free_slot(mut self) -> Self {
        self.require_free_slot = true;
        self
    }
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange<'a> {
    /// Blocks were stored.
    Stored(&'a [u64]),
    /// Blocks were dropped.
    Removed(&'a [u64]),
    /// All blocks were dropped.
    Cleared,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The target answered.
    Completed {
        /// Prompt tokens that the engine says it had cached.
        cached_tokens: Option<u64>,
    },
    /// The connection was refused, broke, or went silent, or the target answered with an error.
    Failed,
    /// This node or the caller gave it up; says nothing about the target.
    Cancelled,
}

/// A policy of choosing targets.
pub trait TargetPolicy {
    /// Chooses a target that may serve the request, or [`None`] if there is none.
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex>;
}
