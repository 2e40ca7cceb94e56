//! Exchanges datagrams with other gateways.

use std::{rc::Rc, time::Duration};

use tokio::net::UdpSocket;
use toucan_types::{OrganisationName, Tokens, VmName};

use crate::{
    Gateway, Platform,
    peers::{Datagram, DatagramError, LoanId, PeerMessage, TargetCalls, loan_size},
};

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Minimum interval between two load messages.
const MIN_LOAD_INTERVAL_MS: u64 = 250;
/// Time by which the interval grows per gateway, to bound the number of datagrams per second.
const LOAD_INTERVAL_PER_GATEWAY_MS: u64 = 10;

/// Receives and handles datagrams until the process ends.
pub(crate) async fn receive_datagrams<P: Platform>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((bytes, _from)) => &buffer[..bytes],
            Err(error) => {
                // An earlier send reached the closed port of a gateway that has ended. The gateway
                // registers again when it restarts.
                log::debug!(target: "peers", error:% = error; "receiving a datagram failed");
                continue;
            }
        };
        let decoded = Datagram::decode(received, |vm, start_id| sender_key(&gateway, vm, start_id));
        match decoded {
            Ok(datagram) => handle(&gateway, datagram),
            Err(error) => count_rejected(&error),
        }
    }
}

/// Sends the load of this gateway on each target to the other gateways until the process ends.
pub(crate) async fn broadcast_load<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        let now_ms = gateway.now_ms();
        let gateways = u64::from(gateway.state.borrow().members.process_count(now_ms));
        let interval_ms = MIN_LOAD_INTERVAL_MS.max(LOAD_INTERVAL_PER_GATEWAY_MS * gateways);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        let calls: Vec<TargetCalls> = gateway
            .state
            .borrow()
            .targets
            .iter()
            .filter(|target| target.in_flight > 0)
            .map(|target| TargetCalls {
                target: target.entry.name.clone(),
                in_flight: target.in_flight,
                unread_tokens: target.unread_tokens,
            })
            .collect();
        let vms: Vec<VmName> = gateway
            .state
            .borrow()
            .members
            .iter()
            .map(|(vm, _member)| vm.clone())
            .collect();
        let message = PeerMessage::Load(calls);
        gateway.send_to_peers(vms.iter(), message);
    }
}

fn sender_key<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    vm: &VmName,
    start_id: u64,
) -> Option<[u8; 32]> {
    let mut state = gateway.state.borrow_mut();
    let member = state.members.get_mut(vm)?;
    (member.entry.start == start_id).then_some(member.entry.key)
}

fn count_rejected(error: &DatagramError) {
    metrics::counter!("toucan_unusable_datagrams_total").increment(1);
    log::debug!(target: "peers", error:% = error; "a datagram cannot be used");
}

fn handle<P: Platform>(gateway: &Rc<Gateway<P>>, datagram: Datagram) {
    let now_ms = gateway.now_ms();
    if let Some(member) = gateway.state.borrow_mut().members.get_mut(&datagram.vm) {
        member.last_seen_ms = now_ms;
    }
    match datagram.message {
        PeerMessage::Load(calls) => record_peer_load(gateway, datagram.start, &calls, now_ms),
        PeerMessage::AskLoan { lender_start, .. } if lender_start != gateway.start_id() => {
            log::debug!(target: "budget", vm = datagram.vm.as_str(); "a loan request to a former process of this VM was ignored");
        }
        PeerMessage::AskLoan {
            id,
            organisation,
            tokens,
            lender_start: _,
        } => {
            let borrower = (datagram.vm, datagram.start, id);
            answer_loan_request(gateway, borrower, organisation, tokens, now_ms);
        }
        PeerMessage::Loan {
            id,
            organisation,
            tokens,
        } => accept_loan(
            gateway,
            (&datagram.vm, datagram.start),
            id,
            &organisation,
            tokens,
        ),
    }
}

fn record_peer_load<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    peer_start_id: u64,
    calls: &[TargetCalls],
    now_ms: u64,
) {
    let mut state = gateway.state.borrow_mut();
    state.targets.clear_peer_load(peer_start_id);
    for call in calls {
        if let Some(target) = state.targets.get_mut(&call.target) {
            target.set_peer_load(peer_start_id, call.in_flight, call.unread_tokens, now_ms);
        }
    }
}

fn answer_loan_request<P: Platform>(
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
            let mut state = gateway.state.borrow_mut();
            let wallet = state.wallet(&organisation);
            let size = loan_size(requested, wallet.available(), wallet.rate_per_s(now_ms));
            let loan = wallet.lend(size);
            drop(state);
            gateway
                .lending
                .borrow_mut()
                .record_loan(borrower.clone(), loan);
            log::info!(
                target: "budget",
                organisation = organisation.as_str(),
                vm = borrower.0.as_str(),
                asked_tokens = requested.0,
                lent_tokens = loan.0;
                "loan to another gateway"
            );
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

fn accept_loan<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    (lender, lender_start_id): (&VmName, u64),
    id: LoanId,
    organisation: &OrganisationName,
    tokens: Tokens,
) {
    let is_accepted =
        gateway
            .lending
            .borrow_mut()
            .accept(id, organisation, lender, lender_start_id);
    if !is_accepted {
        log::debug!(target: "budget", vm = lender.as_str(), id = id.0; "a duplicate or late loan was ignored");
        return;
    }
    gateway
        .state
        .borrow_mut()
        .wallet(organisation)
        .borrow_from_peer(tokens);
    log::info!(
        target: "budget",
        organisation = organisation.as_str(),
        vm = lender.as_str(),
        borrowed_tokens = tokens.0;
        "loan from another gateway"
    );
    gateway.tokens_changed.notify_waiters();
}
