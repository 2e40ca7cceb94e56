//! Events that applying a record produces.

use toucan_types::{BillId, BudgetName, DocumentVersion, IncarnationId, Offset, Sequence, Tokens};

use crate::IntentKey;

/// A change, refusal or anomaly that resulted from applying one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// An incarnation was announced and may draw from here on.
    Announced {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// A budget's purchased total changed.
    FundApplied {
        /// The budget.
        budget: BudgetName,
        /// Version that is now in force.
        version: DocumentVersion,
        /// Remaining tokens afterwards.
        remaining_tokens: Tokens,
        /// Part of a reduction that is still to be deducted from returned tokens.
        cut_owed_tokens: Tokens,
    },
    /// A draw was granted in full, in part, or with 0 tokens.
    Granted {
        /// Incarnation that drew.
        incarnation: IncarnationId,
        /// Sequence number of the draw.
        sequence: Sequence,
        /// The budget.
        budget: BudgetName,
        /// Requested tokens.
        asked_tokens: Tokens,
        /// Tokens granted.
        granted_tokens: Tokens,
        /// Remaining tokens afterwards.
        remaining_tokens: Tokens,
    },
    /// A settlement was applied.
    Settled {
        /// Incarnation that settled.
        incarnation: IncarnationId,
        /// Sequence number of the settlement.
        sequence: Sequence,
        /// Tokens billed by it.
        spent_tokens: Tokens,
        /// Tokens returned by it.
        returned_tokens: Tokens,
        /// Number of bills in it.
        bills: usize,
    },
    /// A repeated bill of the same id. Its excess over the largest earlier bill counts as spent;
    /// the rest was returned to the remaining tokens.
    DuplicateBill {
        /// The budget.
        budget: BudgetName,
        /// Id of the bill.
        bill: BillId,
        /// Returned tokens.
        tokens: Tokens,
    },
    /// A bill that is too old to determine whether its id was billed before; its tokens are held.
    DisputedBill {
        /// The budget.
        budget: BudgetName,
        /// Id of the bill.
        bill: BillId,
        /// Tokens held.
        tokens: Tokens,
    },
    /// A settlement or transfer exceeds what its writer holds.
    Uncovered {
        /// The incarnation.
        incarnation: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Tokens covered neither by its grant nor by the remaining tokens.
        tokens: Tokens,
    },
    /// Tokens moved between incarnations.
    Transferred {
        /// Sending incarnation.
        from: IncarnationId,
        /// Sender's sequence number of the transfer.
        sequence: Sequence,
        /// Receiving incarnation.
        to: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Transferred tokens.
        tokens: Tokens,
        /// Whether the receiver's half is applied.
        received: bool,
    },
    /// A transfer from an incarnation that was released or never held the tokens; nothing moved.
    TransferRefused {
        /// Sending incarnation.
        from: IncarnationId,
        /// Sender's sequence number of the transfer.
        sequence: Sequence,
        /// Receiving incarnation.
        to: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Tokens that were not transferred.
        tokens: Tokens,
    },
    /// The process of an incarnation has ended, as stated by its successor on the VM instance.
    Succeeded {
        /// Incarnation whose process has ended.
        incarnation: IncarnationId,
        /// Incarnation that now holds the peer port.
        successor: IncarnationId,
    },
    /// An incarnation was fenced; its grants are held.
    Fenced {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// The grants of a crashed incarnation were returned.
    Released {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Returned tokens.
        returned_tokens: Tokens,
        /// Tokens retained for open reservations.
        retained_tokens: Tokens,
    },
    /// The proof of a release contradicts the state of the stream; nothing changed.
    ReleaseRefused {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// An incarnation shut down; its grants were returned.
    ShutdownNotice {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Returned tokens.
        returned_tokens: Tokens,
    },
    /// The first claim of a call; its incarnation may dispatch the call.
    IntentFirst {
        /// Incarnation that may dispatch.
        incarnation: IncarnationId,
        /// Sequence number of the claim.
        sequence: Sequence,
        /// Key of the call.
        key: IntentKey,
    },
    /// A rejected claim: another claim owns the call, or the incarnation may not claim.
    IntentLost {
        /// Incarnation that may not dispatch.
        incarnation: IncarnationId,
        /// Sequence number of the claim.
        sequence: Sequence,
        /// Key of the call.
        key: IntentKey,
        /// Incarnation that owns the call, if any.
        owner: Option<IncarnationId>,
    },
    /// The outcome of a call is known.
    IntentDone {
        /// Key of the call.
        key: IntentKey,
        /// 128-bit digest of the response.
        digest: u128,
        /// HTTP status of the response.
        status: u16,
    },
    /// A record that was already applied.
    Duplicate {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Sequence number of the record.
        sequence: Sequence,
    },
    /// A record whose predecessors are missing; it takes effect when appended again after them.
    Gap {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Sequence number of the record.
        sequence: Sequence,
        /// Sequence number that is applied next.
        expected: Sequence,
    },
    /// A record that arrived after its incarnation was released or shut down; only bills with
    /// retained tokens take effect.
    Late {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Sequence number of the record.
        sequence: Sequence,
        /// Tokens of its bills that remain unbilled.
        unbilled_tokens: Tokens,
    },
    /// A draw or settlement names a budget that was never funded.
    UnknownBudget {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Sequence number of the record.
        sequence: Sequence,
        /// The budget.
        budget: BudgetName,
    },
    /// A snapshot mark was applied: a snapshot of the state after this offset may be taken now.
    SnapshotDue {
        /// Incarnation that will write the snapshot.
        writer: IncarnationId,
        /// Last applied offset.
        up_to: Offset,
    },
    /// A complete snapshot differs from this state.
    SnapshotMismatch {
        /// Incarnation that wrote the snapshot.
        writer: IncarnationId,
        /// Last offset that the snapshot covers.
        up_to: Offset,
    },
    /// A record of a later program version; the state may be incomplete from here on.
    Unknown {
        /// Offset of its batch.
        offset: Offset,
        /// Length of the record in bytes.
        length_bytes: usize,
    },
}

impl LedgerEvent {
    /// Returns the incarnation whose wallet the event affects, if any.
    #[must_use]
    pub const fn incarnation(&self) -> Option<IncarnationId> {
        match self {
            Self::Announced { incarnation }
            | Self::Granted { incarnation, .. }
            | Self::Settled { incarnation, .. }
            | Self::Uncovered { incarnation, .. }
            | Self::Transferred {
                to: incarnation, ..
            }
            | Self::TransferRefused {
                to: incarnation, ..
            }
            | Self::Succeeded { incarnation, .. }
            | Self::Fenced { incarnation }
            | Self::Released { incarnation, .. }
            | Self::ReleaseRefused { incarnation }
            | Self::ShutdownNotice { incarnation, .. }
            | Self::IntentFirst { incarnation, .. }
            | Self::IntentLost { incarnation, .. }
            | Self::Duplicate { incarnation, .. }
            | Self::Gap { incarnation, .. }
            | Self::Late { incarnation, .. }
            | Self::UnknownBudget { incarnation, .. } => Some(*incarnation),
            Self::FundApplied { .. }
            | Self::DuplicateBill { .. }
            | Self::DisputedBill { .. }
            | Self::IntentDone { .. }
            | Self::SnapshotDue { .. }
            | Self::SnapshotMismatch { .. }
            | Self::Unknown { .. } => None,
        }
    }

    /// Returns the budget that the event names, if any.
    #[must_use]
    pub const fn budget(&self) -> Option<&BudgetName> {
        match self {
            Self::FundApplied { budget, .. }
            | Self::Granted { budget, .. }
            | Self::DuplicateBill { budget, .. }
            | Self::DisputedBill { budget, .. }
            | Self::Uncovered { budget, .. }
            | Self::Transferred { budget, .. }
            | Self::TransferRefused { budget, .. }
            | Self::UnknownBudget { budget, .. } => Some(budget),
            _ => None,
        }
    }
}
