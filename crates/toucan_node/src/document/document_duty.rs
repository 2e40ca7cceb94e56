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
const KEPT_RECORDS: usize = 2_000;
/// Number of records after which a snapshot is due, so that older records may expire.
const RESTATE_RECORDS: u64 = 1_000;
/// Maximum delay of a due snapshot, in milliseconds; each node has its own delay, so that usually
/// only one of them appends it.
const RESTATE_SPREAD_MS: u64 = 30_000;
/// Time after which this node stops waiting for the decision on an edit, in milliseconds.
const DECISION_MS: u64 = 20_000;

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
    fold: ReplayedDocument,
    links: DocumentLinks,
    in_force: Arc<ArcSwap<DocumentState>>,
    kept: VecDeque<PeerRecord>,
    pending: FastHashMap<String, PendingEdit>,
    decided: Vec<(oneshot::Sender<EditDecision>, EditOutcome)>,
    restated_at: Offset,
    restate_at_ms: Option<u64>,
    spread: u64,
}

impl DocumentDuty {
    /// Creates a duty with an empty document; `jitter_seed` differs between nodes.
    pub(crate) fn new(
        links: DocumentLinks,
        in_force: Arc<ArcSwap<DocumentState>>,
        spread: u64,
    ) -> Self {
        Self {
            fold: ReplayedDocument::default(),
            links,
            in_force,
            kept: VecDeque::new(),
            pending: FastHashMap::default(),
            decided: Vec::new(),
            restated_at: Offset(0),
            restate_at_ms: None,
            spread,
        }
    }

    fn read(&mut self, entries: Vec<LogEntry>, now_ms: u64) {
        let before = self.fold.document();
        for entry in entries {
            self.apply(entry, now_ms);
        }
        self.publish(&before);
    }

    fn apply(&mut self, entry: LogEntry, now_ms: u64) {
        let outcome = self.fold.apply(entry.offset, &entry.data);
        if matches!(outcome, EditOutcome::Stale) {
            return;
        }
        count(&outcome);
        if matches!(outcome, EditOutcome::SnapshotPart { .. }) {
            self.restated_at = entry.offset;
            self.restate_at_ms = None;
        }
        self.decide(&entry.data, outcome);
        self.keep(entry);
        self.plan_restatement(now_ms);
    }

    fn decide(&mut self, data: &[u8], outcome: EditOutcome) {
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

    fn keep(&mut self, entry: LogEntry) {
        if self.kept.len() >= KEPT_RECORDS {
            self.kept.pop_front();
        }
        self.kept.push_back(PeerRecord {
            offset: entry.offset,
            appended_at_ms: entry.appended_at_ms,
            data: entry.data,
        });
    }

    /// Applies records from another node: consecutive log records, or one snapshot.
    fn take_from_peer(&mut self, records: Vec<PeerRecord>, now_ms: u64) {
        let before = self.fold.document();
        for record in records {
            if DocumentRecord::decode(&record.data).is_ok() {
                if record.offset == self.fold.next_offset() {
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
            let Ok(restatement) = DocumentSnapshot::from_bytes(&record.data) else {
                metrics::counter!("toucan_document_unreadable_total").increment(1);
                continue;
            };
            match self.fold.restore(&restatement) {
                // The records between the recent ones and the snapshot are unknown here.
                Ok(true) => self.kept.clear(),
                Ok(false) => {}
                Err(_) => log::error!("a peer's document is invalid under this program's rules"),
            }
        }
        self.publish(&before);
    }

    fn since(&self, from: Offset, limit: u32) -> Reply {
        let next_offset = self.fold.applied_to();
        let kept_from = self.kept.front().map(|record| record.offset);
        let records = if kept_from.is_some_and(|first| first <= from) {
            let wanted = self.kept.iter().filter(|record| record.offset >= from);
            wanted.take(limit as usize).cloned().collect()
        } else if next_offset > from {
            self.whole()
        } else {
            Vec::new()
        };
        Reply::Document {
            records,
            next_offset,
        }
    }

    fn whole(&self) -> Vec<PeerRecord> {
        let restatement = self.fold.snapshot();
        let Ok(bytes) = restatement.to_bytes() else {
            return Vec::new();
        };
        vec![PeerRecord {
            offset: restatement.up_to,
            appended_at_ms: 0,
            data: Bytes::from(bytes),
        }]
    }

    /// Puts the document in force and informs the waiting operators and the other duties.
    fn publish(&mut self, before: &Arc<Document>) {
        let document = self.fold.document();
        let applied_to = self.fold.applied_to();
        let state = DocumentState {
            document: Arc::clone(&document),
            applied_to,
            is_waiting: self.fold.is_waiting(),
        };
        self.in_force.store(Arc::new(state));
        for (reply, outcome) in self.decided.drain(..) {
            let _unread = reply.send(EditDecision::Decided(outcome));
        }
        let known = MembershipMessage::Document(Arc::clone(&document), applied_to);
        let _ended = self.links.membership.send(known);
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
        let until_ms = now_ms.saturating_add(DECISION_MS);
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
            let busy = AppendError::RateLimited {
                retry_after_ms: BUSY_RETRY_MS,
            };
            self.edit_appended(edit_id, Err(busy));
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

    fn plan_restatement(&mut self, now_ms: u64) {
        let since = self.fold.applied_to().0.saturating_sub(self.restated_at.0);
        if since >= RESTATE_RECORDS && self.restate_at_ms.is_none() && !self.fold.is_waiting() {
            self.restate_at_ms = Some(now_ms.saturating_add(self.spread % RESTATE_SPREAD_MS));
        }
    }

    fn restate(&mut self) {
        self.restate_at_ms = None;
        self.restated_at = self.fold.applied_to();
        let Ok(records) = self.fold.snapshot().to_records() else {
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
            DocumentMessage::Read(entries) => self.read(entries, now_ms),
            DocumentMessage::Expired(first) => {
                self.fold.skip_expired(first);
                let from = self.fold.next_offset();
                let _ended = self
                    .links
                    .platform
                    .send(PlatformCommand::FollowDocument { from });
            }
            DocumentMessage::FromPeer(records) => self.take_from_peer(records, now_ms),
            DocumentMessage::PeerSince { from, limit, reply } => {
                let _unread = reply.send(self.since(from, limit));
            }
            DocumentMessage::Edit { edit, reply } => self.edit(&edit, reply, now_ms),
            DocumentMessage::EditAppended { edit_id, outcome } => {
                self.edit_appended(&edit_id, outcome);
            }
            DocumentMessage::Preview { edit, reply } => {
                let _unread = reply.send(self.fold.preview(&edit));
            }
            DocumentMessage::History(reply) => {
                let _unread = reply.send(self.fold.history().cloned().collect());
            }
            DocumentMessage::Blame { section, reply } => {
                let _unread = reply.send(self.fold.blame(section));
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.pending.retain(|_, pending| now_ms < pending.until_ms);
        if self.restate_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.restate();
        }
    }

    fn dump(&self, _now_ms: u64) -> serde_json::Value {
        let versions = self.fold.versions();
        json!({
            "applied_to": self.fold.applied_to(),
            "finance_version": versions.finance,
            "models_version": versions.models,
            "operations_version": versions.operations,
            "waits_for_restatement": self.fold.is_waiting(),
            "pending_edits": self.pending.len(),
        })
    }
}

fn count(outcome: &EditOutcome) {
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
