//! What the fold of one record changed.

use toucan_types::{BillId, BudgetName, DocumentVersion, IncarnationId, Offset, Sequence, Tokens};

use crate::IntentKey;

/// What the fold of one record changed or refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// An incarnation may draw from here on.
    Announced {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// A budget's purchased total changed.
    FundApplied {
        /// The budget.
        budget: BudgetName,
        /// Version that is in force.
        version: DocumentVersion,
        /// Remaining tokens afterwards.
        remaining_tokens: Tokens,
        /// Part of a cut that waits until tokens come back.
        cut_owed_tokens: Tokens,
    },
    /// A draw was granted whole or in part, possibly with nothing.
    Granted {
        /// Incarnation that drew.
        incarnation: IncarnationId,
        /// Its number of the draw.
        sequence: Sequence,
        /// The budget.
        budget: BudgetName,
        /// Tokens asked for.
        asked_tokens: Tokens,
        /// Tokens granted.
        granted_tokens: Tokens,
        /// Remaining tokens afterwards.
        remaining_tokens: Tokens,
    },
    /// A settlement was folded.
    Settled {
        /// Incarnation that settled.
        incarnation: IncarnationId,
        /// Its number of the settlement.
        sequence: Sequence,
        /// Tokens billed by it.
        spent_tokens: Tokens,
        /// Tokens returned by it.
        returned_tokens: Tokens,
        /// Number of bills in it.
        bills: usize,
    },
    /// A further bill of an id; what it names above the largest one before is spent, the rest went
    /// back to what remains.
    DuplicateBill {
        /// The budget.
        budget: BudgetName,
        /// The id.
        bill: BillId,
        /// Tokens that went back.
        tokens: Tokens,
    },
    /// A bill too old to tell whether its id was billed before; its tokens are held.
    DisputedBill {
        /// The budget.
        budget: BudgetName,
        /// The id.
        bill: BillId,
        /// Tokens held.
        tokens: Tokens,
    },
    /// A settlement or transfer names more than its writer holds.
    Uncovered {
        /// The incarnation.
        incarnation: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Tokens that neither its grant nor the remaining tokens cover.
        tokens: Tokens,
    },
    /// Tokens moved between incarnations.
    Transferred {
        /// Incarnation that gave.
        from: IncarnationId,
        /// Its number of the transfer.
        sequence: Sequence,
        /// Incarnation that takes.
        to: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Tokens moved.
        tokens: Tokens,
        /// Whether the taking half is folded.
        received: bool,
    },
    /// A transfer of an incarnation that was released or never held the tokens; nothing moved.
    TransferRefused {
        /// Incarnation that gave.
        from: IncarnationId,
        /// Its number of the transfer.
        sequence: Sequence,
        /// Incarnation that takes.
        to: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Tokens not moved.
        tokens: Tokens,
    },
    /// The process of an incarnation is dead, as its successor on the VM instance states.
    Succeeded {
        /// Incarnation whose process is dead.
        incarnation: IncarnationId,
        /// Incarnation that holds the peer port now.
        successor: IncarnationId,
    },
    /// The grants of an incarnation are held.
    Fenced {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// What an incarnation held went back.
    Released {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Tokens that went back.
        returned_tokens: Tokens,
        /// Tokens kept for open reservations.
        retained_tokens: Tokens,
    },
    /// The proof of a release does not fit what the stream knows; nothing changed.
    ReleaseRefused {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// An incarnation ended by itself; its grants went back.
    ShutdownNotice {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Tokens that went back.
        returned_tokens: Tokens,
    },
    /// The first claim of a call; its incarnation may dispatch it.
    IntentFirst {
        /// Incarnation that may dispatch.
        incarnation: IncarnationId,
        /// Its number of the claim.
        sequence: Sequence,
        /// Key of the call.
        key: IntentKey,
    },
    /// A claim of a call that another claim owns, or of an incarnation that may not claim.
    IntentLost {
        /// Incarnation that may not dispatch.
        incarnation: IncarnationId,
        /// Its number of the claim.
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
        /// 128-bit digest of the answer.
        digest: u128,
        /// HTTP status of the answer.
        status: u16,
    },
    /// A record that was folded before.
    Duplicate {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Its number of the record.
        sequence: Sequence,
    },
    /// A record whose predecessors are missing; it counts when appended again after them.
    Gap {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Its number of the record.
        sequence: Sequence,
        /// Number that is folded next.
        expected: Sequence,
    },
    /// A record of an incarnation that was released; it counts for nothing.
    Late {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Its number of the record.
        sequence: Sequence,
        /// Tokens of its bills that were not billed.
        unbilled_tokens: Tokens,
    },
    /// A draw or settlement names a budget that was never funded.
    UnknownBudget {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Its number of the record.
        sequence: Sequence,
        /// The budget.
        budget: BudgetName,
    },
    /// A mark was folded: a snapshot of the state after this offset may be taken now.
    SnapshotDue {
        /// Incarnation that will write it.
        writer: IncarnationId,
        /// Last folded offset.
        up_to: Offset,
    },
    /// A whole snapshot differs from this state.
    SnapshotMismatch {
        /// Incarnation that wrote it.
        writer: IncarnationId,
        /// Last offset that it covers.
        up_to: Offset,
    },
    /// A record of a later program; the state may be incomplete from here on.
    Unknown {
        /// Offset of its batch.
        offset: Offset,
        /// Length of the record in bytes.
        length_bytes: usize,
    },
}

impl LedgerEvent {
    /// The incarnation whose wallet the event concerns, if any.
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

    /// The budget that the event changed, if it names one.
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
