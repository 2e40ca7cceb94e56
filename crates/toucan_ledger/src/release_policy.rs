//! Policy that decides on fences and releases of incarnations.

use serde::{Deserialize, Serialize};
use toucan_types::{IncarnationId, Sequence};

use crate::{FenceEvidence, IncarnationState, IncarnationStatus, Ledger, ReleaseProof};

/// Decides whether an incarnation is fenced or released, from the ledger and a node's observations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReleasePolicy {
    /// Time without a response after which an incarnation is fenced, in milliseconds.
    ///
    /// A fence frees no tokens; a wrong one forces the node to start a new incarnation.
    pub fence_after_silent_ms: u64,
}

impl Default for ReleasePolicy {
    fn default() -> Self {
        Self {
            fence_after_silent_ms: 10_000,
        }
    }
}

/// State of a VM instance in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Not on the list, which proves nothing.
    Unlisted,
    /// Serving.
    Live,
    /// Will be destroyed, but may still run.
    Leaving,
    /// Destroyed: no process can ever run on it again.
    Gone,
}

/// Facts that a node knows about an incarnation in addition to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseFacts {
    /// Time since its last message, in milliseconds.
    pub silent_ms: u64,
    /// State in the VM list of the instance that the incarnation announced.
    pub listed: ListedState,
    /// `as_of_ms` of the VM list, in milliseconds since 1970.
    pub listed_at_ms: u64,
    /// Incarnations that may hold records or open reservations of it and have not answered; see
    /// [`crate::missing_journals`].
    pub missing_journals: Vec<IncarnationId>,
    /// Last of its sequence numbers that any journal holds.
    pub last_journaled: Sequence,
}

/// Action to take on an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseDecision {
    /// Do nothing.
    NoAction,
    /// Append a fence.
    Fence(FenceEvidence),
    /// Append a release with the open reservations of all journals.
    Release(ReleaseProof),
    /// Keep it fenced; there is no proof that its process has ended.
    WaitForProof,
    /// Its process has ended, but some journals are missing.
    WaitForJournals,
    /// Its process has ended; first append its journaled records and read them back.
    WaitForRecords,
}

impl ReleasePolicy {
    /// Returns the action to take on one incarnation.
    ///
    /// Neither silence, nor a lagging VM list that does not yet say gone, nor another instance
    /// under the same VM name permits a release: a paused process may resume.
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
            IncarnationStatus::Live => self.decide_live(facts, successor),
            IncarnationStatus::Fenced => decide_fenced(state, facts, successor),
            IncarnationStatus::Released => decide_released(ledger, state, facts, successor),
        }
    }

    fn decide_live(
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

fn decide_fenced(
    state: &IncarnationState,
    facts: &ReleaseFacts,
    successor: Option<IncarnationId>,
) -> ReleaseDecision {
    let Some(proof) = termination_proof(state, facts, successor) else {
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

/// Releases tokens that a transfer brought after the first release.
fn decide_released(
    ledger: &Ledger,
    state: &IncarnationState,
    facts: &ReleaseFacts,
    successor: Option<IncarnationId>,
) -> ReleaseDecision {
    if ledger.holdings_of(state.incarnation) <= ledger.retained_of(state.incarnation) {
        return ReleaseDecision::NoAction;
    }
    let proof = termination_proof(state, facts, successor);
    match proof {
        Some(proof) if facts.missing_journals.is_empty() => ReleaseDecision::Release(proof),
        _ => ReleaseDecision::NoAction,
    }
}

fn termination_proof(
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
