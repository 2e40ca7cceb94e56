//! A service and the settings of its targets.

use toucan_types::ServiceName;

use crate::limits::CallRate;

/// A pool of targets that run the calls of routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Maximum number of connections that a target accepts from all VMs together; [`None`] if the
    /// configuration sets no limit.
    pub max_connections: Option<u32>,
    /// Calls per second that a cold target accepts from all VMs together; [`None`] if the configuration sets
    /// no limit.
    pub cold_limit: Option<CallRate>,
    /// Settings of the model engines; [`None`] for a service without engines.
    pub engine: Option<EngineSettings>,
}

/// Settings of a service's model engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSettings {
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Calls that an engine runs at once; [`None`] if the configuration does not say.
    pub slots: Option<u32>,
    /// Tokens that the KV cache of an engine holds; [`None`] if the configuration does not say.
    pub kv_capacity_tokens: Option<u64>,
}
