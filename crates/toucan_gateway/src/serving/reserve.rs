//! Reserves the tokens of a call, waiting for them if necessary.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;
use toucan_types::{OrganisationName, Tokens};

use crate::{Gateway, Platform, Refusal, budget::ReserveError, config::Organisation, core::Core};

/// Maximum wait for tokens from the store or from other VMs.
const MOST_WAIT_MS: u64 = 400;
/// Wait after which a call is refused if a read of the store since the call began shows that the
/// budget is fully granted. Other VMs answer loan requests within a few milliseconds, so some of
/// them have been asked by then.
const MOST_WAIT_WITHOUT_REST_MS: u64 = 90;
/// Time after such a refusal for which calls for as many or more tokens are refused without waiting.
const SHORT_MS: u64 = 500;
/// Interval at which a waiting call tries again to reserve its tokens.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);

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
        .core
        .borrow_mut()
        .wallet(name)
        .record_demand(tokens, began_ms);
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
        let refused = refusal(
            &gateway.core.borrow(),
            name,
            tokens,
            began_ms,
            deadline_ms,
            now_ms,
        );
        if let Some((refusal, reason)) = refused {
            log_shortage(gateway, organisation, tokens, now_ms);
            if refusal == Refusal::BudgetInUse {
                gateway.core.borrow_mut().note_short(name, tokens, now_ms);
            }
            return Err((refusal, reason));
        }
        if waiting.is_none() {
            waiting = Some(WaitingCall::begin(gateway, organisation, tokens));
        }
        if let ReserveError::Insufficient(lacking) = shortage {
            gateway.ask_peers(name, lacking);
        }
        gateway.draw_soon.notify_one();
        // The loop tries again whether the wait ended by a notification or by the timeout.
        let _elapsed = timeout(LOOK_INTERVAL, gateway.tokens_changed.notified()).await;
    }
}

/// Returns the refusal and its reason if a call that lacks tokens should not wait any longer.
fn refusal(
    core: &Core,
    organisation: &OrganisationName,
    tokens: Tokens,
    began_ms: u64,
    deadline_ms: u64,
    now_ms: u64,
) -> Option<(Refusal, &'static str)> {
    if core.is_short(organisation, tokens, now_ms, SHORT_MS) {
        return Some((Refusal::BudgetInUse, "a call before found no tokens"));
    }
    let waited_ms = now_ms.saturating_sub(began_ms);
    let view = core.budget_views.get(organisation);
    let has_no_rest = view.is_some_and(|view| {
        view.read_at_ms >= began_ms && view.prepaid.saturating_sub(view.granted).is_zero()
    });
    if has_no_rest && waited_ms >= MOST_WAIT_WITHOUT_REST_MS {
        return Some((
            Refusal::BudgetInUse,
            "the store and other VMs have none left",
        ));
    }
    if waited_ms >= MOST_WAIT_MS || now_ms >= deadline_ms {
        return Some((Refusal::BudgetNotReachable, "no tokens came in time"));
    }
    None
}

/// Logs the totals that a refusal is based on.
fn log_shortage<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    organisation: &Organisation,
    asked: Tokens,
    now_ms: u64,
) {
    let mut core = gateway.core.borrow_mut();
    let view = core
        .budget_views
        .get(&organisation.name)
        .copied()
        .unwrap_or_default();
    let available = core.wallet(&organisation.name).available();
    log::info!(
        target: "budget",
        organisation = organisation.name.as_str(),
        asked_tokens = asked.0,
        available_tokens = available.0,
        prepaid_tokens = view.prepaid.0,
        granted_to_all_tokens = view.granted.0,
        spent_by_all_tokens = view.spent.0,
        read_ms_ago = now_ms.saturating_sub(view.read_at_ms);
        "tokens are lacking"
    );
}

/// Guard that includes a call's tokens in the organisation's waiting tokens until it is dropped.
struct WaitingCall<'a, P: Platform> {
    gateway: &'a Rc<Gateway<P>>,
    organisation: &'a Organisation,
    tokens: Tokens,
}

impl<'a, P: Platform> WaitingCall<'a, P> {
    fn begin(gateway: &'a Rc<Gateway<P>>, organisation: &'a Organisation, tokens: Tokens) -> Self {
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
