//! The whole platform of several data centres on loopback.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use toucan_platform::formats::{VmEntry, VmKind, VmState};

use crate::clock::now_ms;
use crate::link::{Link, LinkState};
use crate::log_standin::LogStandin;
use crate::vm_list_standin::VmListStandin;
use crate::weight_store_standin::WeightStoreStandin;

/// Settings of [`Platform::start`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// First port of the relays to log and VM list, two for each data centre in their order; 0 for
    /// ports that the system picks.
    pub first_port: u16,
    /// Appends a second that the log takes; 0 for any number.
    pub append_rate_per_s: u64,
    /// Downloads a second that the weight store admits; 0 for any number.
    pub downloads_per_s: u64,
    /// Lag of the VM list, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// Seed of what is left to chance.
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            data_centres: vec!["dc-a".to_owned(), "dc-b".to_owned()],
            first_port: 0,
            append_rate_per_s: 300,
            downloads_per_s: 2,
            vm_list_lag_ms: 500,
            seed: 0,
        }
    }
}

/// Addresses of the platform as one data centre is told them.
#[derive(Clone, Debug)]
pub struct DataCentrePlatform {
    /// Name of the data centre.
    pub data_centre: String,
    /// Relay to the log.
    pub log: Link,
    /// Relay to the VM list.
    pub vm_list: Link,
}

/// Relay from a data centre to a VM.
#[derive(Clone)]
struct VmLink {
    from: String,
    to: String,
    instance: String,
    kind: VmKind,
    link: Link,
}

/// Log, VM list and weight store, with relays by which data centres can be cut off.
///
/// Each data centre reaches the platform by relays of its own, and each VM by one relay for each
/// data centre; the VM list tells a data centre the addresses of its relays.
#[derive(Clone)]
pub struct Platform {
    /// The log.
    pub log: LogStandin,
    /// The VM list.
    pub vm_list: VmListStandin,
    /// The weight store.
    pub weights: WeightStoreStandin,
    data_centres: Arc<Vec<DataCentrePlatform>>,
    vm_links: Arc<Mutex<Vec<VmLink>>>,
    delay_ms: Arc<AtomicU64>,
}

impl Platform {
    /// Starts all parts on loopback inside the current Tokio runtime.
    pub async fn start(settings: PlatformSettings) -> io::Result<Self> {
        let log = LogStandin::start(settings.seed).await?;
        log.set_append_rate_per_s(settings.append_rate_per_s);
        let vm_list = VmListStandin::new();
        vm_list.set_lag_ms(settings.vm_list_lag_ms);
        let weights = WeightStoreStandin::start(settings.downloads_per_s).await?;
        let mut data_centres = Vec::new();
        let mut port = settings.first_port;
        for data_centre in settings.data_centres {
            let view = vm_list.serve_view(data_centre.as_str()).await?;
            let vm_list_port = port.saturating_add(port.min(1));
            data_centres.push(DataCentrePlatform {
                log: Link::start_on(port, log.address()).await?,
                vm_list: Link::start_on(vm_list_port, view).await?,
                data_centre,
            });
            port = vm_list_port.saturating_add(port.min(1));
        }
        Ok(Self {
            log,
            vm_list,
            weights,
            data_centres: Arc::new(data_centres),
            vm_links: Arc::default(),
            delay_ms: Arc::default(),
        })
    }

    /// The data centres with their addresses of the platform.
    pub fn data_centres(&self) -> &[DataCentrePlatform] {
        &self.data_centres
    }

    /// Addresses for one data centre.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentrePlatform> {
        let mut all = self.data_centres.iter();
        all.find(|platform| platform.data_centre == name)
    }

    /// Puts a VM on the list, reachable from each data centre by a relay of its own.
    pub async fn add_vm(
        &self,
        kind: VmKind,
        data_centre: &str,
        vm: &str,
        instance: &str,
        service: Option<&str>,
        address: SocketAddr,
    ) -> io::Result<()> {
        for platform in self.data_centres.iter() {
            let link = Link::start(address).await?;
            self.vm_list
                .set_relay(&platform.data_centre, instance, link.address());
            let cut = self.is_cut(&platform.data_centre, data_centre);
            if platform.data_centre != data_centre {
                link.set_delay_ms(self.delay_ms.load(Ordering::Relaxed));
            }
            link.set_state(if cut { LinkState::Cut } else { LinkState::Open });
            self.vm_links().push(VmLink {
                from: platform.data_centre.clone(),
                to: data_centre.to_owned(),
                instance: instance.to_owned(),
                kind,
                link,
            });
        }
        self.vm_list.add(VmEntry {
            vm: vm.to_owned(),
            instance: instance.to_owned(),
            data_centre: data_centre.to_owned(),
            kind,
            service: service.map(str::to_owned),
            address: address.to_string(),
            state: VmState::Live,
            since_ms: now_ms(),
        });
        Ok(())
    }

    /// Destroys a VM on the list and refuses connections to it.
    pub fn remove_vm(&self, instance: &str) {
        self.vm_list.set_state(instance, VmState::Gone);
        self.for_each_link_to(instance, |link| link.set_state(LinkState::Refusing));
    }

    /// Cuts a data centre off from log and VM list, or heals it.
    pub fn set_platform_partition(&self, data_centre: &str, cut: bool) {
        let Some(platform) = self.data_centre(data_centre) else {
            return;
        };
        let state = if cut { LinkState::Cut } else { LinkState::Open };
        platform.log.set_state(state);
        platform.vm_list.set_state(state);
    }

    /// Cuts two data centres off from each other, or heals them.
    pub fn set_partition_between(&self, one: &str, other: &str, cut: bool) {
        let state = if cut { LinkState::Cut } else { LinkState::Open };
        for vm_link in self.vm_links().iter() {
            let ends = (vm_link.from.as_str(), vm_link.to.as_str());
            let concerned = ends == (one, other) || ends == (other, one);
            if concerned && vm_link.link.state() != LinkState::Refusing {
                vm_link.link.set_state(state);
            }
        }
    }

    /// Makes all connections between VMs, and those to the platform, silent for good.
    pub fn silence_all_connections(&self) {
        for vm_link in self.vm_links().iter() {
            vm_link.link.silence_connections();
        }
        for platform in self.data_centres.iter() {
            platform.log.silence_connections();
            platform.vm_list.silence_connections();
        }
    }

    /// Does something with each relay to a VM.
    pub fn for_each_link_to(&self, instance: &str, action: impl Fn(&Link)) {
        let vm_links = self.vm_links();
        let concerned = vm_links.iter().filter(|link| link.instance == instance);
        concerned.for_each(|vm_link| action(&vm_link.link));
    }

    /// Delays what data centres send each other, each way, in milliseconds.
    pub fn set_cross_data_centre_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
        for vm_link in self.vm_links().iter() {
            if vm_link.from != vm_link.to {
                vm_link.link.set_delay_ms(delay_ms);
            }
        }
    }

    /// Bytes carried so far between routers, and between routers and log and VM list.
    pub fn control_bytes(&self) -> u64 {
        let vm_links = self.vm_links();
        let routers = vm_links.iter().filter(|link| link.kind == VmKind::Router);
        let peers: u64 = routers.map(|vm_link| vm_link.link.bytes()).sum();
        let data_centres = self.data_centres.iter();
        let platform = data_centres.map(|one| one.log.bytes() + one.vm_list.bytes());
        peers + platform.sum::<u64>()
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let vm_links = self.vm_links();
        let mut same = vm_links
            .iter()
            .filter(|link| link.from == from && link.to == to);
        same.any(|vm_link| vm_link.link.state() == LinkState::Cut)
    }

    fn vm_links(&self) -> MutexGuard<'_, Vec<VmLink>> {
        self.vm_links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
