//! Transfers of idle tokens to the gateway that holds them for the data centre.

use toucan_types::{FastHashMap, OrganisationName, Tokens, VmName};

/// Id of a transfer. The ids of one start of a process increase.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct TransferId(pub u64);

/// A transfer that the receiver has not acknowledged. Its tokens have left the sender's wallet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTransfer {
    /// Id of the transfer.
    pub id: TransferId,
    /// Start of the receiving process. A later process on the same VM must not accept it.
    pub receiver_start: u64,
    /// Organisation whose tokens are transferred.
    pub organisation: OrganisationName,
    /// Tokens transferred.
    pub tokens: Tokens,
}

/// Transfers that this gateway has sent and received.
///
/// Only one transfer to a receiver is pending at a time, and a receiver accepts only increasing
/// ids from each start of a sender. A transfer that is sent repeatedly therefore counts once, and
/// one whose sender or receiver ends is lost.
#[derive(Debug, Default)]
pub struct Transfers {
    last_id: u64,
    pending: FastHashMap<VmName, PendingTransfer>,
    /// Last transfer accepted from each start of a sender. Entries are never removed, because a
    /// datagram may be delayed for any time.
    accepted: FastHashMap<(VmName, u64), TransferId>,
}

impl Transfers {
    /// Returns whether a new transfer to a receiver may begin.
    #[must_use]
    pub fn is_idle(&self, receiver: &VmName) -> bool {
        !self.pending.contains_key(receiver)
    }

    /// Returns whether no transfer is pending.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Begins a transfer of tokens that have just left the wallet.
    ///
    /// To be called only if [`Self::is_idle`] returns true.
    pub fn begin(
        &mut self,
        receiver: VmName,
        receiver_start: u64,
        organisation: OrganisationName,
        tokens: Tokens,
    ) {
        self.last_id += 1;
        let transfer = PendingTransfer {
            id: TransferId(self.last_id),
            receiver_start,
            organisation,
            tokens,
        };
        self.pending.insert(receiver, transfer);
    }

    /// Returns the transfers to send or to repeat, without those to processes that have ended.
    ///
    /// `start_of` returns the present start of a VM's process.
    pub fn to_send(
        &mut self,
        start_of: impl Fn(&VmName) -> Option<u64>,
    ) -> Vec<(VmName, PendingTransfer)> {
        self.pending
            .retain(|vm, transfer| start_of(vm) == Some(transfer.receiver_start));
        let pending = self.pending.iter();
        pending
            .map(|(vm, transfer)| (vm.clone(), transfer.clone()))
            .collect()
    }

    /// Ends the transfer that a receiver has acknowledged.
    pub fn acknowledge(&mut self, receiver: &VmName, id: TransferId) {
        if self
            .pending
            .get(receiver)
            .is_some_and(|transfer| transfer.id == id)
        {
            self.pending.remove(receiver);
        }
    }

    /// Returns whether a received transfer is new, so that its tokens are added to the wallet.
    pub fn accept(&mut self, sender: &VmName, sender_start: u64, id: TransferId) -> bool {
        let key = (sender.clone(), sender_start);
        if self.accepted.get(&key).is_some_and(|last| id <= *last) {
            return false;
        }
        self.accepted.insert(key, id);
        true
    }
}
