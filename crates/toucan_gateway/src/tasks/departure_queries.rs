//! Asks other gateways which targets have left while the store is not read.

use std::{rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{Gateway, Platform};

use super::peer_exchange::handle_received;

/// Shortest time between two looks at whether others are to be asked.
const MIN_CHECK_INTERVAL_MS: u64 = 50;
/// Time after which a call that waits looks again whether it has to.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Asks other gateways whenever this one has not read the store for some time, until the process ends.
pub(crate) async fn ask_departures<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        let ask_in_ms = {
            let catch_up = &gateway.state.borrow().departure_catch_up;
            catch_up.ask_in_ms(gateway.now_ms())
        };
        if ask_in_ms == 0 {
            gateway.ask_departures();
        }
        sleep(Duration::from_millis(ask_in_ms.max(MIN_CHECK_INTERVAL_MS))).await;
    }
}

/// Takes up what other gateways have told of targets that leave, and waits until this gateway knows, nobody tells, or
/// `left_ms` have passed.
pub(crate) async fn learn_departures<P: Platform>(gateway: &Rc<Gateway<P>>, left_ms: u64) {
    if let Some(socket) = gateway.peers_socket() {
        handle_received(gateway, &socket);
    }
    if !gateway.holds_calls_for_departures() {
        return;
    }
    metrics::counter!("toucan_calls_waiting_for_departures_total").increment(1);
    let wait = async {
        while gateway.holds_calls_for_departures() {
            let learnt = gateway.departures_learnt.notified();
            // The loop looks again whether the wait ended by an answer or by the timeout.
            let _elapsed = timeout(HOLD_CHECK_INTERVAL, learnt).await;
        }
    };
    let _elapsed = timeout(Duration::from_millis(left_ms), wait).await;
}
