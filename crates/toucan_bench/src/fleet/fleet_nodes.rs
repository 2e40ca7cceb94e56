//! Nodes of a fleet, in slots that may be empty for some time.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};
use toucan_platform::formats::{VmKind, VmState};
use toucan_standins::{LinkState, Platform};

use super::running_node::RunningNode;
use crate::load::{NodeAddress, NodeDirectory};

/// Interval at which a node polls the VM list, in milliseconds.
const VM_LIST_POLL_MS: u64 = 300;
/// Time for which a draining node waits for the load balancer to stop sending to it, in
/// milliseconds.
const LEAVE_NOTICE_MS: u64 = 300;
/// Maximum time that a planned stop waits for requests in flight, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 20_000;

/// Slot for a router VM, which one node at a time occupies.
#[derive(Clone, Debug)]
pub(crate) struct NodeSlot {
    pub(crate) vm: String,
    pub(crate) data_centre: String,
    /// Instance of the VM; name of the node in histories.
    pub(crate) instance: String,
    /// Address of the operators' interface while a node runs.
    pub(crate) operators: Option<SocketAddr>,
    /// Whether nodes of this slot run in a separate process.
    pub(crate) separate_process: bool,
    start_count: u64,
}

/// Nodes of a fleet; clones share them.
#[derive(Clone)]
pub(crate) struct FleetNodes {
    platform: Platform,
    directory: NodeDirectory,
    slots: Arc<Mutex<Vec<NodeSlot>>>,
    running: Arc<Mutex<Vec<Option<RunningNode>>>>,
}

impl FleetNodes {
    /// Returns empty slots; nodes of the `paused` ones will run in separate processes.
    pub(crate) fn new(
        platform: Platform,
        routers: Vec<(String, String)>,
        paused: &[usize],
    ) -> Self {
        let slots = routers.into_iter().enumerate();
        let slots = slots.map(|(index, (data_centre, vm))| NodeSlot {
            vm,
            data_centre,
            instance: String::new(),
            operators: None,
            separate_process: paused.contains(&index),
            start_count: 0,
        });
        let slots: Vec<NodeSlot> = slots.collect();
        let running = slots.iter().map(|_| None).collect();
        Self {
            platform,
            directory: NodeDirectory::default(),
            slots: Arc::new(Mutex::new(slots)),
            running: Arc::new(Mutex::new(running)),
        }
    }

    pub(crate) fn directory(&self) -> &NodeDirectory {
        &self.directory
    }

    pub(crate) fn slots(&self) -> Vec<NodeSlot> {
        lock(&self.slots).clone()
    }

    /// Starts a node in an empty slot, on a new VM instance; does nothing if the slot is occupied.
    pub(crate) async fn start(&self, index: usize) -> io::Result<()> {
        let Some(slot) = self.prepare_slot(index) else {
            return Ok(());
        };
        let settings = self.settings(&slot);
        let (separate_process, name) = (slot.separate_process, slot.instance.clone());
        // A node starts its own runtimes, which is not allowed within another runtime.
        let starting = tokio::task::spawn_blocking(move || {
            if separate_process {
                RunningNode::start_child_process(&name, settings)
            } else {
                RunningNode::start_in_process(&settings)
            }
        });
        let node = starting.await.map_err(io::Error::other)??;
        let addresses = node.addresses();
        let (data_centre, instance) = (&slot.data_centre, &slot.instance);
        let peers = addresses.peers;
        self.platform
            .add_vm(VmKind::Router, data_centre, &slot.vm, instance, None, peers)
            .await?;
        self.directory.add(NodeAddress {
            name: slot.instance.clone(),
            data_centre: slot.data_centre.clone(),
            address: addresses.callers,
        });
        if let Some(slot) = lock(&self.slots).get_mut(index) {
            slot.operators = Some(addresses.operators);
        }
        if let Some(running) = lock(&self.running).get_mut(index) {
            *running = Some(node);
        }
        Ok(())
    }

    /// Kills a node as if its VM were destroyed.
    pub(crate) async fn kill(&self, index: usize) {
        let Some((node, slot)) = self.take_node(index) else {
            return;
        };
        self.platform
            .for_each_link_to(&slot.instance, |link| link.set_state(LinkState::Refusing));
        run_blocking(move || node.kill()).await;
        self.platform.remove_vm(&slot.instance);
        self.directory.remove(&slot.instance);
    }

    /// Stops a node as planned.
    pub(crate) async fn stop(&self, index: usize) {
        let Some((node, slot)) = self.take_node(index) else {
            return;
        };
        let vm_list = &self.platform.vm_list;
        vm_list.set_state(&slot.instance, VmState::Leaving);
        self.directory.remove(&slot.instance);
        run_blocking(move || node.stop()).await;
        self.platform.remove_vm(&slot.instance);
    }

    /// Pauses or resumes a node in a separate process.
    pub(crate) fn set_paused(&self, index: usize, paused: bool) {
        if let Some(Some(node)) = lock(&self.running).get(index) {
            node.set_paused(paused);
        }
    }

    /// Resumes all paused nodes.
    pub(crate) fn resume_all(&self) {
        for node in lock(&self.running).iter().flatten() {
            node.set_paused(false);
        }
    }

    /// Kills all nodes.
    pub(crate) async fn kill_all(&self) {
        let count = lock(&self.slots).len();
        for index in 0..count {
            if let Some((node, _)) = self.take_node(index) {
                run_blocking(move || node.kill()).await;
            }
        }
    }

    fn settings(&self, slot: &NodeSlot) -> Value {
        let platform = self.platform.data_centre(&slot.data_centre);
        let address = |link: &toucan_standins::Link| link.address().to_string();
        let any = "127.0.0.1:0";
        json!({
            "vm": slot.vm,
            "instance": slot.instance,
            "data_centre": slot.data_centre,
            "listen": { "callers": any, "operators": any, "peers": any },
            "platform": {
                "log": platform.map(|platform| address(&platform.log)),
                "vm_list": platform.map(|platform| address(&platform.vm_list)),
                "vm_list_poll_ms": VM_LIST_POLL_MS,
            },
            "leave_notice_ms": LEAVE_NOTICE_MS,
            "stop_patience_ms": STOP_TIMEOUT_MS,
        })
    }

    fn prepare_slot(&self, index: usize) -> Option<NodeSlot> {
        let is_empty = lock(&self.running).get(index)?.is_none();
        let mut slots = lock(&self.slots);
        let slot = slots.get_mut(index)?;
        if !is_empty {
            return None;
        }
        slot.start_count += 1;
        slot.instance = format!("{}-{}", slot.vm, slot.start_count);
        Some(slot.clone())
    }

    fn take_node(&self, index: usize) -> Option<(RunningNode, NodeSlot)> {
        let node = lock(&self.running).get_mut(index)?.take()?;
        let mut slots = lock(&self.slots);
        let slot = slots.get_mut(index)?;
        slot.operators = None;
        Some((node, slot.clone()))
    }
}

async fn run_blocking(work: impl FnOnce() + Send + 'static) {
    if let Err(error) = tokio::task::spawn_blocking(work).await {
        log::error!("the task that ends a node failed: {error}");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
