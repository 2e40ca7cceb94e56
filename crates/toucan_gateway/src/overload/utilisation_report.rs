//! Utilisation of another gateway.

use super::ReliefPhase;

/// Utilisation of another gateway of the data centre, as it was last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UtilisationReport {
    /// Random identifier of the process's start.
    pub id: u64,
    /// Part of its resources that is in use, over 1,000 if it is offered more than it can carry.
    pub utilisation_permille: u32,
    /// How far it is in moving callers to others.
    pub phase: ReliefPhase,
    /// When the report was received.
    pub received_at_ms: u64,
}
