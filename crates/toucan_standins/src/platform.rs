//! A platform for several data centres, on loopback.

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
    /// First port of the relays to log and VM list; 0 lets the system choose all ports.
    ///
    /// Each data centre takes two consecutive ports, in the order of `data_centres`.
    pub first_port: u16,
    /// Maximum number of appends per second that the log accepts; 0 for no limit.
    pub append_rate_per_s: u64,
    /// Maximum number of downloads per second that the weight store admits; 0 for no limit.
    pub downloads_per_s: u64,
    /// Time by which the VM list lags, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// Seed of the random numbers.
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

/// Relays by which one data centre reaches the platform.
#[derive(Clone, Debug)]
pub struct PlatformLinks {
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

/// Log, VM list and weight store, behind relays that can partition data centres.
///
/// Each data centre has its own relays to log and VM list, and one relay to each VM. The VM list
/// shows each data centre the addresses of its own relays.
#[derive(Clone)]
pub struct Platform {
    /// The log.
    pub log: LogStandin,
    /// The VM list.
    pub vm_list: VmListStandin,
    /// The weight store.
    pub weights: WeightStoreStandin,
    data_centres: Arc<Vec<PlatformLinks>>,
    vm_links: Arc<Mutex<Vec<VmLink>>>,
    delay_ms: Arc<AtomicU64>,
}

impl Platform {
    /// Starts all parts on loopback, on the current Tokio runtime.
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
            data_centres.push(PlatformLinks {
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

    /// Returns the relays to the platform, one entry per data centre.
    pub fn data_centres(&self) -> &[PlatformLinks] {
        &self.data_centres
    }

    /// Returns the relays of one data centre to the platform.
    pub fn data_centre(&self, name: &str) -> Option<&PlatformLinks> {
        let mut all = self.data_centres.iter();
        all.find(|links| links.data_centre == name)
    }

    /// Adds a VM to the list, with one relay to it for each data centre.
    pub async fn add_vm(
        &self,
        kind: VmKind,
        data_centre: &str,
        vm: &str,
        instance: &str,
        service: Option<&str>,
        address: SocketAddr,
    ) -> io::Result<()> {
        for links in self.data_centres.iter() {
            let link = Link::start(address).await?;
            self.vm_list
                .set_relay_address(&links.data_centre, instance, link.address());
            let partitioned = self.is_partitioned(&links.data_centre, data_centre);
            if links.data_centre != data_centre {
                link.set_delay_ms(self.delay_ms.load(Ordering::Relaxed));
            }
            link.set_state(if partitioned {
                LinkState::Blocked
            } else {
                LinkState::Open
            });
            self.vm_links().push(VmLink {
                from: links.data_centre.clone(),
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

    /// Lists a VM as gone and refuses connections to it.
    pub fn remove_vm(&self, instance: &str) {
        self.vm_list.set_state(instance, VmState::Gone);
        self.for_each_link_to(instance, |link| link.set_state(LinkState::Refusing));
    }

    /// Starts or ends a partition between a data centre and the platform's log and VM list.
    pub fn set_platform_partition(&self, data_centre: &str, partitioned: bool) {
        let Some(links) = self.data_centre(data_centre) else {
            return;
        };
        let state = if partitioned {
            LinkState::Blocked
        } else {
            LinkState::Open
        };
        links.log.set_state(state);
        links.vm_list.set_state(state);
    }

    /// Starts or ends a partition between two data centres; relays that refuse connections keep
    /// doing so.
    pub fn set_partition_between(&self, one: &str, other: &str, partitioned: bool) {
        let state = if partitioned {
            LinkState::Blocked
        } else {
            LinkState::Open
        };
        for vm_link in self.vm_links().iter() {
            let ends = (vm_link.from.as_str(), vm_link.to.as_str());
            let affected = ends == (one, other) || ends == (other, one);
            if affected && vm_link.link.state() != LinkState::Refusing {
                vm_link.link.set_state(state);
            }
        }
    }

    /// Makes all existing connections to VMs, log and VM list silent for good; new ones work.
    pub fn silence_all_connections(&self) {
        for vm_link in self.vm_links().iter() {
            vm_link.link.silence_connections();
        }
        for links in self.data_centres.iter() {
            links.log.silence_connections();
            links.vm_list.silence_connections();
        }
    }

    /// Calls `action` for each relay to a VM instance.
    pub fn for_each_link_to(&self, instance: &str, action: impl Fn(&Link)) {
        let vm_links = self.vm_links();
        let affected = vm_links.iter().filter(|link| link.instance == instance);
        affected.for_each(|vm_link| action(&vm_link.link));
    }

    /// Sets the one-way delay between different data centres, in milliseconds.
    pub fn set_cross_data_centre_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
        for vm_link in self.vm_links().iter() {
            if vm_link.from != vm_link.to {
                vm_link.link.set_delay_ms(delay_ms);
            }
        }
    }

    /// Returns the bytes forwarded so far between routers, and between routers and the platform's
    /// log and VM list.
    pub fn control_bytes(&self) -> u64 {
        let vm_links = self.vm_links();
        let routers = vm_links.iter().filter(|link| link.kind == VmKind::Router);
        let peers: u64 = routers.map(|vm_link| vm_link.link.bytes()).sum();
        let data_centres = self.data_centres.iter();
        let platform = data_centres.map(|links| links.log.bytes() + links.vm_list.bytes());
        peers + platform.sum::<u64>()
    }

    fn is_partitioned(&self, from: &str, to: &str) -> bool {
        let vm_links = self.vm_links();
        let mut same = vm_links
            .iter()
            .filter(|link| link.from == from && link.to == to);
        same.any(|vm_link| vm_link.link.state() == LinkState::Blocked)
    }

    fn vm_links(&self) -> MutexGuard<'_, Vec<VmLink>> {
        self.vm_links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
