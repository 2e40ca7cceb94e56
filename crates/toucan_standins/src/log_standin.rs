//! Stand-in of the platform's append-only log.

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
use crate::http_call::{HttpCall, broken, json, text, too_many};
use crate::http_serve::{HttpStandin, any_loopback_port, serve};
use crate::rate_limit::RateLimit;

/// Longest wait for a record that a read may ask for, in milliseconds.
const LONGEST_WAIT_MS: u64 = 30_000;
/// Records of one page when the read names no limit.
const DEFAULT_PAGE_RECORDS: u64 = 1_000;

/// One record as it really stands in the log, whatever the readers were told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time of the append, in milliseconds since 1970.
    pub appended_at_ms: u64,
    /// Content.
    pub data: Bytes,
}

#[derive(Default)]
struct KeptStream {
    records: Vec<KeptRecord>,
    first_offset: u64,
}

struct State {
    streams: BTreeMap<String, KeptStream>,
    last_append_ms: u64,
    rate_limit: RateLimit,
    random: StdRng,
}

struct Shared {
    state: Mutex<State>,
    appended: Notify,
    down: AtomicBool,
    slow_ms: AtomicU64,
    lose_answers_permille: AtomicU64,
    retention_records: AtomicU64,
    appends_refused: AtomicU64,
    bytes_read: AtomicU64,
}

/// A log with offsets, limited retention, an append rate and outages.
///
/// Records that expired stay visible to [`LogStandin::records`], so that a check can read all.
#[derive(Clone)]
pub struct LogStandin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl LogStandin {
    /// Starts the log on loopback; `seed` decides which answers are lost.
    pub async fn start(seed: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                streams: BTreeMap::new(),
                last_append_ms: 0,
                rate_limit: RateLimit::new(0),
                random: StdRng::seed_from_u64(seed),
            }),
            appended: Notify::new(),
            down: AtomicBool::new(false),
            slow_ms: AtomicU64::new(0),
            lose_answers_permille: AtomicU64::new(0),
            retention_records: AtomicU64::new(u64::MAX),
            appends_refused: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
        });
        let address = serve(Arc::clone(&shared), any_loopback_port()).await?;
        Ok(Self { shared, address })
    }

    /// Address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers everything with 503 while set.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.appended.notify_waiters();
    }

    /// Delays each call, in milliseconds.
    pub fn set_delay_ms(&self, slow_ms: u64) {
        self.shared.slow_ms.store(slow_ms, Ordering::Relaxed);
    }

    /// Loses this share of the answers to appends after the record was appended.
    pub fn set_response_loss_permille(&self, permille: u64) {
        self.shared
            .lose_answers_permille
            .store(permille, Ordering::Relaxed);
    }

    /// Limits the appends of all streams together; 0 lifts the limit.
    pub fn set_append_rate_per_s(&self, appends_per_s: u64) {
        self.shared.state().rate_limit = RateLimit::new(appends_per_s);
    }

    /// Lets records expire beyond this number in a stream.
    pub fn set_retention_records(&self, records: u64) {
        self.shared
            .retention_records
            .store(records, Ordering::Relaxed);
    }

    /// Names of the streams that hold records.
    pub fn stream_names(&self) -> Vec<String> {
        self.shared.state().streams.keys().cloned().collect()
    }

    /// All records of a stream that were ever appended, expired ones too.
    pub fn records(&self, stream: &str) -> Vec<KeptRecord> {
        let state = self.shared.state();
        let kept = state.streams.get(stream);
        kept.map_or_else(Vec::new, |kept| kept.records.clone())
    }

    /// Number of records appended to all streams.
    pub fn appends(&self) -> u64 {
        let state = self.shared.state();
        let counts = state.streams.values().map(|kept| kept.records.len() as u64);
        counts.sum()
    }

    /// Number of appends refused over the rate or while down.
    pub fn appends_refused(&self) -> u64 {
        self.shared.appends_refused.load(Ordering::Relaxed)
    }

    /// Bytes of record content that reads were answered with.
    pub fn bytes_read(&self) -> u64 {
        self.shared.bytes_read.load(Ordering::Relaxed)
    }

    /// Appends a record past all faults, as an operator at the platform would.
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
        let kept = self.streams.entry(stream.to_owned()).or_default();
        let offset = kept.records.len() as u64;
        kept.records.push(KeptRecord {
            offset,
            appended_at_ms,
            data,
        });
        offset
    }

    fn extent(&mut self, stream: &str, retention_records: u64) -> LogStreamState {
        let Some(kept) = self.streams.get_mut(stream) else {
            return LogStreamState {
                first_offset: 0,
                next_offset: 0,
            };
        };
        let next_offset = kept.records.len() as u64;
        let oldest = next_offset.saturating_sub(retention_records);
        kept.first_offset = kept.first_offset.max(oldest);
        LogStreamState {
            first_offset: kept.first_offset,
            next_offset,
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, data: Bytes) -> Response {
        let lose_permille = self.lose_answers_permille.load(Ordering::Relaxed);
        let (offset, lost) = {
            let mut state = self.state();
            if !state.rate_limit.admit(now_ms()) {
                self.appends_refused.fetch_add(1, Ordering::Relaxed);
                return too_many(1);
            }
            let offset = state.append(stream, data);
            (offset, state.random.random_range(0..1_000) < lose_permille)
        };
        self.appended.notify_waiters();
        if lost {
            return broken();
        }
        json(StatusCode::OK, &LogAppended { offset })
    }

    async fn read(&self, stream: &str, call: &HttpCall) -> Response {
        let from = call.query_number("from").unwrap_or(0);
        let limit = call.query_number("limit").unwrap_or(DEFAULT_PAGE_RECORDS);
        let wait_ms = call.query_number("wait_ms").unwrap_or(0);
        let deadline =
            tokio::time::Instant::now() + Duration::from_millis(wait_ms.min(LONGEST_WAIT_MS));
        loop {
            // Registered before looking, so that an append in between wakes the wait.
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            if self.down.load(Ordering::Relaxed) {
                return text(StatusCode::SERVICE_UNAVAILABLE, "down");
            }
            match self.page(stream, from, limit) {
                Err(expired) => return json(StatusCode::GONE, &expired),
                Ok(page) if !page.records.is_empty() => return json(StatusCode::OK, &page),
                Ok(page) => {
                    if tokio::time::timeout_at(deadline, appended).await.is_err() {
                        return json(StatusCode::OK, &page);
                    }
                }
            }
        }
    }

    fn page(&self, stream: &str, from: u64, limit: u64) -> Result<LogPage, LogStreamState> {
        let mut state = self.state();
        let extent = state.extent(stream, self.retention_records.load(Ordering::Relaxed));
        if from < extent.first_offset {
            return Err(extent);
        }
        let kept = state.streams.get(stream);
        let records = kept.map_or(&[][..], |kept| kept.records.as_slice());
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
            next_offset: extent.next_offset,
        })
    }
}

impl HttpStandin for Shared {
    async fn answer(self: Arc<Self>, call: HttpCall) -> Response {
        let slow_ms = self.slow_ms.load(Ordering::Relaxed);
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        if self.down.load(Ordering::Relaxed) {
            if call.method == Method::POST {
                self.appends_refused.fetch_add(1, Ordering::Relaxed);
            }
            return text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let segments = call.segments();
        match (&call.method, segments.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => {
                self.append(stream, call.body.clone())
            }
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, &call).await,
            (&Method::GET, ["streams", stream]) => {
                let retention = self.retention_records.load(Ordering::Relaxed);
                let extent = self.state().extent(stream, retention);
                json(StatusCode::OK, &extent)
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
