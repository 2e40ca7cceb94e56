//! Read access to the ledger state.

use toucan_types::{BillId, BudgetName, FastHashMap, IncarnationId, Offset, Sequence, Tokens};

use crate::account::Account;
use crate::{
    AccountView, BudgetHint, GrantTotal, Holding, IncarnationState, IncarnationStatus, IntentKey,
    IntentState, Ledger, LedgerEvent, Statement, TransferDetails, WalletUpdate,
};

impl Ledger {
    /// Returns the totals of one budget, or [`None`] if it was never funded.
    #[must_use]
    pub fn account(&self, budget: &BudgetName) -> Option<AccountView> {
        let index = self.accounts.find(budget)?;
        Some(self.view(index))
    }

    /// Returns the totals of every budget, in the order in which the budgets were first funded.
    pub fn accounts(&self) -> impl Iterator<Item = AccountView> + '_ {
        (0..self.accounts.len()).map(|index| self.view(index))
    }

    /// Returns one budget with its holders, or [`None`] if it was never funded.
    #[must_use]
    pub fn statement(&self, budget: &BudgetName) -> Option<Statement> {
        let index = self.accounts.find(budget)?;
        let slots = &self.accounts[index].slots;
        let holdings = slots.iter().map(|slot| {
            let state = &self.incarnations[slot.incarnation as usize];
            Holding {
                incarnation: state.incarnation,
                status: state.status,
                tokens: Tokens(slot.amount_tokens),
            }
        });
        Some(Statement {
            account: self.view(index),
            holdings: holdings.collect(),
        })
    }

    /// Returns the state of an incarnation.
    #[must_use]
    pub fn incarnation(&self, incarnation: IncarnationId) -> Option<&IncarnationState> {
        let index = *self.incarnation_index.get(&incarnation)?;
        Some(&self.incarnations[index as usize])
    }

    /// Returns every remembered incarnation, in no particular order.
    pub fn incarnations(&self) -> impl Iterator<Item = &IncarnationState> + '_ {
        self.incarnation_index
            .values()
            .map(|index| &self.incarnations[*index as usize])
    }

    /// Returns the last applied sequence number of an incarnation, 0 if it was not announced.
    #[must_use]
    pub fn watermark(&self, incarnation: IncarnationId) -> Sequence {
        self.incarnation(incarnation)
            .map_or(Sequence(0), |state| state.watermark)
    }

    /// Returns the claim of a call, if it is remembered.
    #[must_use]
    pub fn intent(&self, key: IntentKey) -> Option<&IntentState> {
        self.intents.get(&key)
    }

    /// Returns whether a bill of this id was applied within the window.
    #[must_use]
    pub fn is_billed(&self, bill: BillId) -> bool {
        self.bills.billed_tokens(bill).is_some()
    }

    /// Returns the number of remembered bill ids.
    #[must_use]
    pub fn remembered_bills(&self) -> usize {
        self.bills.len()
    }

    /// Returns the tokens that an incarnation holds over all budgets.
    #[must_use]
    pub fn holdings_of(&self, incarnation: IncarnationId) -> Tokens {
        let Some(index) = self.incarnation_index.get(&incarnation) else {
            return Tokens::ZERO;
        };
        let slots = self
            .accounts
            .iter()
            .filter_map(|(_, account)| account.slot(*index));
        Tokens(slots.map(|slot| slot.amount_tokens).sum())
    }

    /// Returns the tokens retained for open reservations of a released incarnation.
    #[must_use]
    pub fn retained_of(&self, incarnation: IncarnationId) -> Tokens {
        let Some(index) = self.incarnation_index.get(&incarnation) else {
            return Tokens::ZERO;
        };
        let kept = self
            .retained
            .values()
            .filter(|kept| kept.incarnation == *index);
        Tokens(kept.map(|kept| kept.tokens).sum())
    }

    /// Returns the wallet updates that the events of one batch require, one per incarnation.
    ///
    /// Every holder of a changed budget gets its hint, so that idle grants are returned when a
    /// budget runs low. `is_relevant` restricts the updates to incarnations that the caller serves.
    #[must_use]
    pub fn updates(
        &self,
        events: &[LedgerEvent],
        is_relevant: impl Fn(IncarnationId) -> bool,
    ) -> Vec<WalletUpdate> {
        let mut budgets_of = FastHashMap::<IncarnationId, Vec<BudgetName>>::default();
        for event in events {
            if let Some(actor) = event.incarnation()
                && is_relevant(actor)
            {
                budgets_of
                    .entry(actor)
                    .or_default()
                    .extend(event.budget().cloned());
            }
            let Some(index) = event.budget().and_then(|budget| self.accounts.find(budget)) else {
                continue;
            };
            for slot in &self.accounts[index].slots {
                let holder = self.incarnations[slot.incarnation as usize].incarnation;
                if is_relevant(holder) {
                    budgets_of
                        .entry(holder)
                        .or_default()
                        .extend(event.budget().cloned());
                }
            }
        }
        let updates = budgets_of
            .into_iter()
            .filter_map(|(incarnation, mut budgets)| {
                budgets.sort_unstable();
                budgets.dedup();
                self.update(incarnation, &budgets)
            });
        updates.collect()
    }

    /// Returns the complete wallet update of an incarnation; scans every budget.
    #[must_use]
    pub fn full_update(&self, incarnation: IncarnationId) -> Option<WalletUpdate> {
        let index = *self.incarnation_index.get(&incarnation)?;
        let held = self.accounts.iter();
        let held = held.filter(|(_, account)| account.slot(index).is_some());
        let budgets: Vec<BudgetName> = held.map(|(name, _)| name.clone()).collect();
        self.update(incarnation, &budgets)
    }

    /// Returns the wallet update of an incarnation, restricted to some budgets.
    #[must_use]
    pub fn update(
        &self,
        incarnation: IncarnationId,
        budgets: &[BudgetName],
    ) -> Option<WalletUpdate> {
        let index = *self.incarnation_index.get(&incarnation)?;
        let state = &self.incarnations[index as usize];
        let mut update = WalletUpdate {
            incarnation,
            up_to: Offset(self.next_offset.0.saturating_sub(1)),
            watermark: state.watermark,
            fenced: state.status != IncarnationStatus::Live,
            fenced_peers: self.fenced_peers(state),
            predecessors: self.predecessors(state),
            grants: Vec::new(),
            in_transit: self.transfer_notes_for(incarnation),
            hints: Vec::new(),
        };
        for budget in budgets {
            let Some(account_index) = self.accounts.find(budget) else {
                continue;
            };
            let account = &self.accounts[account_index];
            update.hints.push(self.hint(account_index));
            let Some(slot) = account.slot(index) else {
                continue;
            };
            update.grants.push(GrantTotal {
                budget: budget.clone(),
                since: slot.since,
                granted_tokens: Tokens(slot.granted_tokens),
            });
        }
        Some(update)
    }

    fn fenced_peers(&self, of: &IncarnationState) -> Vec<IncarnationId> {
        let fenced = self.incarnations().filter(|peer| {
            let closed = matches!(
                peer.status,
                IncarnationStatus::Fenced | IncarnationStatus::Released
            );
            closed && peer.data_centre == of.data_centre && peer.incarnation != of.incarnation
        });
        fenced.map(|peer| peer.incarnation).collect()
    }

    fn predecessors(&self, of: &IncarnationState) -> Vec<IncarnationId> {
        let others = self.incarnations().filter(|other| {
            let ended = other.status == IncarnationStatus::Ended;
            of.succeeds(other) && !ended && other.succeeded_by.is_none()
        });
        others.map(|other| other.incarnation).collect()
    }

    fn transfer_notes_for(&self, incarnation: IncarnationId) -> Vec<TransferDetails> {
        let waiting = self.transits.iter();
        let waiting = waiting.filter(|(_, transit)| transit.to == incarnation && !transit.received);
        let notes = waiting.map(|((from, sequence), transit)| TransferDetails {
            from: *from,
            sequence: *sequence,
            to: incarnation,
            budget: self.accounts.name(transit.account).clone(),
            tokens: Tokens(transit.tokens),
        });
        notes.collect()
    }

    fn hint(&self, index: u32) -> BudgetHint {
        let account = &self.accounts[index];
        BudgetHint {
            budget: self.accounts.name(index).clone(),
            purchased_tokens: Tokens(account.purchased_tokens),
            remaining_tokens: Tokens(account.remaining_tokens),
            spent_tokens: Tokens(account.spent_tokens),
            holder_count: self.holder_count(account),
        }
    }

    fn holder_count(&self, account: &Account) -> u32 {
        let live = |incarnation: u32| {
            self.incarnations[incarnation as usize].status == IncarnationStatus::Live
        };
        let count = account
            .slots
            .iter()
            .filter(|slot| live(slot.incarnation))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn view(&self, index: u32) -> AccountView {
        let account = &self.accounts[index];
        let (mut outstanding, mut held) = (0, account.disputed_tokens);
        for slot in &account.slots {
            let status = self.incarnations[slot.incarnation as usize].status;
            let term = if status == IncarnationStatus::Live {
                &mut outstanding
            } else {
                &mut held
            };
            *term += slot.amount_tokens;
        }
        AccountView {
            budget: self.accounts.name(index).clone(),
            organisation: self.organisations[account.organisation as usize].clone(),
            version: account.version,
            purchased_tokens: Tokens(account.purchased_tokens),
            cut_owed_tokens: Tokens(account.cut_owed_tokens()),
            remaining_tokens: Tokens(account.remaining_tokens),
            outstanding_tokens: Tokens(outstanding),
            held_tokens: Tokens(held),
            disputed_tokens: Tokens(account.disputed_tokens),
            spent_tokens: Tokens(account.spent_tokens),
            holder_count: self.holder_count(account),
        }
    }
}
