//! Replayed state of one ledger stream.

use displaydoc::Display;
use toucan_types::{
    BillId, BudgetName, FastHashMap, IncarnationId, Offset, OrganisationName, Sequence, Tokens,
};

use crate::account::IncarnationIndex;
use crate::account_table::AccountTable;
use crate::bill_window::BillWindow;
use crate::intents::Intents;
use crate::snapshot::SnapshotChecks;
use crate::{
    BatchError, IncarnationState, IncarnationStatus, LedgerEvent, LedgerRecord, LedgerSettings,
    RecordBatch,
};

/// Error of applying a record.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ApplyError {
    /// the record at offset {found} was read where offset {expected} comes next
    OffsetGap {
        /// Offset that comes next.
        expected: Offset,
        /// Offset that was read.
        found: Offset,
    },
    /// the token totals of budget {budget} do not add up after offset {offset}
    Imbalance {
        /// The budget.
        budget: BudgetName,
        /// Offset of the record.
        offset: Offset,
    },
}

impl std::error::Error for ApplyError {}

/// Tokens retained for a dispatched request of a crashed incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retained {
    pub(crate) account: u32,
    pub(crate) incarnation: IncarnationIndex,
    pub(crate) tokens: u64,
}

/// A transfer of which one half has been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Transit {
    pub(crate) to: IncarnationId,
    pub(crate) account: u32,
    pub(crate) tokens: u64,
    /// Whether the applied half is the receiver's.
    pub(crate) received: bool,
}

/// Replayed state of one ledger stream, a pure function of its records in the order of their
/// offsets.
///
/// ```
/// use toucan_ledger::{Ledger, LedgerRecord, LedgerSettings, RecordBatch};
/// use toucan_types::{BudgetName, DocumentVersion, IncarnationId, Offset, Tokens};
///
/// let mut ledger = Ledger::new(LedgerSettings::default());
/// let batch = RecordBatch {
///     writer: IncarnationId(1),
///     number: 0,
///     records: vec![LedgerRecord::Fund {
///         budget: BudgetName::from("drafting"),
///         organisation: "guild".into(),
///         version: DocumentVersion(1),
///         purchased_total_tokens: Tokens(1000),
///     }],
/// };
/// let data = batch.encode().expect("a small batch fits");
/// ledger.apply(Offset(0), 1_000, &data).expect("offset 0 comes first");
/// let account = ledger.account(&BudgetName::from("drafting")).expect("it is funded");
/// assert_eq!(account.remaining_tokens, Tokens(1000));
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) settings: LedgerSettings,
    pub(crate) next_offset: Offset,
    pub(crate) log_time_ms: u64,
    pub(crate) incarnations: Vec<IncarnationState>,
    pub(crate) incarnation_index: FastHashMap<IncarnationId, IncarnationIndex>,
    pub(crate) organisations: Vec<OrganisationName>,
    pub(crate) organisation_index: FastHashMap<OrganisationName, u32>,
    pub(crate) accounts: AccountTable,
    pub(crate) bills: BillWindow,
    pub(crate) retained: FastHashMap<BillId, Retained>,
    pub(crate) transits: FastHashMap<(IncarnationId, Sequence), Transit>,
    pub(crate) intents: Intents,
    pub(crate) unknown_records: u64,
    pub(crate) checks: SnapshotChecks,
    pub(crate) touched: Vec<u32>,
}

/// Context that record handlers need in addition to the state.
pub(crate) struct Step<'a> {
    pub(crate) offset: Offset,
    pub(crate) events: &'a mut Vec<LedgerEvent>,
}

impl Ledger {
    /// Creates the state before the first record of a stream.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            bills: BillWindow::new(settings.bill_window_ms),
            settings,
            next_offset: Offset(0),
            log_time_ms: 0,
            incarnations: Vec::new(),
            incarnation_index: FastHashMap::default(),
            organisations: Vec::new(),
            organisation_index: FastHashMap::default(),
            accounts: AccountTable::default(),
            retained: FastHashMap::default(),
            transits: FastHashMap::default(),
            intents: Intents::default(),
            unknown_records: 0,
            checks: SnapshotChecks::default(),
            touched: Vec::new(),
        }
    }

    /// Returns the offset that is applied next.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the latest append time of the applied records, in milliseconds since 1970.
    #[must_use]
    pub const fn log_time_ms(&self) -> u64 {
        self.log_time_ms
    }

    /// Returns the number of records that this program version could not interpret.
    ///
    /// If it is not 0, the state may be incomplete: its node then neither appends batches nor
    /// writes snapshots.
    #[must_use]
    pub const fn unknown_records(&self) -> u64 {
        self.unknown_records
    }

    /// Applies one batch of the stream; an offset that was already applied changes nothing.
    ///
    /// Bytes that are not a batch of a known format are reported as [`LedgerEvent::Unknown`].
    ///
    /// # Errors
    /// [`ApplyError::OffsetGap`] changes nothing. [`ApplyError::Imbalance`] indicates a defect of
    /// the ledger itself: the state must not be used afterwards.
    pub fn apply(
        &mut self,
        offset: Offset,
        appended_at_ms: u64,
        data: &[u8],
    ) -> Result<Vec<LedgerEvent>, ApplyError> {
        let batch = RecordBatch::decode(data);
        self.apply_decoded(offset, appended_at_ms, data.len(), &batch)
    }

    /// Applies one batch of the stream that the caller has already decoded.
    ///
    /// # Errors
    /// As [`Self::apply`].
    pub fn apply_decoded(
        &mut self,
        offset: Offset,
        appended_at_ms: u64,
        length_bytes: usize,
        batch: &Result<RecordBatch, BatchError>,
    ) -> Result<Vec<LedgerEvent>, ApplyError> {
        let mut events = Vec::new();
        if offset < self.next_offset {
            return Ok(events);
        }
        if offset > self.next_offset {
            return Err(ApplyError::OffsetGap {
                expected: self.next_offset,
                found: offset,
            });
        }
        self.next_offset = offset.next();
        self.advance_time(appended_at_ms);
        let mut step = Step {
            offset,
            events: &mut events,
        };
        match batch {
            Ok(batch) => {
                for record in &batch.records {
                    self.apply_record(record, &mut step);
                    self.check_touched(offset)?;
                }
            }
            Err(_) => self.record_unknown(length_bytes, &mut step),
        }
        self.record_snapshot_mark(&mut step);
        Ok(events)
    }

    fn apply_record(&mut self, record: &LedgerRecord, step: &mut Step<'_>) {
        match record {
            LedgerRecord::Announce { .. } => self.announce(record, step),
            LedgerRecord::Fund {
                budget,
                organisation,
                version,
                purchased_total_tokens,
            } => {
                self.fund(
                    budget,
                    organisation,
                    *version,
                    *purchased_total_tokens,
                    step,
                );
            }
            LedgerRecord::Fence { incarnation, .. } => self.fence(*incarnation, step),
            LedgerRecord::Release {
                incarnation,
                proof,
                open_reservations,
            } => {
                self.release(*incarnation, proof, open_reservations, step);
            }
            LedgerRecord::SnapshotMark { writer } => self.checks.pending = Some(*writer),
            LedgerRecord::Snapshot(part) => self.check_snapshot(part, step),
            LedgerRecord::Unknown { bytes } => self.record_unknown(bytes.len(), step),
            LedgerRecord::Draw { .. }
            | LedgerRecord::Settle { .. }
            | LedgerRecord::Transfer { .. }
            | LedgerRecord::Receive { .. }
            | LedgerRecord::Succeed { .. }
            | LedgerRecord::ShutdownNotice { .. }
            | LedgerRecord::Intent { .. }
            | LedgerRecord::IntentDone { .. } => self.apply_numbered(record, step),
        }
    }

    /// Applies a numbered record if its number is the next one, so that each record takes effect
    /// once and in order.
    fn apply_numbered(&mut self, record: &LedgerRecord, step: &mut Step<'_>) {
        let Some((incarnation, sequence)) = record.number() else {
            return;
        };
        let Some(index) = self.incarnation_index.get(&incarnation).copied() else {
            let expected = crate::ANNOUNCE_SEQUENCE;
            step.events.push(LedgerEvent::Gap {
                incarnation,
                sequence,
                expected,
            });
            return;
        };
        let state = &mut self.incarnations[index as usize];
        if sequence <= state.watermark {
            step.events.push(LedgerEvent::Duplicate {
                incarnation,
                sequence,
            });
            return;
        }
        let released = state.status == IncarnationStatus::Released;
        let expected = state.watermark.next();
        if released || state.status == IncarnationStatus::Ended {
            self.apply_late_record(index, record, step);
            return;
        }
        if sequence != expected {
            step.events.push(LedgerEvent::Gap {
                incarnation,
                sequence,
                expected,
            });
            return;
        }
        state.watermark = sequence;
        match record {
            LedgerRecord::Draw {
                budget,
                tokens,
                least_tokens,
                ..
            } => {
                self.draw(index, sequence, budget, (tokens.0, least_tokens.0), step);
            }
            LedgerRecord::Settle { entries, .. } => self.settle(index, sequence, entries, step),
            LedgerRecord::Transfer {
                to, budget, tokens, ..
            } => {
                self.transfer(index, sequence, *to, budget, tokens.0, step);
            }
            LedgerRecord::Receive {
                from,
                from_sequence,
                budget,
                tokens,
                ..
            } => {
                self.receive(index, (*from, *from_sequence), budget, tokens.0, step);
            }
            LedgerRecord::Succeed { predecessor, .. } => self.succeed(index, *predecessor, step),
            LedgerRecord::ShutdownNotice { .. } => self.apply_shutdown_notice(index, step),
            LedgerRecord::Intent { key, .. } => self.claim_intent(index, sequence, *key, step),
            LedgerRecord::IntentDone {
                key,
                digest,
                status,
                ..
            } => {
                self.complete_intent(index, *key, *digest, *status, step);
            }
            _ => {}
        }
    }

    fn record_unknown(&mut self, length_bytes: usize, step: &mut Step<'_>) {
        self.unknown_records += 1;
        step.events.push(LedgerEvent::Unknown {
            offset: step.offset,
            length_bytes,
        });
    }

    fn fund(
        &mut self,
        budget: &BudgetName,
        organisation: &OrganisationName,
        version: toucan_types::DocumentVersion,
        total: Tokens,
        step: &mut Step<'_>,
    ) {
        let known = self.accounts.find(budget);
        if known.is_some_and(|index| version <= self.accounts[index].version) {
            return;
        }
        let account_index = known.unwrap_or_else(|| self.accounts.find_or_new(budget));
        let organisation = self.organisation_or_new(organisation);
        let account = &mut self.accounts[account_index];
        account.version = version;
        account.organisation = organisation;
        account.fund(total.0);
        step.events.push(LedgerEvent::FundApplied {
            budget: budget.clone(),
            version,
            remaining_tokens: Tokens(account.remaining_tokens),
            cut_owed_tokens: Tokens(account.cut_owed_tokens()),
        });
        self.touched.push(account_index);
    }

    pub(crate) fn organisation_or_new(&mut self, organisation: &OrganisationName) -> u32 {
        if let Some(index) = self.organisation_index.get(organisation) {
            return *index;
        }
        let index = index_of(self.organisations.len());
        self.organisations.push(organisation.clone());
        self.organisation_index.insert(organisation.clone(), index);
        index
    }

    fn advance_time(&mut self, appended_at_ms: u64) {
        let before = self.bills.bucket_of(self.log_time_ms);
        self.log_time_ms = self.log_time_ms.max(appended_at_ms);
        if self.bills.bucket_of(self.log_time_ms) == before {
            return;
        }
        // Old state is dropped only here, at fixed log times, so that all nodes drop the same.
        let now_ms = self.log_time_ms;
        self.bills.advance(now_ms);
        let window_ms = self.settings.intent_window_ms;
        self.intents
            .retain(|_, intent| intent.claimed_at_ms.saturating_add(window_ms) > now_ms);
        self.forget_ended_incarnations();
    }

    fn check_touched(&mut self, offset: Offset) -> Result<(), ApplyError> {
        while let Some(index) = self.touched.pop() {
            let account = &mut self.accounts[index];
            account.drop_empty_slots();
            if !account.is_balanced() {
                let budget = self.accounts.name(index).clone();
                return Err(ApplyError::Imbalance { budget, offset });
            }
        }
        Ok(())
    }
}

pub(crate) fn index_of(length: usize) -> u32 {
    u32::try_from(length).expect("fewer than 2^32 entries fit into memory")
}
