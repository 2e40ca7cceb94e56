//! The configuration in force.

use std::rc::Rc;

use toucan_types::{DocumentVersion, FastHashMap, ServiceName};

use super::{CallerLimits, OrganisationTable, RouteTable, Service};

/// One version of the configuration, whole and checked.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Version; a later configuration has a greater one.
    pub version: DocumentVersion,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: FastHashMap<ServiceName, Rc<Service>>,
    /// Organisations and their keys.
    pub organisations: OrganisationTable,
    /// What callers may send.
    pub caller_limits: CallerLimits,
}
