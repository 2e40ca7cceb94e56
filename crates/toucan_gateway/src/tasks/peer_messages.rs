//! Applies the messages of other gateways.

use std::rc::Rc;

use toucan_types::{RequestId, VmName};

use crate::{
    Gateway, Platform,
    overload::UtilisationReport,
    peers::{Datagram, LoadReport, PeerMessage},
    placement::TargetLoad,
    streams::StreamOrigin,
};

use super::loan_exchange::{accept_loan, accept_transfer, answer_loan_request};

/// Applies a message, and answers it if it asks.
pub(super) fn handle_message<P: Platform>(gateway: &Rc<Gateway<P>>, datagram: Datagram) {
    let now_ms = gateway.now_ms();
    if let Some(member) = gateway.state.borrow_mut().members.get_mut(&datagram.vm) {
        member.last_seen_ms = now_ms;
    }
    let asks_departures = {
        let catch_up = &mut gateway.state.borrow_mut().departure_catch_up;
        catch_up.record_datagram(now_ms)
    };
    if asks_departures {
        gateway.ask_departures();
    }
    match datagram.message {
        PeerMessage::TargetEnded(ended) => gateway.accept_target_end(ended, &datagram.vm),
        PeerMessage::Sound(fingerprints) => gateway.accept_sound(&fingerprints),
        PeerMessage::PoisonTrial {
            fingerprints,
            has_begun,
        } => {
            let poison = &mut gateway.state.borrow_mut().poison;
            poison.record_trial(&fingerprints, has_begun, now_ms);
            gateway.poison_changed.notify_waiters();
        }
        PeerMessage::Condemned(verdict) => {
            gateway.accept_verdict(&verdict);
        }
        PeerMessage::Load(report) => {
            if let Some(member) = gateway.state.borrow_mut().members.get_mut(&datagram.vm) {
                member.utilisation = Some(UtilisationReport {
                    id: datagram.start,
                    utilisation_permille: report.utilisation_permille,
                    phase: report.relief,
                    received_at_ms: now_ms,
                });
            }
            record_peer_load(gateway, datagram.start, &report, now_ms);
            let shares = &mut gateway.state.borrow_mut().fair_shares;
            if let Some(work) = report.work {
                shares.apply_report(datagram.start, work, now_ms);
            }
        }
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
        PeerMessage::Transfer {
            id,
            receiver_start,
            organisation,
            tokens,
        } => {
            if receiver_start == gateway.start_id() {
                let sender = (&datagram.vm, datagram.start);
                accept_transfer(gateway, sender, id, &organisation, tokens);
            }
        }
        PeerMessage::TransferReceived { id } => {
            let transfers = &mut *gateway.transfers.borrow_mut();
            transfers.acknowledge(&datagram.vm, id);
        }
        PeerMessage::StreamOrigin { attempt, origin } => {
            record_stream_origin(gateway, &datagram.vm, &attempt, origin.as_ref(), now_ms);
        }
        PeerMessage::AskStreamOrigin { attempt } => {
            let origin = gateway.stream_origin(&attempt);
            let answer = PeerMessage::StreamOrigin { attempt, origin };
            gateway.send_to_peers(std::iter::once(&datagram.vm), answer);
        }
        PeerMessage::TargetLimit(limit) => gateway.accept_limit(&limit),
        PeerMessage::AskPermits(query) => {
            if let Some(answer) = gateway.answer_permit_query(&query) {
                let message = PeerMessage::Permits(answer);
                gateway.send_to_peers(std::iter::once(&datagram.vm), message);
            }
        }
        PeerMessage::Permits(answer) => gateway.accept_permits(&answer),
        PeerMessage::Recovery(recovery) => {
            if let Some(member) = gateway.state.borrow_mut().members.get_mut(&datagram.vm) {
                member.recovery = recovery;
            }
        }
        PeerMessage::ConfigInForce(version) => {
            let state = &mut *gateway.state.borrow_mut();
            state.told_config_version = state.told_config_version.max(version);
        }
        PeerMessage::TargetBrittle {
            target,
            started_at_unix_ms,
            rejections_per_s,
        } => {
            gateway.apply_brittle_target(&target, started_at_unix_ms, rejections_per_s);
        }
        PeerMessage::TargetRejects {
            target,
            started_at_unix_ms,
        } => {
            gateway.apply_rejection(&target, started_at_unix_ms);
        }
        PeerMessage::CutOff(is_cut_off) => {
            if let Some(member) = gateway.state.borrow_mut().members.get_mut(&datagram.vm) {
                member.cut_off_at_ms = is_cut_off.then_some(now_ms);
            }
        }
        PeerMessage::OpenTunnel(_request) => {
            // A request of a tunnel's connection. As a datagram it opens none.
            log::debug!(target: "peers", vm = datagram.vm.as_str(); "a request for a tunnel came as a datagram");
        }
        PeerMessage::Departures(departures) => {
            gateway.accept_departures(&departures, &datagram.vm);
        }
        PeerMessage::AskDepartures(query) => {
            gateway.answer_departure_query(query, &datagram.vm);
        }
        PeerMessage::DepartureAnswer(answer) => {
            gateway.accept_departure_answer(&answer, &datagram.vm);
        }
        PeerMessage::TargetReplaced {
            target,
            started_at_unix_ms,
        } => {
            let targets = &mut gateway.state.borrow_mut().targets;
            if targets.record_replaced(&target, started_at_unix_ms) {
                log::info!(target: "target", name = target.as_str(), vm = datagram.vm.as_str(); "another gateway tells that another process answers at the target's address");
            }
        }
        PeerMessage::TargetLeaving {
            target,
            started_at_unix_ms,
        } => {
            let targets = &mut gateway.state.borrow_mut().targets;
            if targets.record_leaving(&target, started_at_unix_ms) {
                log::info!(target: "target", name = target.as_str(), vm = datagram.vm.as_str(); "another gateway tells that the target is leaving");
            }
        }
    }
}

fn record_stream_origin<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    sender: &VmName,
    attempt: &RequestId,
    origin: Option<&StreamOrigin>,
    now_ms: u64,
) {
    match origin {
        Some(origin) => {
            let origins = &mut gateway.state.borrow_mut().stream_origins;
            origins.record(attempt, origin, now_ms);
        }
        None => {
            let mut lookups = gateway.origin_lookups.borrow_mut();
            lookups.record_unknown(attempt, sender);
        }
    }
    gateway.origins_changed.notify_waiters();
}

fn record_peer_load<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    peer_start_id: u64,
    report: &LoadReport,
    now_ms: u64,
) {
    let mut state = gateway.state.borrow_mut();
    state.targets.clear_peer_load(peer_start_id);
    for call in &report.calls {
        if let Some(target) = state.targets.get_mut(&call.target) {
            let load = TargetLoad {
                in_flight: call.in_flight,
                unread_tokens: call.unread_tokens,
                unread_by_urgency: (&call.unread_by_urgency).into(),
                kv_tokens: call.kv_tokens,
            };
            target.set_peer_load(peer_start_id, load, now_ms);
        }
    }
}
