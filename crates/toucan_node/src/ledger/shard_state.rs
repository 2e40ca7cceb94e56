//! State of one shard on this node.

use toucan_config::Document;
use toucan_ledger::{
    AppendOutcome, ApplyError, Ledger, LedgerEvent, LedgerRecord, LedgerSettings, RecordBatch,
    RecordBatcher, RecordBatcherSettings,
};
use toucan_platform::LogEntry;
use toucan_types::{
    BillId, BudgetName, DocumentVersion, FastHashMap, IncarnationId, Offset, ShardIndex,
};

use super::{
    ShardRole, journal_replicas::JournalReplicas, recent_requests::RecentRequests,
    shard_reader::ShardReader,
};
use crate::shard_sync::{
    ClaimAnswer, ClaimState, JournalReply, OpenAnswer, OpenState, SyncReply, SyncRequest,
};

/// Maximum size of one part of a snapshot in bytes.
const MAX_SNAPSHOT_PART_BYTES: usize = 128 << 10;
/// Time after which a funding record that was not read back is submitted again, in milliseconds.
const FUND_RETRY_MS: u64 = 5_000;

/// State of one shard on this node.
pub(super) struct ShardState {
    pub(super) shard: ShardIndex,
    pub(super) me: IncarnationId,
    /// Incarnations of this process in the shard; more than one after a fence.
    pub(super) own: Vec<IncarnationId>,
    pub(super) role: ShardRole,
    pub(super) batcher: RecordBatcher,
    pub(super) replicas: JournalReplicas,
    pub(super) reader: Option<ShardReader>,
    /// Last time at which the replay reached the end of the stream, in milliseconds since 1970.
    pub(super) caught_up_ms: Option<u64>,
    /// Journals that other nodes hold of crashed or ended incarnations.
    pub(super) journals: FastHashMap<IncarnationId, Vec<JournalReply>>,
    /// Earliest time of the next decision on an incarnation, in milliseconds since 1970.
    pub(super) next_decision_ms: FastHashMap<IncarnationId, u64>,
    /// Time at which an incarnation was first seen in the ledger, in milliseconds since 1970.
    pub(super) first_seen_ms: FastHashMap<IncarnationId, u64>,
    requests: RecentRequests,
    funded: FastHashMap<BudgetName, (DocumentVersion, u64)>,
    settings: LedgerSettings,
    snapshot_at_ms: u64,
    snapshot_interval_ms: u64,
}

impl ShardState {
    /// Returns a shard whose stream is not read yet.
    pub(super) fn new(shard: ShardIndex, me: IncarnationId, role: ShardRole) -> Self {
        Self {
            shard,
            me,
            own: vec![me],
            role,
            batcher: RecordBatcher::new(RecordBatcherSettings::default(), me),
            replicas: JournalReplicas::default(),
            reader: None,
            caught_up_ms: None,
            journals: FastHashMap::default(),
            next_decision_ms: FastHashMap::default(),
            first_seen_ms: FastHashMap::default(),
            requests: RecentRequests::default(),
            funded: FastHashMap::default(),
            settings: LedgerSettings::default(),
            snapshot_at_ms: 0,
            snapshot_interval_ms: 0,
        }
    }

    /// Returns the replayed ledger, if this node has it.
    pub(super) fn ledger(&self) -> Option<&Ledger> {
        self.reader.as_ref().and_then(ShardReader::ledger)
    }

    /// Applies the document's ledger settings.
    pub(super) fn configure(&mut self, document: &Document, batchers: u64, now_ms: u64) {
        let ledger = &document.operations().ledger;
        self.settings.bill_window_ms = ledger.bill_window_ms;
        self.snapshot_interval_ms = ledger.snapshot_interval_ms;
        let rate_per_s = u64::from(ledger.append_rate_per_s).max(1);
        // All batchers share the append rate evenly, so the limit holds for any fleet size.
        let append_interval_ms = (batchers.max(1) * 1_000).div_ceil(rate_per_s).max(10);
        self.batcher.set_append_interval_ms(append_interval_ms);
        if self.snapshot_at_ms == 0 {
            self.snapshot_at_ms = now_ms.saturating_add(self.snapshot_interval_ms);
        }
    }

    /// Starts to replay the stream; returns the offset to read from.
    pub(super) fn start_reading(&mut self) -> Offset {
        self.reader = Some(ShardReader::new(self.settings.clone()));
        Offset(0)
    }

    /// Searches for a snapshot from the oldest readable record on, after older ones expired.
    pub(super) fn search_snapshot(&mut self) {
        if let Some(reader) = &mut self.reader {
            reader.search_snapshot(self.settings.clone());
        }
    }

    /// Adds an incarnation of this process.
    pub(super) fn add_own_incarnation(&mut self, incarnation: IncarnationId) {
        if !self.own.contains(&incarnation) {
            self.own.push(incarnation);
        }
    }

    /// Hands the outbox replicas that this node kept to its batcher.
    pub(super) fn collect_replicas(&mut self) {
        for incarnation in self.replicas.incarnations() {
            self.collect_journal_records(incarnation, self.replicas.records_of(incarnation));
            for reservation in self.replicas.opens_of(incarnation) {
                let _full = self.batcher.add_open_reservation(incarnation, reservation);
            }
        }
    }

    /// Collects a wallet's records and answers its queries.
    pub(super) fn sync(&mut self, request: SyncRequest) -> SyncReply {
        if request.copy_only {
            let collected = self.replicas.store(&request);
            return self.reply(collected, &request);
        }
        self.record_bills(&request.records);
        let opens = self.open_all(&request);
        let incarnation = request.incarnation;
        for bill in &request.closes {
            self.batcher.remove_open_reservation(incarnation, *bill);
            self.requests.close(incarnation, *bill);
        }
        let mut request = request;
        let records = std::mem::take(&mut request.records);
        let collected = self
            .batcher
            .collect(incarnation, request.folded, records)
            .unwrap_or_else(|_refused| self.batcher.collected(incarnation));
        if let Some(up_to) = request.confirmed {
            self.batcher.confirm(incarnation, up_to);
        }
        let taken_over = self.requests.drain_taken_over(incarnation);
        SyncReply {
            opens,
            taken_over,
            ..self.reply(collected, &request)
        }
    }

    fn reply(&self, collected: toucan_types::Sequence, request: &SyncRequest) -> SyncReply {
        let ledger = self.ledger().filter(|_| !request.copy_only);
        let update = ledger.and_then(|ledger| ledger.update(request.incarnation, &request.budgets));
        SyncReply {
            shard: self.shard,
            incarnation: request.incarnation,
            collected,
            update,
            opens: Vec::new(),
            claims: request
                .claims
                .iter()
                .map(|key| (*key, self.claim_state(*key, request.incarnation)))
                .collect(),
            taken_over: Vec::new(),
        }
    }

    fn open_all(&mut self, request: &SyncRequest) -> Vec<OpenAnswer> {
        let mut answers = Vec::with_capacity(request.opens.len());
        for dispatch in &request.opens {
            // If the batcher is full, the reservation is not recorded, which only delays a release.
            let _full = self
                .batcher
                .add_open_reservation(request.incarnation, dispatch.reservation.clone());
            let bill = dispatch.reservation.bill;
            let state = self.requests.open(request.incarnation, dispatch);
            answers.push(OpenAnswer {
                bill,
                state: self.prior_state(bill, state, request),
            });
        }
        answers
    }

    fn prior_state(&self, bill: BillId, noted: OpenState, request: &SyncRequest) -> OpenState {
        if noted != OpenState::Fresh {
            return noted;
        }
        if self.ledger().is_some_and(|ledger| ledger.is_billed(bill)) {
            return OpenState::Billed { target: None };
        }
        match self.replicas.open(bill) {
            Some((incarnation, dispatch)) if incarnation != request.incarnation => {
                OpenState::OpenElsewhere {
                    incarnation,
                    target: dispatch.target.clone(),
                }
            }
            _ => OpenState::Fresh,
        }
    }

    fn record_bills(&mut self, records: &[LedgerRecord]) {
        for record in records {
            if let LedgerRecord::Settle { entries, .. } = record {
                for bill in entries.iter().flat_map(|entry| &entry.bills) {
                    self.requests.record_bill(bill.id);
                }
            }
        }
    }

    fn claim_state(&self, key: toucan_ledger::IntentKey, incarnation: IncarnationId) -> ClaimState {
        let Some(intent) = self.ledger().and_then(|ledger| ledger.intent(key)) else {
            return ClaimState::Pending;
        };
        if intent.owner == incarnation && intent.outcome.is_none() {
            return ClaimState::Owned;
        }
        let answer = intent.outcome.map(|outcome| ClaimAnswer {
            status: outcome.status,
            digest: outcome.digest,
        });
        ClaimState::Lost { answer }
    }

    /// Applies records of the stream; returns the offset to continue from if it is not the next one.
    pub(super) fn read(
        &mut self,
        entries: &[LogEntry],
        next_offset: Offset,
        now_ms: u64,
    ) -> Result<Option<Offset>, ApplyError> {
        for entry in entries {
            let Some(reader) = &mut self.reader else {
                return Ok(None);
            };
            let (applied, from) = reader.read(entry)?;
            if from.is_some() {
                return Ok(from);
            }
            if let Some(batch) = &applied.batch {
                self.read_back(batch, now_ms);
            }
            self.handle_events(&applied.events, now_ms);
        }
        if self
            .ledger()
            .is_some_and(|ledger| ledger.next_offset() >= next_offset)
        {
            self.caught_up_ms = Some(now_ms);
        }
        Ok(None)
    }

    fn read_back(&mut self, batch: &RecordBatch, now_ms: u64) {
        if let Some(ShardReader::Following(ledger)) = &self.reader {
            self.batcher.read_back(batch, ledger, now_ms);
        }
    }

    fn handle_events(&mut self, events: &[LedgerEvent], now_ms: u64) {
        for event in events {
            super::ledger_duty::count_event(event);
            match event {
                LedgerEvent::SnapshotDue { writer, .. } => {
                    self.snapshot_at_ms = now_ms.saturating_add(self.snapshot_interval_ms);
                    if *writer == self.me {
                        self.write_snapshot();
                    }
                }
                LedgerEvent::Released { incarnation, .. }
                | LedgerEvent::ShutdownNotice { incarnation, .. } => {
                    self.replicas.remove(*incarnation);
                    self.journals.remove(incarnation);
                    self.first_seen_ms.remove(incarnation);
                }
                _ => {}
            }
        }
    }

    fn write_snapshot(&mut self) {
        let me = self.me;
        let Some(ShardReader::Following(ledger)) = &self.reader else {
            return;
        };
        let Ok(parts) = ledger.snapshot_parts(me, MAX_SNAPSHOT_PART_BYTES) else {
            log::error!("shard {}: the snapshot cannot be encoded", self.shard);
            return;
        };
        for part in parts {
            // If the batcher is full, the snapshot is incomplete; the next one replaces it.
            let _full = self.batcher.submit(LedgerRecord::Snapshot(part));
        }
    }

    /// Requests a snapshot when one is due.
    pub(super) fn request_snapshot(&mut self, now_ms: u64) {
        let is_due = self.snapshot_interval_ms > 0 && now_ms >= self.snapshot_at_ms;
        let is_batcher = matches!(self.role, ShardRole::Batcher { .. });
        if !is_due || !is_batcher || self.ledger().is_none() {
            return;
        }
        self.snapshot_at_ms = now_ms.saturating_add(self.snapshot_interval_ms);
        let _full = self
            .batcher
            .submit(LedgerRecord::SnapshotMark { writer: self.me });
    }

    /// Submits the document's purchased totals to the stream.
    pub(super) fn fund(&mut self, document: &Document, shards: u16, now_ms: u64) {
        let Some(ShardReader::Following(ledger)) = &self.reader else {
            return;
        };
        let version = document.versions().finance;
        for (name, budget) in document.budgets() {
            if ShardIndex::of_budget(name, shards) != self.shard {
                continue;
            }
            let Ok(total) = budget.total_tokens() else {
                continue;
            };
            let account = ledger.account(name);
            let is_up_to_date = account.is_some_and(|account| {
                account.version >= version || account.purchased_tokens == total
            });
            let was_submitted = self.funded.get(name).is_some_and(|(last, at_ms)| {
                *last == version && now_ms < at_ms.saturating_add(FUND_RETRY_MS)
            });
            if is_up_to_date || was_submitted {
                continue;
            }
            self.funded.insert(name.clone(), (version, now_ms));
            let _full = self.batcher.submit(LedgerRecord::Fund {
                budget: name.clone(),
                organisation: budget.organisation.clone(),
                version,
                purchased_total_tokens: total,
            });
        }
    }

    /// Returns the batch to append now, if any.
    pub(super) fn next_batch(&mut self, now_ms: u64) -> Option<(u64, Vec<u8>)> {
        let batch = self.batcher.next_batch(now_ms)?;
        match batch.encode() {
            Ok(bytes) => Some((batch.number, bytes)),
            Err(error) => {
                log::error!("shard {}: a batch cannot be encoded: {error}", self.shard);
                self.batcher
                    .appended(batch.number, AppendOutcome::Refused, now_ms);
                None
            }
        }
    }
}
