//! What a gateway holds for its calls, and what it does when memory is short.

use std::{
    cell::{Cell, RefCell, RefMut},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::{clock::boot_time_ms, settings::GatewaySettings};

use super::{BufferKind, ByteBudget, ByteClaim, ByteLimits, LimitReached, ReaderId, ReaderTable};

/// Shortest time between two answers that are ended for lack of memory, in which the bytes of the first are
/// released.
const END_INTERVAL_MS: u64 = 50;

/// Time for which a body waits for memory.
const GROW_WAIT: Duration = Duration::from_millis(100);

/// Bytes that are held for calls, and the answers that may be ended to release some.
#[derive(Debug, Default)]
pub(crate) struct CallBuffers {
    /// Bytes that may be held.
    pub(crate) budget: ByteBudget,
    /// Whether callers and targets may read slowly.
    pub(crate) reads_ahead: bool,
    readers: RefCell<ReaderTable<Rc<Notify>>>,
    next_end_ms: Cell<u64>,
}

impl CallBuffers {
    /// Creates the buffers of a gateway.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        if !settings.features.slow_readers {
            let memory_bytes = settings.resources.memory_bytes;
            let limits = memory_bytes.map(ByteLimits::for_large_bodies);
            return Self {
                budget: ByteBudget::new(limits.unwrap_or_default()),
                ..Self::default()
            };
        }
        let limits = ByteLimits::for_memory(settings.resources.memory_bytes);
        log::info!(
            target: "memory",
            total_bytes = limits.total_bytes,
            read_ahead_bytes = limits.read_ahead_bytes,
            organisation_bytes = limits.organisation_bytes,
            answer_bytes = limits.answer_bytes;
            "memory for callers and targets"
        );
        Self {
            budget: ByteBudget::new(limits),
            reads_ahead: true,
            ..Self::default()
        }
    }

    /// Returns the answers that are read ahead.
    pub(crate) fn readers(&self) -> RefMut<'_, ReaderTable<Rc<Notify>>> {
        self.readers.borrow_mut()
    }

    /// Lets a claim grow to `bytes`, for which it waits briefly where calls may hold memory for long.
    ///
    /// # Errors
    ///
    /// [`LimitReached`] if too little is released in the meantime. If memory is short for all calls, the
    /// answer whose caller reads least is then ended.
    pub(crate) async fn grow(&self, claim: &mut ByteClaim, bytes: u64) -> Result<(), LimitReached> {
        let now = Instant::now();
        let until = if self.reads_ahead {
            now + GROW_WAIT
        } else {
            now
        };
        loop {
            let released = self.budget.released();
            let Err(reached) = claim.set(bytes) else {
                return Ok(());
            };
            if !self.reads_ahead {
                return Err(reached);
            }
            if timeout_at(until, released).await.is_err() {
                if reached != LimitReached::Organisation {
                    self.end_slowest_answer(None, boot_time_ms());
                }
                return Err(reached);
            }
        }
    }

    /// Ends the answer whose caller has read least for longest, since memory has been short for some time.
    ///
    /// For an answer that waits for memory, only one whose caller reads much more slowly.
    pub(crate) fn end_slowest_answer(&self, waiting: Option<ReaderId>, now_ms: u64) {
        if now_ms < self.next_end_ms.get() {
            return;
        }
        let mut readers = self.readers();
        let ended = match waiting {
            Some(waiting) => readers.take_much_slower(waiting, now_ms),
            None => readers.take_slowest(now_ms),
        };
        let Some(ended) = ended else {
            return;
        };
        self.next_end_ms.set(now_ms + END_INTERVAL_MS);
        log::warn!(
            target: "memory",
            held_bytes = ended.held_bytes,
            recent_bytes = ended.recent_bytes as u64,
            others = readers.len();
            "an answer is ended for lack of memory"
        );
        ended.handle.notify_one();
    }

    /// Publishes the bytes held of each kind.
    pub(crate) fn record_metrics(&self) {
        let accounts = self.budget.accounts();
        for kind in BufferKind::ALL {
            let held_bytes = accounts.held_bytes(kind) as f64;
            metrics::gauge!("toucan_held_bytes", "kind" => kind.name()).set(held_bytes);
        }
    }
}
