//! State and message handling of the document duty.

use std::{collections::VecDeque, sync::Arc};

use arc_swap::ArcSwap;
use bytes::Bytes;
use serde_json::json;
use tokio::sync::oneshot;
use toucan_config::{
    Document, DocumentRecord, DocumentSnapshot, EditOutcome, EditRecord, ReplayedDocument,
};
use toucan_platform::{AppendError, LogEntry};
use toucan_types::{FastHashMap, Offset};
use toucan_wire::{DocumentRecord as PeerRecord, Reply};

use super::{DocumentMessage, DocumentState, EditDecision};
use crate::{
    admission::AdmissionMessage,
    kernel::{Duty, Ring},
    ledger::LedgerMessage,
    membership::MembershipMessage,
    platform_io::PlatformCommand,
    targets::TargetsMessage,
};

/// Maximum number of recent records kept for other nodes.
const MAX_RECENT_RECORDS: usize = 2_000;
/// Number of records after which a snapshot is due, so that older records may expire.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 1_000;
/// Maximum delay of a due snapshot, in milliseconds; each node has its own delay, so that usually
/// only one of them appends it.
const MAX_SNAPSHOT_JITTER_MS: u64 = 30_000;
/// Time after which this node stops waiting for the decision on an edit, in milliseconds.
const DECISION_TIMEOUT_MS: u64 = 20_000;

/// Retry delay for an operator whose edit met a full ring, in milliseconds.
const BUSY_RETRY_MS: u64 = 1_000;

/// Rings that the document duty writes to.
pub(crate) struct DocumentLinks {
    /// The admission duty.
    pub(crate) admission: Ring<AdmissionMessage>,
    /// The ledger duty.
    pub(crate) ledger: Ring<LedgerMessage>,
    /// The membership duty.
    pub(crate) membership: Ring<MembershipMessage>,
    /// The targets duty.
    pub(crate) targets: Ring<TargetsMessage>,
    /// The platform duty.
    pub(crate) platform: Ring<PlatformCommand>,
}

/// An edit that is waiting for its decision.
struct PendingEdit {
    reply: oneshot::Sender<EditDecision>,
    until_ms: u64,
}

/// Applies the operators' edits and informs the other duties.
pub(crate) struct DocumentDuty {
    replayed: ReplayedDocument,
    links: DocumentLinks,
    in_force: Arc<ArcSwap<DocumentState>>,
    recent_records: VecDeque<PeerRecord>,
    pending: FastHashMap<String, PendingEdit>,
    decided: Vec<(oneshot::Sender<EditDecision>, EditOutcome)>,
    last_snapshot_offset: Offset,
    next_snapshot_at_ms: Option<u64>,
    jitter_seed: u64,
}

impl DocumentDuty {
    /// Creates a duty with an empty document; `jitter_seed` differs between nodes.
    pub(crate) fn new(
        links: DocumentLinks,
        in_force: Arc<ArcSwap<DocumentState>>,
        jitter_seed: u64,
    ) -> Self {
        Self {
            replayed: ReplayedDocument::default(),
            links,
            in_force,
            recent_records: VecDeque::new(),
            pending: FastHashMap::default(),
            decided: Vec::new(),
            last_snapshot_offset: Offset(0),
            next_snapshot_at_ms: None,
            jitter_seed,
        }
    }

    fn apply_entries(&mut self, entries: Vec<LogEntry>, now_ms: u64) {
        let before = self.replayed.document();
        for entry in entries {
            self.apply(entry, now_ms);
        }
        self.publish(&before);
    }

    fn apply(&mut self, entry: LogEntry, now_ms: u64) {
        let outcome = self.replayed.apply(entry.offset, &entry.data);
        if matches!(outcome, EditOutcome::Stale) {
            return;
        }
        count_outcome(&outcome);
        if matches!(outcome, EditOutcome::SnapshotPart { .. }) {
            self.last_snapshot_offset = entry.offset;
            self.next_snapshot_at_ms = None;
        }
        self.record_decision(&entry.data, outcome);
        self.add_recent(entry);
        self.schedule_snapshot(now_ms);
    }

    fn record_decision(&mut self, data: &[u8], outcome: EditOutcome) {
        if self.pending.is_empty() {
            return;
        }
        let Ok(DocumentRecord::Edit(edit)) = DocumentRecord::decode(data) else {
            return;
        };
        if matches!(outcome, EditOutcome::Stale | EditOutcome::Waiting) {
            return;
        }
        if let Some(pending) = self.pending.remove(&edit.edit_id) {
            // Sent once the document is in force, so that a read after the reply sees the edit.
            self.decided.push((pending.reply, outcome));
        }
    }

    fn add_recent(&mut self, entry: LogEntry) {
        if self.recent_records.len() >= MAX_RECENT_RECORDS {
            self.recent_records.pop_front();
        }
        self.recent_records.push_back(PeerRecord {
            offset: entry.offset,
            appended_at_ms: entry.appended_at_ms,
            data: entry.data,
        });
    }

    /// Applies records from another node: consecutive log records, or one snapshot.
    fn apply_peer_records(&mut self, records: Vec<PeerRecord>, now_ms: u64) {
        let before = self.replayed.document();
        for record in records {
            if DocumentRecord::decode(&record.data).is_ok() {
                if record.offset == self.replayed.next_offset() {
                    self.apply(
                        LogEntry {
                            offset: record.offset,
                            appended_at_ms: record.appended_at_ms,
                            data: record.data,
                        },
                        now_ms,
                    );
                }
                continue;
            }
            let Ok(snapshot) = DocumentSnapshot::from_bytes(&record.data) else {
                metrics::counter!("toucan_document_unreadable_total").increment(1);
                continue;
            };
            match self.replayed.restore(&snapshot) {
                // The records between the recent ones and the snapshot are unknown here.
                Ok(true) => self.recent_records.clear(),
                Ok(false) => {}
                Err(_) => log::error!("a peer's document is invalid under this program's rules"),
            }
        }
        self.publish(&before);
    }

    fn records_since(&self, from: Offset, limit: u32) -> Reply {
        let next_offset = self.replayed.applied_to();
        let recent_from = self.recent_records.front().map(|record| record.offset);
        let records = if recent_from.is_some_and(|first| first <= from) {
            let wanted = self
                .recent_records
                .iter()
                .filter(|record| record.offset >= from);
            wanted.take(limit as usize).cloned().collect()
        } else if next_offset > from {
            self.snapshot_records()
        } else {
            Vec::new()
        };
        Reply::Document {
            records,
            next_offset,
        }
    }

    fn snapshot_records(&self) -> Vec<PeerRecord> {
        let snapshot = self.replayed.snapshot();
        let Ok(bytes) = snapshot.to_bytes() else {
            return Vec::new();
        };
        vec![PeerRecord {
            offset: snapshot.up_to,
            appended_at_ms: 0,
            data: Bytes::from(bytes),
        }]
    }

    /// Puts the document in force and informs the waiting operators and the other duties.
    fn publish(&mut self, before: &Arc<Document>) {
        let document = self.replayed.document();
        let applied_to = self.replayed.applied_to();
        let state = DocumentState {
            document: Arc::clone(&document),
            applied_to,
            is_waiting: self.replayed.is_waiting(),
        };
        self.in_force.store(Arc::new(state));
        for (reply, outcome) in self.decided.drain(..) {
            let _unread = reply.send(EditDecision::Decided(outcome));
        }
        let message = MembershipMessage::Document(Arc::clone(&document), applied_to);
        let _ended = self.links.membership.send(message);
        if Arc::ptr_eq(before, &document) {
            return;
        }
        let versions = document.versions();
        log::info!(
            "document in force: finance {}, models {}, operations {}",
            versions.finance,
            versions.models,
            versions.operations
        );
        let _ended = self
            .links
            .admission
            .send(AdmissionMessage::Document(Arc::clone(&document)));
        let _ended = self
            .links
            .ledger
            .send(LedgerMessage::Document(Arc::clone(&document)));
        let _ended = self.links.targets.send(TargetsMessage::Document(document));
    }

    fn edit(&mut self, edit: &EditRecord, reply: oneshot::Sender<EditDecision>, now_ms: u64) {
        let record = DocumentRecord::Edit(edit.clone());
        let bytes = match record.encode() {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                let finding = toucan_types::Finding::new(
                    toucan_types::Severity::Error,
                    "edit",
                    error.to_string(),
                );
                let findings = vec![finding];
                let refused = EditOutcome::Refused { findings };
                let _unread = reply.send(EditDecision::Decided(refused));
                return;
            }
        };
        let until_ms = now_ms.saturating_add(DECISION_TIMEOUT_MS);
        self.pending
            .insert(edit.edit_id.clone(), PendingEdit { reply, until_ms });
        self.append(bytes, &edit.edit_id);
    }

    fn append(&mut self, bytes: Bytes, edit_id: &str) {
        let append = PlatformCommand::AppendDocument {
            bytes,
            edit_id: edit_id.to_owned(),
        };
        if self.links.platform.try_send(append).is_err() {
            let rate_limited = AppendError::RateLimited {
                retry_after_ms: BUSY_RETRY_MS,
            };
            self.edit_appended(edit_id, Err(rate_limited));
        }
    }

    fn edit_appended(&mut self, edit_id: &str, outcome: Result<Offset, AppendError>) {
        let error = match outcome {
            // The decision follows when the record is read back, even if the response was lost.
            Ok(_) | Err(AppendError::Unknown) => return,
            Err(error) => error,
        };
        if let Some(pending) = self.pending.remove(edit_id) {
            let _unread = pending.reply.send(EditDecision::NotAppended(error));
        }
    }

    fn schedule_snapshot(&mut self, now_ms: u64) {
        let since = self
            .replayed
            .applied_to()
            .0
            .saturating_sub(self.last_snapshot_offset.0);
        if since >= SNAPSHOT_INTERVAL_RECORDS
            && self.next_snapshot_at_ms.is_none()
            && !self.replayed.is_waiting()
        {
            self.next_snapshot_at_ms =
                Some(now_ms.saturating_add(self.jitter_seed % MAX_SNAPSHOT_JITTER_MS));
        }
    }

    fn append_snapshot(&mut self) {
        self.next_snapshot_at_ms = None;
        self.last_snapshot_offset = self.replayed.applied_to();
        let Ok(records) = self.replayed.snapshot().to_records() else {
            log::error!("the snapshot of the document cannot be encoded");
            return;
        };
        for record in records {
            if let Ok(bytes) = record.encode() {
                self.append(Bytes::from(bytes), "");
            }
        }
    }
}

impl Duty for DocumentDuty {
    type Message = DocumentMessage;

    const NAME: &'static str = "document";
    const TICK_MS: u64 = 250;

    fn handle(&mut self, message: DocumentMessage, now_ms: u64) {
        match message {
            DocumentMessage::Read(entries) => self.apply_entries(entries, now_ms),
            DocumentMessage::Expired(first) => {
                self.replayed.skip_expired(first);
                let from = self.replayed.next_offset();
                let _ended = self
                    .links
                    .platform
                    .send(PlatformCommand::FollowDocument { from });
            }
            DocumentMessage::PeerRecords(records) => self.apply_peer_records(records, now_ms),
            DocumentMessage::RecordsSince { from, limit, reply } => {
                let _unread = reply.send(self.records_since(from, limit));
            }
            DocumentMessage::Edit { edit, reply } => self.edit(&edit, reply, now_ms),
            DocumentMessage::EditAppended { edit_id, outcome } => {
                self.edit_appended(&edit_id, outcome);
            }
            DocumentMessage::Preview { edit, reply } => {
                let _unread = reply.send(self.replayed.preview(&edit));
            }
            DocumentMessage::History(reply) => {
                let _unread = reply.send(self.replayed.history().cloned().collect());
            }
            DocumentMessage::Blame { section, reply } => {
                let _unread = reply.send(self.replayed.blame(section));
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.pending.retain(|_, pending| now_ms < pending.until_ms);
        if self
            .next_snapshot_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms)
        {
            self.append_snapshot();
        }
    }

    fn dump(&self, _now_ms: u64) -> serde_json::Value {
        let versions = self.replayed.versions();
        json!({
            "applied_to": self.replayed.applied_to(),
            "finance_version": versions.finance,
            "models_version": versions.models,
            "operations_version": versions.operations,
            "waits_for_restatement": self.replayed.is_waiting(),
            "pending_edits": self.pending.len(),
        })
    }
}

fn count_outcome(outcome: &EditOutcome) {
    let name = match outcome {
        EditOutcome::Accepted { .. } => "accepted",
        EditOutcome::LostRace(_) => "lost_race",
        EditOutcome::Refused { .. } => "refused",
        EditOutcome::Duplicate { .. } => "duplicate",
        EditOutcome::SnapshotPart { .. } => "restated",
        EditOutcome::Stale | EditOutcome::Waiting => return,
        EditOutcome::Unknown { .. } => "unknown",
    };
    metrics::counter!("toucan_document_records_total", "outcome" => name).increment(1);
}
