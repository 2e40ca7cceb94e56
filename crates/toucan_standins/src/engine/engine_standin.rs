//! Handle and shared state of an engine.

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
use crate::http_server::{any_loopback_port, serve};
use crate::weight_store_standin::WeightStoreStandin;

/// Mutable state of an engine.
pub(crate) struct EngineState {
    pub(crate) streams: FastHashMap<String, Arc<StreamState>>,
    /// All requests ever accepted, in order of acceptance.
    pub(crate) accepted: Vec<Arc<StreamState>>,
    pub(crate) waiting: VecDeque<Arc<StreamState>>,
    pub(crate) running: Vec<Arc<StreamState>>,
    pub(crate) cache: PrefixCache,
    pub(crate) models: Vec<String>,
    pub(crate) role: EngineRole,
    pub(crate) fencing_number: u64,
    pub(crate) leaving_since_ms: Option<u64>,
    pub(crate) load_reports: VecDeque<EngineLoad>,
    /// Time in milliseconds since 1970 and number of tokens of each step of the last second.
    pub(crate) step_tokens: VecDeque<(u64, u64)>,
    pub(crate) orders: Vec<ReceivedOrder>,
}

/// Parts of an engine that its handle, server and tasks share.
pub(crate) struct EngineShared {
    pub(crate) settings: EngineSettings,
    pub(crate) weight_store: Option<WeightStoreStandin>,
    pub(crate) address: OnceLock<SocketAddr>,
    pub(crate) work: Notify,
    pub(crate) silent: AtomicBool,
    pub(crate) silence_changed: Notify,
    pub(crate) crashed: AtomicBool,
    pub(crate) generated_ids: AtomicU64,
    state: Mutex<EngineState>,
}

/// A model engine with fault injection.
#[derive(Clone)]
pub struct EngineStandin {
    shared: Arc<EngineShared>,
    address: SocketAddr,
}

impl EngineStandin {
    /// Starts an engine; with a weight store, it loads a model only if the store admits the
    /// download.
    pub async fn start(
        settings: EngineSettings,
        weight_store: Option<WeightStoreStandin>,
    ) -> io::Result<Self> {
        let state = EngineState {
            streams: FastHashMap::default(),
            accepted: Vec::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(&settings),
            models: settings.models.clone(),
            role: EngineRole::Both,
            fencing_number: 0,
            leaving_since_ms: None,
            load_reports: VecDeque::new(),
            step_tokens: VecDeque::new(),
            orders: Vec::new(),
        };
        let shared = Arc::new(EngineShared {
            settings,
            weight_store,
            address: OnceLock::new(),
            work: Notify::new(),
            silent: AtomicBool::new(false),
            silence_changed: Notify::new(),
            crashed: AtomicBool::new(false),
            generated_ids: AtomicU64::new(0),
            state: Mutex::new(state),
        });
        let address = serve(Arc::clone(&shared), any_loopback_port()).await?;
        shared.address.get_or_init(|| address);
        tokio::spawn(run_batch(Arc::clone(&shared)));
        tokio::spawn(run_load_reports(Arc::clone(&shared)));
        Ok(Self { shared, address })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name given in the settings.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// While set, the engine neither generates nor answers, but keeps its state.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
        self.shared.silence_changed.notify_waiters();
    }

    /// While set, the engine breaks off every call; setting it cancels all streams and clears the
    /// cache.
    pub fn set_crashed(&self, crashed: bool) {
        self.shared.crashed.store(crashed, Ordering::Relaxed);
        if !crashed {
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

    /// Sets whether the engine reports that it will stop soon; it accepts requests all the same.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving_since_ms = leaving.then(now_ms);
    }

    /// Returns all requests accepted so far.
    pub fn runs(&self) -> Vec<EngineRun> {
        let state = self.shared.state();
        state
            .accepted
            .iter()
            .map(|stream| stream.execution_record())
            .collect()
    }

    /// Returns all orders received so far.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.shared.state().orders.clone()
    }

    /// Returns the number of requests that are waiting or running.
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
            // Registered before the check, so that a change in between is not missed.
            let silence_changed = self.silence_changed.notified();
            tokio::pin!(silence_changed);
            silence_changed.as_mut().enable();
            if !self.silent.load(Ordering::Relaxed) {
                return;
            }
            silence_changed.await;
        }
    }
}
