//! Exchanges datagrams with other gateways.

use std::{io::ErrorKind, rc::Rc, time::Duration};

use tokio::net::UdpSocket;
use toucan_types::VmName;

use crate::{
    Gateway, Platform,
    overload::{Relief, ReliefPhase},
    peers::{
        Datagram, DatagramError, GatewayLocation, LoadReport, PeerMessage, TargetCalls, Transfers,
    },
    state::GatewayState,
};

use super::peer_messages::handle_message;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Maximum number of datagrams that are handled before other tasks go on.
const MAX_DATAGRAMS_AT_ONCE: usize = 256;
/// Minimum interval between two load messages.
const MIN_LOAD_INTERVAL_MS: u64 = 250;
/// Time by which the interval grows per gateway, to bound the number of datagrams per second.
const LOAD_INTERVAL_PER_GATEWAY_MS: u64 = 10;
/// Time between two reports of the work of organisations. They are as large as the rest of a load message, and
/// cover several seconds.
const WORK_INTERVAL_MS: u64 = 2_000;
/// Time without calls of an organisation after which a gateway that is no holder gives its tokens
/// back.
const IDLE_BEFORE_TRANSFER_MS: u64 = 1_000;

/// Receives and handles datagrams until the process ends.
pub(crate) async fn receive_datagrams<P: Platform>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>) {
    loop {
        if let Err(error) = socket.readable().await {
            log::debug!(target: "peers", error:% = error; "receiving a datagram failed");
        }
        handle_received(&gateway, &socket);
    }
}

/// Handles the datagrams that have arrived, without waiting for more.
///
/// Besides the task that waits for datagrams, those that are about to send a call to a target do so, since where
/// processor time is short that task runs seconds late.
pub(crate) fn handle_received<P: Platform>(gateway: &Rc<Gateway<P>>, socket: &UdpSocket) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    for _datagram in 0..MAX_DATAGRAMS_AT_ONCE {
        let received = match socket.try_recv_from(&mut buffer) {
            Ok((bytes, _from)) => &buffer[..bytes],
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) => {
                // An earlier send reached the closed port of a gateway that has ended. The gateway
                // registers again when it restarts.
                log::debug!(target: "peers", error:% = error; "receiving a datagram failed");
                continue;
            }
        };
        let decoded = Datagram::decode(received, |vm, start_id| sender_key(gateway, vm, start_id));
        match decoded {
            Ok(datagram) => handle_message(gateway, datagram),
            Err(error) => count_rejected(&error),
        }
    }
}

/// Sends the load of this gateway on each target to the other gateways until the process ends.
pub(crate) async fn broadcast_load<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut work_told_at_ms = 0;
    loop {
        let now_ms = gateway.now_ms();
        gateway.state.borrow_mut().observe_members(now_ms);
        let gateways = u64::from(gateway.state.borrow().members.process_count(now_ms));
        let interval_ms = MIN_LOAD_INTERVAL_MS.max(LOAD_INTERVAL_PER_GATEWAY_MS * gateways);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        let calls: Vec<TargetCalls> = gateway
            .state
            .borrow()
            .targets
            .iter()
            .filter(|target| target.own.in_flight > 0)
            .map(|target| TargetCalls {
                target: target.entry.name.clone(),
                in_flight: target.own.in_flight,
                unread_tokens: target.own.unread_tokens,
                kv_tokens: target.own.kv_tokens,
                unread_by_urgency: target.own.unread_by_urgency.into(),
            })
            .collect();
        let vms: Vec<VmName> = gateway
            .state
            .borrow()
            .members
            .iter()
            .map(|(vm, _member)| vm.clone())
            .collect();
        let (utilisation_permille, relief) = update_relief(&gateway);
        let tells_work = now_ms.saturating_sub(work_told_at_ms) >= WORK_INTERVAL_MS;
        if tells_work {
            work_told_at_ms = now_ms;
        }
        let work = tells_work.then(|| gateway.state.borrow_mut().fair_shares.report(now_ms));
        let message = PeerMessage::Load(LoadReport {
            calls,
            utilisation_permille,
            relief,
            work,
        });
        gateway.send_to_peers(vms.iter(), message);
        tell_config(&gateway, now_ms);
        let departures = gateway.state.borrow_mut().told_departures.to_tell(now_ms);
        if !departures.is_empty() {
            gateway.send_to_peers(vms.iter(), PeerMessage::Departures(departures));
        }
        let recovery = gateway.state.borrow().restore_gate.to_tell();
        if let Some(recovery) = recovery {
            gateway.send_to_peers(vms.iter(), PeerMessage::Recovery(recovery));
        }
        give_back_idle_tokens(&gateway, now_ms.saturating_sub(IDLE_BEFORE_TRANSFER_MS));
    }
}

/// Transfers the borrowed tokens that no call has needed since `idle_since_ms` to the holders of
/// this data centre, and repeats the transfers that have not been acknowledged.
pub(crate) fn give_back_idle_tokens<P: Platform>(gateway: &Rc<Gateway<P>>, idle_since_ms: u64) {
    let now_ms = gateway.now_ms();
    let pending = {
        let state = &mut *gateway.state.borrow_mut();
        let transfers = &mut *gateway.transfers.borrow_mut();
        begin_transfers(state, transfers, &gateway.location, idle_since_ms, now_ms);
        transfers.to_send(|vm| state.members.start_of(vm))
    };
    for (vm, transfer) in pending {
        let message = PeerMessage::Transfer {
            id: transfer.id,
            receiver_start: transfer.receiver_start,
            organisation: transfer.organisation,
            tokens: transfer.tokens,
        };
        gateway.send_to_peers(std::iter::once(&vm), message);
    }
}

/// Tells the other gateways the version of the configuration that this one has read lately. They may be unable to read
/// it, and must not deny callers what it allows.
pub(crate) fn tell_config<P: Platform>(gateway: &Gateway<P>, now_ms: u64) {
    let version = gateway
        .state
        .borrow()
        .config_to_tell(&gateway.location, now_ms);
    if let Some(version) = version {
        gateway.tell_all(PeerMessage::ConfigInForce(version));
    }
}

fn begin_transfers(
    state: &mut GatewayState,
    transfers: &mut Transfers,
    location: &GatewayLocation,
    idle_since_ms: u64,
    now_ms: u64,
) {
    for (organisation, wallet) in &mut state.wallets {
        let idle = wallet.available().saturating_sub(wallet.returnable());
        if idle.is_zero() || !wallet.is_idle_since(idle_since_ms) {
            continue;
        }
        let holders = state.members.local_holders(organisation, location, now_ms);
        if holders.contains(&location.vm) && state.stopping_since_ms.is_none() {
            continue;
        }
        let holder = holders
            .into_iter()
            .find(|vm| *vm != location.vm && transfers.is_idle(vm));
        let Some(holder) = holder else {
            continue;
        };
        let Some(start) = state.members.start_of(&holder) else {
            continue;
        };
        let tokens = wallet.lend(idle);
        if !tokens.is_zero() {
            transfers.begin(holder, start, organisation.clone(), tokens);
        }
    }
}

pub(crate) fn sender_key<P: Platform>(
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

/// Decides whether callers are moved to other gateways; returns the utilisation and how far that is.
fn update_relief<P: Platform>(gateway: &Gateway<P>) -> (u32, ReliefPhase) {
    let now_ms = gateway.now_ms();
    let state = &mut *gateway.state.borrow_mut();
    let has_changed = state.update_relief(gateway.start_id(), &gateway.location, now_ms);
    let utilisation_permille = state.utilisation_permille(now_ms);
    if has_changed {
        let is_active = state.moves_callers();
        if is_active {
            metrics::counter!("toucan_reliefs_total").increment(1);
        }
        log::warn!(
            target: "process",
            is_active = is_active,
            utilisation_permille = utilisation_permille;
            "the gateway carries much more than the others of its data centre: moving callers begins or ends"
        );
    }
    let relief = state.relief.as_ref();
    (
        utilisation_permille,
        relief.map_or(ReliefPhase::None, Relief::phase),
    )
}
