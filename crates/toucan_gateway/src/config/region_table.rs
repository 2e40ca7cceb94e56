//! The regions in which data centres lie.

use toucan_types::{DataCentreName, FastHashMap, RegionName};

/// Regions by data centre, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionTable {
    by_data_centre: FastHashMap<DataCentreName, RegionName>,
}

impl RegionTable {
    /// Returns the region of a data centre; [`None`] if it is not known.
    #[must_use]
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        self.by_data_centre.get(data_centre)
    }

    /// Returns whether two data centres are known to lie in different regions.
    #[must_use]
    pub fn are_in_different_regions(&self, a: &DataCentreName, b: &DataCentreName) -> bool {
        if a == b {
            return false;
        }
        match (self.region_of(a), self.region_of(b)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        }
    }
}

impl FromIterator<(DataCentreName, RegionName)> for RegionTable {
    fn from_iter<T: IntoIterator<Item = (DataCentreName, RegionName)>>(entries: T) -> Self {
        Self {
            by_data_centre: entries.into_iter().collect(),
        }
    }
}
