//! Size and composition of one fleet.

use toucan_standins::{EngineSettings, EngineSetup, ServiceSetup, StandinSetup};

/// Model that all engines serve.
const MODEL: &str = "drafter";
/// Version of the model that engines load at the start.
const MODEL_VERSION: &str = "1";
/// Appends per second that the log accepts.
const APPEND_RATE_PER_S: u64 = 300;
/// Appends per second of the log's rate that the fleet may use.
const FLEET_APPEND_RATE_PER_S: u64 = 200;
/// Purchased tokens per unit of weight of an organisation; enough for the longest runs.
const TOKENS_PER_WEIGHT: u64 = 20_000_000;

/// One customer of the fleet.
#[derive(Clone, Debug)]
pub struct OrganisationProfile {
    /// Name of the organisation, of its budget and of its key.
    pub name: String,
    /// Weight in the load.
    pub weight: u64,
    /// Purchased tokens.
    pub purchased_tokens: u64,
}

/// Plain (non-model) service.
#[derive(Clone, Debug)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: String,
    /// Path of the non-idempotent call.
    pub path: String,
    /// Tokens billed for one call.
    pub cost_tokens: u64,
}

/// Size and composition of one fleet.
#[derive(Clone, Debug)]
pub struct FleetProfile {
    /// Name of the profile.
    pub name: String,
    /// Data centres with the number of router VMs in each.
    pub data_centres: Vec<(String, usize)>,
    /// Number of engines, distributed round-robin over the data centres.
    pub engines: usize,
    /// Number of targets of the plain service, distributed round-robin over the data centres.
    pub service_targets: usize,
    /// The plain service.
    pub service: ServiceProfile,
    /// Customers.
    pub organisations: Vec<OrganisationProfile>,
    /// Outage that grants must bridge, in milliseconds.
    pub bridge_ms: u64,
    /// One-way delay between data centres, in milliseconds.
    pub delay_ms: u64,
    /// Total requests per second.
    pub requests_per_s: u64,
    /// Number of ledger streams.
    pub shards: u16,
    /// Whether the engines reject outdated fencing numbers.
    pub honours_fencing: bool,
}

impl FleetProfile {
    /// Returns the fleet of the demonstration: two data centres, four router VMs.
    #[must_use]
    pub fn demo() -> Self {
        Self {
            name: "demo".to_owned(),
            data_centres: data_centres("dc", &[2, 2]),
            engines: 4,
            service_targets: 2,
            service: service("register", "/issue"),
            organisations: organisations(3),
            bridge_ms: 60_000,
            delay_ms: 0,
            requests_per_s: 40,
            shards: 2,
            honours_fencing: true,
        }
    }

    /// Returns the current fleet of the co-operative: four data centres in qc-east, 8 router VMs,
    /// 12 workers.
    #[must_use]
    pub fn co_operative() -> Self {
        Self {
            name: "co-operative".to_owned(),
            data_centres: data_centres("qc-east", &[2, 2, 2, 2]),
            engines: 12,
            service_targets: 4,
            service: service("register", "/issue"),
            organisations: organisations(10),
            bridge_ms: 60_000,
            delay_ms: 0,
            requests_per_s: 60,
            shards: 4,
            honours_fencing: true,
        }
    }

    /// Returns the current fleet of Forge & Anvil: three data centres in mu-island, 7 router VMs,
    /// 9 workers.
    #[must_use]
    pub fn forge() -> Self {
        Self {
            name: "forge".to_owned(),
            data_centres: data_centres("mu-island", &[3, 2, 2]),
            engines: 9,
            service_targets: 3,
            service: service("bookings", "/book"),
            organisations: organisations(10),
            bridge_ms: 600_000,
            delay_ms: 1,
            requests_per_s: 50,
            shards: 4,
            honours_fencing: false,
        }
    }

    /// Returns the profile with a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "demo" => Some(Self::demo()),
            "co-operative" => Some(Self::co_operative()),
            "forge" => Some(Self::forge()),
            _ => None,
        }
    }

    /// Distributes this many purchased tokens over the organisations by weight.
    #[must_use]
    pub fn with_purchased_total(mut self, total_tokens: u64) -> Self {
        let weights: u64 = self.organisations.iter().map(|one| one.weight).sum();
        for organisation in &mut self.organisations {
            organisation.purchased_tokens = total_tokens * organisation.weight / weights.max(1);
        }
        self
    }

    /// Returns the model that all engines serve.
    #[must_use]
    pub fn model(&self) -> &'static str {
        MODEL
    }

    /// Returns the version of the model that engines load at the start.
    #[must_use]
    pub fn model_version(&self) -> &'static str {
        MODEL_VERSION
    }

    /// Returns the appends per second that the document allows the fleet.
    #[must_use]
    pub fn fleet_append_rate_per_s(&self) -> u64 {
        FLEET_APPEND_RATE_PER_S
    }

    /// Returns the data centre and the name of each router VM.
    #[must_use]
    pub fn routers(&self) -> Vec<(String, String)> {
        let data_centres = self.data_centres.iter();
        let routers = data_centres.flat_map(|(data_centre, count)| {
            (0..*count).map(move |index| (data_centre.clone(), format!("{data_centre}-vm-{index}")))
        });
        routers.collect()
    }

    /// Returns the setup of the platform stand-ins.
    #[must_use]
    pub fn standins(&self, seed: u64) -> StandinSetup {
        let data_centre = |index: usize| {
            let (name, _) = &self.data_centres[index % self.data_centres.len()];
            name.clone()
        };
        let engines = (0..self.engines).map(|index| EngineSetup {
            data_centre: data_centre(index),
            service: "drafting".to_owned(),
            engine: EngineSettings {
                name: format!("engine-{index}"),
                models: vec![format!("{MODEL}@{MODEL_VERSION}")],
                honours_fencing: self.honours_fencing,
                seed: seed.wrapping_add(index as u64),
                ..EngineSettings::default()
            },
        });
        let services = (0..self.service_targets).map(|index| ServiceSetup {
            data_centre: data_centre(index),
            service: self.service.name.clone(),
            name: format!("{}-{index}", self.service.name),
        });
        let names = self.data_centres.iter().map(|(name, _)| name.clone());
        StandinSetup {
            data_centres: names.collect(),
            append_rate_per_s: APPEND_RATE_PER_S,
            seed,
            engines: engines.collect(),
            services: services.collect(),
            routers: Vec::new(),
            ..StandinSetup::default()
        }
    }
}

fn data_centres(region: &str, routers: &[usize]) -> Vec<(String, usize)> {
    let counts = routers.iter().enumerate();
    counts
        .map(|(index, count)| (format!("{region}-{}", index + 1), *count))
        .collect()
}

fn service(name: &str, path: &str) -> ServiceProfile {
    ServiceProfile {
        name: name.to_owned(),
        path: path.to_owned(),
        cost_tokens: 5,
    }
}

/// Returns customers, of which the first three are large.
fn organisations(count: usize) -> Vec<OrganisationProfile> {
    let weights = (0..count).map(|index| if index < 3 { 8 } else { 1 });
    weights
        .enumerate()
        .map(|(index, weight)| OrganisationProfile {
            name: format!("member-{index}"),
            weight,
            purchased_tokens: TOKENS_PER_WEIGHT * weight,
        })
        .collect()
}
