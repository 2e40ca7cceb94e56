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

    /// Returns the data centres that are known to lie in other regions than `data_centre`, ordered by name.
    #[must_use]
    pub fn in_other_regions(&self, data_centre: &DataCentreName) -> Vec<DataCentreName> {
        let Some(own_region) = self.region_of(data_centre) else {
            return Vec::new();
        };
        let entries = self.by_data_centre.iter();
        let others = entries.filter(|(_name, region)| *region != own_region);
        let mut names: Vec<_> = others.map(|(name, _region)| name.clone()).collect();
        names.sort_unstable();
        names
    }
}

impl FromIterator<(DataCentreName, RegionName)> for RegionTable {
    fn from_iter<T: IntoIterator<Item = (DataCentreName, RegionName)>>(entries: T) -> Self {
        Self {
            by_data_centre: entries.into_iter().collect(),
        }
    }
}
