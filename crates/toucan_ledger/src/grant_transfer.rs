//! Transfer of a part of a grant from one node to another.

use serde::{Deserialize, Serialize};
use toucan_types::Sequence;

use crate::TransferDetails;

/// Transfer of a part of a grant from one node to another of the same data centre.
///
/// The sender's wallet is already debited. The transfer may be sent once the sender's record
/// [`TransferDetails::sequence`] is durable, that is, stored outside the sender's VM. A lost
/// transfer reaches the recipient through the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantTransfer {
    /// Sender, recipient and amount of the transfer.
    pub note: TransferDetails,
}

impl GrantTransfer {
    /// Returns the number of the sender's record, which must be durable before this is sent.
    #[must_use]
    pub const fn sequence(&self) -> Sequence {
        self.note.sequence
    }
}
