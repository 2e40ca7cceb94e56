//! The regions that calls may reach.

use toucan_types::RegionName;

/// Regions whose targets calls may reach. An empty list allows all targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions(Vec<RegionName>);

impl AllowedRegions {
    /// Returns whether calls may reach targets in a region. `region` is [`None`] if it is not known, which is
    /// in no list.
    #[must_use]
    pub fn admits(&self, region: Option<&RegionName>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }

    /// Returns the listed regions.
    pub fn iter(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter()
    }

    /// Returns whether all targets are allowed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<Vec<RegionName>> for AllowedRegions {
    fn from(regions: Vec<RegionName>) -> Self {
        Self(regions)
    }
}
