//! The records of a ledger stream.

use serde::{Deserialize, Serialize};
use toucan_types::{
    BudgetName, DataCentreName, DocumentVersion, IncarnationId, OrganisationName, Sequence, Tokens,
    VmInstance, VmName,
};

use crate::{FenceEvidence, IntentKey, OpenReservation, ReleaseProof, SettleEntry, SnapshotPart};

/// One record of a ledger stream.
///
/// Records with a sequence are numbered by their incarnation in each stream from 1 without gaps.
/// The fold applies each number once and in order, so that a record may be appended any number of
/// times by any holder of a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRecord {
    /// First record of an incarnation, always with sequence 1.
    Announce {
        /// The incarnation.
        incarnation: IncarnationId,
        /// First incarnation of its process; itself unless the process has started over.
        process: IncarnationId,
        /// Name of its VM.
        vm: VmName,
        /// Instance of its VM.
        instance: VmInstance,
        /// Data centre of its VM.
        data_centre: DataCentreName,
    },
    /// States the total that was ever purchased for a budget; applied if the version is newer.
    Fund {
        /// The budget.
        budget: BudgetName,
        /// Organisation that owns the budget.
        organisation: OrganisationName,
        /// Version of the document's section that states the total.
        version: DocumentVersion,
        /// Total purchased since the budget exists.
        purchased_total_tokens: Tokens,
    },
    /// Asks for a grant; as many tokens are granted as remain, at most those asked for, or none if
    /// fewer than `least_tokens` remain.
    Draw {
        /// Incarnation that draws.
        incarnation: IncarnationId,
        /// Its number of this record.
        sequence: Sequence,
        /// The budget.
        budget: BudgetName,
        /// Tokens asked for.
        tokens: Tokens,
        /// Fewest tokens of use; keeps the last tokens from being split into useless pieces.
        least_tokens: Tokens,
    },
    /// Bills requests against the grants of an incarnation and returns unspent tokens.
    Settle {
        /// Incarnation that settles.
        incarnation: IncarnationId,
        /// Its number of this record.
        sequence: Sequence,
        /// Budgets in it.
        entries: Vec<SettleEntry>,
    },
    /// The giving half of a grant that moves between incarnations without the log.
    Transfer {
        /// Incarnation that gave, and debited its wallet before.
        incarnation: IncarnationId,
        /// Its number of this record, which identifies the transfer.
        sequence: Sequence,
        /// Incarnation that takes.
        to: IncarnationId,
        /// The budget.
        budget: BudgetName,
        /// Tokens moved.
        tokens: Tokens,
    },
    /// The taking half of a transfer; whichever half is folded first moves the tokens.
    Receive {
        /// Incarnation that took.
        incarnation: IncarnationId,
        /// Its number of this record.
        sequence: Sequence,
        /// Incarnation that gave.
        from: IncarnationId,
        /// Number of the giving half.
        from_sequence: Sequence,
        /// The budget.
        budget: BudgetName,
        /// Tokens moved.
        tokens: Tokens,
    },
    /// Last record of an incarnation: all its requests have ended and its grants go back.
    #[serde(rename = "Farewell")]
    ShutdownNotice {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Its number of this record.
        sequence: Sequence,
    },
    /// States that the writer's process found the peer port of its VM instance free, which the
    /// process of an incarnation announced before had held; so that process is dead.
    Succeed {
        /// Incarnation that holds the port now.
        incarnation: IncarnationId,
        /// Its number of this record.
        sequence: Sequence,
        /// Incarnation whose process is dead.
        predecessor: IncarnationId,
    },
    /// Holds the grants of an incarnation and refuses it new ones.
    Fence {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Why.
        evidence: FenceEvidence,
    },
    /// Returns what a dead incarnation held, less what its open reservations may have spent.
    Release {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Proof that it cannot run any more.
        proof: ReleaseProof,
        /// Reservations of dispatched requests with no known bill.
        open_reservations: Vec<OpenReservation>,
    },
    /// Claims a call that may not be repeated; the first of its key may dispatch it.
    Intent {
        /// Incarnation that claims.
        incarnation: IncarnationId,
        /// Its number of this record.
        sequence: Sequence,
        /// Key of the call.
        key: IntentKey,
    },
    /// The outcome of a claimed call.
    IntentDone {
        /// Incarnation that ran the call.
        incarnation: IncarnationId,
        /// Its number of this record.
        sequence: Sequence,
        /// Key of the call.
        key: IntentKey,
        /// 128-bit digest of the answer.
        digest: u128,
        /// HTTP status of the answer.
        status: u16,
    },
    /// Asks each holder of the state to note its digest here; a snapshot of this offset follows.
    SnapshotMark {
        /// Incarnation that will write the snapshot.
        writer: IncarnationId,
    },
    /// One part of a snapshot.
    Snapshot(SnapshotPart),
    /// A record of a later program, kept as it is.
    #[serde(skip)]
    Unknown {
        /// Its encoded form.
        bytes: Vec<u8>,
    },
}

/// Sequence of [`LedgerRecord::Announce`].
pub const ANNOUNCE_SEQUENCE: Sequence = Sequence(1);

impl LedgerRecord {
    /// The incarnation that numbered the record and its number, if the record is numbered.
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
