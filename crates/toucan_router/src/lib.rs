//! Routing decisions: admission, queueing, target selection, retries and draining.
//!
//! The crate uses no clock, socket, thread or random number generator of its own. The current time
//! is an argument in milliseconds since 1970, and the caller passes the random number generator.
//!
//! | area | types |
//! |---|---|
//! | admission and scheduling | [`AdmissionQueue`], [`QueueSettings`], [`RateLimiter`] |
//! | target selection | [`TargetTable`], [`TargetPolicy`], [`PrefixAware`], [`PrefixIndex`] |
//! | retries and streams | [`RequestAttempts`], [`RetryBudget`], [`Backoff`], [`HedgePolicy`], [`StreamAssembler`] |
//! | detection of silent links | [`LinkMonitor`] |
//! | target lifecycle | [`DrainState`], [`OrderReconciler`], [`ModelPlanner`], [`WeightDownloadLimiter`] |
//! | KV cache transfer | [`KvTransferDecision`] |

mod admission_queue;
mod backoff;
mod baseline_policies;
mod block_hashes;
mod block_holders;
mod class_queue;
mod drain_state;
mod hash_mix;
mod hedge_policy;
mod kv_transfer;
mod link_monitor;
mod model_key;
mod model_planner;
mod order_claim;
mod order_reconciler;
mod organisation_limits;
mod prefill_cost;
mod prefix_affinity;
mod prefix_aware;
mod prefix_cache_estimate;
mod prefix_index;
mod prefix_levels;
mod queue_entry;
mod queue_settings;
mod rate_limiter;
mod request_attempts;
mod retry_budget;
mod service_rate;
mod stream_assembler;
mod target;
mod target_health;
mod target_load;
mod target_policy;
mod target_pools;
mod target_table;
mod weight_download_limiter;

pub use admission_queue::AdmissionQueue;
pub use backoff::Backoff;
pub use baseline_policies::{LeastLoadedByReport, PowerOfTwoChoices, PrefixHash, Random};
pub use block_hashes::block_hashes;
pub use block_holders::Holder;
pub use drain_state::{DRAIN_POLL_MS, DrainSource, DrainState};
pub use hedge_policy::{HedgePolicy, HedgeSettings};
pub use kv_transfer::{KvTransferCandidate, KvTransferDecision, KvTransferSettings};
pub use link_monitor::{LinkMonitor, LinkMonitorSettings, LinkState, ProbeAnswer};
pub use model_key::ModelKey;
pub use model_planner::{ModelDemand, ModelPlanner, PlannerSettings, PlannerTarget};
pub use order_claim::{ActiveClaim, OrderClaim, OrderClaims, OrderGroup};
pub use order_reconciler::{
    Order, OrderKind, OrderReconciler, OrderSettings, ReportedState, TargetState,
};
pub use organisation_limits::OrganisationLimits;
pub use prefix_aware::{PrefixAware, PrefixAwareSettings};
pub use prefix_cache_estimate::{PrefixCacheEstimate, PrefixCacheEstimateSettings};
pub use prefix_index::PrefixIndex;
pub use queue_entry::{EntryId, PoolKey, QueueEntry, QueueRefusal, RefusedEntry};
pub use queue_settings::{QueueSettings, SchedulingShare};
pub use rate_limiter::{RateLimiter, RateRefusal};
pub use request_attempts::{
    AttemptOutcome, RequestAttempts, RetryDecision, RetryPolicy, RunStatus,
};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use service_rate::ServiceRate;
pub use stream_assembler::{AssemblyError, OfferOutcome, StreamAssembler};
pub use target::{Target, TargetDescription, TargetIndex, TargetRole};
pub use target_health::TargetHealth;
pub use target_load::LoadReport;
pub use target_policy::{CacheChange, ChoiceRequest, DispatchOutcome, TargetPolicy};
pub use target_table::{DispatchId, TargetTable, TargetTableSettings};
pub use weight_download_limiter::{WeightDownloadLimiter, WeightDownloadSettings};
