//! Which proof permits a release.

use serde::{Deserialize, Serialize};
use toucan_types::{IncarnationId, Sequence};

use crate::{FenceEvidence, IncarnationState, IncarnationStatus, Ledger, ReleaseProof};

/// Settings of the judge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReleasePolicy {
    /// Silence after which an incarnation is fenced, in milliseconds.
    ///
    /// A fence frees no tokens; a wrong one costs the node a restart of its incarnation.
    pub fence_after_silent_ms: u64,
}

impl Default for ReleasePolicy {
    fn default() -> Self {
        Self {
            fence_after_silent_ms: 10_000,
        }
    }
}

/// What the platform's list says of one VM instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Not on the list, which proves nothing.
    Unlisted,
    /// Serves.
    Live,
    /// Will be destroyed, but may still run.
    Leaving,
    /// Destroyed: no process on it can ever run again.
    Gone,
}

/// What a node knows about an incarnation besides the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseFacts {
    /// Time since its last sign of life, in milliseconds.
    pub silent_ms: u64,
    /// What the platform's list says of the instance that the incarnation announced.
    pub listed: ListedState,
    /// `as_of_ms` of the list, in milliseconds since 1970.
    pub listed_at_ms: u64,
    /// Incarnations that may hold records or open reservations of it and have not answered; see
    /// [`crate::missing_journals`].
    pub missing_journals: Vec<IncarnationId>,
    /// Last of its numbers that any journal holds.
    pub last_journaled: Sequence,
}

/// What to do about an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseDecision {
    /// Nothing.
    NoAction,
    /// Append a fence.
    Fence(FenceEvidence),
    /// Append a release with the open reservations of all journals.
    Release(ReleaseProof),
    /// It stays fenced; no proof that it is dead.
    WaitForProof,
    /// It is dead, but its journals are not complete.
    WaitForJournals,
    /// It is dead; append its journaled records first and read them back.
    WaitForRecords,
}

impl ReleasePolicy {
    /// The verdict on one incarnation.
    ///
    /// Silence, a lagging list that does not say gone, or another instance under the same VM name
    /// never permit a release: a paused process may wake up.
    #[must_use]
    pub fn decide(
        &self,
        ledger: &Ledger,
        incarnation: IncarnationId,
        facts: &ReleaseFacts,
    ) -> ReleaseDecision {
        let Some(state) = ledger.incarnation(incarnation) else {
            return ReleaseDecision::NoAction;
        };
        let successor = state.succeeded_by;
        match state.status {
            IncarnationStatus::Ended => ReleaseDecision::NoAction,
            IncarnationStatus::Live => self.judge_live(facts, successor),
            IncarnationStatus::Fenced => judge_fenced(state, facts, successor),
            IncarnationStatus::Released => judge_released(ledger, state, facts, successor),
        }
    }

    fn judge_live(
        &self,
        facts: &ReleaseFacts,
        successor: Option<IncarnationId>,
    ) -> ReleaseDecision {
        if let Some(successor) = successor {
            return ReleaseDecision::Fence(FenceEvidence::Superseded(successor));
        }
        if facts.listed == ListedState::Gone {
            return ReleaseDecision::Fence(FenceEvidence::ListedAway);
        }
        if facts.silent_ms >= self.fence_after_silent_ms {
            return ReleaseDecision::Fence(FenceEvidence::Silent {
                silent_ms: facts.silent_ms,
            });
        }
        ReleaseDecision::NoAction
    }
}

fn judge_fenced(
    state: &IncarnationState,
    facts: &ReleaseFacts,
    successor: Option<IncarnationId>,
) -> ReleaseDecision {
    let Some(proof) = proof_of_death(state, facts, successor) else {
        return ReleaseDecision::WaitForProof;
    };
    if !facts.missing_journals.is_empty() {
        return ReleaseDecision::WaitForJournals;
    }
    if facts.last_journaled > state.watermark {
        return ReleaseDecision::WaitForRecords;
    }
    ReleaseDecision::Release(proof)
}

/// Releases again what a transfer brought after the first release.
fn judge_released(
    ledger: &Ledger,
    state: &IncarnationState,
    facts: &ReleaseFacts,
    successor: Option<IncarnationId>,
) -> ReleaseDecision {
    if ledger.holdings_of(state.incarnation) <= ledger.retained_of(state.incarnation) {
        return ReleaseDecision::NoAction;
    }
    let proof = proof_of_death(state, facts, successor);
    match proof {
        Some(proof) if facts.missing_journals.is_empty() => ReleaseDecision::Release(proof),
        _ => ReleaseDecision::NoAction,
    }
}

fn proof_of_death(
    state: &IncarnationState,
    facts: &ReleaseFacts,
    successor: Option<IncarnationId>,
) -> Option<ReleaseProof> {
    if let Some(successor) = successor {
        return Some(ReleaseProof::Successor(successor));
    }
    (facts.listed == ListedState::Gone).then(|| ReleaseProof::InstanceGone {
        instance: state.instance.clone(),
        listed_at_ms: facts.listed_at_ms,
    })
}
