//! Messages between nodes.

use bytes::Bytes;
use toucan_types::{BudgetName, IncarnationId, Offset, ShardIndex, Tokens, VmInstance, VmName};

use crate::Heartbeat;

/// Opaque entries that concern one shard of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardEntries {
    /// The shard.
    pub shard: ShardIndex,
    /// The entries in order.
    pub entries: Vec<Bytes>,
}

/// One record of the document's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of its append by the log's clock, in milliseconds since 1970.
    pub appended_at_ms: u64,
    /// Content.
    pub data: Bytes,
}

/// Last word of an incarnation, or of a VM that will stop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShutdownNotice {
    /// Name of the VM.
    pub vm: VmName,
    /// The platform's identifier of this creation of the VM.
    pub instance: VmInstance,
    /// The process.
    pub incarnation: IncarnationId,
    /// Records that the receiver is to append.
    pub entries: Vec<ShardEntries>,
}

/// What one node asks of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Tells about the sender and those it has heard of; answered by
    /// [`Reply::Heartbeat`].
    Heartbeat(Box<Heartbeat>),
    /// Hands records to whoever appends them; answered by [`Reply::Journaled`].
    Journal(Vec<ShardEntries>),
    /// Tells what the fold says about the receiver; answered by [`Reply::Done`].
    GrantsPushed(Vec<ShardEntries>),
    /// Asks for unspent grant of a budget; answered by [`Reply::GrantTransferred`].
    AskGrant {
        /// The budget.
        budget: BudgetName,
        /// Count of tokens wanted.
        tokens: Tokens,
        /// Incarnation that takes; none is given to 0, which older frames carry.
        to: IncarnationId,
    },
    /// Asks for records of the document; answered by [`Reply::Document`].
    DocumentSince {
        /// Offset of the first record wanted.
        from: Offset,
        /// Most records wanted.
        limit: u32,
    },
    /// The sender stops taking new work; answered by [`Reply::Done`].
    Leaving(ShutdownNotice),
    /// The sender's incarnation ends and spends no more; answered by [`Reply::Journaled`].
    Shutdown(ShutdownNotice),
    /// Hints for the sizing of draws; answered by [`Reply::Done`].
    Hints(Vec<ShardEntries>),
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Taken note of.
    Done,
    /// The records are held and will be appended by the receiver.
    Journaled {
        /// Opaque acknowledgements, such as watermarks.
        acknowledgements: Vec<ShardEntries>,
    },
    /// Grant handed over; nothing is given if `tokens` is zero.
    GrantTransferred {
        /// The budget.
        budget: BudgetName,
        /// Count of tokens given.
        tokens: Tokens,
        /// Record of the transfer, made before the answer was sent.
        transfer: Bytes,
    },
    /// Records of the document in the order of their offsets.
    Document {
        /// The records.
        records: Vec<DocumentRecord>,
        /// Offset after the last record that the answering node has.
        next_offset: Offset,
    },
    /// Not done.
    Refused {
        /// Why.
        reason: String,
    },
    /// The heartbeat of whoever was told one; [`Reply::Done`] for a caller of frame version 1.
    Heartbeat(Box<Heartbeat>),
}

impl Request {
    /// Name of the kind, for counters and logs.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Journal(_) => "journal",
            Self::GrantsPushed(_) => "grants_pushed",
            Self::AskGrant { .. } => "ask_grant",
            Self::DocumentSince { .. } => "document_since",
            Self::Leaving(_) => "leaving",
            Self::Shutdown(_) => "farewell",
            Self::Hints(_) => "hints",
        }
    }

    /// The VM that the message says it is from, if it names one.
    #[must_use]
    pub const fn claimed_vm(&self) -> Option<&VmName> {
        match self {
            Self::Heartbeat(heartbeat) => Some(&heartbeat.sender.vm),
            Self::Leaving(farewell) | Self::Shutdown(farewell) => Some(&farewell.vm),
            Self::Journal(_)
            | Self::GrantsPushed(_)
            | Self::AskGrant { .. }
            | Self::DocumentSince { .. }
            | Self::Hints(_) => None,
        }
    }
}
