//! Graceful shutdown: stops new connections, then new calls, then ends.

use std::{rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{Gateway, Platform, core::ACCEPT_MS, serving::http_listener::ListenerState};

use super::{grant_duty::return_all, member_duty::deregister};

/// Fraction of the time until the process is killed in which calls may complete.
const DRAIN_PART: f64 = 0.9;
/// Timeout for deregistering this gateway. If it fails, the others detect the end later by silence.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum timeout for returning tokens, used if calls were in progress until the end.
const LEAST_RETURN: Duration = Duration::from_millis(300);
/// Interval at which the number of calls in progress is checked.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts down the gateway and returns the number of calls that were cut off.
pub(crate) async fn stop<P: Platform>(gateway: &Rc<Gateway<P>>) -> u32 {
    let began_ms = gateway.now_ms();
    gateway.core.borrow_mut().stopping_since_ms = Some(began_ms);
    let end_ms = began_ms + (gateway.bounds().stop_ms as f64 * DRAIN_PART) as u64;
    log::info!(
        target: "process",
        calls = gateway.core.borrow().calls_in_progress,
        stop_ms = gateway.bounds().stop_ms;
        "stop begins"
    );
    gateway.draw_soon.notify_one();
    sleep(Duration::from_millis(ACCEPT_MS)).await;
    gateway.listener_state.send_replace(ListenerState::Closing);
    while gateway.core.borrow().calls_in_progress > 0 && gateway.now_ms() < end_ms {
        sleep(LOOK_INTERVAL).await;
    }
    // Tokens that are not returned are lost, so the store gets all the remaining time.
    let left = Duration::from_millis(end_ms.saturating_sub(gateway.now_ms()));
    let is_returned = timeout(left.max(LEAST_RETURN), return_all(gateway)).await;
    if is_returned.is_err() {
        log::warn!(target: "budget", "idle tokens were not returned, the store did not answer");
    }
    match timeout(DEREGISTER_TIMEOUT, deregister(gateway)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!(target: "members", error:% = error; "deregistration failed"),
        Err(_elapsed) => {
            log::warn!(target: "members", "deregistration failed, the store did not answer");
        }
    }
    let cut_off = gateway.core.borrow().calls_in_progress;
    log::info!(
        target: "process",
        cut_off = cut_off,
        took_ms = gateway.now_ms().saturating_sub(began_ms);
        "stopped"
    );
    cut_off
}
