//! Detection of silent connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use h2::{Ping, PingPong};
use tokio::time::{Duration, sleep};

use crate::LinkSettings;
use crate::watched_io::LastRead;

/// Interval at which a connection is checked, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Number of requests on a connection that wait for a reply.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingReplies(Arc<AtomicUsize>);

/// Guard that counts one request as waiting for its reply until it is dropped.
pub(crate) struct PendingReply(PendingReplies);

impl PendingReplies {
    pub(crate) fn add(&self) -> PendingReply {
        self.0.fetch_add(1, Ordering::Relaxed);
        PendingReply(self.clone())
    }

    fn has_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Completes when the connection is silent: no byte arrived, not even the reply to a ping.
///
/// Any received byte counts as progress, so slow peers and slow paths are not affected.
pub(crate) async fn watch_for_silence(
    mut ping_pong: PingPong,
    last_read: LastRead,
    pending_replies: PendingReplies,
    settings: LinkSettings,
) {
    loop {
        let ping_after_ms = if pending_replies.has_pending() {
            settings.busy_ping_after_ms
        } else {
            settings.idle_ping_after_ms
        };
        if last_read.idle_ms() < ping_after_ms {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            continue;
        }
        if is_silent(&mut ping_pong, &last_read, &settings).await {
            return;
        }
    }
}

async fn is_silent(
    ping_pong: &mut PingPong,
    last_read: &LastRead,
    settings: &LinkSettings,
) -> bool {
    let pinged_at_ms = last_read.now_ms();
    let pong = ping_pong.ping(Ping::opaque());
    tokio::pin!(pong);
    loop {
        tokio::select! {
            pong = &mut pong => return pong.is_err(),
            () = sleep(Duration::from_millis(POLL_INTERVAL_MS)) => {}
        }
        let waited_ms = last_read.now_ms() - pinged_at_ms;
        if waited_ms.min(last_read.idle_ms()) >= settings.silent_after_ms {
            return true;
        }
    }
}
