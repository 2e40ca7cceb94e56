//! Reserves the tokens of a call, waiting for them if necessary.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;
use toucan_types::{OrganisationName, Tokens};

use crate::{
    Gateway, Platform, Refusal,
    budget::ReserveError,
    config::Organisation,
    state::{GatewayState, WaitingTokens},
};

/// Maximum wait for tokens from the store or from other VMs.
const MAX_WAIT_MS: u64 = 400;
/// Wait after which a call is refused if a read of the store since the call began shows that the
/// budget is fully granted. Other VMs answer loan requests within a few milliseconds, so some of
/// them have been asked by then.
const MAX_WAIT_IF_FULLY_GRANTED_MS: u64 = 90;
/// Time after such a refusal for which calls for at least as many tokens are refused at once.
const SHORTAGE_TTL_MS: u64 = 500;
/// Wait after which a gateway that holds no tokens of the organisation draws the call's tokens
/// itself, because none of those that do has lent them.
const MAX_LOAN_WAIT_MS: u64 = 60;
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
    let mut waiting: Option<TokenWait<P>> = None;
    loop {
        let shortage = match gateway.state.borrow_mut().wallet(name).reserve(tokens) {
            Ok(()) => return Ok(()),
            Err(shortage) => shortage,
        };
        let now_ms = gateway.now_ms();
        if gateway.is_budget_exhausted(name, tokens, began_ms) {
            return Err((Refusal::BudgetSpent, "the store's records leave too little"));
        }
        let refused = if gateway.is_loan_hopeless(name) {
            Some(hopeless_refusal(&gateway.state.borrow()))
        } else {
            wait_refusal(
                &gateway.state.borrow(),
                name,
                tokens,
                began_ms,
                deadline_ms,
                now_ms,
            )
        };
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
        let wait =
            waiting.get_or_insert_with(|| TokenWait::begin(gateway, name, tokens, WaitKind::Local));
        let is_overdue = now_ms.saturating_sub(began_ms) >= MAX_LOAN_WAIT_MS;
        if is_overdue {
            wait.mark_overdue();
        }
        if matches!(shortage, ReserveError::Insufficient(_)) {
            gateway.request_loans(name);
        }
        if is_overdue || gateway.is_holder(name) {
            gateway.sync_requested.notify_one();
        }
        // The loop tries again whether the wait ended by a notification or by the timeout.
        let _elapsed = timeout(POLL_INTERVAL, gateway.tokens_changed.notified()).await;
    }
}

/// Returns the refusal of a call for which neither the store nor another gateway has tokens.
const fn hopeless_refusal(state: &GatewayState) -> (Refusal, &'static str) {
    if state.grants_unreachable {
        (
            Refusal::BudgetNotReachable,
            "the store cannot be reached and other VMs have none left",
        )
    } else {
        (
            Refusal::BudgetInUse,
            "the store and other VMs have none left",
        )
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
    let snapshot = state.budget_snapshots.get(&organisation.name).copied();
    let available = state.wallet(&organisation.name).available();
    let Some(snapshot) = snapshot else {
        log::info!(
            target: "budget",
            organisation = organisation.name.as_str(),
            asked_tokens = requested.0,
            available_tokens = available.0;
            "tokens are lacking, the budget has not been read since the start"
        );
        return;
    };
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

/// Whose call waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitKind {
    /// A call to this gateway.
    Local,
    /// A call to another gateway, which has asked this one for a loan.
    Remote,
}

/// Guard that includes a call's tokens in the organisation's waiting tokens until it is dropped.
pub(crate) struct TokenWait<P: Platform> {
    gateway: Rc<Gateway<P>>,
    organisation: OrganisationName,
    tokens: Tokens,
    kind: WaitKind,
    is_overdue: bool,
}

impl<P: Platform> TokenWait<P> {
    /// Adds the tokens to those that are waited for.
    pub(crate) fn begin(
        gateway: &Rc<Gateway<P>>,
        organisation: &OrganisationName,
        tokens: Tokens,
        kind: WaitKind,
    ) -> Self {
        let wait = Self {
            gateway: Rc::clone(gateway),
            organisation: organisation.clone(),
            tokens,
            kind,
            is_overdue: false,
        };
        wait.update(|waiting| {
            let sum = wait.sum(waiting);
            *sum = sum.saturating_add(tokens);
        });
        wait
    }

    /// Adds the tokens to those that this gateway draws even if it is no holder.
    fn mark_overdue(&mut self) {
        if self.is_overdue {
            return;
        }
        self.is_overdue = true;
        self.update(|waiting| waiting.overdue = waiting.overdue.saturating_add(self.tokens));
    }

    fn sum<'a>(&self, waiting: &'a mut WaitingTokens) -> &'a mut Tokens {
        match self.kind {
            WaitKind::Local => &mut waiting.local,
            WaitKind::Remote => &mut waiting.remote,
        }
    }

    fn update(&self, change: impl FnOnce(&mut WaitingTokens)) {
        let mut state = self.gateway.state.borrow_mut();
        change(
            state
                .waiting_tokens
                .entry(self.organisation.clone())
                .or_default(),
        );
    }
}

impl<P: Platform> Drop for TokenWait<P> {
    fn drop(&mut self) {
        self.update(|waiting| {
            let sum = self.sum(waiting);
            *sum = sum.saturating_sub(self.tokens);
            if self.is_overdue {
                waiting.overdue = waiting.overdue.saturating_sub(self.tokens);
            }
        });
    }
}
