//! Takes a permit for each call that is sent to a target with a limit.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;

use crate::{Gateway, Platform, config::TargetEntry, limits::PermitStep};

use super::call::Call;

/// Takes a permit to send a call to a target, if the target limits its calls. Returns whether the call may
/// be sent.
///
/// The call waits only for the answer to a request for permits, and for no longer than its
/// `permit_wait_ms`.
pub(crate) async fn take_permit<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &mut Call,
    target: &Rc<TargetEntry>,
) -> bool {
    loop {
        let changed = gateway.permits_changed.notified();
        let now_ms = gateway.now_ms();
        let left_ms = call.permit_wait_ms.min(call.left_ms(now_ms));
        let wait_ms = match gateway.next_permit_step(target, left_ms, now_ms) {
            PermitStep::Send => return true,
            PermitStep::Denied => {
                metrics::counter!("toucan_denied_permits_total").increment(1);
                return false;
            }
            PermitStep::Ask { request, wait_ms } => {
                gateway.ask_permits(target, request);
                wait_ms
            }
            PermitStep::Wait { wait_ms } => wait_ms,
        };
        // The loop looks again whether the wait ended by an answer or by the timeout.
        let _elapsed = timeout(Duration::from_millis(wait_ms), changed).await;
        let waited_ms = gateway.now_ms().saturating_sub(now_ms);
        call.permit_wait_ms = call.permit_wait_ms.saturating_sub(waited_ms);
    }
}
