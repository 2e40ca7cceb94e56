//! Transfers of grants between wallets that bypass the log.

use toucan_types::{BudgetName, IncarnationId, Tokens};

use crate::grant::Receipt;
use crate::wallet::ReceivedTransfer;
use crate::{GrantTransfer, LedgerRecord, TransferDetails, Wallet};

impl Wallet {
    /// Transfers up to `tokens` of a grant to a peer and debits them here.
    ///
    /// Send the transfer only once the record [`GrantTransfer::sequence`] is durable.
    pub fn transfer(
        &mut self,
        budget: &BudgetName,
        tokens: Tokens,
        to: IncarnationId,
    ) -> Option<GrantTransfer> {
        let index = *self.index.get(budget)?;
        let from = self.incarnation();
        let grant = &mut self.grants[index as usize];
        let amount = grant.transferable_tokens().min(tokens.0);
        if self.fenced || self.shutdown_notice.is_some() || amount == 0 || to == from {
            return None;
        }
        grant.available_tokens -= amount;
        let (budget, tokens) = (budget.clone(), Tokens(amount));
        let record_budget = budget.clone();
        let sequence = self
            .outbox
            .push(|incarnation, sequence| LedgerRecord::Transfer {
                incarnation,
                sequence,
                to,
                budget: record_budget,
                tokens,
            });
        Some(GrantTransfer {
            note: TransferDetails {
                from,
                sequence,
                to,
                budget,
                tokens,
            },
        })
    }

    /// Credits a peer's transfer and returns whether it was accepted.
    ///
    /// A transfer that arrives out of order is left to the log, which delivers it exactly once.
    pub fn receive(&mut self, transfer: &GrantTransfer) -> bool {
        let note = &transfer.note;
        let last = self
            .last_received
            .get(&note.from)
            .copied()
            .unwrap_or_default();
        if note.to != self.incarnation() || note.sequence <= last || self.is_closed() {
            return false;
        }
        self.last_received.insert(note.from, note.sequence);
        self.receive_transfer(note);
        true
    }

    pub(crate) fn receive_transfer(&mut self, note: &TransferDetails) {
        let (from, from_sequence, tokens) = (note.from, note.sequence, note.tokens);
        let budget = note.budget.clone();
        let sequence = self
            .outbox
            .push(|incarnation, sequence| LedgerRecord::Receive {
                incarnation,
                sequence,
                from,
                from_sequence,
                budget,
                tokens,
            });
        self.received.push(ReceivedTransfer {
            from,
            from_sequence,
            sequence,
        });
        let index = self.grant_or_new(&note.budget);
        self.grants[index as usize].receive(Receipt {
            sequence,
            tokens: tokens.0,
        });
        self.activate(index);
    }
}
