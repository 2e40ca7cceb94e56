//! Client of the weight store.

use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;

use crate::ClientSettings;
use crate::formats::WeightDownload;
use crate::http_target::HttpTarget;
use crate::outgoing_request::{OutgoingRequest, SendError, retry_after_ms};

/// Client of the weight store.
pub struct WeightStoreClient {
    target: HttpTarget,
}

/// Error of starting a download.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DownloadError {
    /// over the rate of the weight store, again in {retry_after_ms} ms
    RateLimited {
        /// Retry delay requested by the store, in milliseconds.
        retry_after_ms: u64,
    },
    /// the weight store is unavailable
    Unavailable,
    /// unknown whether the weight store has counted the download
    Unknown,
}

impl std::error::Error for DownloadError {}

impl WeightStoreClient {
    /// Creates a client of the store at `address` with the default limits.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_settings(address, ClientSettings::default())
    }

    /// Creates a client of the store at `address`.
    #[must_use]
    pub fn with_settings(address: SocketAddr, settings: ClientSettings) -> Self {
        let target = HttpTarget::new(address, settings);
        Self { target }
    }

    /// Requests permission to start a download.
    ///
    /// # Errors
    ///
    /// [`DownloadError::RateLimited`] over the rate; [`DownloadError::Unknown`] if the response was
    /// lost, in which case the store may count the download against the rate.
    pub async fn start(&self, download: &WeightDownload) -> Result<(), DownloadError> {
        let body = serde_json::to_vec(download).map_err(|_| DownloadError::Unavailable)?;
        let limits = self.target.settings();
        let path = "/weights/downloads".to_owned();
        let request =
            OutgoingRequest::post(path, Bytes::from(body), limits.first_byte_timeout_ms).json();
        let response = self
            .target
            .send(request)
            .await
            .map_err(|error| match error {
                SendError::NotSent(_) => DownloadError::Unavailable,
                SendError::Unknown(_) => DownloadError::Unknown,
            })?;
        match response.status() {
            StatusCode::OK => Ok(()),
            StatusCode::TOO_MANY_REQUESTS => Err(DownloadError::RateLimited {
                retry_after_ms: retry_after_ms(response.headers()),
            }),
            _ => Err(DownloadError::Unavailable),
        }
    }
}
