//! Signals that a thread of a node has panicked.

use std::sync::Arc;

use tokio::sync::watch;

/// Signals that a thread of a node has panicked, after which the node must be restarted.
#[derive(Clone)]
pub(crate) struct FailureSignal(Arc<watch::Sender<bool>>);

impl FailureSignal {
    /// Creates a signal; no thread has failed yet.
    pub(crate) fn new() -> Self {
        Self(Arc::new(watch::channel(false).0))
    }

    /// Returns the guard for one thread, to be held by its outermost function.
    pub(crate) fn guard(&self, thread: &'static str) -> FailureGuard {
        FailureGuard {
            failure: self.clone(),
            thread,
        }
    }

    /// Returns whether a thread has failed.
    pub(crate) fn has_failed(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until a thread fails.
    pub(crate) async fn wait(&self) {
        let mut failed = self.0.subscribe();
        // The sender lives as long as this value.
        let _dropped = failed.wait_for(|failed| *failed).await;
    }
}

/// Raises the signal if it is dropped by a panicking thread.
pub(crate) struct FailureGuard {
    failure: FailureSignal,
    thread: &'static str,
}

impl Drop for FailureGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            log::error!(
                "the duty {} has failed; the node must be restarted",
                self.thread
            );
            self.failure.0.send_replace(true);
        }
    }
}
