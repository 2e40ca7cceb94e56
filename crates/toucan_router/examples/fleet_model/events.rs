//! Queue of events in the order of their times.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Events by time; those of equal time in the order in which they were added.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, E>,
    next: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
        }
    }

    pub(crate) fn schedule(&mut self, time_us: u64, event: E) {
        self.order.push(Reverse((time_us, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((time_us, number)) = self.order.pop()?;
        Some((time_us, self.events.remove(&number)?))
    }
}
