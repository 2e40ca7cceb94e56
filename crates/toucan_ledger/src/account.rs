//! State of one budget in the ledger.

use toucan_types::{DocumentVersion, Sequence};

/// Index of an incarnation in the ledger's table.
pub(crate) type IncarnationIndex = u32;

/// Tokens of one budget that one incarnation holds.
///
/// They count as outstanding while the incarnation is live and as held once it is fenced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    /// Tokens granted and neither settled nor returned, including incoming transfers.
    pub(crate) amount_tokens: u64,
    /// Tokens granted since `since`; the wallet compares this total with what it has credited.
    pub(crate) granted_tokens: u64,
    /// First sequence number of the incarnation that this slot may include.
    ///
    /// It tells the slot from an earlier one of the same incarnation that was dropped when empty.
    pub(crate) since: Sequence,
    pub(crate) incarnation: IncarnationIndex,
}

/// State of one budget.
///
/// After each record, `purchased = remaining + slots + disputed + spent`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub(crate) purchased_tokens: u64,
    /// Purchased total in force; below `purchased_tokens` while part of a reduction is owed.
    pub(crate) target_tokens: u64,
    pub(crate) remaining_tokens: u64,
    pub(crate) spent_tokens: u64,
    pub(crate) disputed_tokens: u64,
    pub(crate) version: DocumentVersion,
    pub(crate) organisation: u32,
    pub(crate) slots: Vec<Slot>,
}

impl Account {
    pub(crate) fn slot(&self, incarnation: IncarnationIndex) -> Option<&Slot> {
        self.slots
            .iter()
            .find(|slot| slot.incarnation == incarnation)
    }

    /// Returns the slot of an incarnation, creating it if there is none.
    pub(crate) fn slot_or_new(
        &mut self,
        incarnation: IncarnationIndex,
        since: Sequence,
    ) -> &mut Slot {
        let found = self
            .slots
            .iter()
            .position(|slot| slot.incarnation == incarnation);
        let index = found.unwrap_or_else(|| {
            let slot = Slot {
                amount_tokens: 0,
                granted_tokens: 0,
                since,
                incarnation,
            };
            if self.slots.len() == self.slots.capacity() {
                // Most budgets have one or two holders: growth by doubling would waste memory.
                self.slots.reserve_exact(1);
            }
            self.slots.push(slot);
            self.slots.len() - 1
        });
        &mut self.slots[index]
    }

    /// Takes up to `tokens` from a slot and returns the amount taken.
    pub(crate) fn take_from_slot(&mut self, incarnation: IncarnationIndex, tokens: u64) -> u64 {
        let found = self
            .slots
            .iter_mut()
            .find(|slot| slot.incarnation == incarnation);
        let Some(slot) = found else { return 0 };
        let taken = slot.amount_tokens.min(tokens);
        slot.amount_tokens -= taken;
        taken
    }

    /// Takes up to `tokens` from the remaining tokens and returns the amount taken.
    pub(crate) fn take_from_remaining(&mut self, tokens: u64) -> u64 {
        let taken = self.remaining_tokens.min(tokens);
        self.remaining_tokens -= taken;
        taken
    }

    /// Adds tokens to the remaining ones and takes what is owed of a reduction from them.
    pub(crate) fn return_tokens(&mut self, tokens: u64) {
        self.remaining_tokens += tokens;
        self.apply_cut();
    }

    /// Sets the purchased total.
    ///
    /// A reduction takes only remaining tokens; the rest is owed until tokens are returned.
    pub(crate) fn fund(&mut self, total_tokens: u64) {
        self.target_tokens = total_tokens;
        if total_tokens > self.purchased_tokens {
            self.remaining_tokens += total_tokens - self.purchased_tokens;
            self.purchased_tokens = total_tokens;
        }
        self.apply_cut();
    }

    fn apply_cut(&mut self) {
        let owed = self.cut_owed_tokens();
        let cut = self.take_from_remaining(owed);
        self.purchased_tokens -= cut;
    }

    pub(crate) fn cut_owed_tokens(&self) -> u64 {
        self.purchased_tokens.saturating_sub(self.target_tokens)
    }

    pub(crate) fn drop_empty_slots(&mut self) {
        self.slots.retain(|slot| slot.amount_tokens > 0);
        if self.slots.is_empty() {
            self.slots = Vec::new();
        }
    }

    /// Returns whether the parts add up to the purchased total without overflow.
    pub(crate) fn is_balanced(&self) -> bool {
        let parts = [
            self.remaining_tokens,
            self.disputed_tokens,
            self.spent_tokens,
        ];
        let slots = self.slots.iter().map(|slot| slot.amount_tokens);
        let sum = parts
            .into_iter()
            .chain(slots)
            .try_fold(0_u64, u64::checked_add);
        sum == Some(self.purchased_tokens)
    }
}
