//! Admission, queue, choice of target, retries, drain; pure decisions.
//!
//! Nothing here has a clock, a socket, a thread or a random source of its own: the present time is
//! an argument in milliseconds since 1970, and chance comes from a generator that the caller passes.
//!
//! | matter | types |
//! |---|---|
//! | order of service | [`AdmissionQueue`], [`QueueSettings`], [`RateLimiter`] |
//! | choice of target | [`TargetTable`], [`TargetPolicy`], [`PrefixAware`], [`PrefixIndex`] |
//! | retries and streams | [`RequestAttempts`], [`RetryBudget`], [`Backoff`], [`HedgePolicy`], [`StreamAssembler`] |
//! | silent links | [`ProgressWatch`] |
//! | life cycle of targets | [`DrainState`], [`OrderReconciler`], [`ModelPlanner`], [`WeightDownloadLimiter`] |
//! | KV cache | [`KvMoveDecision`] |

mod admission_queue;
mod backoff;
mod baseline_choices;
mod block_hashes;
mod block_holders;
mod drain_state;
mod hash_mix;
mod hedge_policy;
mod kv_move;
mod model_key;
mod model_planner;
mod order_claim;
mod order_reconciler;
mod organisation_limits;
mod prefill_pace;
mod prefix_aware;
mod prefix_belief;
mod prefix_home;
mod prefix_index;
mod prefix_levels;
mod progress_watch;
mod queue_entry;
mod queue_lanes;
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
pub use baseline_choices::{LeastLoadedByReport, PowerOfTwoChoices, PrefixHash, Random};
pub use block_hashes::block_hashes;
pub use block_holders::Holder;
pub use drain_state::{DRAIN_POLL_MS, DrainSource, DrainState};
pub use hedge_policy::{HedgePolicy, HedgeSettings};
pub use kv_move::{KvMoveDecision, KvMoveQuestion, KvMoveSettings};
pub use model_key::ModelKey;
pub use model_planner::{ModelDemand, ModelPlanner, PlannerSettings, PlannerTarget};
pub use order_claim::{ClaimInForce, OrderClaim, OrderClaims, OrderGroup};
pub use order_reconciler::{
    Order, OrderKind, OrderReconciler, OrderSettings, ReportedState, TargetState,
};
pub use organisation_limits::OrganisationLimits;
pub use prefix_aware::{PrefixAware, PrefixAwareSettings};
pub use prefix_belief::{PrefixBelief, PrefixBeliefSettings};
pub use prefix_index::PrefixIndex;
pub use progress_watch::{LinkState, ProbeAnswer, ProgressWatch, ProgressWatchSettings};
pub use queue_entry::{EntryId, PoolKey, QueueEntry, QueueRefusal, Refused};
pub use queue_settings::{QueueSettings, SchedulingShare};
pub use rate_limiter::{RateLimiter, RateRefusal};
pub use request_attempts::{
    AttemptOutcome, RequestAttempts, RetryDecision, RetryPolicy, RunStatus,
};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use service_rate::ServiceRate;
pub use stream_assembler::{OfferOutcome, StreamAssembler, StreamFault};
pub use target::{Target, TargetDescription, TargetIndex, TargetRole};
pub use target_health::TargetHealth;
pub use target_load::LoadReport;
pub use target_policy::{CacheChange, ChoiceRequest, DispatchOutcome, TargetPolicy};
pub use target_table::{DispatchId, TargetTable, TargetTableSettings};
pub use weight_download_limiter::{WeightDownloadLimiter, WeightDownloadSettings};
