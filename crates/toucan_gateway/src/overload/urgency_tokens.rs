//! Tokens by the urgency of their calls.

/// Number of urgencies; 0 is the most urgent.
const URGENCIES: usize = 10;

/// Prompt tokens that an engine still has to process, by the urgency of their calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UrgencyTokens([u64; URGENCIES]);

/// The same for messages between gateways, without the urgencies that have no tokens. Most targets have
/// tokens of few urgencies, if any.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ToldUrgencyTokens(Vec<(u8, u64)>);

impl From<UrgencyTokens> for ToldUrgencyTokens {
    fn from(tokens: UrgencyTokens) -> Self {
        let by_urgency = (0..).zip(tokens.0);
        Self(by_urgency.filter(|(_urgency, sum)| *sum > 0).collect())
    }
}

impl From<&ToldUrgencyTokens> for UrgencyTokens {
    fn from(told: &ToldUrgencyTokens) -> Self {
        let mut tokens = Self::default();
        for (urgency, sum) in &told.0 {
            tokens.add(*urgency, *sum);
        }
        tokens
    }
}

impl UrgencyTokens {
    /// Adds the tokens of a call.
    pub fn add(&mut self, urgency: u8, tokens: u64) {
        let sum = self.of_urgency(urgency);
        *sum = sum.saturating_add(tokens);
    }

    /// Removes the tokens of a call.
    pub fn remove(&mut self, urgency: u8, tokens: u64) {
        let sum = self.of_urgency(urgency);
        *sum = sum.saturating_sub(tokens);
    }

    /// Returns the tokens of calls that are less urgent.
    #[must_use]
    pub fn less_urgent_than(&self, urgency: u8) -> u64 {
        let first = usize::from(urgency).saturating_add(1);
        let tokens = self.0.iter().skip(first);
        tokens.fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    fn of_urgency(&mut self, urgency: u8) -> &mut u64 {
        &mut self.0[usize::from(urgency).min(URGENCIES - 1)]
    }
}
