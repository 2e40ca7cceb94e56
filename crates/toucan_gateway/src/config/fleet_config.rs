//! The configuration of the fleet.

use std::rc::Rc;

use toucan_types::{DocumentVersion, FastHashMap, ServiceName};

use super::{CallerLimits, OrganisationTable, RouteTable, Service};

/// One complete and valid version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Version number, which increases with each configuration.
    pub version: DocumentVersion,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: FastHashMap<ServiceName, Rc<Service>>,
    /// Organisations and the digests of their keys.
    pub organisations: OrganisationTable,
    /// Limits of callers' connections.
    pub caller_limits: CallerLimits,
}
