//! The data centres whose targets a call may get.

use toucan_types::DataCentreName;

use crate::config::{AllowedRegions, Evacuations, RegionTable};

/// Decides by its data centre whether a target may get a call. The default excludes no target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetScope<'a> {
    /// Evacuated data centres; [`None`] if there are none.
    pub evacuations: Option<&'a Evacuations>,
    /// Regions of the data centres; [`None`] if no region is known.
    pub regions: Option<&'a RegionTable>,
    /// Data centres that are known to lie in other regions than this VM.
    pub in_other_regions: &'a [DataCentreName],
    /// Regions that the call's route allows; [`None`] if it allows all.
    pub route_regions: Option<&'a AllowedRegions>,
    /// Regions that the call's organisation allows; [`None`] if it allows all.
    pub organisation_regions: Option<&'a AllowedRegions>,
}

/// Why targets in service may not get a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// They are outside the regions that the route and the organisation allow.
    OutsideRegions,
    /// Their data centres are evacuated.
    Evacuated,
}

impl TargetScope<'_> {
    /// Returns why targets of a data centre may not get the call; [`None`] if they may.
    #[must_use]
    pub fn exclusion(&self, data_centre: &DataCentreName) -> Option<Exclusion> {
        let lists = [self.route_regions, self.organisation_regions];
        let is_outside = lists
            .into_iter()
            .flatten()
            .filter(|allowed| !allowed.is_empty())
            .any(|allowed| {
                let region = self
                    .regions
                    .and_then(|regions| regions.region_of(data_centre));
                !allowed.admits(region)
            });
        if is_outside {
            return Some(Exclusion::OutsideRegions);
        }
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

    /// Returns whether a data centre is known to lie in another region than this VM.
    #[must_use]
    pub fn is_in_other_region(&self, data_centre: &DataCentreName) -> bool {
        self.in_other_regions.contains(data_centre)
    }
}
