//! Claims of non-idempotent calls.

use serde::{Deserialize, Serialize};
use toucan_types::{FastHashMap, IncarnationId, Sequence};

use crate::IntentKey;

/// The first claim of a call and its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentState {
    /// Incarnation that may dispatch the call.
    pub owner: IncarnationId,
    /// Sequence number of the claim.
    pub sequence: Sequence,
    /// Log time of the claim, in milliseconds since 1970.
    pub claimed_at_ms: u64,
    /// Outcome, if known.
    pub outcome: Option<IntentOutcome>,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentOutcome {
    /// 128-bit digest of the response.
    pub digest: u128,
    /// HTTP status of the response.
    pub status: u16,
}

pub(crate) type Intents = FastHashMap<IntentKey, IntentState>;
