//! Whether a connection is open.

use std::{cell::Cell, rc::Rc};

/// Tells whether a connection is open, also those who don't hold it.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLife {
    is_open: Rc<Cell<bool>>,
}

impl ConnectionLife {
    /// Creates that of a connection that is open.
    pub(crate) fn open() -> Self {
        Self {
            is_open: Rc::new(Cell::new(true)),
        }
    }

    /// Returns whether the connection is open as far as this process has noticed.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// Records that the connection has ended.
    pub(crate) fn end(&self) {
        self.is_open.set(false);
    }
}
