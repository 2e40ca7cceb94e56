//! One service with what is known of its targets.

use toucan_types::ServiceName;

/// A pool of targets that run the calls of routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Most connections that a target accepts from all VMs together; [`None`] if there is no limit.
    pub max_connections: Option<u32>,
    /// What is known of the model engines; [`None`] for a plain service.
    pub engine: Option<EngineSettings>,
}

/// What the configuration tells of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Most tokens in one event of a stream.
    pub tokens_per_event: u32,
}
