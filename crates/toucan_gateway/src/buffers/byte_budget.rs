//! Shared handle to the accounts of held bytes.

use std::{cell::RefCell, rc::Rc};

use tokio::sync::{Notify, futures::Notified};
use toucan_types::OrganisationName;

use super::{BufferKind, ByteAccounts, ByteClaim, ByteLimits};

/// Bytes that one process may hold for callers and targets.
#[derive(Clone, Debug, Default)]
pub struct ByteBudget {
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    accounts: RefCell<ByteAccounts>,
    released: Notify,
}

impl ByteBudget {
    /// Creates a budget with nothing held.
    #[must_use]
    pub fn new(limits: ByteLimits) -> Self {
        let shared = Shared {
            accounts: RefCell::new(ByteAccounts::new(limits)),
            released: Notify::new(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Returns an empty claim.
    #[must_use]
    pub fn claim(&self, kind: BufferKind, organisation: OrganisationName) -> ByteClaim {
        ByteClaim::new(self.clone(), kind, organisation)
    }

    /// Returns the accounts.
    #[must_use]
    pub fn accounts(&self) -> std::cell::RefMut<'_, ByteAccounts> {
        self.shared.accounts.borrow_mut()
    }

    /// Completes when bytes are next released.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.shared.released.notified()
    }

    pub(super) fn release(&self, kind: BufferKind, organisation: &OrganisationName, bytes: u64) {
        self.accounts().remove(kind, organisation, bytes);
        self.shared.released.notify_waiters();
    }
}
