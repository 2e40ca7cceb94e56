//! Appending to the log, reading it and expiring its records.

use toucan_ledger::{
    AppendOutcome, GrantTotal, Ledger, LedgerEvent, LedgerRecord, LedgerSettings, RecordBatch,
    SnapshotLoader, WalletUpdate,
};
use toucan_types::Offset;

use super::{AppendResult, Rules, Simulation};

impl<R: Rules> Simulation<R> {
    pub(super) fn send(&mut self, index: usize, response_lost: bool) {
        self.nodes[index].wallet.flush();
        let holder = self.nodes[index].holder;
        if !self.nodes[holder].running {
            return;
        }
        let incarnation = self.nodes[index].wallet.incarnation();
        let up_to = self.nodes[index].wallet.up_to();
        let records = self.nodes[index]
            .wallet
            .outbox_mut()
            .take_unsent(usize::MAX);
        let sent_to = records.last().and_then(LedgerRecord::number);
        let read_back = self.nodes[index].wallet.outbox().read_back_up_to();
        let batcher = &mut self.nodes[holder].batcher;
        let Ok(collected) = batcher.collect(incarnation, read_back, records) else {
            self.nodes[index].wallet.outbox_mut().change_holder();
            return;
        };
        if holder == index {
            return;
        }
        let whole = sent_to.is_none_or(|(_, last)| collected >= last)
            && collected >= self.nodes[index].wallet.outbox().last();
        if let (Some(up_to), true) = (up_to, whole) {
            self.nodes[holder].batcher.confirm(incarnation, up_to);
        }
        if response_lost {
            self.nodes[index].wallet.outbox_mut().resend();
        } else {
            self.nodes[index].wallet.outbox_mut().acknowledge(collected);
        }
        self.complete_durable(index);
    }

    pub(super) fn append(&mut self, index: usize, result: AppendResult) {
        let now_ms = self.now_ms;
        let Some(batch) = self.nodes[index].batcher.next_batch(now_ms) else {
            return;
        };
        if matches!(result, AppendResult::Appended | AppendResult::ResponseLost) {
            self.log.push((batch.encode().unwrap(), now_ms));
        }
        let outcome = match result {
            AppendResult::Appended => AppendOutcome::Appended,
            AppendResult::ResponseLost | AppendResult::RequestLost => AppendOutcome::Unknown,
            AppendResult::Refused => AppendOutcome::Refused,
        };
        self.nodes[index]
            .batcher
            .appended(batch.number, outcome, now_ms);
        if R::TRUSTS_APPEND_RESPONSES && outcome == AppendOutcome::Appended {
            self.grant_on_append(&batch);
        }
    }

    /// Injected fault: a successful append counts as a grant of the requested tokens.
    pub(super) fn grant_on_append(&mut self, batch: &RecordBatch) {
        for record in &batch.records {
            let LedgerRecord::Draw {
                incarnation,
                sequence,
                budget,
                tokens,
                ..
            } = record
            else {
                continue;
            };
            let update = WalletUpdate {
                incarnation: *incarnation,
                up_to: Offset(self.log.len() as u64),
                watermark: *sequence,
                fenced: false,
                fenced_peers: Vec::new(),
                predecessors: Vec::new(),
                grants: vec![GrantTotal {
                    budget: budget.clone(),
                    since: *sequence,
                    granted_tokens: *tokens,
                }],
                in_transit: Vec::new(),
                hints: Vec::new(),
            };
            let now_ms = self.now_ms;
            let owner = self
                .nodes
                .iter_mut()
                .find(|n| n.wallet.incarnation() == *incarnation);
            owner.unwrap().wallet.update(&update, now_ms);
        }
    }

    pub(super) fn read(&mut self, index: usize, updates_lost: bool) {
        let now_ms = self.now_ms;
        let mut events = Vec::new();
        let mut due = None;
        loop {
            let node = &mut self.nodes[index];
            let offset = node.ledger.next_offset();
            if offset.0 < self.first_offset {
                let newest = self.load();
                self.coverage.snapshots_loaded += 1;
                self.nodes[index].ledger = newest;
                continue;
            }
            let Some((data, at_ms)) = self.log.get(offset.0 as usize) else {
                break;
            };
            let mut batch = RecordBatch::decode(data).unwrap();
            if R::FUNDS_IN_OTHER_STREAM {
                batch
                    .records
                    .splice(0..0, self.funds[node.applied_funds..].iter().cloned());
                node.applied_funds = self.funds.len();
            }
            let decoded = Ok(batch);
            let applied = node
                .ledger
                .apply_decoded(offset, *at_ms, data.len(), &decoded);
            let applied = applied.expect("the totals add up");
            node.batcher
                .read_back(decoded.as_ref().unwrap(), &node.ledger, now_ms);
            for event in &applied {
                assert!(
                    !matches!(event, LedgerEvent::Uncovered { .. }),
                    "a node spent more than it holds: {event:?}"
                );
                assert!(
                    !matches!(event, LedgerEvent::SnapshotMismatch { .. }),
                    "{event:?}"
                );
                if let LedgerEvent::SnapshotDue { writer, .. } = event
                    && *writer == node.wallet.incarnation()
                {
                    due = Some(node.ledger.snapshot_parts(*writer, 150).unwrap());
                }
            }
            events.extend(applied);
        }
        let node = &self.nodes[index];
        let (last, digest) = (node.ledger.next_offset().0, node.ledger.digest().unwrap());
        let known = self.digests.entry(last).or_insert(digest);
        assert_eq!(*known, digest, "two replays of the same records differ");
        for part in due.into_iter().flatten() {
            self.nodes[index]
                .batcher
                .submit(LedgerRecord::Snapshot(part))
                .unwrap();
        }
        self.push_updates(index, &events, updates_lost);
    }

    pub(super) fn push_updates(&mut self, index: usize, events: &[LedgerEvent], lost: bool) {
        let now_ms = self.now_ms;
        let data_centre = self.nodes[index].data_centre;
        let ledger = self.nodes[index].ledger.clone();
        let changes = ledger.updates(events, |_| true);
        for peer in 0..self.nodes.len() {
            let node = &mut self.nodes[peer];
            let own = peer == index;
            if !node.running || node.data_centre != data_centre || (lost && !own) {
                continue;
            }
            let incarnation = node.wallet.incarnation();
            // A node gets a full update from its own ledger; others get changes, and a full update
            // when there are no events.
            let update = if own || events.is_empty() {
                ledger.full_update(incarnation)
            } else {
                changes
                    .iter()
                    .find(|change| change.incarnation == incarnation)
                    .cloned()
            };
            if let Some(update) = update {
                node.wallet.update(&update, now_ms);
                self.complete_durable(peer);
            }
        }
    }

    pub(super) fn snapshot(&mut self, by: usize) {
        let Some(by) = self.running_node(by) else {
            return;
        };
        let writer = self.nodes[by].wallet.incarnation();
        self.nodes[by]
            .batcher
            .submit(LedgerRecord::SnapshotMark { writer })
            .unwrap();
    }

    /// Expires the records that a complete snapshot covers, as the log's retention permits.
    pub(super) fn expire(&mut self) {
        let mut loader = SnapshotLoader::new(LedgerSettings::default());
        let mut covered = None;
        for (data, _) in &self.log[self.first_offset as usize..] {
            let batch = RecordBatch::decode(data).unwrap();
            covered = loader
                .push(&batch)
                .map(|ledger| ledger.next_offset().0)
                .max(covered);
        }
        let Some(covered) = covered.filter(|covered| *covered > self.first_offset) else {
            return;
        };
        self.first_offset = covered;
        // Undo the expiry if no complete snapshot would remain readable.
        if self.load_or_none().is_none() {
            self.first_offset = 0;
        }
    }

    /// Returns the state of a new node: the newest snapshot if the start of the log has expired.
    pub(super) fn load(&self) -> Ledger {
        if self.first_offset == 0 {
            return Ledger::new(LedgerSettings::default());
        }
        let mut loader = SnapshotLoader::new(LedgerSettings::default());
        let readable = &self.log[self.first_offset as usize..];
        let batches = readable
            .iter()
            .map(|(data, _)| RecordBatch::decode(data).unwrap());
        let loaded = batches.filter_map(|batch| loader.push(&batch));
        let loaded = loaded
            .filter(|ledger| ledger.next_offset().0 >= self.first_offset)
            .last();
        loaded.expect("records expire only if a complete snapshot follows")
    }

    pub(super) fn load_or_none(&self) -> Option<Ledger> {
        let mut loader = SnapshotLoader::new(LedgerSettings::default());
        let readable = self.log[self.first_offset as usize..].iter();
        readable
            .filter_map(|(data, _)| loader.push(&RecordBatch::decode(data).unwrap()))
            .filter(|ledger| ledger.next_offset().0 >= self.first_offset)
            .last()
    }
}
