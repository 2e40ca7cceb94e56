//! Client of the append-only log.

use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http::StatusCode;
use serde::de::DeserializeOwned;
use toucan_types::{Offset, StreamName};

use crate::ClientSettings;
use crate::formats::{LogAppended, LogPage, LogRecord, LogStreamState};
use crate::http_target::HttpTarget;
use crate::outgoing_request::{
    OutgoingRequest, SendError, collect, is_unavailable, retry_after_ms,
};
use crate::url_segment::url_segment;

/// Client of the append-only log.
pub struct LogClient {
    target: HttpTarget,
}

/// Error of an append; states whether the record may have been appended.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum AppendError {
    /// not appended: over the rate of the log, again in {retry_after_ms} ms
    RateLimited {
        /// Retry delay requested by the log, in milliseconds.
        retry_after_ms: u64,
    },
    /// not appended: the log refuses the record with status {status}
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// not appended: the log is unavailable
    Unavailable,
    /// unknown whether the record was appended
    Unknown,
}

impl std::error::Error for AppendError {}

/// Error of reading records.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum ReadError {
    /// the offset has expired, the oldest record is {first}
    Expired {
        /// Offset of the oldest record.
        first: Offset,
    },
    /// the log is unavailable
    Unavailable,
    /// the log gave an answer that is not understood
    Malformed,
}

impl std::error::Error for ReadError {}

/// One record read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset of the record in its stream.
    pub offset: Offset,
    /// Time of the append by the log's clock, in milliseconds since 1970.
    pub appended_at_ms: u64,
    /// Content.
    pub data: Bytes,
}

/// Consecutive records in offset order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Records without gaps, starting at the requested offset.
    pub records: Vec<LogEntry>,
    /// Offset that the next append gets.
    pub next_offset: Offset,
}

/// Extent of one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogExtent {
    /// Offset of the oldest record that has not expired.
    pub first_offset: Offset,
    /// Offset that the next append gets.
    pub next_offset: Offset,
}

impl From<LogStreamState> for LogExtent {
    fn from(state: LogStreamState) -> Self {
        Self {
            first_offset: Offset(state.first_offset),
            next_offset: Offset(state.next_offset),
        }
    }
}

impl TryFrom<LogRecord> for LogEntry {
    type Error = ReadError;

    fn try_from(record: LogRecord) -> Result<Self, ReadError> {
        let Ok(data) = BASE64.decode(record.data) else {
            return Err(ReadError::Malformed);
        };
        Ok(Self {
            offset: Offset(record.offset),
            appended_at_ms: record.appended_at_ms,
            data: Bytes::from(data),
        })
    }
}

impl LogClient {
    /// Creates a client of the log at `address` with the default limits.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_settings(address, ClientSettings::default())
    }

    /// Creates a client of the log at `address`.
    #[must_use]
    pub fn with_settings(address: SocketAddr, settings: ClientSettings) -> Self {
        let target = HttpTarget::new(address, settings);
        Self { target }
    }

    /// Appends one record.
    ///
    /// # Errors
    ///
    /// [`AppendError::Unknown`] if the response was lost: the record may be in the log now or
    /// later, and only reading the log shows it. After all other errors it was not appended.
    pub async fn append(&self, stream: &StreamName, data: Bytes) -> Result<Offset, AppendError> {
        let limits = self.target.settings();
        let path = format!("/streams/{}/records", url_segment(stream.as_str()));
        let request = OutgoingRequest::post(path, data, limits.first_byte_timeout_ms);
        let response = self
            .target
            .send(request)
            .await
            .map_err(|error| append_error(&error))?;
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            let retry_after_ms = retry_after_ms(response.headers());
            return Err(AppendError::RateLimited { retry_after_ms });
        }
        if is_unavailable(status) {
            return Err(AppendError::Unavailable);
        }
        if status.is_client_error() {
            let status = status.as_u16();
            return Err(AppendError::Refused { status });
        }
        if status != StatusCode::OK {
            return Err(AppendError::Unknown);
        }
        let body = collect(
            response.into_body(),
            limits.max_response_bytes,
            limits.read_timeout_ms,
        )
        .await
        .map_err(|_| AppendError::Unknown)?;
        let Ok(appended) = serde_json::from_slice::<LogAppended>(&body) else {
            return Err(AppendError::Unknown);
        };
        Ok(Offset(appended.offset))
    }

    /// Reads up to `limit` records from offset `from`, waiting up to `wait_ms` for the first one.
    ///
    /// # Errors
    ///
    /// [`ReadError::Expired`] if `from` is older than the oldest record. A response with a gap or
    /// with records that were not requested is [`ReadError::Malformed`].
    pub async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        limit: usize,
        wait_ms: u64,
    ) -> Result<LogBatch, ReadError> {
        let stream = url_segment(stream.as_str());
        let path = format!("/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        let page: LogPage = self.get_json(path, wait_ms).await?;
        let mut records = Vec::with_capacity(page.records.len());
        let mut expected = from;
        for record in page.records {
            let entry = LogEntry::try_from(record)?;
            if entry.offset != expected {
                return Err(ReadError::Malformed);
            }
            expected = expected.next();
            records.push(entry);
        }
        let next_offset = Offset(page.next_offset);
        if !records.is_empty() && next_offset < expected {
            return Err(ReadError::Malformed);
        }
        Ok(LogBatch {
            records,
            next_offset,
        })
    }

    /// Reads the extent of a stream.
    ///
    /// # Errors
    ///
    /// [`ReadError::Unavailable`] or [`ReadError::Malformed`].
    pub async fn state(&self, stream: &StreamName) -> Result<LogExtent, ReadError> {
        let path = format!("/streams/{}", url_segment(stream.as_str()));
        let state: LogStreamState = self.get_json(path, 0).await?;
        Ok(LogExtent::from(state))
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        path: String,
        wait_ms: u64,
    ) -> Result<T, ReadError> {
        let limits = self.target.settings();
        let request =
            OutgoingRequest::get(path, limits.first_byte_timeout_ms.saturating_add(wait_ms));
        let Ok(response) = self.target.send(request).await else {
            return Err(ReadError::Unavailable);
        };
        let status = response.status();
        if status != StatusCode::OK && status != StatusCode::GONE {
            return Err(ReadError::Unavailable);
        }
        let Ok(body) = collect(
            response.into_body(),
            limits.max_response_bytes,
            limits.read_timeout_ms,
        )
        .await
        else {
            return Err(ReadError::Unavailable);
        };
        if status == StatusCode::GONE {
            let Ok(state) = serde_json::from_slice::<LogStreamState>(&body) else {
                return Err(ReadError::Malformed);
            };
            let first = Offset(state.first_offset);
            return Err(ReadError::Expired { first });
        }
        serde_json::from_slice(&body).map_err(|_| ReadError::Malformed)
    }
}

fn append_error(error: &SendError) -> AppendError {
    match error {
        SendError::NotSent(_) => AppendError::Unavailable,
        SendError::Unknown(_) => AppendError::Unknown,
    }
}
