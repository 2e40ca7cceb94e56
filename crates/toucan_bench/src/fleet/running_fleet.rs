//! Running fleet with its stand-ins and operators.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use toucan_standins::{EngineStandin, Platform, StandinSet};

use super::configuration_sampler::ConfigurationSampler;
use super::fleet_nodes::FleetNodes;
use super::ledger_reader::read_log;
use super::operator::Operator;
use crate::checker::check;
use crate::history::{History, RequestHistory, TargetRun};
use crate::load::{NodeDirectory, request_id_in_message};
use crate::plan::Plan;
use crate::profile::{FleetDocument, FleetProfile};

/// Interval between polls for the readiness of the fleet and for a complete history.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of polls after which the start of a fleet has failed.
const MAX_READY_POLLS: usize = 75;
/// Number of polls after which missing bills and releases are reported.
const MAX_SETTLE_POLLS: usize = 75;

/// Running fleet: nodes, stand-ins and operators on loopback; clones share it.
#[derive(Clone)]
pub struct Fleet {
    pub(crate) profile: FleetProfile,
    pub(crate) document: FleetDocument,
    pub(crate) standins: StandinSet,
    pub(crate) nodes: FleetNodes,
    pub(crate) operator: Operator,
    sampler: ConfigurationSampler,
    planned_stops: Arc<Mutex<Vec<(String, u64)>>>,
    heals_ms: Arc<Mutex<Vec<u64>>>,
    silences_ms: Arc<Mutex<Vec<u64>>>,
    usage_at_start: Arc<Mutex<Usage>>,
}

/// Log appends and control traffic of the platform up to some time.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    appends: u64,
    control_bytes: u64,
}

impl Fleet {
    /// Starts the fleet of a plan and waits until the document is in force at every node.
    ///
    /// Routers that the plan pauses run in separate processes.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let (profile, seed) = (plan.profile.clone(), plan.load.seed);
        let standins = StandinSet::start(&profile.standins(seed)).await?;
        let platform = standins.platform.clone();
        platform.set_cross_data_centre_delay_ms(profile.delay_ms);
        let document = FleetDocument::new(&profile);
        let operator = Operator::new(platform.log.clone());
        operator.publish(&document);
        let nodes = FleetNodes::new(platform.clone(), profile.routers(), &plan.paused_routers());
        for index in 0..profile.routers().len() {
            nodes.start(index).await?;
        }
        let fleet = Self {
            sampler: ConfigurationSampler::start(nodes.clone(), platform),
            profile,
            document,
            standins,
            nodes,
            operator,
            planned_stops: Arc::default(),
            heals_ms: Arc::default(),
            silences_ms: Arc::default(),
            usage_at_start: Arc::default(),
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the nodes to which callers may send requests.
    #[must_use]
    pub fn directory(&self) -> &NodeDirectory {
        self.nodes.directory()
    }

    /// Returns the document with the callers' keys.
    #[must_use]
    pub fn document(&self) -> &FleetDocument {
        &self.document
    }

    /// Returns the name of each running node and the address of its operators' interface.
    #[must_use]
    pub fn operators_addresses(&self) -> Vec<(String, std::net::SocketAddr)> {
        let slots = self.nodes.slots().into_iter();
        let addresses = slots.filter_map(|slot| Some((slot.instance, slot.operators?)));
        addresses.collect()
    }

    /// Starts counting appends and control traffic.
    pub fn start_counting(&self) {
        *lock(&self.usage_at_start) = usage(&self.standins.platform);
    }

    /// Waits until all answers are billed in the log and no tokens are held, or until a timeout, and
    /// returns the whole history.
    pub async fn collect_history(
        &self,
        requests: Vec<RequestHistory>,
        duration_ms: u64,
    ) -> History {
        let before = *lock(&self.usage_at_start);
        let after = usage(&self.standins.platform);
        let mut history = History {
            requests,
            duration_ms,
            nodes: self.profile.routers().len() as u64,
            appends: after.appends - before.appends,
            control_bytes: after.control_bytes - before.control_bytes,
            ..History::default()
        };
        for _ in 0..MAX_SETTLE_POLLS {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.read_streams(&mut history);
            let figures = check(&history).figures;
            if figures.unbilled == 0 && figures.stranded_tokens_end == 0 {
                break;
            }
        }
        self.read_streams(&mut history);
        history.heals_ms = lock(&self.heals_ms).clone();
        history.silences_ms = lock(&self.silences_ms).clone();
        history.planned_stops = lock(&self.planned_stops).clone();
        history.configuration_samples = self.sampler.samples();
        history.runs = self.target_runs();
        history
    }

    /// Kills all nodes.
    pub async fn shut_down(self) {
        self.nodes.kill_all().await;
    }

    pub(crate) fn record_planned_stop(&self, node: &str, at_ms: u64) {
        lock(&self.planned_stops).push((node.to_owned(), at_ms));
    }

    pub(crate) fn record_heal(&self, at_ms: u64) {
        lock(&self.heals_ms).push(at_ms);
    }

    pub(crate) fn record_silence(&self, at_ms: u64) {
        lock(&self.silences_ms).push(at_ms);
    }

    fn read_streams(&self, history: &mut History) {
        history.records.clear();
        history.releases.clear();
        history.statements.clear();
        history.edits.clear();
        read_log(&self.standins.platform.log, history);
        self.operator
            .read_edits(&self.profile, &self.document, history);
    }

    fn target_runs(&self) -> Vec<TargetRun> {
        let engines = self.standins.engines.iter().flat_map(EngineStandin::runs);
        let engines = engines.map(|run| TargetRun {
            target: run.engine,
            at_ms: run.received_at_ms,
            request_id: request_id_in_message(&run.last_message),
            after_leaving_ms: run.after_leaving_ms,
            generated_tokens: run.generated_tokens,
        });
        let services = self.standins.services.iter().flat_map(|service| {
            let name = service.name().to_owned();
            let runs = service.runs().into_iter();
            runs.map(move |run| TargetRun {
                target: name.clone(),
                at_ms: run.at_ms,
                request_id: run.idempotency_key.or(run.request_id).unwrap_or_default(),
                after_leaving_ms: None,
                generated_tokens: 0,
            })
        });
        engines.chain(services).collect()
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let nodes = self.profile.routers().len();
        for _ in 0..MAX_READY_POLLS {
            tokio::time::sleep(POLL_INTERVAL).await;
            let samples = self.sampler.samples();
            let last = samples.iter().rev().take(nodes * 3);
            let in_force = last.filter(|sample| sample.version > 0);
            if in_force.count() == nodes * 3 {
                return Ok(());
            }
        }
        Err(io::Error::other(
            "the document is not in force at all nodes",
        ))
    }
}

fn usage(platform: &Platform) -> Usage {
    Usage {
        appends: platform.log.appends(),
        control_bytes: platform.control_bytes(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
