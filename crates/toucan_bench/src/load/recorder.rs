//! Collects the requests of a run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::history::RequestHistory;

/// Collects the requests of a run; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    requests: Arc<Mutex<Vec<RequestHistory>>>,
    started: Arc<AtomicU64>,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Requests started.
    pub started: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that ended without an answer.
    pub unanswered: u64,
}

impl Recorder {
    pub(crate) fn record_start(&self) {
        self.started.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_end(&self, request: RequestHistory) {
        self.requests().push(request);
    }

    /// Returns the progress of the run.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let requests = self.requests();
        let answered = requests.iter().filter(|request| request.is_answered());
        let answered = answered.count() as u64;
        Progress {
            started: self.started.load(Ordering::Relaxed),
            answered,
            unanswered: requests.len() as u64 - answered,
        }
    }

    /// Returns all requests that have ended.
    #[must_use]
    pub fn finished(&self) -> Vec<RequestHistory> {
        self.requests().clone()
    }

    fn requests(&self) -> MutexGuard<'_, Vec<RequestHistory>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
