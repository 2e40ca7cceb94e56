//! Stand-in for the platform's VM list, which lags.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{Method, StatusCode};
use toucan_platform::formats::{VmEntry, VmList, VmState};
use toucan_types::FastHashMap;
use volo_http::response::Response;

use crate::clock::now_ms;
use crate::http_call::{HttpCall, json_response, text_response};
use crate::http_server::{HttpHandler, any_loopback_port, serve};

/// Data centre that reads the list, and VM instance that the relay leads to.
type RelayKey = (String, String);

#[derive(Default)]
struct State {
    vms: Vec<VmEntry>,
    /// All versions of the list, each with the time of its change, in milliseconds since 1970.
    history: VecDeque<(u64, Vec<VmEntry>)>,
    relays: FastHashMap<RelayKey, String>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    down: AtomicBool,
    lag_ms: AtomicU64,
}

/// HTTP interface of the list for one data centre.
struct DataCentreView {
    data_centre: String,
    shared: Arc<Shared>,
}

/// A VM list that lags and shows each data centre its own relay addresses.
#[derive(Clone, Default)]
pub struct VmListStandin {
    shared: Arc<Shared>,
}

impl VmListStandin {
    /// Creates an empty list without lag.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the list to one data centre and returns the address.
    pub async fn serve_view(&self, data_centre: impl Into<String>) -> io::Result<SocketAddr> {
        let view = DataCentreView {
            data_centre: data_centre.into(),
            shared: Arc::clone(&self.shared),
        };
        serve(Arc::new(view), any_loopback_port()).await
    }

    /// While set, all calls are answered with 503.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Sets the age of the state that the list shows, in milliseconds.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.shared.lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Adds a VM, with the current time as the start of its state.
    pub fn add(&self, entry: VmEntry) {
        self.shared.change(|vms, now_ms| {
            vms.push(VmEntry {
                since_ms: now_ms,
                ..entry
            });
        });
    }

    /// Sets the state of a VM instance, with the current time as its start.
    pub fn set_state(&self, instance: &str, state: VmState) {
        self.shared.change(|vms, now_ms| {
            for vm in vms.iter_mut().filter(|vm| vm.instance == instance) {
                vm.state = state;
                vm.since_ms = now_ms;
            }
        });
    }

    /// Sets the relay address that a data centre sees for a VM instance.
    pub fn set_relay_address(&self, data_centre: &str, instance: &str, address: SocketAddr) {
        let key = (data_centre.to_owned(), instance.to_owned());
        self.shared.state().relays.insert(key, address.to_string());
    }

    /// Returns the VMs in their current state, without lag.
    pub fn current_vms(&self) -> Vec<VmEntry> {
        self.shared.state().vms.clone()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut Vec<VmEntry>, u64)) {
        let now_ms = now_ms();
        let mut state = self.state();
        change(&mut state.vms, now_ms);
        let vms = state.vms.clone();
        state.history.push_back((now_ms, vms));
    }

    fn list(&self, data_centre: &str) -> VmList {
        let as_of_ms = now_ms().saturating_sub(self.lag_ms.load(Ordering::Relaxed));
        let state = self.state();
        let visible = state
            .history
            .iter()
            .rev()
            .find(|(changed_at_ms, _)| *changed_at_ms <= as_of_ms);
        let mut vms = visible.map_or_else(Vec::new, |(_, vms)| vms.clone());
        for vm in &mut vms {
            let key = (data_centre.to_owned(), vm.instance.clone());
            if let Some(relay) = state.relays.get(&key) {
                vm.address.clone_from(relay);
            }
        }
        VmList { as_of_ms, vms }
    }
}

impl HttpHandler for DataCentreView {
    async fn handle(self: Arc<Self>, call: HttpCall) -> Response {
        if self.shared.down.load(Ordering::Relaxed) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["vms"]) => {
                json_response(StatusCode::OK, &self.shared.list(&self.data_centre))
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
