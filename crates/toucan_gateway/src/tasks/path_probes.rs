//! Finds out by which way targets are reached.

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use tokio::time::sleep;
use toucan_types::TargetName;

use crate::{Gateway, Platform, config::TargetEntry, peers::PeerMessage};

/// Interval at which it is checked whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which other gateways are told that this one is cut off.
const TELL_INTERVAL_MS: u64 = 500;

/// Connects to targets from which this VM is cut off, to find out when that is over, and tells the other gateways,
/// until the process ends.
pub(crate) async fn probe_paths<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut told = (false, 0);
    loop {
        sleep(CHECK_INTERVAL).await;
        let now_ms = gateway.now_ms();
        let is_cut_off = gateway.pool.is_cut_off();
        let (was_cut_off, told_at_ms) = told;
        if is_cut_off != was_cut_off || is_cut_off && now_ms >= told_at_ms + TELL_INTERVAL_MS {
            gateway.tell_all(PeerMessage::CutOff(is_cut_off));
            told = (is_cut_off, now_ms);
        }
        let probes = gateway.pool.next_probes().into_iter();
        join_all(probes.map(|name| probe(&gateway, name))).await;
    }
}

async fn probe<P: Platform>(gateway: &Rc<Gateway<P>>, name: TargetName) {
    let entry = {
        let state = gateway.state.borrow();
        state
            .targets
            .get(&name)
            .map(|target| Rc::clone(&target.entry))
    };
    if let Some(entry) = entry {
        gateway.pool.probe(&entry).await;
    }
}

/// Checks by which way a target is reached after a connection to it went silent.
pub(crate) fn spawn_path_check<P: Platform>(gateway: &Rc<Gateway<P>>, target: &Rc<TargetEntry>) {
    let (gateway, target) = (Rc::clone(gateway), Rc::clone(target));
    tokio::task::spawn_local(async move {
        let now_ms = gateway.now_ms();
        // The pool records the result.
        let _connected = gateway.pool.connect_idle(&target, now_ms, &*gateway).await;
    });
}
