//! Stand-in for the platform's append-only log.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use toucan_platform::formats::{LogAppended, LogPage, LogRecord, LogStreamState};
use volo_http::response::Response;

use crate::clock::now_ms;
use crate::http_call::{
    HttpCall, aborted_response, json_response, text_response, too_many_requests,
};
use crate::http_server::{HttpHandler, any_loopback_port, serve};
use crate::rate_limiter::RateLimiter;

/// Maximum time that a read waits for a record, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Maximum number of records per page if the read sets no limit.
const DEFAULT_PAGE_RECORDS: u64 = 1_000;

/// A record as stored in the log, independent of what callers were told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time of the append, in milliseconds since 1970.
    pub appended_at_ms: u64,
    /// Content.
    pub data: Bytes,
}

#[derive(Default)]
struct StoredStream {
    records: Vec<StoredRecord>,
    first_offset: u64,
}

struct State {
    streams: BTreeMap<String, StoredStream>,
    last_append_ms: u64,
    rate_limiter: RateLimiter,
    random: StdRng,
}

struct Shared {
    state: Mutex<State>,
    appended: Notify,
    down: AtomicBool,
    delay_ms: AtomicU64,
    response_loss_permille: AtomicU64,
    retention_records: AtomicU64,
    appends_refused: AtomicU64,
    bytes_read: AtomicU64,
}

/// A log with offsets, limited retention, a limited append rate and injected faults.
///
/// [`LogStandin::records`] also returns expired records, so that a test can check all of them.
#[derive(Clone)]
pub struct LogStandin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl LogStandin {
    /// Starts the log on loopback; `seed` decides which responses are lost.
    pub async fn start(seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                streams: BTreeMap::new(),
                last_append_ms: 0,
                rate_limiter: RateLimiter::new(0),
                random: StdRng::seed_from_u64(seed),
            }),
            appended: Notify::new(),
            down: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            response_loss_permille: AtomicU64::new(0),
            retention_records: AtomicU64::new(u64::MAX),
            appends_refused: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
        });
        let address = serve(Arc::clone(&shared), any_loopback_port()).await?;
        Ok(Self { shared, address })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// While set, all calls are answered with 503.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.appended.notify_waiters();
    }

    /// Sets the delay of each call, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Sets how many of 1000 responses to appends are lost, after the record was appended.
    pub fn set_response_loss_permille(&self, permille: u64) {
        self.shared
            .response_loss_permille
            .store(permille, Ordering::Relaxed);
    }

    /// Sets the maximum rate of appends to all streams together; 0 for no limit.
    pub fn set_append_rate_per_s(&self, appends_per_s: u64) {
        self.shared.state().rate_limiter = RateLimiter::new(appends_per_s);
    }

    /// Sets the number of records retained per stream; older ones expire.
    pub fn set_retention_records(&self, records: u64) {
        self.shared
            .retention_records
            .store(records, Ordering::Relaxed);
    }

    /// Returns the names of the streams that hold records.
    pub fn stream_names(&self) -> Vec<String> {
        self.shared.state().streams.keys().cloned().collect()
    }

    /// Returns all records ever appended to a stream, including expired ones.
    pub fn records(&self, stream: &str) -> Vec<StoredRecord> {
        let state = self.shared.state();
        let stored = state.streams.get(stream);
        stored.map_or_else(Vec::new, |stored| stored.records.clone())
    }

    /// Returns the number of records appended to all streams.
    pub fn appends(&self) -> u64 {
        let state = self.shared.state();
        let counts = state
            .streams
            .values()
            .map(|stored| stored.records.len() as u64);
        counts.sum()
    }

    /// Returns the number of appends refused over the rate or while down.
    pub fn appends_refused(&self) -> u64 {
        self.shared.appends_refused.load(Ordering::Relaxed)
    }

    /// Returns the bytes of record content that were sent to readers.
    pub fn bytes_read(&self) -> u64 {
        self.shared.bytes_read.load(Ordering::Relaxed)
    }

    /// Appends a record regardless of faults and rate, and returns its offset.
    pub fn append(&self, stream: &str, data: impl Into<Bytes>) -> u64 {
        let offset = self.shared.state().append(stream, data.into());
        self.shared.appended.notify_waiters();
        offset
    }
}

impl State {
    fn append(&mut self, stream: &str, data: Bytes) -> u64 {
        self.last_append_ms = self.last_append_ms.max(now_ms());
        let appended_at_ms = self.last_append_ms;
        let stored = self.streams.entry(stream.to_owned()).or_default();
        let offset = stored.records.len() as u64;
        stored.records.push(StoredRecord {
            offset,
            appended_at_ms,
            data,
        });
        offset
    }

    fn offset_range(&mut self, stream: &str, retention_records: u64) -> LogStreamState {
        let Some(stored) = self.streams.get_mut(stream) else {
            return LogStreamState {
                first_offset: 0,
                next_offset: 0,
            };
        };
        let next_offset = stored.records.len() as u64;
        let first_retained = next_offset.saturating_sub(retention_records);
        stored.first_offset = stored.first_offset.max(first_retained);
        LogStreamState {
            first_offset: stored.first_offset,
            next_offset,
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, data: Bytes) -> Response {
        let loss_permille = self.response_loss_permille.load(Ordering::Relaxed);
        let (offset, loses_response) = {
            let mut state = self.state();
            if !state.rate_limiter.admit(now_ms()) {
                self.appends_refused.fetch_add(1, Ordering::Relaxed);
                return too_many_requests(1);
            }
            let offset = state.append(stream, data);
            (offset, state.random.random_range(0..1_000) < loss_permille)
        };
        self.appended.notify_waiters();
        if loses_response {
            return aborted_response();
        }
        json_response(StatusCode::OK, &LogAppended { offset })
    }

    async fn read(&self, stream: &str, call: &HttpCall) -> Response {
        let from = call.query_number("from").unwrap_or(0);
        let limit = call.query_number("limit").unwrap_or(DEFAULT_PAGE_RECORDS);
        let wait_ms = call.query_number("wait_ms").unwrap_or(0);
        let deadline =
            tokio::time::Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            // Registered before the check, so that an append in between is not missed.
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            if self.down.load(Ordering::Relaxed) {
                return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
            }
            match self.page(stream, from, limit) {
                Err(offset_range) => return json_response(StatusCode::GONE, &offset_range),
                Ok(page) if !page.records.is_empty() => {
                    return json_response(StatusCode::OK, &page);
                }
                Ok(page) => {
                    if tokio::time::timeout_at(deadline, appended).await.is_err() {
                        return json_response(StatusCode::OK, &page);
                    }
                }
            }
        }
    }

    fn page(&self, stream: &str, from: u64, limit: u64) -> Result<LogPage, LogStreamState> {
        let mut state = self.state();
        let offset_range =
            state.offset_range(stream, self.retention_records.load(Ordering::Relaxed));
        if from < offset_range.first_offset {
            return Err(offset_range);
        }
        let stored = state.streams.get(stream);
        let records = stored.map_or(&[][..], |stored| stored.records.as_slice());
        let start = usize::try_from(from).unwrap_or(usize::MAX);
        let count = usize::try_from(limit).unwrap_or(usize::MAX);
        let selected = records.iter().skip(start).take(count);
        let records: Vec<LogRecord> = selected
            .map(|record| {
                self.bytes_read
                    .fetch_add(record.data.len() as u64, Ordering::Relaxed);
                LogRecord {
                    offset: record.offset,
                    appended_at_ms: record.appended_at_ms,
                    data: BASE64_STANDARD.encode(&record.data),
                }
            })
            .collect();
        Ok(LogPage {
            records,
            next_offset: offset_range.next_offset,
        })
    }
}

impl HttpHandler for Shared {
    async fn handle(self: Arc<Self>, call: HttpCall) -> Response {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.down.load(Ordering::Relaxed) {
            if call.method == Method::POST {
                self.appends_refused.fetch_add(1, Ordering::Relaxed);
            }
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let segments = call.segments();
        match (&call.method, segments.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => {
                self.append(stream, call.body.clone())
            }
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, &call).await,
            (&Method::GET, ["streams", stream]) => {
                let retention_records = self.retention_records.load(Ordering::Relaxed);
                let offset_range = self.state().offset_range(stream, retention_records);
                json_response(StatusCode::OK, &offset_range)
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
