//! The rules of the product, and variants with one injected fault each.

use toucan_ledger::{Ledger, ReleaseDecision, ReleaseFacts, ReleasePolicy, ReleaseProof};
use toucan_types::IncarnationId;

/// Rules that the simulated nodes follow.
pub trait Rules: Default {
    /// Returns the action to take on a silent incarnation.
    fn decide(
        &self,
        ledger: &Ledger,
        target: IncarnationId,
        facts: &ReleaseFacts,
    ) -> ReleaseDecision {
        ReleasePolicy::default().decide(ledger, target, facts)
    }
    /// Whether a node treats a successful append as a grant.
    const TRUSTS_APPEND_RESPONSES: bool = false;
    /// Whether top-ups arrive in another stream than draws.
    const FUNDS_IN_OTHER_STREAM: bool = false;
    /// Whether each attempt of a request is billed under its own id.
    const BILLS_EACH_ATTEMPT: bool = false;
}

#[derive(Default)]
pub struct ProductRules;
impl Rules for ProductRules {}

/// Releases an incarnation only because its holder was silent.
#[derive(Default)]
pub struct ReleaseOnTimer;

impl Rules for ReleaseOnTimer {
    fn decide(
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
            decision => decision,
        }
    }
}

#[derive(Default)]
pub struct TrustAppendResponses;
impl Rules for TrustAppendResponses {
    const TRUSTS_APPEND_RESPONSES: bool = true;
}

#[derive(Default)]
pub struct FundsInOtherStream;
impl Rules for FundsInOtherStream {
    const FUNDS_IN_OTHER_STREAM: bool = true;
}

#[derive(Default)]
pub struct BillEachAttempt;
impl Rules for BillEachAttempt {
    const BILLS_EACH_ATTEMPT: bool = true;
}
