//! One shard as this node gathers it.

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
    ShardRole, journal_copies::JournalCopies, request_notes::RequestNotes,
    shard_reader::ShardReader,
};
use crate::shard_sync::{
    ClaimAnswer, ClaimState, JournalReply, OpenAnswer, OpenState, SyncReply, SyncRequest,
};

/// Most bytes of one part of a snapshot.
const SNAPSHOT_PART_BYTES: usize = 128 << 10;
/// Time after which a fund that was not read back is submitted again, in milliseconds.
const FUND_AGAIN_MS: u64 = 5_000;

/// One shard as this node gathers it.
pub(super) struct ShardState {
    pub(super) shard: ShardIndex,
    pub(super) me: IncarnationId,
    /// Incarnations that this process has had in the shard; more than one after a fence.
    pub(super) own: Vec<IncarnationId>,
    pub(super) role: ShardRole,
    pub(super) gatherer: RecordBatcher,
    pub(super) copies: JournalCopies,
    pub(super) reader: Option<ShardReader>,
    /// Last time at which the fold had reached the end of the stream, in milliseconds since 1970.
    pub(super) caught_up_ms: Option<u64>,
    /// Journals that other nodes hold of dead incarnations.
    pub(super) journals: FastHashMap<IncarnationId, Vec<JournalReply>>,
    /// Time of the last record submitted about an incarnation, in milliseconds since 1970.
    pub(super) judged_ms: FastHashMap<IncarnationId, u64>,
    /// Time at which an incarnation was first seen in the fold, in milliseconds since 1970.
    pub(super) first_seen_ms: FastHashMap<IncarnationId, u64>,
    requests: RequestNotes,
    funded: FastHashMap<BudgetName, (DocumentVersion, u64)>,
    settings: LedgerSettings,
    snapshot_at_ms: u64,
    snapshot_interval_ms: u64,
}

impl ShardState {
    /// A shard that another node is believed to gather.
    pub(super) fn new(shard: ShardIndex, me: IncarnationId, role: ShardRole) -> Self {
        Self {
            shard,
            me,
            own: vec![me],
            role,
            gatherer: RecordBatcher::new(RecordBatcherSettings::default(), me),
            copies: JournalCopies::default(),
            reader: None,
            caught_up_ms: None,
            journals: FastHashMap::default(),
            judged_ms: FastHashMap::default(),
            first_seen_ms: FastHashMap::default(),
            requests: RequestNotes::default(),
            funded: FastHashMap::default(),
            settings: LedgerSettings::default(),
            snapshot_at_ms: 0,
            snapshot_interval_ms: 0,
        }
    }

    /// The fold, if this node has it.
    pub(super) fn ledger(&self) -> Option<&Ledger> {
        self.reader.as_ref().and_then(ShardReader::ledger)
    }

    /// Sets what the document says of the ledger.
    pub(super) fn configure(&mut self, document: &Document, gatherers: u64, now_ms: u64) {
        let ledger = &document.operations().ledger;
        self.settings.bill_window_ms = ledger.bill_window_ms;
        self.snapshot_interval_ms = ledger.snapshot_interval_ms;
        let rate_per_s = u64::from(ledger.append_rate_per_s).max(1);
        // The fleet's rate is shared by all gatherers, so that it holds whatever the fleet's size.
        let append_interval_ms = (gatherers.max(1) * 1_000).div_ceil(rate_per_s).max(10);
        self.gatherer.set_append_interval_ms(append_interval_ms);
        if self.snapshot_at_ms == 0 {
            self.snapshot_at_ms = now_ms.saturating_add(self.snapshot_interval_ms);
        }
    }

    /// Begins to fold the stream; gives the offset to read from.
    pub(super) fn start_reading(&mut self) -> Offset {
        self.reader = Some(ShardReader::new(self.settings.clone()));
        Offset(0)
    }

    /// The first records have expired: a snapshot is searched from the oldest one on.
    pub(super) fn expired(&mut self) {
        if let Some(reader) = &mut self.reader {
            reader.expired(self.settings.clone());
        }
    }

    /// Notes an incarnation of this process.
    pub(super) fn note_own(&mut self, incarnation: IncarnationId) {
        if !self.own.contains(&incarnation) {
            self.own.push(incarnation);
        }
    }

    /// Takes over the copies that this node kept as a witness.
    pub(super) fn adopt_copies(&mut self) {
        for incarnation in self.copies.incarnations() {
            self.adopt(incarnation, self.copies.records_of(incarnation));
            for reservation in self.copies.opens_of(incarnation) {
                let _full = self.gatherer.add_open_reservation(incarnation, reservation);
            }
        }
    }

    /// Takes what a wallet writes and answers what it asks.
    pub(super) fn sync(&mut self, request: SyncRequest) -> SyncReply {
        if request.copy_only {
            let collected = self.copies.keep(&request);
            return self.reply(collected, &request);
        }
        self.note_bills(&request.records);
        let opens = self.open_all(&request);
        let incarnation = request.incarnation;
        for bill in &request.closes {
            self.gatherer.remove_open_reservation(incarnation, *bill);
            self.requests.close(incarnation, *bill);
        }
        let mut request = request;
        let records = std::mem::take(&mut request.records);
        let collected = self
            .gatherer
            .collect(incarnation, request.folded, records)
            .unwrap_or_else(|_refused| self.gatherer.collected(incarnation));
        if let Some(up_to) = request.confirmed {
            self.gatherer.confirm(incarnation, up_to);
        }
        let taken_over = self.requests.take_taken_over(incarnation);
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
        for note in &request.opens {
            // A full memory leaves the request without a witness, which only delays a release.
            let _full = self
                .gatherer
                .add_open_reservation(request.incarnation, note.reservation.clone());
            let bill = note.reservation.bill;
            let state = self.requests.open(request.incarnation, note);
            answers.push(OpenAnswer {
                bill,
                state: self.known_state(bill, state, request),
            });
        }
        answers
    }

    fn known_state(&self, bill: BillId, noted: OpenState, request: &SyncRequest) -> OpenState {
        if noted != OpenState::Fresh {
            return noted;
        }
        if self.ledger().is_some_and(|ledger| ledger.is_billed(bill)) {
            return OpenState::Billed { target: None };
        }
        match self.copies.open(bill) {
            Some((incarnation, note)) if incarnation != request.incarnation => {
                OpenState::OpenElsewhere {
                    incarnation,
                    target: note.target.clone(),
                }
            }
            _ => OpenState::Fresh,
        }
    }

    fn note_bills(&mut self, records: &[LedgerRecord]) {
        for record in records {
            if let LedgerRecord::Settle { entries, .. } = record {
                for bill in entries.iter().flat_map(|entry| &entry.bills) {
                    self.requests.billed(bill.id);
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

    /// Folds records of the stream; gives the offset to read from if it is another than the next.
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
            let (folded, from) = reader.read(entry)?;
            if from.is_some() {
                return Ok(from);
            }
            if let Some(batch) = &folded.batch {
                self.read_back(batch, now_ms);
            }
            self.note_events(&folded.events, now_ms);
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
        if let Some(ShardReader::Folding(ledger)) = &self.reader {
            self.gatherer.read_back(batch, ledger, now_ms);
        }
    }

    fn note_events(&mut self, events: &[LedgerEvent], now_ms: u64) {
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
                    self.copies.forget(*incarnation);
                    self.journals.remove(incarnation);
                    self.first_seen_ms.remove(incarnation);
                }
                _ => {}
            }
        }
    }

    fn write_snapshot(&mut self) {
        let me = self.me;
        let Some(ShardReader::Folding(ledger)) = &self.reader else {
            return;
        };
        let Ok(parts) = ledger.snapshot_parts(me, SNAPSHOT_PART_BYTES) else {
            log::error!("shard {}: the snapshot cannot be encoded", self.shard);
            return;
        };
        for part in parts {
            // A full memory leaves the snapshot incomplete; the next one follows.
            let _full = self.gatherer.submit(LedgerRecord::Snapshot(part));
        }
    }

    /// Asks for a snapshot when one is due.
    pub(super) fn mark_snapshot(&mut self, now_ms: u64) {
        let is_due = self.snapshot_interval_ms > 0 && now_ms >= self.snapshot_at_ms;
        let is_gatherer = matches!(self.role, ShardRole::Batcher { .. });
        if !is_due || !is_gatherer || self.ledger().is_none() {
            return;
        }
        self.snapshot_at_ms = now_ms.saturating_add(self.snapshot_interval_ms);
        let _full = self
            .gatherer
            .submit(LedgerRecord::SnapshotMark { writer: self.me });
    }

    /// Brings the purchased totals of the document into the stream.
    pub(super) fn fund(&mut self, document: &Document, shards: u16, now_ms: u64) {
        let Some(ShardReader::Folding(ledger)) = &self.reader else {
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
            let stands = account.is_some_and(|account| {
                account.version >= version || account.purchased_tokens == total
            });
            let submitted = self.funded.get(name).is_some_and(|(last, at_ms)| {
                *last == version && now_ms < at_ms.saturating_add(FUND_AGAIN_MS)
            });
            if stands || submitted {
                continue;
            }
            self.funded.insert(name.clone(), (version, now_ms));
            let _full = self.gatherer.submit(LedgerRecord::Fund {
                budget: name.clone(),
                organisation: budget.organisation.clone(),
                version,
                purchased_total_tokens: total,
            });
        }
    }

    /// The batch to append now, if any.
    pub(super) fn next_batch(&mut self, now_ms: u64) -> Option<(u64, Vec<u8>)> {
        let batch = self.gatherer.next_batch(now_ms)?;
        match batch.encode() {
            Ok(bytes) => Some((batch.number, bytes)),
            Err(error) => {
                log::error!("shard {}: a batch cannot be encoded: {error}", self.shard);
                self.gatherer
                    .appended(batch.number, AppendOutcome::Refused, now_ms);
                None
            }
        }
    }
}
