//! Requests: reserved, run, billed, ended.

use super::RESERVE_FACTOR;
use crate::support::budget;
use toucan_ledger::{DrawPerRequest, OpenReservation};
use toucan_types::{BillId, Tokens};

use super::{Rules, World, state::Run};

impl<R: Rules> World<R> {
    pub(super) fn journal_opens(&mut self, index: usize) {
        let holder = self.nodes[index].holder;
        if holder == index || !self.nodes[holder].alive {
            return;
        }
        let opens: Vec<_> = self.nodes[index]
            .runs
            .iter()
            .map(|run| self.open(run))
            .collect();
        let incarnation = self.nodes[index].wallet.incarnation();
        for open in opens {
            self.nodes[holder]
                .batcher
                .add_open_reservation(incarnation, open)
                .unwrap();
        }
    }

    pub(super) fn open(&self, run: &Run) -> OpenReservation {
        OpenReservation {
            bill: self.bill_id(run.request),
            budget: budget(),
            reserved_tokens: run.reservation.reserved_tokens(),
        }
    }

    pub(super) fn bill_id(&self, request: usize) -> BillId {
        let tries = if R::BILLS_TRIES {
            self.requests[request].tries
        } else {
            0
        };
        BillId(request as u128 * 1_000 + u128::from(tries))
    }

    pub(super) fn run(&mut self, index: usize, request: usize) {
        let now_ms = self.now_ms;
        let reserve = Tokens(self.requests[request].cost * RESERVE_FACTOR);
        let node = &mut self.nodes[index];
        if node.runs.iter().any(|run| run.request == request) {
            return;
        }
        let Ok(reservation) = node.wallet.reserve(&budget(), reserve, now_ms) else {
            node.wallet.record_demand(&budget(), reserve, now_ms);
            node.wallet.tick(&DrawPerRequest, 1, |_| 0, now_ms);
            return;
        };
        self.requests[request].tries += 1;
        let run = Run {
            request,
            reservation,
        };
        let open = self.open(&run);
        let holder = self.nodes[index].holder;
        let incarnation = self.nodes[index].wallet.incarnation();
        self.nodes[index].runs.push(run);
        if holder != index && self.nodes[holder].alive {
            self.nodes[holder]
                .batcher
                .add_open_reservation(incarnation, open)
                .unwrap();
        } else if holder != index {
            // The holder does not answer: nothing is dispatched without a journal.
            let run = self.nodes[index].runs.pop().unwrap();
            self.nodes[index].wallet.cancel(run.reservation);
        }
    }

    pub(super) fn finish(&mut self, index: usize, which: usize) {
        if self.nodes[index].runs.is_empty() {
            return;
        }
        let which = which % self.nodes[index].runs.len();
        let run = self.nodes[index].runs.swap_remove(which);
        let id = self.bill_id(run.request);
        let cost = Tokens(self.requests[run.request].cost);
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        node.wallet.settle(run.reservation, id, cost, now_ms);
        let sequence = node.wallet.flush().unwrap();
        node.ending.push((sequence, run.request));
    }

    /// Hands the last chunk to callers whose bill another VM or the log has.
    pub(super) fn end_requests(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let outbox = node.wallet.outbox();
        let (known, waiting): (Vec<_>, Vec<_>) = node
            .ending
            .drain(..)
            .partition(|(sequence, _)| outbox.is_durable(*sequence));
        let (gone, kept): (Vec<_>, Vec<_>) = node
            .transfers
            .drain(..)
            .partition(|transfer| outbox.is_durable(transfer.sequence()));
        node.ending = waiting;
        node.transfers = kept;
        self.flying.extend(gone);
        for (_, request) in known {
            self.requests[request].delivered_by.insert(index);
        }
    }

    pub(super) fn id_of_any_try(&self, request: usize) -> BillId {
        let tries = if R::BILLS_TRIES {
            self.requests[request].tries
        } else {
            0
        };
        BillId(request as u128 * 1_000 + u128::from(tries))
    }
}
