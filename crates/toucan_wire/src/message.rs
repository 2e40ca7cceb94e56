//! Messages between nodes.

use bytes::Bytes;
use toucan_types::{BudgetName, IncarnationId, Offset, ShardIndex, Tokens, VmInstance, VmName};

use crate::Heartbeat;

/// Opaque entries of one shard of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardEntries {
    /// The shard.
    pub shard: ShardIndex,
    /// The entries in order.
    pub entries: Vec<Bytes>,
}

/// One record of the document stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of the append by the log's clock, in milliseconds since 1970.
    pub appended_at_ms: u64,
    /// Content of the record.
    pub data: Bytes,
}

/// Notice that an incarnation has ended, or that a VM is shutting down.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShutdownNotice {
    /// Name of the VM.
    pub vm: VmName,
    /// The platform's identifier of this instance of the VM.
    pub instance: VmInstance,
    /// Incarnation of the process.
    pub incarnation: IncarnationId,
    /// Records for the receiver to append.
    pub entries: Vec<ShardEntries>,
}

/// Request from one node to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// State of the sender and what it knows about its peers; answered by [`Reply::Heartbeat`].
    Heartbeat(Box<Heartbeat>),
    /// Records for the node that appends them; answered by [`Reply::Journaled`].
    Journal(Vec<ShardEntries>),
    /// What the replayed ledger says about the receiver; answered by [`Reply::Done`].
    GrantsPushed(Vec<ShardEntries>),
    /// Asks for part of the receiver's unspent grant; answered by [`Reply::GrantTransferred`].
    AskGrant {
        /// The budget.
        budget: BudgetName,
        /// Number of tokens requested.
        tokens: Tokens,
        /// Incarnation that receives the tokens. Requests in older frames carry 0, to which nothing
        /// is transferred.
        to: IncarnationId,
    },
    /// Asks for records of the document; answered by [`Reply::Document`].
    DocumentSince {
        /// Offset of the first requested record.
        from: Offset,
        /// Maximum number of records.
        limit: u32,
    },
    /// The sender takes no new work; answered by [`Reply::Done`].
    Leaving(ShutdownNotice),
    /// The sender's incarnation ends and spends nothing more; answered by [`Reply::Journaled`].
    Shutdown(ShutdownNotice),
    /// Hints for sizing draws; answered by [`Reply::Done`].
    Hints(Vec<ShardEntries>),
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request was processed and has no other reply.
    Done,
    /// The replying node holds the records and will append them.
    Journaled {
        /// Opaque acknowledgements, such as watermarks.
        acknowledgements: Vec<ShardEntries>,
    },
    /// Tokens were transferred; none if `tokens` is zero.
    GrantTransferred {
        /// The budget.
        budget: BudgetName,
        /// Number of tokens transferred.
        tokens: Tokens,
        /// Record of the transfer, made before the reply was sent.
        transfer: Bytes,
    },
    /// Records of the document, ordered by offset.
    Document {
        /// The records.
        records: Vec<DocumentRecord>,
        /// Offset after the last record that the replying node has.
        next_offset: Offset,
    },
    /// The request was refused.
    Refused {
        /// Reason of the refusal.
        reason: String,
    },
    /// Heartbeat of the replying node; encoded as [`Reply::Done`] in frame version 1.
    Heartbeat(Box<Heartbeat>),
}

impl Request {
    /// Returns the name of the kind for metrics and logs.
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

    /// Returns the VM that the message names as its sender, if it names one.
    #[must_use]
    pub const fn claimed_vm(&self) -> Option<&VmName> {
        match self {
            Self::Heartbeat(heartbeat) => Some(&heartbeat.sender.vm),
            Self::Leaving(notice) | Self::Shutdown(notice) => Some(&notice.vm),
            Self::Journal(_)
            | Self::GrantsPushed(_)
            | Self::AskGrant { .. }
            | Self::DocumentSince { .. }
            | Self::Hints(_) => None,
        }
    }
}
