//! The data centres whose targets a call may get.

use toucan_types::DataCentreName;

use crate::config::Evacuations;

/// Decides by its data centre whether a target may get a call. The default excludes no target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetScope<'a> {
    /// Evacuated data centres; [`None`] if there are none.
    pub evacuations: Option<&'a Evacuations>,
}

/// Why targets in service may not get a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// Their data centres are evacuated.
    Evacuated,
}

impl TargetScope<'_> {
    /// Returns why targets of a data centre may not get the call; [`None`] if they may.
    #[must_use]
    pub fn exclusion(&self, data_centre: &DataCentreName) -> Option<Exclusion> {
        let is_evacuated = self
            .evacuations
            .is_some_and(|evacuations| evacuations.contains(data_centre));
        is_evacuated.then_some(Exclusion::Evacuated)
    }

    /// Returns whether targets of a data centre may get the call.
    #[must_use]
    pub fn admits(&self, data_centre: &DataCentreName) -> bool {
        self.exclusion(data_centre).is_none()
    }
}
