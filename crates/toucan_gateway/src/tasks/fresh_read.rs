//! Reads of the store that calls wait for.

use std::time::Duration;

use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

/// Longest time for which a call waits until the store has been read.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Lets calls wait for a read of the store that began after them. One read serves all calls that wait.
#[derive(Debug)]
pub(crate) struct FreshRead {
    requested: Notify,
    /// When the last completed read began.
    read_at: watch::Sender<u64>,
}

impl Default for FreshRead {
    fn default() -> Self {
        Self {
            requested: Notify::new(),
            read_at: watch::channel(0).0,
        }
    }
}

impl FreshRead {
    /// Requests a read, and waits until one that began at or after `since_ms` is complete; returns false if none is in
    /// time. An earlier read may miss what was written since.
    pub(crate) async fn wait_since(&self, since_ms: u64) -> bool {
        let mut read_times = self.read_at.subscribe();
        self.requested.notify_one();
        let is_read = read_times.wait_for(|began_ms| *began_ms >= since_ms);
        matches!(timeout(MAX_WAIT, is_read).await, Ok(Ok(_began_ms)))
    }

    /// Requests a read.
    pub(crate) fn request(&self) {
        self.requested.notify_one();
    }

    /// Completes when a read is requested.
    pub(crate) async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Records that a read is complete which began at `began_ms`.
    pub(crate) fn complete(&self, began_ms: u64) {
        self.read_at.send_replace(began_ms);
    }
}
