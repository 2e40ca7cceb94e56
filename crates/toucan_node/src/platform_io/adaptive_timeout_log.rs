//! A log client with a short timeout, and a long one after a failure.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use toucan_platform::{AppendError, ClientSettings, LogBatch, LogClient, ReadError};
use toucan_types::{Offset, StreamName};

/// Maximum time to the head of a response while the log responds, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 1_500;
/// Maximum time to the head of a response after a failure, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 10_000;
/// Time after a failure during which the long timeout applies, since the log may be slow.
const LONG_TIMEOUT_PERIOD: Duration = Duration::from_secs(5);

/// A log client with a short timeout, and a long one after a failure.
///
/// The short timeout limits the delay caused by a silent connection, since the next call uses a new
/// one. The long timeout lets calls succeed if the log is only slow.
pub(super) struct AdaptiveTimeoutLog {
    short_timeout_client: LogClient,
    long_timeout_client: LogClient,
    long_timeout_until: Mutex<Option<Instant>>,
}

impl AdaptiveTimeoutLog {
    /// Creates a client of the log at an address.
    pub(super) fn new(address: SocketAddr) -> Self {
        let client = |first_byte_timeout_ms| {
            let settings = ClientSettings::default();
            LogClient::with_settings(
                address,
                settings.with_first_byte_timeout_ms(first_byte_timeout_ms),
            )
        };
        Self {
            short_timeout_client: client(SHORT_TIMEOUT_MS),
            long_timeout_client: client(LONG_TIMEOUT_MS),
            long_timeout_until: Mutex::new(None),
        }
    }

    /// Reads records; see [`LogClient::read`].
    pub(super) async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        limit: usize,
        wait_ms: u64,
    ) -> Result<LogBatch, ReadError> {
        let read = self.client().read(stream, from, limit, wait_ms).await;
        self.record_outcome(matches!(read, Ok(_) | Err(ReadError::Expired { .. })));
        read
    }

    /// Appends one record; see [`LogClient::append`].
    pub(super) async fn append(
        &self,
        stream: &StreamName,
        data: Bytes,
    ) -> Result<Offset, AppendError> {
        let appended = self.client().append(stream, data).await;
        self.record_outcome(!matches!(appended, Err(AppendError::Unknown)));
        appended
    }

    fn client(&self) -> &LogClient {
        let until = self
            .long_timeout_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_long = until.is_some_and(|until| Instant::now() < until);
        if is_long {
            &self.long_timeout_client
        } else {
            &self.short_timeout_client
        }
    }

    fn record_outcome(&self, is_answered: bool) {
        if is_answered {
            return;
        }
        let mut until = self
            .long_timeout_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *until = Some(Instant::now() + LONG_TIMEOUT_PERIOD);
    }
}
