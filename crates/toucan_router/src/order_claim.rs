//! Claims that determine which node issues the orders of a group of targets.

use serde::{Deserialize, Serialize};
use toucan_types::{
    DataCentreName, FastHashMap, FencingNumber, IncarnationId, Offset, ServiceName, VmName,
    rendezvous_choice,
};

/// Targets whose orders one node issues: those of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderGroup {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Service.
    pub service: ServiceName,
}

impl OrderGroup {
    /// Returns the VM that should issue the group's orders, chosen by rendezvous hashing.
    ///
    /// `live` are the VMs of the group's data centre that are considered live.
    pub fn decider<'a>(&self, live: impl IntoIterator<Item = &'a VmName>) -> Option<&'a VmName> {
        rendezvous_choice(self, live)
    }
}

/// Log record by which a node takes over the orders of a group.
///
/// The fencing number of all orders issued under the claim derives from its offset in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderClaim {
    /// Group.
    pub group: OrderGroup,
    /// Incarnation of the claiming node.
    pub incarnation: IncarnationId,
}

/// Active claim of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveClaim {
    /// Incarnation of the node that issues the orders.
    pub incarnation: IncarnationId,
    /// Fencing number of its orders.
    pub fencing_number: FencingNumber,
    /// Time at which this node read the claim.
    pub read_at_ms: u64,
}

/// Claims read from the log. The claim of a group with the highest offset is active.
#[derive(Clone, Debug, Default)]
pub struct OrderClaims {
    active: FastHashMap<OrderGroup, ActiveClaim>,
}

impl OrderClaims {
    /// Applies a claim read from the log. Returns whether it became the active claim.
    ///
    /// The fencing number is the offset plus one, so that no order carries 0.
    pub fn apply(&mut self, claim: &OrderClaim, offset: Offset, now_ms: u64) -> bool {
        let fencing_number = FencingNumber(offset.0).next();
        let known = self.active.get(&claim.group);
        if known.is_some_and(|known| known.fencing_number >= fencing_number) {
            return false;
        }
        let active = ActiveClaim {
            incarnation: claim.incarnation,
            fencing_number,
            read_at_ms: now_ms,
        };
        self.active.insert(claim.group.clone(), active);
        true
    }

    /// Returns the active claim of a group.
    #[must_use]
    pub fn active_claim(&self, group: &OrderGroup) -> Option<ActiveClaim> {
        self.active.get(group).copied()
    }
}
