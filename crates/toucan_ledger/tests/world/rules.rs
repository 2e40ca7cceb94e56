//! The rules of the product, and rules with one fault each.

use toucan_ledger::{Ledger, ReleaseDecision, ReleaseFacts, ReleasePolicy, ReleaseProof};
use toucan_types::IncarnationId;

/// The rules of the product, or one of them broken.
pub trait Rules: Default {
    /// Decision on a silent incarnation.
    fn verdict(
        &self,
        ledger: &Ledger,
        target: IncarnationId,
        facts: &ReleaseFacts,
    ) -> ReleaseDecision {
        ReleasePolicy::default().decide(ledger, target, facts)
    }
    /// Whether a node takes the answer of an append for a grant.
    const TRUSTS_ANSWERS: bool = false;
    /// Whether top-ups come by another stream than the draws.
    const FUNDS_ELSEWHERE: bool = false;
    /// Whether each try of a request is billed under its own id.
    const BILLS_TRIES: bool = false;
}

#[derive(Default)]
pub struct Sound;
impl Rules for Sound {}

/// A release whose only ground is that the holder was silent.
#[derive(Default)]
pub struct ReleaseOnTimer;

impl Rules for ReleaseOnTimer {
    fn verdict(
        &self,
        ledger: &Ledger,
        target: IncarnationId,
        facts: &ReleaseFacts,
    ) -> ReleaseDecision {
        match ReleasePolicy::default().decide(ledger, target, facts) {
            ReleaseDecision::WaitForProof => {
                let instance = ledger.incarnation(target).unwrap().instance.clone();
                ReleaseDecision::Release(ReleaseProof::InstanceGone {
                    instance,
                    listed_at_ms: 0,
                })
            }
            verdict => verdict,
        }
    }
}

#[derive(Default)]
pub struct TrustAnswers;
impl Rules for TrustAnswers {
    const TRUSTS_ANSWERS: bool = true;
}

#[derive(Default)]
pub struct FundsElsewhere;
impl Rules for FundsElsewhere {
    const FUNDS_ELSEWHERE: bool = true;
}

#[derive(Default)]
pub struct BillTries;
impl Rules for BillTries {
    const BILLS_TRIES: bool = true;
}
