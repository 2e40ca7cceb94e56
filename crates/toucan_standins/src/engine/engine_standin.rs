//! Handle and shared state of one engine.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use tokio::sync::Notify;
use toucan_platform::formats::{EngineLoad, EngineRole};
use toucan_types::FastHashMap;

use super::batch::{run_batch, run_load_reports};
use super::prefix_cache::PrefixCache;
use super::stream_state::StreamState;
use super::{EngineRun, EngineSettings, ReceivedOrder};
use crate::clock::now_ms;
use crate::http_serve::{any_loopback_port, serve};
use crate::weight_store_standin::WeightStoreStandin;

/// What changes while an engine runs.
pub(crate) struct EngineState {
    pub(crate) streams: FastHashMap<String, Arc<StreamState>>,
    /// All requests ever taken, in order.
    pub(crate) taken: Vec<Arc<StreamState>>,
    pub(crate) waiting: VecDeque<Arc<StreamState>>,
    pub(crate) running: Vec<Arc<StreamState>>,
    pub(crate) cache: PrefixCache,
    pub(crate) models: Vec<String>,
    pub(crate) role: EngineRole,
    pub(crate) fencing_number: u64,
    pub(crate) leaving_since_ms: Option<u64>,
    pub(crate) load_reports: VecDeque<EngineLoad>,
    /// Tokens of each step of the last second with its time.
    pub(crate) generated: VecDeque<(u64, u64)>,
    pub(crate) orders: Vec<ReceivedOrder>,
}

/// One engine.
pub(crate) struct EngineShared {
    pub(crate) settings: EngineSettings,
    pub(crate) weights: Option<WeightStoreStandin>,
    pub(crate) address: OnceLock<SocketAddr>,
    pub(crate) work: Notify,
    pub(crate) silent: AtomicBool,
    pub(crate) heard: Notify,
    pub(crate) dead: AtomicBool,
    pub(crate) made_up_ids: AtomicU64,
    state: Mutex<EngineState>,
}

/// A model engine with faults.
#[derive(Clone)]
pub struct EngineStandin {
    shared: Arc<EngineShared>,
    address: SocketAddr,
}

impl EngineStandin {
    /// Starts an engine; with a weight store, loading a model asks it first.
    pub async fn start(
        settings: EngineSettings,
        weights: Option<WeightStoreStandin>,
    ) -> io::Result<Self> {
        let state = EngineState {
            streams: FastHashMap::default(),
            taken: Vec::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(&settings),
            models: settings.models.clone(),
            role: EngineRole::Both,
            fencing_number: 0,
            leaving_since_ms: None,
            load_reports: VecDeque::new(),
            generated: VecDeque::new(),
            orders: Vec::new(),
        };
        let shared = Arc::new(EngineShared {
            settings,
            weights,
            address: OnceLock::new(),
            work: Notify::new(),
            silent: AtomicBool::new(false),
            heard: Notify::new(),
            dead: AtomicBool::new(false),
            made_up_ids: AtomicU64::new(0),
            state: Mutex::new(state),
        });
        let address = serve(Arc::clone(&shared), any_loopback_port()).await?;
        shared.address.get_or_init(|| address);
        tokio::spawn(run_batch(Arc::clone(&shared)));
        tokio::spawn(run_load_reports(Arc::clone(&shared)));
        Ok(Self { shared, address })
    }

    /// Address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name given in the settings.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Stops generating and answering while set; nothing is lost.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
        self.shared.heard.notify_waiters();
    }

    /// Breaks every call while set; setting it forgets all streams and the cache.
    pub fn set_crashed(&self, dead: bool) {
        self.shared.dead.store(dead, Ordering::Relaxed);
        if !dead {
            return;
        }
        let mut state = self.shared.state();
        for (_, stream) in state.streams.drain() {
            stream.end("cancelled", now_ms());
        }
        state.waiting.clear();
        state.running.clear();
        state.cache.clear(now_ms());
    }

    /// Reports that the engine will stop soon; it still takes what it gets.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving_since_ms = leaving.then(now_ms);
    }

    /// All requests taken so far.
    pub fn runs(&self) -> Vec<EngineRun> {
        let state = self.shared.state();
        state.taken.iter().map(|stream| stream.record()).collect()
    }

    /// All orders received so far.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.shared.state().orders.clone()
    }

    /// Requests that wait or run.
    pub fn in_flight_requests(&self) -> usize {
        let state = self.shared.state();
        state.waiting.len() + state.running.len()
    }
}

impl EngineShared {
    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn own_address(&self) -> String {
        self.address
            .get()
            .map_or_else(String::new, SocketAddr::to_string)
    }

    pub(crate) async fn wait_while_silent(&self) {
        loop {
            // Registered before looking, so that a change in between wakes the wait.
            let heard = self.heard.notified();
            tokio::pin!(heard);
            heard.as_mut().enable();
            if !self.silent.load(Ordering::Relaxed) {
                return;
            }
            heard.await;
        }
    }
}
