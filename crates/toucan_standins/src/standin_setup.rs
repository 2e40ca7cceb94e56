//! Setup of a set of stand-ins, which can be read from a JSONC file.

use std::net::SocketAddr;

use jsonc_parser::ParseOptions;
use serde::{Deserialize, Serialize};

use crate::engine::EngineSettings;

/// Setup of the platform, its targets and the routers on the VM list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinSetup {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// First port of the relays to log and VM list; 0 lets the system choose all ports.
    ///
    /// Each data centre takes two consecutive ports, in the order of `data_centres`.
    pub first_port: u16,
    /// Address of the admin interface, which switches faults.
    pub admin_address: SocketAddr,
    /// Maximum number of appends per second that the log accepts; 0 for no limit.
    pub append_rate_per_s: u64,
    /// Maximum number of records that the log retains per stream.
    pub retention_records: u64,
    /// Maximum number of downloads per second that the weight store admits; 0 for no limit.
    pub downloads_per_s: u64,
    /// Time by which the VM list lags, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Engines.
    pub engines: Vec<EngineSetup>,
    /// Plain services.
    pub services: Vec<ServiceSetup>,
    /// Routers on the VM list at the start.
    pub routers: Vec<RouterSetup>,
}

/// Setup of one engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSetup {
    /// Data centre of its VM.
    pub data_centre: String,
    /// Service of the document that the engine belongs to.
    pub service: String,
    /// Settings of the engine; its name is also the name of its VM.
    #[serde(default)]
    pub engine: EngineSettings,
}

/// Setup of one plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSetup {
    /// Data centre of its VM.
    pub data_centre: String,
    /// Service of the document that the plain service belongs to.
    pub service: String,
    /// Name of the VM.
    pub name: String,
}

/// A router VM for the VM list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSetup {
    /// Data centre of the VM.
    pub data_centre: String,
    /// Name of the VM.
    pub vm: String,
    /// Id of the VM instance.
    pub instance: String,
    /// Address on which the router serves its peers.
    pub peer_address: SocketAddr,
}

impl Default for StandinSetup {
    fn default() -> Self {
        let data_centres = ["dc-a", "dc-b"];
        let engines = data_centres.iter().map(|data_centre| EngineSetup {
            data_centre: (*data_centre).to_owned(),
            service: "drafting".to_owned(),
            engine: EngineSettings {
                name: format!("engine-{data_centre}"),
                ..EngineSettings::default()
            },
        });
        let services = data_centres.iter().map(|data_centre| ServiceSetup {
            data_centre: (*data_centre).to_owned(),
            service: "register".to_owned(),
            name: format!("register-{data_centre}"),
        });
        Self {
            data_centres: data_centres.map(str::to_owned).to_vec(),
            first_port: 0,
            admin_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            append_rate_per_s: 300,
            retention_records: 1_000_000,
            downloads_per_s: 2,
            vm_list_lag_ms: 500,
            seed: 0,
            engines: engines.collect(),
            services: services.collect(),
            routers: Vec::new(),
        }
    }
}

impl StandinSetup {
    /// Reads a setup from JSON with comments.
    ///
    /// # Errors
    ///
    /// A message with line and column if the text is not a valid setup.
    pub fn from_jsonc(text: &str) -> Result<Self, String> {
        let parsed: Result<Self, _> =
            jsonc_parser::parse_to_serde_value(text, &ParseOptions::default());
        parsed.map_err(|error| error.to_string())
    }
}
