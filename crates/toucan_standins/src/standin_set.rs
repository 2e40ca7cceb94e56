//! A running set of stand-ins.

use std::io;
use std::net::SocketAddr;

use serde::Serialize;
use toucan_platform::formats::VmKind;

use crate::engine::EngineStandin;
use crate::platform::{Platform, PlatformSettings};
use crate::service_standin::ServiceStandin;
use crate::standin_setup::StandinSetup;

/// Addresses at which one data centre reaches the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentreAddresses {
    /// Name of the data centre.
    pub data_centre: String,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
}

/// The platform and its targets.
#[derive(Clone)]
pub struct StandinSet {
    /// Log, VM list, weight store and relays.
    pub platform: Platform,
    /// Engines, in the order of the setup; each one's VM name and instance id are its own name.
    pub engines: Vec<EngineStandin>,
    /// Plain services, in the order of the setup; each one's VM name and instance id are its own
    /// name.
    pub services: Vec<ServiceStandin>,
}

impl StandinSet {
    /// Starts all stand-ins on the current Tokio runtime.
    pub async fn start(setup: &StandinSetup) -> io::Result<Self> {
        let platform = Platform::start(PlatformSettings {
            data_centres: setup.data_centres.clone(),
            first_port: setup.first_port,
            append_rate_per_s: setup.append_rate_per_s,
            downloads_per_s: setup.downloads_per_s,
            vm_list_lag_ms: setup.vm_list_lag_ms,
            seed: setup.seed,
        })
        .await?;
        platform.log.set_retention_records(setup.retention_records);
        let mut set = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
        };
        set.start_targets(setup).await?;
        for router in &setup.routers {
            let (vm, instance) = (&router.vm, &router.instance);
            set.platform
                .add_vm(
                    VmKind::Router,
                    &router.data_centre,
                    vm,
                    instance,
                    None,
                    router.peer_address,
                )
                .await?;
        }
        Ok(set)
    }

    async fn start_targets(&mut self, setup: &StandinSetup) -> io::Result<()> {
        for entry in &setup.engines {
            let weights = Some(self.platform.weights.clone());
            let engine = EngineStandin::start(entry.engine.clone(), weights).await?;
            let name = engine.name();
            self.add_target(&entry.data_centre, name, &entry.service, engine.address())
                .await?;
            self.engines.push(engine);
        }
        for (index, entry) in setup.services.iter().enumerate() {
            let seed = setup.seed.wrapping_add(index as u64);
            let service = ServiceStandin::start(entry.name.as_str(), seed).await?;
            let name = service.name();
            self.add_target(&entry.data_centre, name, &entry.service, service.address())
                .await?;
            self.services.push(service);
        }
        Ok(())
    }

    async fn add_target(
        &self,
        data_centre: &str,
        name: &str,
        service: &str,
        address: SocketAddr,
    ) -> io::Result<()> {
        self.platform
            .add_vm(
                VmKind::Target,
                data_centre,
                name,
                name,
                Some(service),
                address,
            )
            .await
    }

    /// Returns the addresses of the platform, one entry per data centre.
    pub fn addresses(&self) -> Vec<DataCentreAddresses> {
        let data_centres = self.platform.data_centres().iter();
        let addresses = data_centres.map(|links| DataCentreAddresses {
            data_centre: links.data_centre.clone(),
            log: links.log.address(),
            vm_list: links.vm_list.address(),
            weights: self.platform.weights.address(),
        });
        addresses.collect()
    }

    /// Returns the engine with this name.
    pub fn engine(&self, name: &str) -> Option<&EngineStandin> {
        self.engines.iter().find(|engine| engine.name() == name)
    }

    /// Returns the plain service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceStandin> {
        self.services.iter().find(|service| service.name() == name)
    }
}
