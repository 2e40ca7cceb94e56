//! Tokens that change hands, and holders that die.

use super::MAX_NODES;
use crate::support::{budget, fund};
use toucan_ledger::{
    FenceEvidence, LedgerRecord, ListedState, ReleaseDecision, ReleaseFacts, missing_journals,
    open_reservations,
};
use toucan_types::Tokens;

use super::{Rules, World};

impl<R: Rules> World<R> {
    pub(super) fn give(&mut self, from: usize, to: usize, tokens: u64) {
        let (Some(from), Some(to)) = (self.living(from), self.living(to)) else {
            return;
        };
        let taker = &self.nodes[to];
        if taker.data_centre != self.nodes[from].data_centre || !taker.wallet.is_announced() {
            return;
        }
        let taker = taker.wallet.incarnation();
        if let Some(transfer) = self.nodes[from]
            .wallet
            .transfer(&budget(), Tokens(tokens), taker)
        {
            self.nodes[from].transfers.push(transfer);
        }
    }

    pub(super) fn deliver(&mut self, which: usize, keep: bool) {
        if self.flying.is_empty() {
            return;
        }
        let which = which % self.flying.len();
        let transfer = self.flying[which].clone();
        if !keep {
            self.flying.swap_remove(which);
        }
        let to = self
            .nodes
            .iter_mut()
            .find(|node| node.wallet.incarnation() == transfer.note.to);
        let to = to.unwrap();
        if to.alive {
            to.wallet.receive(&transfer);
        }
    }

    pub(super) fn crash(&mut self, node: usize, destroyed: bool) {
        let Some(index) = self.living(node) else {
            return;
        };
        if self.nodes.len() >= MAX_NODES {
            return;
        }
        let node = &mut self.nodes[index];
        node.alive = false;
        node.destroyed = destroyed;
        node.runs.clear();
        let (instance, data_centre) = (node.instance, node.data_centre);
        let fresh = self.nodes.len() as u64 + 100;
        self.start(if destroyed { fresh } else { instance }, data_centre, None);
    }

    pub(super) fn fence(&mut self, by: usize, target: usize) {
        let Some(by) = self.living(by) else { return };
        let incarnation = self.nodes[self.index(target)].wallet.incarnation();
        let evidence = FenceEvidence::Silent { silent_ms: 10_000 };
        let record = LedgerRecord::Fence {
            incarnation,
            evidence,
        };
        self.nodes[by].batcher.submit(record).unwrap();
    }

    pub(super) fn release(&mut self, by: usize, target: usize) {
        let (Some(by), target) = (self.living(by), self.index(target)) else {
            return;
        };
        self.read(by, true);
        let dead = self.nodes[target].wallet.incarnation();
        let data_centre = self.nodes[target].data_centre;
        let peers = self
            .nodes
            .iter()
            .filter(|n| n.alive && n.data_centre == data_centre);
        let peers: Vec<_> = peers.filter(|n| n.wallet.incarnation() != dead).collect();
        let answers: Vec<_> = peers.iter().map(|n| n.batcher.journal_of(dead)).collect();
        let records: Vec<_> = peers.iter().map(|n| n.batcher.records_of(dead)).collect();
        let node = &self.nodes[target];
        let facts = ReleaseFacts {
            silent_ms: 3_600_000,
            listed: if node.destroyed {
                ListedState::Gone
            } else {
                ListedState::Live
            },
            listed_at_ms: self.now_ms,
            missing_journals: missing_journals(&self.nodes[by].ledger, dead, &answers),
            last_journaled: answers
                .iter()
                .map(|answer| answer.collected)
                .max()
                .unwrap_or_default(),
        };
        match self.rules.verdict(&self.nodes[by].ledger, dead, &facts) {
            ReleaseDecision::Fence(evidence) => {
                let record = LedgerRecord::Fence {
                    incarnation: dead,
                    evidence,
                };
                self.nodes[by].batcher.submit(record).unwrap();
            }
            ReleaseDecision::WaitForRecords => {
                let watermark = self.nodes[by].ledger.watermark(dead);
                for records in records {
                    // A gap only means that another holder has the records in between.
                    let _ = self.nodes[by].batcher.collect(dead, watermark, records);
                }
            }
            ReleaseDecision::Release(proof) => {
                let open_reservations = open_reservations(&answers);
                let release = LedgerRecord::Release {
                    incarnation: dead,
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

    pub(super) fn top_up(&mut self, by: usize, total: u64) {
        let Some(by) = self.living(by) else { return };
        self.version += 1;
        self.greatest_total = self.greatest_total.max(total);
        let record = fund(self.version, total);
        if R::FUNDS_ELSEWHERE {
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
            peer.alive
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
        if self.nodes[old].alive && old != index {
            self.nodes[old]
                .batcher
                .forget_open_reservations(incarnation);
        }
        self.journal_opens(index);
    }
}
