//! Reserving, running, billing and completing requests.

use super::RESERVE_FACTOR;
use crate::support::budget;
use toucan_ledger::{DrawPerRequest, OpenReservation};
use toucan_types::{BillId, Tokens};

use super::{Rules, Simulation, state::Run};

impl<R: Rules> Simulation<R> {
    pub(super) fn journal_open_reservations(&mut self, index: usize) {
        let holder = self.nodes[index].holder;
        if holder == index || !self.nodes[holder].running {
            return;
        }
        let opens: Vec<_> = self.nodes[index]
            .runs
            .iter()
            .map(|run| self.open_reservation(run))
            .collect();
        let incarnation = self.nodes[index].wallet.incarnation();
        for open in opens {
            self.nodes[holder]
                .batcher
                .add_open_reservation(incarnation, open)
                .unwrap();
        }
    }

    pub(super) fn open_reservation(&self, run: &Run) -> OpenReservation {
        OpenReservation {
            bill: self.bill_id(run.request),
            budget: budget(),
            reserved_tokens: run.reservation.reserved_tokens(),
        }
    }

    pub(super) fn bill_id(&self, request: usize) -> BillId {
        let attempts = if R::BILLS_EACH_ATTEMPT {
            self.requests[request].attempts
        } else {
            0
        };
        BillId(request as u128 * 1_000 + u128::from(attempts))
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
        self.requests[request].attempts += 1;
        let run = Run {
            request,
            reservation,
        };
        let open = self.open_reservation(&run);
        let holder = self.nodes[index].holder;
        let incarnation = self.nodes[index].wallet.incarnation();
        self.nodes[index].runs.push(run);
        if holder != index && self.nodes[holder].running {
            self.nodes[holder]
                .batcher
                .add_open_reservation(incarnation, open)
                .unwrap();
        } else if holder != index {
            // The holder is not running: no request is dispatched without a journal.
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
        node.awaiting_durability.push((sequence, run.request));
    }

    /// Completes the requests whose bill is durable and sends the transfers that are durable.
    pub(super) fn complete_durable(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let outbox = node.wallet.outbox();
        let (durable, waiting): (Vec<_>, Vec<_>) = node
            .awaiting_durability
            .drain(..)
            .partition(|(sequence, _)| outbox.is_durable(*sequence));
        let (sent, kept): (Vec<_>, Vec<_>) = node
            .unsent_transfers
            .drain(..)
            .partition(|transfer| outbox.is_durable(transfer.sequence()));
        node.awaiting_durability = waiting;
        node.unsent_transfers = kept;
        self.sent_transfers.extend(sent);
        for (_, request) in durable {
            self.requests[request].delivered_by.insert(index);
        }
    }

    pub(super) fn id_of_last_attempt(&self, request: usize) -> BillId {
        let attempts = if R::BILLS_EACH_ATTEMPT {
            self.requests[request].attempts
        } else {
            0
        };
        BillId(request as u128 * 1_000 + u128::from(attempts))
    }
}
