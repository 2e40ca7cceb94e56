//! Whether a target has left since a call was given to it.

use std::{cell::Cell, rc::Rc};

/// Whether a target has left since it was chosen, for the tasks that write requests and don't know the table of targets.
#[derive(Clone, Debug, Default)]
pub struct TargetPresence {
    has_left: Rc<Cell<bool>>,
}

impl TargetPresence {
    /// Returns that of a target that has left.
    pub(super) fn gone() -> Self {
        Self {
            has_left: Rc::new(Cell::new(true)),
        }
    }

    /// Returns whether the target has left.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.has_left.get()
    }

    /// Records whether the target is in service. If one is again that had left, those that were given it before are not
    /// told.
    pub(super) fn update(&mut self, is_in_service: bool) {
        if !is_in_service {
            self.has_left.set(true);
        } else if self.has_left() {
            *self = Self::default();
        }
    }
}
