//! Stand-in for a plain service that records the calls it ran.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use toucan_platform::formats::{HEADER_FENCING_NUMBER, HEADER_REQUEST_ID};
use volo_http::response::Response;

use crate::clock::now_ms;
use crate::http_call::{self, HttpCall, aborted_response, text_response};
use crate::http_server::{HttpHandler, any_loopback_port, serve};

/// A call that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Time of the run's start, in milliseconds since 1970.
    pub at_ms: u64,
    /// HTTP method.
    pub method: String,
    /// Path of the URL, without the query.
    pub path: String,
    /// Header `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Header `x-request-id`.
    pub request_id: Option<String>,
    /// Header `x-fencing-number`.
    pub fencing_number: Option<u64>,
    /// Body of the request.
    pub body: bytes::Bytes,
}

struct Shared {
    name: String,
    runs: Mutex<Vec<ServiceRun>>,
    random: Mutex<StdRng>,
    run_time_ms: AtomicU64,
    down: AtomicBool,
    response_loss_permille: AtomicU64,
}

/// A plain service that runs and records every call, including repeated ones.
#[derive(Clone)]
pub struct ServiceStandin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl ServiceStandin {
    /// Starts the service; `seed` decides which responses are lost.
    pub async fn start(name: impl Into<String>, seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: name.into(),
            runs: Mutex::new(Vec::new()),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            run_time_ms: AtomicU64::new(1),
            down: AtomicBool::new(false),
            response_loss_permille: AtomicU64::new(0),
        });
        let address = serve(Arc::clone(&shared), any_loopback_port()).await?;
        Ok(Self { shared, address })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Sets the time that a call takes, in milliseconds.
    pub fn set_run_time_ms(&self, run_time_ms: u64) {
        self.shared
            .run_time_ms
            .store(run_time_ms, Ordering::Relaxed);
    }

    /// While set, all calls are answered with 503 and none is run.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Sets how many of 1000 responses are lost, after the call ran.
    pub fn set_response_loss_permille(&self, permille: u64) {
        self.shared
            .response_loss_permille
            .store(permille, Ordering::Relaxed);
    }

    /// Returns all calls that ran.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.shared.runs().clone()
    }
}

impl Shared {
    fn runs(&self) -> MutexGuard<'_, Vec<ServiceRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn loses_response(&self) -> bool {
        let permille = self.response_loss_permille.load(Ordering::Relaxed);
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random_range(0..1_000) < permille
    }
}

impl HttpHandler for Shared {
    async fn handle(self: Arc<Self>, call: HttpCall) -> Response {
        if self.down.load(Ordering::Relaxed) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let header = |name: &str| call.header(name).map(str::to_owned);
        let run = ServiceRun {
            at_ms: now_ms(),
            method: call.method.to_string(),
            path: call.path.clone(),
            idempotency_key: header("idempotency-key"),
            request_id: header(HEADER_REQUEST_ID),
            fencing_number: header(HEADER_FENCING_NUMBER).and_then(|text| text.parse().ok()),
            body: call.body.clone(),
        };
        // Recorded before the wait: the call ran even if the caller disconnects meanwhile.
        let run_number = {
            let mut runs = self.runs();
            runs.push(run);
            runs.len()
        };
        tokio::time::sleep(Duration::from_millis(
            self.run_time_ms.load(Ordering::Relaxed),
        ))
        .await;
        if self.loses_response() {
            return aborted_response();
        }
        let echo = String::from_utf8_lossy(&call.body).into_owned();
        let body = json!({
            "service": self.name,
            "run": run_number,
            "method": call.method.as_str(),
            "path": call.path,
            "echo": echo,
        });
        http_call::json_response(StatusCode::OK, &body)
    }
}
