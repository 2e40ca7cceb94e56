//! Counts open connections.

use std::{cell::Cell, rc::Rc};

/// Number of open connections of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionCount(Rc<Cell<u32>>);

impl ConnectionCount {
    /// Returns the number of connections.
    pub(crate) fn get(&self) -> u32 {
        self.0.get()
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn count(&self) -> CountedConnection {
        self.0.set(self.0.get() + 1);
        CountedConnection(self.clone())
    }
}

/// Guard that counts a connection.
#[derive(Debug)]
pub(crate) struct CountedConnection(ConnectionCount);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get().saturating_sub(1));
    }
}
