//! Reserves the tokens of a call, and waits for them if they are not there.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;
use toucan_types::Tokens;

use crate::{
    Gateway, Platform, Refusal,
    budget::Shortage,
    config::Organisation,
};

/// Longest wait for tokens from the store or from other VMs.
const MOST_WAIT_MS: u64 = 600;
/// Time between two looks for tokens while a call waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Reserves the most that a call may cost in its organisation's wallet.
///
/// If the wallet lacks tokens, the store and other VMs are asked, and the call waits for a bounded
/// time.
pub(crate) async fn reserve_tokens<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    organisation: &Organisation,
    tokens: Tokens,
    deadline_ms: u64,
) -> Result<(), (Refusal, &'static str)> {
    let began_ms = gateway.now_ms();
    let until_ms = deadline_ms.min(began_ms + MOST_WAIT_MS);
    let name = &organisation.name;
    gateway
        .core
        .borrow_mut()
        .wallet(name)
        .note_demand(tokens, began_ms);
    let mut waiting: Option<WaitingCall<'_, P>> = None;
    loop {
        let shortage = match gateway.core.borrow_mut().wallet(name).reserve(tokens) {
            Ok(()) => return Ok(()),
            Err(shortage) => shortage,
        };
        let now_ms = gateway.now_ms();
        if gateway.is_spent(name, tokens, began_ms) {
            return Err((Refusal::BudgetSpent, "the store's records leave too little"));
        }
        if now_ms >= until_ms {
            return Err((Refusal::BudgetNotReachable, shortage_reason(shortage)));
        }
        if waiting.is_none() {
            waiting = Some(WaitingCall::begin(gateway, organisation, tokens));
        }
        if let Shortage::Lacking(lacking) = shortage {
            gateway.ask_peers(name, lacking);
        }
        gateway.draw_soon.notify_one();
        // The time-out only ends the wait for a change; the loop looks again either way.
        let _elapsed = timeout(LOOK_INTERVAL, gateway.tokens_changed.notified()).await;
    }
}

const fn shortage_reason(shortage: Shortage) -> &'static str {
    match shortage {
        Shortage::Lacking(_) => "no tokens came in time",
        Shortage::Frozen => "a lower total is being checked",
    }
}

/// Counts the tokens that a call waits for, until it no longer does.
struct WaitingCall<'a, P: Platform> {
    gateway: &'a Rc<Gateway<P>>,
    organisation: &'a Organisation,
    tokens: Tokens,
}

impl<'a, P: Platform> WaitingCall<'a, P> {
    fn begin(
        gateway: &'a Rc<Gateway<P>>,
        organisation: &'a Organisation,
        tokens: Tokens,
    ) -> Self {
        let mut core = gateway.core.borrow_mut();
        let sum = core.waiting.entry(organisation.name.clone()).or_default();
        *sum = sum.saturating_add(tokens);
        drop(core);
        Self {
            gateway,
            organisation,
            tokens,
        }
    }
}

impl<P: Platform> Drop for WaitingCall<'_, P> {
    fn drop(&mut self) {
        let mut core = self.gateway.core.borrow_mut();
        if let Some(sum) = core.waiting.get_mut(&self.organisation.name) {
            *sum = sum.saturating_sub(self.tokens);
        }
    }
}
