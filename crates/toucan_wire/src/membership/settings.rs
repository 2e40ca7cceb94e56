//! Intervals and limits of the membership.

/// Intervals and limits of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Interval between heartbeats within the data centre, in milliseconds; each goes to one
    /// partner.
    pub heartbeat_interval_ms: u64,
    /// Number of rings that order the data centre's members; the next member on each ring is a
    /// heartbeat partner.
    pub rings: u32,
    /// Time after which a member of the data centre that was not seen is suspect, in milliseconds.
    pub suspect_after_ms: u64,
    /// Interval between attempts to reach a suspect, one suspect per attempt, in milliseconds.
    pub suspect_retry_interval_ms: u64,
    /// Time for which a member that could not be reached has no role, even if other nodes report
    /// it as live, in milliseconds.
    pub unreachable_cooldown_ms: u64,
    /// Time after which a suspect or gone member that the platform does not list is removed, in
    /// milliseconds.
    pub forget_after_ms: u64,
    /// Number of VMs of each data centre that exchange heartbeats with another data centre.
    pub delegates: usize,
    /// Interval between heartbeats to another data centre, in milliseconds.
    pub cross_data_centre_interval_ms: u64,
    /// Time after which a data centre that was not seen counts as lost, in milliseconds.
    pub data_centre_lost_after_ms: u64,
    /// Time without reading the platform's list after which the platform counts as lost, in
    /// milliseconds.
    pub platform_lost_after_ms: u64,
    /// Maximum number of introductions in one heartbeat.
    pub max_introductions: usize,
    /// Upper bound of the rejoin delay per live member of the data centre, in milliseconds.
    pub rejoin_per_member_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 1_000,
            rings: 3,
            suspect_after_ms: 10_000,
            suspect_retry_interval_ms: 5_000,
            unreachable_cooldown_ms: 5_000,
            forget_after_ms: 600_000,
            delegates: 2,
            cross_data_centre_interval_ms: 4_000,
            data_centre_lost_after_ms: 15_000,
            platform_lost_after_ms: 10_000,
            max_introductions: 16,
            rejoin_per_member_ms: 20,
        }
    }
}
