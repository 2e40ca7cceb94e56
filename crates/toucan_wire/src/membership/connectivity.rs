//! Connectivity of a node.

use toucan_types::DataCentreName;

/// What a node can reach of its data centre, other data centres and the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Connectivity {
    /// The data centre has other VMs, but none was seen recently.
    pub is_isolated: bool,
    /// Other data centres that were seen recently.
    pub reachable: Vec<DataCentreName>,
    /// Other data centres that were not seen recently.
    pub lost: Vec<DataCentreName>,
    /// The platform's list has not been read recently.
    pub is_platform_lost: bool,
}

impl Connectivity {
    /// Returns whether the data centre can reach neither the platform nor any other data centre.
    #[must_use]
    pub fn is_data_centre_cut_off(&self) -> bool {
        self.is_platform_lost && self.reachable.is_empty()
    }
}
