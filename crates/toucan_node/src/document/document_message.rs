//! Messages of the document duty's ring.

use std::sync::Arc;

use tokio::sync::oneshot;
use toucan_config::{BlameLine, Document, EditOutcome, EditRecord, HistoryEntry, Preview, Section};
use toucan_platform::{AppendError, LogEntry};
use toucan_types::Offset;
use toucan_wire::{DocumentRecord as PeerRecord, Reply};

/// The document in force at this node.
#[derive(Clone, Debug)]
pub(crate) struct DocumentState {
    /// The document.
    pub(crate) document: Arc<Document>,
    /// Offset below which all records are applied.
    pub(crate) applied_to: Offset,
    /// Whether records are missing and the node is waiting for a snapshot.
    pub(crate) is_waiting: bool,
}

/// Decision on an operator's edit.
#[derive(Clone, Debug)]
pub(crate) enum EditDecision {
    /// The edit's record was read back from the log.
    Decided(EditOutcome),
    /// The log did not append the record.
    NotAppended(AppendError),
}

/// Messages of the document duty's ring.
pub(crate) enum DocumentMessage {
    /// Records of the stream, in order.
    Read(Vec<LogEntry>),
    /// The offset that was to be read has expired.
    Expired(Offset),
    /// Another node's records.
    PeerRecords(Vec<PeerRecord>),
    /// Another node requests records.
    RecordsSince {
        /// First offset wanted.
        from: Offset,
        /// Maximum number of records.
        limit: u32,
        /// Receives the records.
        reply: oneshot::Sender<Reply>,
    },
    /// An operator's edit; the reply is dropped if there is no decision in time.
    Edit {
        /// The edit.
        edit: Box<EditRecord>,
        /// Receives the decision.
        reply: oneshot::Sender<EditDecision>,
    },
    /// The log's response to the append of an edit.
    EditAppended {
        /// Identifier of the edit.
        edit_id: String,
        /// Offset of the record, or why it was not appended.
        outcome: Result<Offset, AppendError>,
    },
    /// An operator requests a preview of an edit.
    Preview {
        /// The edit.
        edit: Box<EditRecord>,
        /// Receives the resulting document, or the outcome that rejects the edit.
        reply: oneshot::Sender<Result<Preview, EditOutcome>>,
    },
    /// An operator requests the history of edits.
    History(oneshot::Sender<Vec<HistoryEntry>>),
    /// An operator requests the author of each line of a section.
    Blame {
        /// Section.
        section: Section,
        /// Receives the lines.
        reply: oneshot::Sender<Vec<BlameLine>>,
    },
}
