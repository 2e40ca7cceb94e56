//! Reserves the tokens of a call, waiting for them if necessary.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;
use toucan_types::{OrganisationName, Tokens};

use crate::{
    Gateway, Platform, Refusal, budget::ReserveError, config::Organisation, state::GatewayState,
};

/// Maximum wait for tokens from the store or from other VMs.
const MAX_WAIT_MS: u64 = 400;
/// Wait after which a call is refused if a read of the store since the call began shows that the
/// budget is fully granted. Other VMs answer loan requests within a few milliseconds, so some of
/// them have been asked by then.
const MAX_WAIT_IF_FULLY_GRANTED_MS: u64 = 90;
/// Time after such a refusal for which calls for at least as many tokens are refused at once.
const SHORTAGE_TTL_MS: u64 = 500;
/// Interval at which a waiting call tries again to reserve its tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Reserves the maximum cost of a call in its organisation's wallet.
///
/// If the wallet has too few tokens, requests more from the store and from other VMs and waits for
/// a bounded time.
pub(crate) async fn reserve_tokens<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    organisation: &Organisation,
    tokens: Tokens,
    deadline_ms: u64,
) -> Result<(), (Refusal, &'static str)> {
    let began_ms = gateway.now_ms();
    let name = &organisation.name;
    gateway
        .state
        .borrow_mut()
        .wallet(name)
        .record_demand(tokens, began_ms);
    let mut waiting: Option<TokenWait<'_, P>> = None;
    loop {
        let shortage = match gateway.state.borrow_mut().wallet(name).reserve(tokens) {
            Ok(()) => return Ok(()),
            Err(shortage) => shortage,
        };
        let now_ms = gateway.now_ms();
        if gateway.is_budget_exhausted(name, tokens, began_ms) {
            return Err((Refusal::BudgetSpent, "the store's records leave too little"));
        }
        let refused = wait_refusal(
            &gateway.state.borrow(),
            name,
            tokens,
            began_ms,
            deadline_ms,
            now_ms,
        );
        if let Some((refusal, reason)) = refused {
            log_shortage(gateway, organisation, tokens, now_ms);
            if refusal == Refusal::BudgetInUse {
                gateway
                    .state
                    .borrow_mut()
                    .record_shortage(name, tokens, now_ms);
            }
            return Err((refusal, reason));
        }
        if waiting.is_none() {
            waiting = Some(TokenWait::begin(gateway, organisation, tokens));
        }
        if let ReserveError::Insufficient(missing) = shortage {
            gateway.request_loans(name, missing);
        }
        gateway.sync_requested.notify_one();
        // The loop tries again whether the wait ended by a notification or by the timeout.
        let _elapsed = timeout(POLL_INTERVAL, gateway.tokens_changed.notified()).await;
    }
}

/// Returns the refusal and its reason if a call that lacks tokens should not wait any longer.
fn wait_refusal(
    state: &GatewayState,
    organisation: &OrganisationName,
    tokens: Tokens,
    began_ms: u64,
    deadline_ms: u64,
    now_ms: u64,
) -> Option<(Refusal, &'static str)> {
    if state.has_recent_shortage(organisation, tokens, now_ms, SHORTAGE_TTL_MS) {
        return Some((Refusal::BudgetInUse, "a call before found no tokens"));
    }
    let waited_ms = now_ms.saturating_sub(began_ms);
    let snapshot = state.budget_snapshots.get(organisation);
    let is_fully_granted = snapshot.is_some_and(|snapshot| {
        snapshot.read_at_ms >= began_ms
            && snapshot.prepaid.saturating_sub(snapshot.granted).is_zero()
    });
    if is_fully_granted && waited_ms >= MAX_WAIT_IF_FULLY_GRANTED_MS {
        return Some((
            Refusal::BudgetInUse,
            "the store and other VMs have none left",
        ));
    }
    if waited_ms >= MAX_WAIT_MS || now_ms >= deadline_ms {
        return Some((Refusal::BudgetNotReachable, "no tokens came in time"));
    }
    None
}

/// Logs the totals that a refusal is based on.
fn log_shortage<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    organisation: &Organisation,
    requested: Tokens,
    now_ms: u64,
) {
    let mut state = gateway.state.borrow_mut();
    let snapshot = state
        .budget_snapshots
        .get(&organisation.name)
        .copied()
        .unwrap_or_default();
    let available = state.wallet(&organisation.name).available();
    log::info!(
        target: "budget",
        organisation = organisation.name.as_str(),
        asked_tokens = requested.0,
        available_tokens = available.0,
        prepaid_tokens = snapshot.prepaid.0,
        granted_to_all_tokens = snapshot.granted.0,
        spent_by_all_tokens = snapshot.spent.0,
        read_ms_ago = now_ms.saturating_sub(snapshot.read_at_ms);
        "tokens are lacking"
    );
}

/// Guard that includes a call's tokens in the organisation's waiting tokens until it is dropped.
struct TokenWait<'a, P: Platform> {
    gateway: &'a Rc<Gateway<P>>,
    organisation: &'a Organisation,
    tokens: Tokens,
}

impl<'a, P: Platform> TokenWait<'a, P> {
    fn begin(gateway: &'a Rc<Gateway<P>>, organisation: &'a Organisation, tokens: Tokens) -> Self {
        let mut state = gateway.state.borrow_mut();
        let sum = state
            .waiting_tokens
            .entry(organisation.name.clone())
            .or_default();
        *sum = sum.saturating_add(tokens);
        drop(state);
        Self {
            gateway,
            organisation,
            tokens,
        }
    }
}

impl<P: Platform> Drop for TokenWait<'_, P> {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        if let Some(sum) = state.waiting_tokens.get_mut(&self.organisation.name) {
            *sum = sum.saturating_sub(self.tokens);
        }
    }
}
