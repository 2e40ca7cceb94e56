//! Stand-in of a plain service that counts what it ran.

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
use crate::http_call::{self, HttpCall, broken, text};
use crate::http_serve::{HttpStandin, any_loopback_port, serve};

/// One call that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Time at which it ran, in milliseconds since 1970.
    pub at_ms: u64,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Header `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Header `x-request-id`.
    pub request_id: Option<String>,
    /// Header `x-fencing-number`.
    pub fencing_number: Option<u64>,
    /// Body.
    pub body: bytes::Bytes,
}

struct Shared {
    name: String,
    runs: Mutex<Vec<ServiceRun>>,
    random: Mutex<StdRng>,
    run_ms: AtomicU64,
    refuse: AtomicBool,
    lose_answers_permille: AtomicU64,
}

/// A plain service that runs every call, also a repeated one, and keeps count.
#[derive(Clone)]
pub struct ServiceStandin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl ServiceStandin {
    /// Starts the service; `seed` decides which answers are lost.
    pub async fn start(name: impl Into<String>, seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: name.into(),
            runs: Mutex::new(Vec::new()),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            run_ms: AtomicU64::new(1),
            refuse: AtomicBool::new(false),
            lose_answers_permille: AtomicU64::new(0),
        });
        let address = serve(Arc::clone(&shared), any_loopback_port()).await?;
        Ok(Self { shared, address })
    }

    /// Address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name given at the start.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Time that a call takes, in milliseconds.
    pub fn set_run_time_ms(&self, run_ms: u64) {
        self.shared.run_ms.store(run_ms, Ordering::Relaxed);
    }

    /// Answers everything with 503 and runs nothing while set.
    pub fn set_down(&self, down: bool) {
        self.shared.refuse.store(down, Ordering::Relaxed);
    }

    /// Loses this share of the answers after the call ran.
    pub fn set_response_loss_permille(&self, permille: u64) {
        self.shared
            .lose_answers_permille
            .store(permille, Ordering::Relaxed);
    }

    /// All calls that ran.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.shared.runs().clone()
    }
}

impl Shared {
    fn runs(&self) -> MutexGuard<'_, Vec<ServiceRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn loses_answer(&self) -> bool {
        let permille = self.lose_answers_permille.load(Ordering::Relaxed);
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random_range(0..1_000) < permille
    }
}

impl HttpStandin for Shared {
    async fn answer(self: Arc<Self>, call: HttpCall) -> Response {
        if self.refuse.load(Ordering::Relaxed) {
            return text(StatusCode::SERVICE_UNAVAILABLE, "down");
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
        // Counted before the wait: a caller that leaves does not undo what it started.
        let number = {
            let mut runs = self.runs();
            runs.push(run);
            runs.len()
        };
        tokio::time::sleep(Duration::from_millis(self.run_ms.load(Ordering::Relaxed))).await;
        if self.loses_answer() {
            return broken();
        }
        let echo = String::from_utf8_lossy(&call.body).into_owned();
        let answer = json!({
            "service": self.name,
            "run": number,
            "method": call.method.as_str(),
            "path": call.path,
            "echo": echo,
        });
        http_call::json(StatusCode::OK, &answer)
    }
}
