//! Nodes to which callers may send requests, as the platform's load balancer knows them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Name, data centre and address of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddress {
    /// Name of the node.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address of the callers' interface.
    pub address: SocketAddr,
}

/// Shared list of the nodes to which callers may send requests.
#[derive(Clone, Debug, Default)]
pub struct NodeDirectory(Arc<Mutex<Vec<NodeAddress>>>);

impl NodeDirectory {
    /// Adds a node.
    pub fn add(&self, node: NodeAddress) {
        self.nodes().push(node);
    }

    /// Removes a node.
    pub fn remove(&self, name: &str) {
        self.nodes().retain(|node| node.name != name);
    }

    /// Returns all nodes.
    #[must_use]
    pub fn all(&self) -> Vec<NodeAddress> {
        self.nodes().clone()
    }

    /// Returns a node for an attempt, round-robin by number; the excluded one only if there is no
    /// other.
    pub(crate) fn pick(&self, number: u64, excluded: Option<&str>) -> Option<NodeAddress> {
        let nodes = self.nodes();
        let others = nodes
            .iter()
            .filter(|node| Some(node.name.as_str()) != excluded);
        let others: Vec<&NodeAddress> = others.collect();
        let candidates = if others.is_empty() {
            nodes.iter().collect()
        } else {
            others
        };
        let index = usize::try_from(number).unwrap_or(0) % candidates.len().max(1);
        candidates.get(index).map(|node| (*node).clone())
    }

    fn nodes(&self) -> MutexGuard<'_, Vec<NodeAddress>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
