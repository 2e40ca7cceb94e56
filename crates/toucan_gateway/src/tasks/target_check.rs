//! Finds out whether a target has ended whose connections broke.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    Gateway, Platform,
    config::TargetEntry,
    poison::{SuspectCall, TargetEnd, TargetInstance},
};

/// Time in which all connections to a target that ends break.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Records that a target broke the connection of a call, and checks the target unless that is under
/// way.
///
/// `first_event_ms` is when the first event of the answer arrived, if any did.
pub(crate) fn record_broken_call<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    target: &Rc<TargetEntry>,
    call: SuspectCall,
    first_event_ms: Option<u64>,
) {
    let now_ms = gateway.now_ms();
    let instance = target.instance();
    let is_first =
        gateway
            .state
            .borrow_mut()
            .broken_calls
            .record(&instance, call, first_event_ms, now_ms);
    if is_first {
        tokio::task::spawn_local(check_target(
            Rc::clone(gateway),
            Rc::clone(target),
            instance,
        ));
    }
}

/// Connects to a target whose connections broke. A target that accepts a connection has not ended.
async fn check_target<P: Platform>(
    gateway: Rc<Gateway<P>>,
    target: Rc<TargetEntry>,
    instance: TargetInstance,
) {
    sleep(GATHER_TIME).await;
    let pool = &gateway.pool;
    let connected = pool
        .connect_idle(&target, gateway.now_ms(), &*gateway)
        .await;
    let Some(end) = gateway.state.borrow_mut().broken_calls.take(&instance) else {
        return;
    };
    match connected {
        Err(error) if error.error.is_of_peer() && !error.is_local => {
            log_end(&gateway, &end, &error);
            gateway.report_target_end(&end);
        }
        Err(error) => {
            log::warn!(target: "target", name = target.name.as_str(), error:% = error; "it is not known whether the target has ended");
        }
        Ok(()) => {
            log::info!(target: "target", name = target.name.as_str(), broken_calls = end.broken_calls; "the target broke off calls and has not ended");
            gateway.settle_trials(&end);
        }
    }
}

fn log_end<P: Platform>(gateway: &Gateway<P>, end: &TargetEnd, error: &impl std::error::Error) {
    metrics::counter!("toucan_ended_targets_total").increment(1);
    let suspects: Vec<String> = end.suspects.iter().map(SuspectCall::to_string).collect();
    log::warn!(
        target: "target",
        name = end.instance.name.as_str(),
        broken_calls = end.broken_calls,
        suspects = suspects.join(" ").as_str(),
        ended_ms_ago = gateway.now_ms().saturating_sub(end.ended_at_ms),
        error:% = error;
        "the target has ended"
    );
}
