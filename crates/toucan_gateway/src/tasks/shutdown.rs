//! Graceful shutdown: fails readiness probes, then refuses new calls, then waits for calls in
//! progress and returns tokens.

use std::{rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{Gateway, Platform, serving::http_listener::ListenerState, state::SHUTDOWN_ACCEPT_MS};

use super::{
    grant_sync::return_idle_tokens, membership::deregister, peer_exchange::give_back_idle_tokens,
};

/// Time for which borrowed tokens are offered to a holder.
const GIVE_BACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for deregistering this gateway. If it fails, the others detect its absence later.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum timeout for returning tokens, used if calls were in progress until the end.
const MIN_RETURN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which the answers to calls that are ended reach their callers.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Interval at which the number of calls in progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts down the gateway and returns the number of calls that were cut off.
pub(crate) async fn stop<P: Platform>(gateway: &Rc<Gateway<P>>) -> u32 {
    let began_ms = gateway.now_ms();
    gateway.state.borrow_mut().stopping_since_ms = Some(began_ms);
    let cut_off_ms = gateway.state.borrow().cut_off_ms(gateway.bounds().stop_ms);
    let drain_deadline_ms = cut_off_ms.unwrap_or(began_ms);
    log::info!(
        target: "process",
        calls = gateway.state.borrow().calls_in_progress,
        stop_ms = gateway.bounds().stop_ms;
        "stop begins"
    );
    gateway.sync_requested.notify_one();
    sleep(Duration::from_millis(SHUTDOWN_ACCEPT_MS)).await;
    gateway.listener_state.send_replace(ListenerState::Closing);
    while has_work(gateway) && gateway.now_ms() < drain_deadline_ms {
        sleep(POLL_INTERVAL).await;
    }
    if has_work(gateway) {
        // Callers get an answer that tells what is known, and not a closed connection.
        gateway.calls_end.send_replace(true);
        sleep(FINAL_ANSWERS_TIME).await;
    }
    // Tokens that are not returned are lost, so the store gets all the remaining time.
    let time_left = Duration::from_millis(drain_deadline_ms.saturating_sub(gateway.now_ms()));
    let returned = timeout(
        time_left.max(MIN_RETURN_TIMEOUT),
        return_idle_tokens(gateway),
    )
    .await;
    if returned.is_err() {
        log::warn!(target: "budget", "idle tokens were not returned, the store did not answer");
    }
    give_back_borrowed_tokens(gateway).await;
    match timeout(DEREGISTER_TIMEOUT, deregister(gateway)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!(target: "members", error:% = error; "deregistration failed"),
        Err(_elapsed) => {
            log::warn!(target: "members", "deregistration failed, the store did not answer");
        }
    }
    let cut_off = gateway.state.borrow().calls_in_progress;
    log::info!(
        target: "process",
        cut_off = cut_off,
        cut_off_answers = gateway.caller_connections.get(),
        cut_off_tunnels = gateway.open_tunnels.get(),
        took_ms = gateway.now_ms().saturating_sub(began_ms);
        "stopped"
    );
    cut_off
}

/// Returns whether calls are in progress, callers still take their answers, or other gateways have connections to targets
/// through this one.
fn has_work<P: Platform>(gateway: &Gateway<P>) -> bool {
    gateway.state.borrow().calls_in_progress > 0
        || gateway.caller_connections.get() > 0
        || gateway.open_tunnels.get() > 0
}

/// Gives borrowed tokens, which cannot be returned to the store, to another holder.
async fn give_back_borrowed_tokens<P: Platform>(gateway: &Rc<Gateway<P>>) {
    let deadline_ms = gateway.now_ms() + GIVE_BACK_TIMEOUT.as_millis() as u64;
    loop {
        let now_ms = gateway.now_ms();
        give_back_idle_tokens(gateway, now_ms);
        if gateway.transfers.borrow().is_complete() {
            return;
        }
        if now_ms >= deadline_ms {
            log::warn!(target: "budget", "borrowed tokens are lost, no holder has confirmed them");
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
