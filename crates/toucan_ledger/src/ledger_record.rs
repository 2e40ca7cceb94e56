//! The records of a ledger stream.

use serde::{Deserialize, Serialize};
use toucan_types::{
    BudgetName, DataCentreName, DocumentVersion, IncarnationId, OrganisationName, Sequence, Tokens,
    VmInstance, VmName,
};

use crate::{FenceEvidence, IntentKey, OpenReservation, ReleaseProof, SettleEntry, SnapshotPart};

/// One record of a ledger stream.
///
/// Each incarnation numbers its records in a stream from 1 without gaps. A [`crate::Ledger`]
/// applies each number once and in order, so any holder of a copy may append a record any number of
/// times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRecord {
    /// First record of an incarnation, always with sequence 1.
    Announce {
        /// The incarnation.
        incarnation: IncarnationId,
        /// First incarnation of its process; differs from `incarnation` after a restart within the
        /// process.
        process: IncarnationId,
        /// Name of its VM.
        vm: VmName,
        /// Instance of its VM.
        instance: VmInstance,
        /// Data centre of its VM.
        data_centre: DataCentreName,
    },
    /// Sets the total ever purchased for a budget; applied only if the version is newer.
    Fund {
        /// The budget.
        budget: BudgetName,
        /// Organisation that owns the budget.
        organisation: OrganisationName,
        /// Version of the document section that contains the total.
        version: DocumentVersion,
        /// Total purchased since the budget was created.
        purchased_total_tokens: Tokens,
    },
    /// Requests a grant. The grant is the smaller of the requested and the remaining tokens, or 0
    /// if fewer than `least_tokens` remain.
    Draw {
        /// Incarnation that draws.
        incarnation: IncarnationId,
        /// Sequence number of this record.
        sequence: Sequence,
        /// The budget.
        budget: BudgetName,
        /// Requested tokens.
        tokens: Tokens,
        /// Smallest useful grant; prevents the last tokens from being split into unusable pieces.
        least_tokens: Tokens,
    },
    /// Bills requests against the grants of an incarnation and returns unspent tokens.
    Settle {
        /// Incarnation that settles.
        incarnation: IncarnationId,
        /// Sequence number of this record.
        sequence: Sequence,
        /// One entry per budget.
        entries: Vec<SettleEntry>,
    },
    /// The sender's half of a direct transfer of tokens between incarnations.
    Transfer {
        /// Sending incarnation, which has already debited its wallet.
        incarnation: IncarnationId,
        /// Sequence number of this record, which identifies the transfer.
        sequence: Sequence,
        /// Receiving incarnation.
        to: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Transferred tokens.
        tokens: Tokens,
    },
    /// The receiver's half of a transfer; the half that is applied first moves the tokens.
    Receive {
        /// Receiving incarnation.
        incarnation: IncarnationId,
        /// Sequence number of this record.
        sequence: Sequence,
        /// Sending incarnation.
        from: IncarnationId,
        /// Sequence number of the sender's half.
        from_sequence: Sequence,
        /// The budget.
        budget: BudgetName,
        /// Transferred tokens.
        tokens: Tokens,
    },
    /// Last record of an incarnation that shuts down: all its requests have ended and its grants
    /// are returned.
    #[serde(rename = "Farewell")]
    ShutdownNotice {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Sequence number of this record.
        sequence: Sequence,
    },
    /// States that the writer's process has bound the peer port of its VM instance, which the
    /// process of a predecessor used to hold. This proves that the predecessor's process has ended.
    Succeed {
        /// Incarnation that now holds the port.
        incarnation: IncarnationId,
        /// Sequence number of this record.
        sequence: Sequence,
        /// Incarnation whose process has ended.
        predecessor: IncarnationId,
    },
    /// Puts the grants of an incarnation on hold and refuses new ones.
    Fence {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Reason for the fence.
        evidence: FenceEvidence,
    },
    /// Returns the grants of a crashed incarnation, less what its open reservations may have spent.
    Release {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Proof that it can no longer run.
        proof: ReleaseProof,
        /// Reservations of dispatched requests without a known bill.
        open_reservations: Vec<OpenReservation>,
    },
    /// Claims a non-idempotent call; only the first claim of a key may dispatch it.
    Intent {
        /// Claiming incarnation.
        incarnation: IncarnationId,
        /// Sequence number of this record.
        sequence: Sequence,
        /// Key of the call.
        key: IntentKey,
    },
    /// The outcome of a claimed call.
    IntentDone {
        /// Incarnation that ran the call.
        incarnation: IncarnationId,
        /// Sequence number of this record.
        sequence: Sequence,
        /// Key of the call.
        key: IntentKey,
        /// 128-bit digest of the response.
        digest: u128,
        /// HTTP status of the response.
        status: u16,
    },
    /// Requests that each node that holds the state record its digest at this offset; a snapshot of
    /// the state at this offset follows.
    SnapshotMark {
        /// Incarnation that will write the snapshot.
        writer: IncarnationId,
    },
    /// One part of a snapshot.
    Snapshot(SnapshotPart),
    /// A record of a later program version, kept unchanged.
    #[serde(skip)]
    Unknown {
        /// Its encoded form.
        bytes: Vec<u8>,
    },
}

/// Sequence of [`LedgerRecord::Announce`].
pub const ANNOUNCE_SEQUENCE: Sequence = Sequence(1);

impl LedgerRecord {
    /// Returns the incarnation that numbered the record and its sequence number, or [`None`] if the
    /// record is not numbered.
    #[must_use]
    pub fn number(&self) -> Option<(IncarnationId, Sequence)> {
        match self {
            Self::Announce { incarnation, .. } => Some((*incarnation, ANNOUNCE_SEQUENCE)),
            Self::Draw {
                incarnation,
                sequence,
                ..
            }
            | Self::Settle {
                incarnation,
                sequence,
                ..
            }
            | Self::Transfer {
                incarnation,
                sequence,
                ..
            }
            | Self::Receive {
                incarnation,
                sequence,
                ..
            }
            | Self::Succeed {
                incarnation,
                sequence,
                ..
            }
            | Self::ShutdownNotice {
                incarnation,
                sequence,
            }
            | Self::Intent {
                incarnation,
                sequence,
                ..
            }
            | Self::IntentDone {
                incarnation,
                sequence,
                ..
            } => Some((*incarnation, *sequence)),
            Self::Fund { .. }
            | Self::Fence { .. }
            | Self::Release { .. }
            | Self::SnapshotMark { .. }
            | Self::Snapshot(_)
            | Self::Unknown { .. } => None,
        }
    }
}
