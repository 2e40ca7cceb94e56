//! Stand-in for the platform's rate-limited weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{Method, StatusCode};
use toucan_platform::formats::WeightDownload;
use volo_http::response::Response;

use crate::clock::now_ms;
use crate::http_call::{HttpCall, json_response, text_response, too_many_requests};
use crate::http_server::{HttpHandler, any_loopback_port, serve};
use crate::rate_limiter::RateLimiter;

struct State {
    rate_limiter: RateLimiter,
    downloads: Vec<WeightDownload>,
    refused: u64,
}

struct Shared {
    state: Mutex<State>,
}

/// A weight store that admits a limited number of downloads per second.
#[derive(Clone)]
pub struct WeightStoreStandin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl WeightStoreStandin {
    /// Starts the store; a rate of 0 admits all downloads.
    pub async fn start(downloads_per_s: u64) -> io::Result<Self> {
        let state = State {
            rate_limiter: RateLimiter::new(downloads_per_s),
            downloads: Vec::new(),
            refused: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
        });
        let address = serve(Arc::clone(&shared), any_loopback_port()).await?;
        Ok(Self { shared, address })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the downloads admitted so far.
    pub fn downloads(&self) -> Vec<WeightDownload> {
        self.shared.state().downloads.clone()
    }

    /// Returns the number of downloads refused over the rate.
    pub fn refused(&self) -> u64 {
        self.shared.state().refused
    }

    /// Requests a download for an engine; returns false if it is over the rate.
    pub(crate) fn admit(&self, download: WeightDownload) -> bool {
        self.shared.admit(download)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, download: WeightDownload) -> bool {
        let mut state = self.state();
        let admitted = state.rate_limiter.admit(now_ms());
        if admitted {
            state.downloads.push(download);
        } else {
            state.refused += 1;
        }
        admitted
    }
}

impl HttpHandler for Shared {
    async fn handle(self: Arc<Self>, call: HttpCall) -> Response {
        match (&call.method, call.segments().as_slice()) {
            (&Method::POST, ["weights", "downloads"]) => {
                let download: WeightDownload = match call.json() {
                    Ok(download) => download,
                    Err(refusal) => return refusal.into(),
                };
                if self.admit(download.clone()) {
                    json_response(StatusCode::OK, &download)
                } else {
                    too_many_requests(1)
                }
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
