//! A caller's request as the admission duty receives it.

use toucan_router::ModelKey;
use toucan_types::{BillId, BudgetName, OrganisationName, RequestClass, ServiceName, Tokens};

/// A parsed and authenticated request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    /// Identifier of its bill; engines also keep its stream under this identifier.
    pub(crate) bill: BillId,
    /// Organisation of the caller.
    pub(crate) organisation: OrganisationName,
    /// Budget that is billed.
    pub(crate) budget: BudgetName,
    /// Requested service.
    pub(crate) service: ServiceName,
    /// Model that must be loaded; [`None`] for plain services.
    pub(crate) model: Option<ModelKey>,
    /// Hashes of the prompt's blocks.
    pub(crate) blocks: Vec<u64>,
    /// Tokens per block.
    pub(crate) block_tokens: u32,
    /// Maximum number of tokens in the prompt.
    pub(crate) prompt_tokens: u64,
    /// Maximum cost of the request in tokens.
    pub(crate) reserve_tokens: Tokens,
    /// Request class, which decides its place in the queue.
    pub(crate) class: RequestClass,
    /// Priority of the class, passed on to engines.
    pub(crate) priority: u32,
    /// Deadline for the start of the response, in milliseconds since 1970.
    pub(crate) deadline_ms: u64,
    /// Whether the request may be run more than once.
    pub(crate) idempotent: bool,
    /// Whether the target can resume its stream.
    pub(crate) resumable: bool,
}
