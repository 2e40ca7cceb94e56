//! The nodes of a fleet, of which each place may be empty for a while.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};
use toucan_platform::formats::{VmKind, VmState};
use toucan_standins::{LinkState, Platform};

use super::running_node::RunningNode;
use crate::load::{NodeAddress, NodeDirectory};

/// Time between two looks of a node at the VM list, in milliseconds.
const VM_LIST_POLL_MS: u64 = 300;
/// Time that a leaving node leaves to the balancer, in milliseconds.
const LEAVE_NOTICE_MS: u64 = 300;
/// Longest time that a planned stop waits for requests, in milliseconds.
const STOP_PATIENCE_MS: u64 = 20_000;

/// One place for a router VM.
#[derive(Clone, Debug)]
pub(crate) struct NodePlace {
    pub(crate) vm: String,
    pub(crate) data_centre: String,
    /// Instance of the VM, which names the node in histories.
    pub(crate) instance: String,
    /// Address of the operators' interface while a node runs.
    pub(crate) operators: Option<SocketAddr>,
    /// Whether nodes of this place get a process of their own.
    pub(crate) own_process: bool,
    starts: u64,
}

/// The nodes of a fleet.
#[derive(Clone)]
pub(crate) struct FleetNodes {
    platform: Platform,
    directory: NodeDirectory,
    places: Arc<Mutex<Vec<NodePlace>>>,
    running: Arc<Mutex<Vec<Option<RunningNode>>>>,
}

impl FleetNodes {
    /// Empty places; those of `paused` get processes of their own.
    pub(crate) fn new(
        platform: Platform,
        routers: Vec<(String, String)>,
        paused: &[usize],
    ) -> Self {
        let places = routers.into_iter().enumerate();
        let places = places.map(|(index, (data_centre, vm))| NodePlace {
            vm,
            data_centre,
            instance: String::new(),
            operators: None,
            own_process: paused.contains(&index),
            starts: 0,
        });
        let places: Vec<NodePlace> = places.collect();
        let running = places.iter().map(|_| None).collect();
        Self {
            platform,
            directory: NodeDirectory::default(),
            places: Arc::new(Mutex::new(places)),
            running: Arc::new(Mutex::new(running)),
        }
    }

    pub(crate) fn directory(&self) -> &NodeDirectory {
        &self.directory
    }

    pub(crate) fn places(&self) -> Vec<NodePlace> {
        lock(&self.places).clone()
    }

    /// Starts a node in an empty place, on a VM created anew.
    pub(crate) async fn start(&self, index: usize) -> io::Result<()> {
        let Some(place) = self.renew(index) else {
            return Ok(());
        };
        let settings = self.settings(&place);
        let (own_process, name) = (place.own_process, place.instance.clone());
        // A node starts runtimes of its own, which must not be done within another one.
        let starting = tokio::task::spawn_blocking(move || {
            if own_process {
                RunningNode::start_process(&name, settings)
            } else {
                RunningNode::start_here(&settings)
            }
        });
        let node = starting.await.map_err(io::Error::other)??;
        let addresses = node.addresses();
        let (data_centre, instance) = (&place.data_centre, &place.instance);
        let peers = addresses.peers;
        self.platform
            .add_vm(
                VmKind::Router,
                data_centre,
                &place.vm,
                instance,
                None,
                peers,
            )
            .await?;
        self.directory.add(NodeAddress {
            name: place.instance.clone(),
            data_centre: place.data_centre.clone(),
            address: addresses.callers,
        });
        if let Some(place) = lock(&self.places).get_mut(index) {
            place.operators = Some(addresses.operators);
        }
        if let Some(slot) = lock(&self.running).get_mut(index) {
            *slot = Some(node);
        }
        Ok(())
    }

    /// Ends a node as if its VM were destroyed.
    pub(crate) async fn kill(&self, index: usize) {
        let Some((node, place)) = self.take(index) else {
            return;
        };
        self.platform
            .for_each_link_to(&place.instance, |link| link.set_state(LinkState::Refusing));
        run_blocking(move || node.kill()).await;
        self.platform.remove_vm(&place.instance);
        self.directory.remove(&place.instance);
    }

    /// Stops a node in a planned way.
    pub(crate) async fn stop(&self, index: usize) {
        let Some((node, place)) = self.take(index) else {
            return;
        };
        let vm_list = &self.platform.vm_list;
        vm_list.set_state(&place.instance, VmState::Leaving);
        self.directory.remove(&place.instance);
        run_blocking(move || node.stop()).await;
        self.platform.remove_vm(&place.instance);
    }

    /// Halts a node that has a process of its own, or lets it go on.
    pub(crate) fn pause(&self, index: usize, paused: bool) {
        if let Some(Some(node)) = lock(&self.running).get(index) {
            node.pause(paused);
        }
    }

    /// Lets all halted nodes go on.
    pub(crate) fn resume_all(&self) {
        for node in lock(&self.running).iter().flatten() {
            node.pause(false);
        }
    }

    /// Ends all nodes.
    pub(crate) async fn end(&self) {
        let count = lock(&self.places).len();
        for index in 0..count {
            if let Some((node, _)) = self.take(index) {
                run_blocking(move || node.kill()).await;
            }
        }
    }

    fn settings(&self, place: &NodePlace) -> Value {
        let platform = self.platform.data_centre(&place.data_centre);
        let address = |link: &toucan_standins::Link| link.address().to_string();
        let any = "127.0.0.1:0";
        json!({
            "vm": place.vm,
            "instance": place.instance,
            "data_centre": place.data_centre,
            "listen": { "callers": any, "operators": any, "peers": any },
            "platform": {
                "log": platform.map(|platform| address(&platform.log)),
                "vm_list": platform.map(|platform| address(&platform.vm_list)),
                "vm_list_poll_ms": VM_LIST_POLL_MS,
            },
            "leave_notice_ms": LEAVE_NOTICE_MS,
            "stop_patience_ms": STOP_PATIENCE_MS,
        })
    }

    fn renew(&self, index: usize) -> Option<NodePlace> {
        let is_empty = lock(&self.running).get(index)?.is_none();
        let mut places = lock(&self.places);
        let place = places.get_mut(index)?;
        if !is_empty {
            return None;
        }
        place.starts += 1;
        place.instance = format!("{}-{}", place.vm, place.starts);
        Some(place.clone())
    }

    fn take(&self, index: usize) -> Option<(RunningNode, NodePlace)> {
        let node = lock(&self.running).get_mut(index)?.take()?;
        let mut places = lock(&self.places);
        let place = places.get_mut(index)?;
        place.operators = None;
        Some((node, place.clone()))
    }
}

async fn run_blocking(work: impl FnOnce() + Send + 'static) {
    if let Err(error) = tokio::task::spawn_blocking(work).await {
        log::error!("a node did not end well: {error}");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
