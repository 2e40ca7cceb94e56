//! Messages of the orders duty's ring.

use std::{sync::Arc, time::Instant};

use toucan_config::Document;
use toucan_platform::{LogEntry, OrderError, formats::EngineLoad};
use toucan_router::Order;
use toucan_types::{FastHashSet, IncarnationId, Offset, TargetName, VmName};

use crate::admission::KnownTarget;

/// Nodes that this one considers live.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LiveNodes {
    /// Router VMs of this data centre, including this one unless it is draining.
    pub(crate) here: Vec<VmName>,
    /// Incarnations of the other live nodes of all data centres.
    pub(crate) incarnations: FastHashSet<IncarnationId>,
}

/// Messages of the orders duty's ring.
pub(crate) enum OrdersMessage {
    /// The document in force and the targets known now.
    Targets {
        /// Document.
        document: Arc<Document>,
        /// Targets of all data centres.
        targets: Vec<KnownTarget>,
    },
    /// An engine of this data centre reported its load.
    Load {
        /// Engine.
        target: TargetName,
        /// Report.
        load: EngineLoad,
    },
    /// The nodes that are live now.
    LiveNodes(LiveNodes),
    /// Records of the claims stream in order.
    Read {
        /// Records.
        entries: Vec<LogEntry>,
        /// Offset that the next append gets.
        next_offset: Offset,
        /// Time at which they were requested.
        requested_at: Instant,
    },
    /// The next offset to read has expired; the oldest readable one is given.
    Expired(Offset),
    /// An order was completed or has failed.
    OrderCompleted {
        /// The order.
        order: Order,
        /// Its outcome.
        outcome: Result<(), OrderError>,
    },
}
