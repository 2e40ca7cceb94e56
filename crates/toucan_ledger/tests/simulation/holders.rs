//! Transfers of tokens, crashes, fences, releases and changes of holder.

use super::MAX_NODES;
use crate::support::{budget, fund};
use toucan_ledger::{
    FenceEvidence, LedgerRecord, ListedState, ReleaseDecision, ReleaseFacts, missing_journals,
    open_reservations,
};
use toucan_types::Tokens;

use super::{Rules, Simulation};

impl<R: Rules> Simulation<R> {
    pub(super) fn transfer(&mut self, from: usize, to: usize, tokens: u64) {
        let (Some(from), Some(to)) = (self.running_node(from), self.running_node(to)) else {
            return;
        };
        let receiver = &self.nodes[to];
        if receiver.data_centre != self.nodes[from].data_centre || !receiver.wallet.is_announced() {
            return;
        }
        let receiver = receiver.wallet.incarnation();
        if let Some(transfer) =
            self.nodes[from]
                .wallet
                .transfer(&budget(), Tokens(tokens), receiver)
        {
            self.nodes[from].unsent_transfers.push(transfer);
        }
    }

    pub(super) fn deliver_transfer(&mut self, which: usize, keep: bool) {
        if self.sent_transfers.is_empty() {
            return;
        }
        let which = which % self.sent_transfers.len();
        let transfer = self.sent_transfers[which].clone();
        if !keep {
            self.sent_transfers.swap_remove(which);
        }
        let to = self
            .nodes
            .iter_mut()
            .find(|node| node.wallet.incarnation() == transfer.note.to);
        let to = to.unwrap();
        if to.running {
            to.wallet.receive(&transfer);
        }
    }

    pub(super) fn crash(&mut self, node: usize, destroyed: bool) {
        let Some(index) = self.running_node(node) else {
            return;
        };
        if self.nodes.len() >= MAX_NODES {
            return;
        }
        let node = &mut self.nodes[index];
        node.running = false;
        node.destroyed = destroyed;
        node.runs.clear();
        let (instance, data_centre) = (node.instance, node.data_centre);
        let new_instance = self.nodes.len() as u64 + 100;
        self.start(
            if destroyed { new_instance } else { instance },
            data_centre,
            None,
        );
    }

    pub(super) fn fence(&mut self, by: usize, target: usize) {
        let Some(by) = self.running_node(by) else {
            return;
        };
        let incarnation = self.nodes[self.index(target)].wallet.incarnation();
        let evidence = FenceEvidence::Silent { silent_ms: 10_000 };
        let record = LedgerRecord::Fence {
            incarnation,
            evidence,
        };
        self.nodes[by].batcher.submit(record).unwrap();
    }

    pub(super) fn release(&mut self, by: usize, target: usize) {
        let (Some(by), target) = (self.running_node(by), self.index(target)) else {
            return;
        };
        self.read(by, true);
        let crashed = self.nodes[target].wallet.incarnation();
        let data_centre = self.nodes[target].data_centre;
        let peers = self
            .nodes
            .iter()
            .filter(|n| n.running && n.data_centre == data_centre);
        let peers: Vec<_> = peers
            .filter(|n| n.wallet.incarnation() != crashed)
            .collect();
        let answers: Vec<_> = peers
            .iter()
            .map(|n| n.batcher.journal_of(crashed))
            .collect();
        let records: Vec<_> = peers
            .iter()
            .map(|n| n.batcher.records_of(crashed))
            .collect();
        let node = &self.nodes[target];
        let facts = ReleaseFacts {
            silent_ms: 3_600_000,
            listed: if node.destroyed {
                ListedState::Gone
            } else {
                ListedState::Live
            },
            listed_at_ms: self.now_ms,
            missing_journals: missing_journals(&self.nodes[by].ledger, crashed, &answers),
            last_journaled: answers
                .iter()
                .map(|answer| answer.collected)
                .max()
                .unwrap_or_default(),
        };
        match self.rules.decide(&self.nodes[by].ledger, crashed, &facts) {
            ReleaseDecision::Fence(evidence) => {
                let record = LedgerRecord::Fence {
                    incarnation: crashed,
                    evidence,
                };
                self.nodes[by].batcher.submit(record).unwrap();
            }
            ReleaseDecision::WaitForRecords => {
                let watermark = self.nodes[by].ledger.watermark(crashed);
                for records in records {
                    // A gap is no failure here: another holder has the missing records.
                    let _ = self.nodes[by].batcher.collect(crashed, watermark, records);
                }
            }
            ReleaseDecision::Release(proof) => {
                let open_reservations = open_reservations(&answers);
                let release = LedgerRecord::Release {
                    incarnation: crashed,
                    proof,
                    open_reservations,
                };
                self.nodes[by].batcher.submit(release).unwrap();
            }
            ReleaseDecision::NoAction
            | ReleaseDecision::WaitForProof
            | ReleaseDecision::WaitForJournals => {}
        }
    }

    pub(super) fn fund_budget(&mut self, by: usize, total: u64) {
        let Some(by) = self.running_node(by) else {
            return;
        };
        self.version += 1;
        self.max_total = self.max_total.max(total);
        let record = fund(self.version, total);
        if R::FUNDS_IN_OTHER_STREAM {
            self.funds.push(record);
        } else {
            self.nodes[by].batcher.submit(record).unwrap();
        }
    }

    pub(super) fn choose_holder(&mut self, index: usize, wanted: usize) {
        let count = self.nodes.len();
        let candidates = (0..count).map(|step| (wanted + step) % count);
        let node = &self.nodes[index];
        let fit = |peer: &usize| {
            let peer = &self.nodes[*peer];
            peer.running
                && peer.data_centre == node.data_centre
                && peer.wallet.is_announced()
                && node.wallet.may_hold_records(peer.wallet.incarnation())
        };
        let holder = candidates.into_iter().find(fit).unwrap_or(index);
        let old = self.nodes[index].holder;
        if old == holder {
            return;
        }
        let incarnation = self.nodes[index].wallet.incarnation();
        self.nodes[index].holder = holder;
        self.nodes[index].wallet.outbox_mut().change_holder();
        if self.nodes[old].running && old != index {
            self.nodes[old]
                .batcher
                .forget_open_reservations(incarnation);
        }
        self.journal_open_reservations(index);
    }
}
