//! Count of model tokens, the unit of budgets.

use displaydoc::Display;

/// Count of model tokens.
///
/// Arithmetic never wraps: the checked operations return an error on overflow and underflow, the
/// saturating ones clamp.
///
/// ```
/// use toucan_types::Tokens;
///
/// let reserve = Tokens(300).checked_add(Tokens(200))?;
/// assert_eq!(reserve, Tokens(500));
/// assert!(Tokens(1).checked_sub(Tokens(2)).is_err());
/// # Ok::<(), toucan_types::TokenOverflow>(())
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

/// the token count {left} {operation} {right} does not fit
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct TokenOverflow {
    /// Left operand in tokens.
    pub left: u64,
    /// `+` or `-`.
    pub operation: char,
    /// Right operand in tokens.
    pub right: u64,
}

impl std::error::Error for TokenOverflow {}

impl Tokens {
    /// Zero tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the sum.
    ///
    /// # Errors
    ///
    /// If the sum does not fit 64 bits.
    pub fn checked_add(self, other: Self) -> Result<Self, TokenOverflow> {
        let Some(sum) = self.0.checked_add(other.0) else {
            return Err(TokenOverflow {
                left: self.0,
                operation: '+',
                right: other.0,
            });
        };
        Ok(Self(sum))
    }

    /// Returns the difference.
    ///
    /// # Errors
    ///
    /// If `other` is larger than `self`.
    pub fn checked_sub(self, other: Self) -> Result<Self, TokenOverflow> {
        let Some(difference) = self.0.checked_sub(other.0) else {
            return Err(TokenOverflow {
                left: self.0,
                operation: '-',
                right: other.0,
            });
        };
        Ok(Self(difference))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, or [`u64::MAX`] if it does not fit 64 bits.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns whether the count is zero.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl std::fmt::Display for Tokens {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}
