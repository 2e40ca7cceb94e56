//! Messages of the targets duty's ring.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use toucan_config::Document;
use toucan_platform::VmListing;
use toucan_router::Order;

/// Messages of the targets duty's ring.
pub(crate) enum TargetsMessage {
    /// The document in force.
    Document(Arc<Document>),
    /// The platform's list of VMs was read.
    VmList(Arc<VmListing>),
    /// Sends an order; its outcome goes to the orders duty.
    Order {
        /// The order.
        order: Order,
        /// Address of the target.
        address: SocketAddr,
        /// Time of the decision.
        decided_at: Instant,
    },
}
