//! Fixed-point fractions, which round the same way on every machine.

/// Fraction in thousandths.
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
pub struct Permille(pub u32);

impl Permille {
    /// Returns this fraction of `whole`, rounded down; saturates at [`u64::MAX`].
    #[must_use]
    pub fn of(self, whole: u64) -> u64 {
        let product = u128::from(whole) * u128::from(self.0) / 1000;
        u64::try_from(product).unwrap_or(u64::MAX)
    }
}
