//! Applies draws, settlements, transfers and claims.

use toucan_types::{BudgetName, IncarnationId, Sequence, Tokens};

use crate::account::IncarnationIndex;
use crate::ledger::{Step, Transit};
use crate::{
    Bill, IncarnationStatus, IntentKey, IntentOutcome, IntentState, Ledger, LedgerEvent,
    LedgerRecord, SettleEntry,
};

impl Ledger {
    pub(crate) fn draw(
        &mut self,
        index: IncarnationIndex,
        sequence: Sequence,
        budget: &BudgetName,
        (asked, minimum): (u64, u64),
        step: &mut Step<'_>,
    ) {
        let state = &self.incarnations[index as usize];
        let incarnation = state.incarnation;
        let live = state.status == IncarnationStatus::Live;
        let Some(account_index) = self.accounts.find(budget) else {
            let budget = budget.clone();
            step.events.push(LedgerEvent::UnknownBudget {
                incarnation,
                sequence,
                budget,
            });
            return;
        };
        let account = &mut self.accounts[account_index];
        let enough = account.remaining_tokens >= minimum;
        let granted = if live && enough {
            account.take_from_remaining(asked)
        } else {
            0
        };
        if granted > 0 {
            let slot = account.slot_or_new(index, sequence);
            slot.amount_tokens += granted;
            slot.granted_tokens += granted;
        }
        step.events.push(LedgerEvent::Granted {
            incarnation,
            sequence,
            budget: budget.clone(),
            asked_tokens: Tokens(asked),
            granted_tokens: Tokens(granted),
            remaining_tokens: Tokens(account.remaining_tokens),
        });
        self.touched.push(account_index);
    }

    pub(crate) fn settle(
        &mut self,
        index: IncarnationIndex,
        sequence: Sequence,
        entries: &[SettleEntry],
        step: &mut Step<'_>,
    ) {
        let incarnation = self.incarnations[index as usize].incarnation;
        let (mut spent, mut returned, mut bills) = (0_u64, 0_u64, 0);
        for entry in entries {
            let Some(account_index) = self.accounts.find(&entry.budget) else {
                let budget = entry.budget.clone();
                step.events.push(LedgerEvent::UnknownBudget {
                    incarnation,
                    sequence,
                    budget,
                });
                continue;
            };
            for bill in &entry.bills {
                let paid = self.pay_bill(index, account_index, bill, step);
                spent = spent.saturating_add(paid);
            }
            bills += entry.bills.len();
            let account = &mut self.accounts[account_index];
            let taken = account.take_from_slot(index, entry.returned_tokens.0);
            account.return_tokens(taken);
            returned = returned.saturating_add(taken);
            if taken < entry.returned_tokens.0 {
                step.events.push(LedgerEvent::Uncovered {
                    incarnation,
                    budget: entry.budget.clone(),
                    tokens: Tokens(entry.returned_tokens.0 - taken),
                });
            }
            self.touched.push(account_index);
        }
        step.events.push(LedgerEvent::Settled {
            incarnation,
            sequence,
            spent_tokens: Tokens(spent),
            returned_tokens: Tokens(returned),
            bills,
        });
    }

    /// Pays one bill from its writer's grant and returns the tokens spent.
    fn pay_bill(
        &mut self,
        index: IncarnationIndex,
        account_index: u32,
        bill: &Bill,
        step: &mut Step<'_>,
    ) -> u64 {
        let account = &mut self.accounts[account_index];
        let mut paid = account.take_from_slot(index, bill.tokens.0);
        if paid < bill.tokens.0 {
            step.events.push(LedgerEvent::Uncovered {
                incarnation: self.incarnations[index as usize].incarnation,
                budget: self.accounts.name(account_index).clone(),
                tokens: Tokens(bill.tokens.0 - paid),
            });
            let account = &mut self.accounts[account_index];
            paid += account.take_from_remaining(bill.tokens.0 - paid);
        }
        self.record_bill(account_index, bill, paid, step)
    }

    /// Records tokens taken for a bill as spent, or as disputed if the bill is too old.
    ///
    /// Returns the tokens spent.
    pub(crate) fn record_bill(
        &mut self,
        account_index: u32,
        bill: &Bill,
        paid: u64,
        step: &mut Step<'_>,
    ) -> u64 {
        if let Some(billed) = self.bills.billed_tokens(bill.id) {
            return self.record_duplicate_bill(account_index, bill, billed, paid, step);
        }
        let lateness_ms = self.log_time_ms.saturating_sub(bill.admitted_at_ms);
        if lateness_ms > self.settings.max_bill_lateness_ms() {
            self.accounts[account_index].disputed_tokens += paid;
            step.events.push(LedgerEvent::DisputedBill {
                budget: self.accounts.name(account_index).clone(),
                bill: bill.id,
                tokens: Tokens(paid),
            });
            return 0;
        }
        self.bills.insert(bill.id, paid, self.log_time_ms);
        self.accounts[account_index].spent_tokens += paid;
        self.return_retained(bill.id);
        paid
    }

    /// Records a further bill of an id; the request costs as much as its largest bill.
    ///
    /// A router that loses its target or its caller bills what it has relayed. A retry that
    /// delivers the whole answer then adds only the difference.
    fn record_duplicate_bill(
        &mut self,
        account_index: u32,
        bill: &Bill,
        billed: u64,
        paid: u64,
        step: &mut Step<'_>,
    ) -> u64 {
        let more = paid.saturating_sub(billed);
        let account = &mut self.accounts[account_index];
        account.spent_tokens += more;
        account.return_tokens(paid - more);
        if more > 0 {
            self.bills.raise(bill.id, paid);
        }
        step.events.push(LedgerEvent::DuplicateBill {
            budget: self.accounts.name(account_index).clone(),
            bill: bill.id,
            tokens: Tokens(paid - more),
        });
        more
    }

    /// Returns the tokens retained for a crashed incarnation's request that another one has billed.
    fn return_retained(&mut self, id: toucan_types::BillId) {
        let Some(retained) = self.retained.remove(&id) else {
            return;
        };
        let account = &mut self.accounts[retained.account];
        let taken = account.take_from_slot(retained.incarnation, retained.tokens);
        account.return_tokens(taken);
        self.touched.push(retained.account);
    }

    pub(crate) fn transfer(
        &mut self,
        index: IncarnationIndex,
        sequence: Sequence,
        to: IncarnationId,
        budget: &BudgetName,
        tokens: u64,
        step: &mut Step<'_>,
    ) {
        let from = self.incarnations[index as usize].incarnation;
        if self
            .transits
            .get(&(from, sequence))
            .is_some_and(|transit| transit.received)
        {
            self.transits.remove(&(from, sequence));
            return;
        }
        let Some(transit) = self.move_tokens((from, index), sequence, to, budget, tokens, step)
        else {
            return;
        };
        let to_index = self.incarnation_index[&to];
        if self.incarnations[to_index as usize].status == IncarnationStatus::Ended {
            // The recipient ended without receiving the transfer, so nobody holds the tokens.
            let account = &mut self.accounts[transit.account];
            let taken = account.take_from_slot(to_index, transit.tokens);
            account.return_tokens(taken);
            return;
        }
        self.transits.insert((from, sequence), transit);
    }

    pub(crate) fn receive(
        &mut self,
        index: IncarnationIndex,
        (from, from_sequence): (IncarnationId, Sequence),
        budget: &BudgetName,
        tokens: u64,
        step: &mut Step<'_>,
    ) {
        let to = self.incarnations[index as usize].incarnation;
        let since = self.incarnations[index as usize].watermark;
        let known = self.transits.get(&(from, from_sequence)).copied();
        let transit = match known {
            Some(transit) if !transit.received && transit.to == to => {
                self.transits.remove(&(from, from_sequence));
                transit
            }
            Some(_) => {
                self.refuse_transfer((from, from_sequence), to, budget, tokens, step);
                return;
            }
            None => {
                let Some(from_index) = self.incarnation_index.get(&from).copied() else {
                    self.refuse_transfer((from, from_sequence), to, budget, tokens, step);
                    return;
                };
                let sender = &self.incarnations[from_index as usize];
                let ended = matches!(
                    sender.status,
                    IncarnationStatus::Released | IncarnationStatus::Ended
                );
                if ended || from_sequence <= sender.watermark {
                    self.refuse_transfer((from, from_sequence), to, budget, tokens, step);
                    return;
                }
                if let Some(account) = self.accounts.find(budget) {
                    // The slot starts at this record, not after it, so that the wallet counts it.
                    self.accounts[account].slot_or_new(index, since);
                }
                let sender = (from, from_index);
                let Some(mut transit) =
                    self.move_tokens(sender, from_sequence, to, budget, tokens, step)
                else {
                    return;
                };
                transit.received = true;
                self.transits.insert((from, from_sequence), transit);
                transit
            }
        };
        let account = &mut self.accounts[transit.account];
        account.slot_or_new(index, since).granted_tokens += transit.tokens;
        step.events.push(LedgerEvent::Transferred {
            from,
            sequence: from_sequence,
            to,
            budget: budget.clone(),
            tokens: Tokens(transit.tokens),
            received: true,
        });
    }

    /// Moves tokens between two slots and reports those that cannot be moved.
    fn move_tokens(
        &mut self,
        (from, from_index): (IncarnationId, IncarnationIndex),
        sequence: Sequence,
        to: IncarnationId,
        budget: &BudgetName,
        tokens: u64,
        step: &mut Step<'_>,
    ) -> Option<Transit> {
        let Some(account_index) = self.accounts.find(budget) else {
            self.refuse_transfer((from, sequence), to, budget, tokens, step);
            return None;
        };
        let to_index = self.incarnation_or_placeholder(to);
        let since = self.incarnations[to_index as usize].watermark.next();
        let account = &mut self.accounts[account_index];
        let moved = account.take_from_slot(from_index, tokens);
        self.touched.push(account_index);
        account.slot_or_new(to_index, since).amount_tokens += moved;
        if moved < tokens {
            self.refuse_transfer((from, sequence), to, budget, tokens - moved, step);
        }
        step.events.push(LedgerEvent::Transferred {
            from,
            sequence,
            to,
            budget: budget.clone(),
            tokens: Tokens(moved),
            received: false,
        });
        Some(Transit {
            to,
            account: account_index,
            tokens: moved,
            received: false,
        })
    }

    fn refuse_transfer(
        &self,
        (from, sequence): (IncarnationId, Sequence),
        to: IncarnationId,
        budget: &BudgetName,
        tokens: u64,
        step: &mut Step<'_>,
    ) {
        step.events.push(LedgerEvent::TransferRefused {
            from,
            sequence,
            to,
            budget: budget.clone(),
            tokens: Tokens(tokens),
        });
    }

    pub(crate) fn claim_intent(
        &mut self,
        index: IncarnationIndex,
        sequence: Sequence,
        key: IntentKey,
        step: &mut Step<'_>,
    ) {
        let state = &self.incarnations[index as usize];
        let incarnation = state.incarnation;
        let owner = self.intents.get(&key).map(|intent| intent.owner);
        if owner.is_some() || state.status != IncarnationStatus::Live {
            step.events.push(LedgerEvent::IntentLost {
                incarnation,
                sequence,
                key,
                owner,
            });
            return;
        }
        let claimed_at_ms = self.log_time_ms;
        let intent = IntentState {
            owner: incarnation,
            sequence,
            claimed_at_ms,
            outcome: None,
        };
        self.intents.insert(key, intent);
        step.events.push(LedgerEvent::IntentFirst {
            incarnation,
            sequence,
            key,
        });
    }

    pub(crate) fn complete_intent(
        &mut self,
        index: IncarnationIndex,
        key: IntentKey,
        digest: u128,
        status: u16,
        step: &mut Step<'_>,
    ) {
        let incarnation = self.incarnations[index as usize].incarnation;
        let Some(intent) = self.intents.get_mut(&key) else {
            return;
        };
        if intent.owner != incarnation || intent.outcome.is_some() {
            return;
        }
        intent.outcome = Some(IntentOutcome { digest, status });
        step.events.push(LedgerEvent::IntentDone {
            key,
            digest,
            status,
        });
    }

    /// Applies a record of an incarnation that was released or has ended.
    ///
    /// Bills of its open reservations are paid from the tokens retained for them, and outcomes of
    /// claimed calls are recorded; nothing else takes effect.
    pub(crate) fn apply_late_record(
        &mut self,
        index: IncarnationIndex,
        record: &LedgerRecord,
        step: &mut Step<'_>,
    ) {
        let Some((incarnation, sequence)) = record.number() else {
            return;
        };
        if let LedgerRecord::IntentDone {
            key,
            digest,
            status,
            ..
        } = record
        {
            // The outcome of a call that ran is recorded even if its incarnation has crashed since.
            self.complete_intent(index, *key, *digest, *status, step);
            return;
        }
        let mut unbilled = 0;
        if let LedgerRecord::Settle { entries, .. } = record {
            for bill in entries.iter().flat_map(|entry| &entry.bills) {
                unbilled = u64::saturating_add(unbilled, self.apply_late_bill(index, bill, step));
            }
        }
        let unbilled_tokens = Tokens(unbilled);
        step.events.push(LedgerEvent::Late {
            incarnation,
            sequence,
            unbilled_tokens,
        });
    }

    fn apply_late_bill(
        &mut self,
        index: IncarnationIndex,
        bill: &Bill,
        step: &mut Step<'_>,
    ) -> u64 {
        let known = self.retained.get(&bill.id).copied();
        let Some(retained) = known.filter(|retained| retained.incarnation == index) else {
            let billed = self.bills.billed_tokens(bill.id).unwrap_or(0);
            return bill.tokens.0.saturating_sub(billed);
        };
        self.retained.remove(&bill.id);
        let account = &mut self.accounts[retained.account];
        let kept = account.take_from_slot(index, retained.tokens);
        let paid = kept.min(bill.tokens.0);
        account.return_tokens(kept - paid);
        self.touched.push(retained.account);
        self.record_bill(retained.account, bill, paid, step);
        bill.tokens.0 - paid
    }
}
