//! Settings of one run.

use serde::{Deserialize, Serialize};

/// Settings of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSettings {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the profile.
    pub profile: String,
    /// Seed of load and faults.
    pub seed: u64,
    /// Time during which requests are started, in seconds.
    pub seconds: u64,
    /// Policy by which nodes draw grants.
    pub policy: String,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            scenario: "steady".to_owned(),
            profile: "co-operative".to_owned(),
            seed: 1,
            seconds: 20,
            policy: "adaptive".to_owned(),
        }
    }
}

impl RunSettings {
    /// Returns the command that repeats the run.
    #[must_use]
    pub fn command(&self) -> String {
        format!(
            "toucan_bench run {} --profile {} --seed {} --seconds {} --policy {}",
            self.scenario, self.profile, self.seed, self.seconds, self.policy
        )
    }
}
