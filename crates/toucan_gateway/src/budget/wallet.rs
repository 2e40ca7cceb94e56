//! The tokens of one organisation that this process may spend.

use toucan_types::Tokens;

use super::RateMeter;

/// The tokens that one process holds from one organisation's budget.
///
/// `drawn - returned + borrowed - lent - spent - reserved` tokens are available, which is never
/// negative. Spending needs no message, so a process that cannot reach the store still cannot
/// overspend.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    drawn: Tokens,
    returned: Tokens,
    borrowed: Tokens,
    lent: Tokens,
    spent: Tokens,
    /// Tokens counted in `spent` for calls that a target may not have run.
    unconfirmed: Tokens,
    reserved: Tokens,
    rate: RateMeter,
    /// Whether a lower prepaid total is in force and the grants have not been checked against it.
    frozen: bool,
}

/// Why [`Wallet::reserve`] failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// This many tokens are missing.
    Insufficient(Tokens),
    /// A lower prepaid total is in force and the grants have not been checked against it.
    Frozen,
}

impl Wallet {
    /// Returns the tokens that can be reserved, lent or returned.
    #[must_use]
    pub fn available(&self) -> Tokens {
        self.drawn
            .saturating_sub(self.returned)
            .saturating_add(self.borrowed)
            .saturating_sub(self.lent)
            .saturating_sub(self.spent)
            .saturating_sub(self.reserved)
    }

    /// Returns the available tokens that this process drew itself. Borrowed tokens are not drawn,
    /// so they cannot be returned to the store.
    #[must_use]
    pub fn returnable(&self) -> Tokens {
        let granted = self.drawn.saturating_sub(self.returned);
        self.available().min(granted)
    }

    /// Returns the total tokens that this process has returned, recorded in the store or not.
    #[must_use]
    pub const fn returned(&self) -> Tokens {
        self.returned
    }

    /// Returns the total tokens spent, without those of calls that may not have run.
    #[must_use]
    pub const fn confirmed_spent(&self) -> Tokens {
        self.spent.saturating_sub(self.unconfirmed)
    }

    /// Returns the total tokens that the store's record reports as spent.
    ///
    /// Tokens lent to another process count here, because a borrower that holds no tokens itself
    /// writes no record. A borrower subtracts them, so that they count once.
    #[must_use]
    pub const fn reported_spent(&self) -> Tokens {
        self.confirmed_spent()
            .saturating_add(self.lent)
            .saturating_sub(self.borrowed)
    }

    /// Returns the total tokens that count as spent by this process.
    #[must_use]
    pub const fn spent(&self) -> Tokens {
        self.spent
    }

    /// Returns the tokens per second that recent calls asked for.
    #[must_use]
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        self.rate.per_s(now_ms)
    }

    /// Returns whether no call holds a reservation and none has asked for tokens since
    /// `since_ms`.
    #[must_use]
    pub fn is_idle_since(&self, since_ms: u64) -> bool {
        self.reserved.is_zero() && self.rate.updated_at_ms() <= since_ms
    }

    /// Returns whether reserving and lending are blocked until the grants are checked.
    #[must_use]
    pub const fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Blocks or allows reserving and lending.
    ///
    /// A wallet is frozen while the grants are checked against a lower prepaid total.
    pub fn set_frozen(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Records the tokens that a call asks for, whether or not it gets them.
    pub fn record_demand(&mut self, tokens: Tokens, now_ms: u64) {
        self.rate.add(tokens, now_ms);
    }

    /// Reserves the maximum cost of a call.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] if the tokens are not available or the wallet is frozen; nothing is
    /// reserved then.
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

    /// Ends a reservation of `reserved` tokens of which `spent` were used.
    ///
    /// At most `reserved` tokens are counted. They count as spent even if `is_confirmed` is false,
    /// which means that a target may not have run the call.
    pub fn settle(&mut self, reserved: Tokens, spent: Tokens, is_confirmed: bool) {
        let spent = spent.min(reserved);
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(spent);
        if !is_confirmed {
            self.unconfirmed = self.unconfirmed.saturating_add(spent);
        }
    }

    /// Sets the total tokens drawn, as confirmed by the store.
    pub fn set_drawn(&mut self, drawn: Tokens) {
        self.drawn = drawn;
    }

    /// Returns the total tokens drawn, as confirmed by the store.
    #[must_use]
    pub const fn drawn(&self) -> Tokens {
        self.drawn
    }

    /// Returns tokens that were confirmed as drawn just now.
    pub fn return_new(&mut self, tokens: Tokens) {
        self.returned = self.returned.saturating_add(tokens);
    }

    /// Removes up to `tokens` available tokens that are to be returned to the store, and returns
    /// their number.
    ///
    /// They leave the wallet before the return is appended, so that they cannot count twice if the
    /// outcome of the append is unknown.
    pub fn return_tokens(&mut self, tokens: Tokens) -> Tokens {
        let taken = tokens.min(self.returnable());
        self.returned = self.returned.saturating_add(taken);
        taken
    }

    /// Lends up to `tokens` to another process and returns the amount.
    ///
    /// A loan that does not reach the other process is lost.
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
