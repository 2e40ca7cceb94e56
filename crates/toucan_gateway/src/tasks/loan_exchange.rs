//! Lends tokens to other gateways, and accepts loans and transfers of theirs.

use std::{rc::Rc, time::Duration};

use tokio::{task::spawn_local, time::timeout};
use toucan_types::{OrganisationName, Tokens, VmName};

use crate::{
    Gateway, Platform,
    peers::{LoanId, PeerMessage, TransferId, loan_size},
    serving::{TokenWait, WaitKind},
};

/// Maximum time for which a holder draws tokens from the store before it answers a loan request
/// that it cannot cover.
const MAX_LOAN_DRAW_MS: u64 = 50;

/// Answers a loan request of another gateway, after a draw from the store if that may help.
pub(super) fn answer_loan_request<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    borrower: (VmName, u64, LoanId),
    organisation: OrganisationName,
    requested: Tokens,
    now_ms: u64,
) {
    if gateway.lending.borrow().previous_loan(&borrower).is_none() {
        let is_first = gateway.lending.borrow_mut().begin_answer(&borrower);
        if !is_first {
            // The earlier copy of the request is answered when its tokens have been drawn.
            return;
        }
        let mut state = gateway.state.borrow_mut();
        let wallet = state.wallet(&organisation);
        let is_covered = wallet.available() >= requested;
        drop(state);
        if !is_covered && gateway.is_holder(&organisation) && gateway.can_draw(&organisation) {
            spawn_local(lend_after_draw(
                Rc::clone(gateway),
                borrower,
                organisation,
                requested,
                now_ms + MAX_LOAN_DRAW_MS,
            ));
            return;
        }
    }
    lend(gateway, borrower, organisation, requested, now_ms);
}

/// Draws the tokens that a loan needs, then lends what there is.
async fn lend_after_draw<P: Platform>(
    gateway: Rc<Gateway<P>>,
    borrower: (VmName, u64, LoanId),
    organisation: OrganisationName,
    requested: Tokens,
    deadline_ms: u64,
) {
    let wait = TokenWait::begin(&gateway, &organisation, requested, WaitKind::Remote);
    gateway.sync_requested.notify_one();
    loop {
        let now_ms = gateway.now_ms();
        let available = gateway.state.borrow_mut().wallet(&organisation).available();
        if available >= requested || now_ms >= deadline_ms || !gateway.can_draw(&organisation) {
            break;
        }
        let left = Duration::from_millis(deadline_ms - now_ms);
        // The loop looks again whether the wait ended by a notification or by the timeout.
        let _elapsed = timeout(left, gateway.tokens_changed.notified()).await;
    }
    drop(wait);
    let now_ms = gateway.now_ms();
    lend(&gateway, borrower, organisation, requested, now_ms);
}

/// Lends tokens, or repeats the answer that an earlier copy of the request got.
fn lend<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    borrower: (VmName, u64, LoanId),
    organisation: OrganisationName,
    requested: Tokens,
    now_ms: u64,
) {
    let previous_loan = gateway.lending.borrow().previous_loan(&borrower);
    let tokens = match previous_loan {
        Some(tokens) => tokens,
        None => {
            let loan = lend_from_wallet(gateway, &borrower.0, &organisation, requested, now_ms);
            gateway
                .lending
                .borrow_mut()
                .record_loan(borrower.clone(), loan);
            loan
        }
    };
    let (vm, _start_id, id) = borrower;
    let message = PeerMessage::Loan {
        id,
        organisation,
        tokens,
    };
    gateway.send_to_peers(std::iter::once(&vm), message);
}

/// Takes a loan out of the wallet and returns its size.
fn lend_from_wallet<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    borrower: &VmName,
    organisation: &OrganisationName,
    requested: Tokens,
    now_ms: u64,
) -> Tokens {
    let state = &mut *gateway.state.borrow_mut();
    let is_neighbour = state
        .members
        .is_in_data_centre(borrower, &gateway.location.data_centre);
    let wallet = state.wallet(organisation);
    let available = wallet.available();
    let size = if is_neighbour && available >= requested {
        // A holder keeps no tokens for itself that its data centre needs.
        requested
    } else {
        loan_size(requested, available, wallet.rate_per_s(now_ms))
    };
    let loan = wallet.lend(size);
    if loan.is_zero() {
        metrics::counter!("toucan_loans_refused_total").increment(1);
        return loan;
    }
    if is_neighbour {
        // The holder draws for the calls of its data centre. Other holders record their own demand.
        wallet.record_demand(loan, now_ms);
    }
    log::info!(
        target: "budget",
        organisation = organisation.as_str(),
        vm = borrower.as_str(),
        asked_tokens = requested.0,
        lent_tokens = loan.0,
        available_tokens = wallet.available().0;
        "loan to another gateway"
    );
    loan
}

/// Accepts idle tokens of another gateway and acknowledges them.
pub(super) fn accept_transfer<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    (sender, sender_start_id): (&VmName, u64),
    id: TransferId,
    organisation: &OrganisationName,
    tokens: Tokens,
) {
    let is_new = gateway
        .transfers
        .borrow_mut()
        .accept(sender, sender_start_id, id);
    if is_new {
        gateway
            .state
            .borrow_mut()
            .wallet(organisation)
            .borrow_from_peer(tokens);
        log::info!(
            target: "budget",
            organisation = organisation.as_str(),
            vm = sender.as_str(),
            tokens = tokens.0;
            "idle tokens from another gateway"
        );
        gateway.tokens_changed.notify_waiters();
    }
    gateway.send_to_peers(
        std::iter::once(sender),
        PeerMessage::TransferReceived { id },
    );
}

/// Accepts a loan that this gateway asked for.
pub(super) fn accept_loan<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    (lender, lender_start_id): (&VmName, u64),
    id: LoanId,
    organisation: &OrganisationName,
    tokens: Tokens,
) {
    let now_ms = gateway.now_ms();
    let is_accepted = gateway.lending.borrow_mut().accept(
        id,
        organisation,
        (lender, lender_start_id),
        tokens,
        now_ms,
    );
    if !is_accepted {
        log::debug!(target: "budget", vm = lender.as_str(), id = id.0; "a duplicate or late loan was ignored");
        return;
    }
    gateway
        .state
        .borrow_mut()
        .wallet(organisation)
        .borrow_from_peer(tokens);
    if !tokens.is_zero() {
        log::info!(
            target: "budget",
            organisation = organisation.as_str(),
            vm = lender.as_str(),
            borrowed_tokens = tokens.0;
            "loan from another gateway"
        );
    }
    // A waiting call asks the next lender if this one had no tokens.
    gateway.tokens_changed.notify_waiters();
}
