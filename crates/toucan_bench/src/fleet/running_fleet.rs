//! A running fleet with all that surrounds it.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use toucan_standins::{EngineStandin, Platform, StandinSet};

use super::configuration_watch::ConfigurationWatch;
use super::fleet_nodes::FleetNodes;
use super::log_reading::read_log;
use super::operator::Operator;
use crate::checker::check;
use crate::history::{History, RequestHistory, TargetRun};
use crate::load::{NodeDirectory, draft_id};
use crate::plan::Plan;
use crate::profile::{DocumentTexts, FleetProfile};

/// Time between two looks at whether the fleet is ready or settled.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Looks until a fleet that is not ready has failed to start.
const READY_LOOKS: usize = 75;
/// Looks until bills and releases that have not come are reported as missing.
const SETTLE_LOOKS: usize = 75;

/// A running fleet: nodes, stand-ins and operators on loopback.
#[derive(Clone)]
pub struct Fleet {
    pub(crate) profile: FleetProfile,
    pub(crate) document: DocumentTexts,
    pub(crate) standins: StandinSet,
    pub(crate) nodes: FleetNodes,
    pub(crate) operator: Operator,
    watch: ConfigurationWatch,
    planned_stops: Arc<Mutex<Vec<(String, u64)>>>,
    heals_ms: Arc<Mutex<Vec<u64>>>,
    silences_ms: Arc<Mutex<Vec<u64>>>,
    start: Arc<Mutex<Usage>>,
}

/// What the platform carried up to some time.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    appends: u64,
    control_bytes: u64,
}

impl Fleet {
    /// Starts the fleet of a plan and waits until the document is in force at every node.
    ///
    /// Routers that the plan pauses get processes of their own.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let (profile, seed) = (plan.profile.clone(), plan.load.seed);
        let standins = StandinSet::start(&profile.standins(seed)).await?;
        let platform = standins.platform.clone();
        platform.set_cross_data_centre_delay_ms(profile.delay_ms);
        let document = DocumentTexts::of(&profile);
        let operator = Operator::new(platform.log.clone());
        operator.publish(&document);
        let nodes = FleetNodes::new(platform.clone(), profile.routers(), &plan.paused_routers());
        for index in 0..profile.routers().len() {
            nodes.start(index).await?;
        }
        let fleet = Self {
            watch: ConfigurationWatch::start(nodes.clone(), platform),
            profile,
            document,
            standins,
            nodes,
            operator,
            planned_stops: Arc::default(),
            heals_ms: Arc::default(),
            silences_ms: Arc::default(),
            start: Arc::default(),
        };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Nodes that callers may be sent to.
    #[must_use]
    pub fn directory(&self) -> &NodeDirectory {
        self.nodes.directory()
    }

    /// The document with the callers' keys.
    #[must_use]
    pub fn document(&self) -> &DocumentTexts {
        &self.document
    }

    /// Address of each node's operators' interface, with its name.
    #[must_use]
    pub fn operators_addresses(&self) -> Vec<(String, std::net::SocketAddr)> {
        let places = self.nodes.places().into_iter();
        let addresses = places.filter_map(|place| Some((place.instance, place.operators?)));
        addresses.collect()
    }

    /// Counts appends and bytes from now on.
    pub fn start_counting(&self) {
        *lock(&self.start) = usage(&self.standins.platform);
    }

    /// Waits until the bills of all answers are in the log and nothing is held, or patience ends;
    /// then gives the whole history.
    pub async fn settle(&self, requests: Vec<RequestHistory>, duration_ms: u64) -> History {
        let start = *lock(&self.start);
        let end = usage(&self.standins.platform);
        let mut history = History {
            requests,
            duration_ms,
            nodes: self.profile.routers().len() as u64,
            appends: end.appends - start.appends,
            control_bytes: end.control_bytes - start.control_bytes,
            ..History::default()
        };
        for _ in 0..SETTLE_LOOKS {
            tokio::time::sleep(LOOK_INTERVAL).await;
            self.read_records(&mut history);
            let figures = check(&history).figures;
            if figures.unbilled == 0 && figures.stranded_tokens_end == 0 {
                break;
            }
        }
        self.read_records(&mut history);
        history.heals_ms = lock(&self.heals_ms).clone();
        history.silences_ms = lock(&self.silences_ms).clone();
        history.planned_stops = lock(&self.planned_stops).clone();
        history.configuration_samples = self.watch.samples();
        history.runs = self.runs();
        history
    }

    /// Ends all nodes.
    pub async fn end(self) {
        self.nodes.end().await;
    }

    pub(crate) fn note_planned_stop(&self, node: &str, at_ms: u64) {
        lock(&self.planned_stops).push((node.to_owned(), at_ms));
    }

    pub(crate) fn note_heal(&self, at_ms: u64) {
        lock(&self.heals_ms).push(at_ms);
    }

    pub(crate) fn note_silence(&self, at_ms: u64) {
        lock(&self.silences_ms).push(at_ms);
    }

    fn read_records(&self, history: &mut History) {
        history.records.clear();
        history.releases.clear();
        history.statements.clear();
        history.edits.clear();
        read_log(&self.standins.platform.log, history);
        self.operator
            .read_edits(&self.profile, &self.document, history);
    }

    fn runs(&self) -> Vec<TargetRun> {
        let engines = self.standins.engines.iter().flat_map(EngineStandin::runs);
        let engines = engines.map(|run| TargetRun {
            target: run.engine,
            at_ms: run.received_at_ms,
            request_id: draft_id(&run.last_message),
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

    async fn wait_ready(&self) -> io::Result<()> {
        let nodes = self.profile.routers().len();
        for _ in 0..READY_LOOKS {
            tokio::time::sleep(LOOK_INTERVAL).await;
            let samples = self.watch.samples();
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
