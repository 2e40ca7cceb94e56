//! Promises of the fleet, and breaches of them.

use serde::{Deserialize, Serialize};

/// Guarantee that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No budget is spent beyond its purchased tokens.
    NoOverspend,
    /// No request is billed twice or at a wrong price.
    BilledOnce,
    /// Each answered request is billed.
    Billed,
    /// Each answer is complete and belongs to its request.
    RightAnswers,
    /// A request that was refused as not run did not run.
    NotRunMeansNotRun,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A leaving target receives no new requests after a few seconds.
    NoWorkToLeaving,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// An accepted edit is never reverted.
    NoRevertedEdits,
}

/// One breach of a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Promise that was broken.
    pub promise: Promise,
    /// Size: tokens for an overspend, otherwise 1.
    pub amount: u64,
    /// Shortest excerpt of the history that shows the breach.
    pub excerpt: Vec<String>,
}

impl Breach {
    /// Returns a breach of size 1.
    pub(crate) fn one(promise: Promise, excerpt: Vec<String>) -> Self {
        Self {
            promise,
            amount: 1,
            excerpt,
        }
    }
}
