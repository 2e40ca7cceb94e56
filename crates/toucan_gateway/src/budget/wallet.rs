//! Tokens of one organisation that this process may spend.

use toucan_types::Tokens;

use super::RateMeter;

/// What one process holds of one organisation's budget.
///
/// `drawn - returned + borrowed - lent - spent - reserved` is available and never negative. Spending
/// needs no message, so a cut-off store changes nothing about safety.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    drawn: Tokens,
    returned: Tokens,
    borrowed: Tokens,
    lent: Tokens,
    spent: Tokens,
    /// Part of `spent` for calls that a target may not have run.
    uncertain: Tokens,
    reserved: Tokens,
    rate: RateMeter,
    /// A lower total is in force, and what others hold of it is not known yet.
    frozen: bool,
}

/// Why a wallet gives no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// So many tokens are lacking.
    Insufficient(Tokens),
    /// A lower total has come into force and is being checked.
    Frozen,
}

impl Wallet {
    /// Tokens that can be reserved, lent or returned.
    #[must_use]
    pub fn available(&self) -> Tokens {
        self.drawn
            .saturating_sub(self.returned)
            .saturating_add(self.borrowed)
            .saturating_sub(self.lent)
            .saturating_sub(self.spent)
            .saturating_sub(self.reserved)
    }

    /// Tokens that this process has returned in all, whether or not the store knows it.
    #[must_use]
    pub const fn returned(&self) -> Tokens {
        self.returned
    }

    /// Tokens that this process has spent for certain, without those of calls that may not have run.
    #[must_use]
    pub const fn certainly_spent(&self) -> Tokens {
        self.spent.saturating_sub(self.uncertain)
    }

    /// Tokens spent by this process in all, or so counted.
    #[must_use]
    pub const fn spent(&self) -> Tokens {
        self.spent
    }

    /// Tokens a second that calls have asked for of late.
    #[must_use]
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        self.rate.per_s(now_ms)
    }

    /// Whether nothing may be reserved until the total is checked.
    #[must_use]
    pub const fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Stops or allows reservations while a lower total is checked.
    pub fn set_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Notes that a call asks for tokens, whether or not it gets them.
    pub fn record_demand(&mut self, tokens: Tokens, now_ms: u64) {
        self.rate.add(tokens, now_ms);
    }

    /// Reserves the most that a call may cost.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] if the tokens are not there; nothing is reserved then.
    pub fn reserve(&mut self, tokens: Tokens) -> Result<(), ReserveError> {
        if self.frozen {
            return Err(ReserveError::Frozen);
        }
        let available = self.available();
        if available < tokens {
            return Err(ReserveError::Insufficient(tokens.saturating_sub(available)));
        }
        self.reserved = self.reserved.saturating_add(tokens);
        Ok(())
    }

    /// Ends a reservation of which `spent` tokens were used; at most `reserved` are counted.
    ///
    /// Without certainty that a target ran the call, they count as spent all the same.
    pub fn settle(&mut self, reserved: Tokens, spent: Tokens, is_certain: bool) {
        let spent = spent.min(reserved);
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(spent);
        if !is_certain {
            self.uncertain = self.uncertain.saturating_add(spent);
        }
    }

    /// Sets the tokens drawn in all to what the store has confirmed.
    pub fn set_drawn(&mut self, drawn: Tokens) {
        self.drawn = drawn;
    }

    /// Takes up to `tokens` of what is available, to return them to the store.
    ///
    /// They are gone from here before the store hears of it, so an append whose fate is unknown
    /// cannot make them count twice.
    pub fn take_back(&mut self, tokens: Tokens) -> Tokens {
        let granted = self.drawn.saturating_sub(self.returned);
        let taken = tokens.min(self.available()).min(granted);
        self.returned = self.returned.saturating_add(taken);
        taken
    }

    /// Lends up to `tokens` to another process; the loan must reach it or stay lost.
    pub fn lend(&mut self, tokens: Tokens) -> Tokens {
        if self.frozen {
            return Tokens::ZERO;
        }
        let loan = tokens.min(self.available());
        self.lent = self.lent.saturating_add(loan);
        loan
    }

    /// Adds a loan from another process.
    pub fn borrow_from_peer(&mut self, tokens: Tokens) {
        self.borrowed = self.borrowed.saturating_add(tokens);
    }
}
