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
const QUICK_MS: u64 = 1_500;
/// Maximum time to the head of a response after a failure, in milliseconds.
const PATIENT_MS: u64 = 10_000;
/// Time after a failure during which the long timeout applies, since the log may be slow.
const PATIENT_FOR: Duration = Duration::from_secs(5);

/// A log client with a short timeout, and a long one after a failure.
///
/// The short timeout limits the delay caused by a silent connection, since the next call uses a new
/// one. The long timeout lets calls succeed if the log is only slow.
pub(super) struct PatientLog {
    quick: LogClient,
    patient: LogClient,
    patient_until: Mutex<Option<Instant>>,
}

impl PatientLog {
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
            quick: client(QUICK_MS),
            patient: client(PATIENT_MS),
            patient_until: Mutex::new(None),
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
        self.note(matches!(read, Ok(_) | Err(ReadError::Expired { .. })));
        read
    }

    /// Appends one record; see [`LogClient::append`].
    pub(super) async fn append(
        &self,
        stream: &StreamName,
        data: Bytes,
    ) -> Result<Offset, AppendError> {
        let appended = self.client().append(stream, data).await;
        self.note(!matches!(appended, Err(AppendError::Unknown)));
        appended
    }

    fn client(&self) -> &LogClient {
        let until = self
            .patient_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_patient = until.is_some_and(|until| Instant::now() < until);
        if is_patient {
            &self.patient
        } else {
            &self.quick
        }
    }

    fn note(&self, is_answered: bool) {
        if is_answered {
            return;
        }
        let mut until = self
            .patient_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *until = Some(Instant::now() + PATIENT_FOR);
    }
}
