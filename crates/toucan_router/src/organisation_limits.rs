//! Request limits of an organisation.

/// Request limits of an organisation. [`None`] means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationLimits {
    /// Requests per minute.
    pub requests_per_minute: Option<u64>,
    /// Burst size in requests. 0 stands for the requests of one second, at least 1.
    pub burst_requests: u64,
    /// Requests in flight at the same time.
    pub concurrent_requests: Option<u32>,
}

impl OrganisationLimits {
    /// Returns the share of one node in limits that apply to `nodes` nodes together.
    ///
    /// Rounds up, so that each node admits at least one request even if the limit is smaller than the
    /// number of nodes. The sum of the shares may exceed the limit by less than one request per node.
    #[must_use]
    pub fn per_node(self, nodes: u32) -> Self {
        let nodes = nodes.max(1);
        Self {
            requests_per_minute: self
                .requests_per_minute
                .map(|rate| rate.div_ceil(u64::from(nodes))),
            burst_requests: self.burst_requests.div_ceil(u64::from(nodes)),
            concurrent_requests: self.concurrent_requests.map(|most| most.div_ceil(nodes)),
        }
    }
}
