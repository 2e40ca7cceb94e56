//! Exchanges datagrams with other gateways.

use std::{rc::Rc, time::Duration};

use tokio::net::UdpSocket;
use toucan_types::{OrganisationName, Tokens, VmName};

use crate::{
    Gateway, Platform,
    peers::{Datagram, DatagramError, LoanId, PeerMessage, TargetCalls, loan_size},
};

/// Maximum size of a datagram.
const MOST_BYTES: usize = 16 * 1024;
/// Minimum interval between two load messages.
const LOAD_INTERVAL_MS: u64 = 250;
/// Interval per gateway, which bounds the number of datagrams per second in large fleets.
const LOAD_INTERVAL_PER_GATEWAY_MS: u64 = 10;

/// Receives and handles datagrams until the process ends.
pub(crate) async fn receive_datagrams<P: Platform>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((bytes, _from)) => &buffer[..bytes],
            Err(error) => {
                // An earlier send reached a closed port because the gateway there has ended. It registers
                // anew when it starts again.
                log::debug!(target: "peers", error:% = error; "receiving a datagram failed");
                continue;
            }
        };
        let decoded = Datagram::decode(received, |vm, start| key_of(&gateway, vm, start));
        match decoded {
            Ok(datagram) => handle(&gateway, datagram),
            Err(error) => note_unusable(&error),
        }
    }
}

/// Sends the load of this gateway on each target to the other gateways until the process ends.
pub(crate) async fn tell_load<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        let now_ms = gateway.now_ms();
        let gateways = u64::from(gateway.core.borrow().members.process_count(now_ms));
        let interval_ms = LOAD_INTERVAL_MS.max(LOAD_INTERVAL_PER_GATEWAY_MS * gateways);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        let calls: Vec<TargetCalls> = gateway
            .core
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
            .core
            .borrow()
            .members
            .iter()
            .map(|(vm, _member)| vm.clone())
            .collect();
        let message = PeerMessage::Load(calls);
        gateway.send_to_peers(vms.iter(), message);
    }
}

fn key_of<P: Platform>(gateway: &Rc<Gateway<P>>, vm: &VmName, start: u64) -> Option<[u8; 32]> {
    let mut core = gateway.core.borrow_mut();
    let member = core.members.get_mut(vm)?;
    (member.entry.start == start).then_some(member.entry.key)
}

fn note_unusable(error: &DatagramError) {
    metrics::counter!("toucan_unusable_datagrams_total").increment(1);
    log::debug!(target: "peers", error:% = error; "a datagram cannot be used");
}

fn handle<P: Platform>(gateway: &Rc<Gateway<P>>, datagram: Datagram) {
    let now_ms = gateway.now_ms();
    if let Some(member) = gateway.core.borrow_mut().members.get_mut(&datagram.vm) {
        member.last_seen_ms = now_ms;
    }
    match datagram.message {
        PeerMessage::Load(calls) => note_load(gateway, datagram.start, &calls, now_ms),
        PeerMessage::AskLoan { lender_start, .. } if lender_start != gateway.start() => {
            log::debug!(target: "budget", vm = datagram.vm.as_str(); "a loan request to a former process of this VM was ignored");
        }
        PeerMessage::AskLoan {
            id,
            organisation,
            tokens,
            lender_start: _,
        } => {
            let asker = (datagram.vm, datagram.start, id);
            answer_ask(gateway, asker, organisation, tokens, now_ms);
        }
        PeerMessage::Loan {
            id,
            organisation,
            tokens,
        } => take_loan(
            gateway,
            (&datagram.vm, datagram.start),
            id,
            &organisation,
            tokens,
        ),
    }
}

fn note_load<P: Platform>(gateway: &Rc<Gateway<P>>, peer: u64, calls: &[TargetCalls], now_ms: u64) {
    let mut core = gateway.core.borrow_mut();
    core.targets.clear_peer_load(peer);
    for call in calls {
        if let Some(state) = core.targets.get_mut(&call.target) {
            state.set_peer_load(peer, call.in_flight, call.unread_tokens, now_ms);
        }
    }
}

fn answer_ask<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    asker: (VmName, u64, LoanId),
    organisation: OrganisationName,
    asked: Tokens,
    now_ms: u64,
) {
    let remembered = gateway.lending.borrow().previous_loan(&asker);
    let tokens = match remembered {
        Some(tokens) => tokens,
        None => {
            let mut core = gateway.core.borrow_mut();
            let wallet = core.wallet(&organisation);
            let size = loan_size(asked, wallet.available(), wallet.rate_per_s(now_ms));
            let loan = wallet.lend(size);
            drop(core);
            gateway
                .lending
                .borrow_mut()
                .record_loan(asker.clone(), loan);
            log::info!(
                target: "budget",
                organisation = organisation.as_str(),
                vm = asker.0.as_str(),
                asked_tokens = asked.0,
                lent_tokens = loan.0;
                "loan to another gateway"
            );
            loan
        }
    };
    let (vm, _start, id) = asker;
    let message = PeerMessage::Loan {
        id,
        organisation,
        tokens,
    };
    gateway.send_to_peers(std::iter::once(&vm), message);
}

fn take_loan<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    (lender, lender_start): (&VmName, u64),
    id: LoanId,
    organisation: &OrganisationName,
    tokens: Tokens,
) {
    let is_accepted = gateway
        .lending
        .borrow_mut()
        .accept(id, organisation, lender, lender_start);
    if !is_accepted {
        log::debug!(target: "budget", vm = lender.as_str(), id = id.0; "a duplicate or late loan was ignored");
        return;
    }
    gateway
        .core
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
