//! Client of the weight store.

use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;

use crate::ClientSettings;
use crate::exchange::{Exchange, ExchangeError, retry_after_ms};
use crate::formats::WeightDownload;
use crate::http_target::HttpTarget;

/// Client of the weight store.
pub struct WeightStoreClient {
    target: HttpTarget,
}

/// Why a download may not start.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DownloadError {
    /// over the rate of the weight store, again in {retry_after_ms} ms
    RateLimited {
        /// Delay that the store asks for, in milliseconds.
        retry_after_ms: u64,
    },
    /// the weight store is unavailable
    Unavailable,
    /// unknown whether the weight store has counted the download
    Unknown,
}

impl std::error::Error for DownloadError {}

impl WeightStoreClient {
    /// A client of the store at `address`, with the default limits.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_settings(address, ClientSettings::default())
    }

    /// A client of the store at `address`.
    #[must_use]
    pub fn with_settings(address: SocketAddr, settings: ClientSettings) -> Self {
        let target = HttpTarget::new(address, settings);
        Self { target }
    }

    /// Asks for leave to start a download.
    ///
    /// # Errors
    ///
    /// [`DownloadError::RateLimited`] over the rate; [`DownloadError::Unknown`] if the answer was
    /// lost, in which case the store may count the download against the rate.
    pub async fn start(&self, download: &WeightDownload) -> Result<(), DownloadError> {
        let body = serde_json::to_vec(download).map_err(|_| DownloadError::Unavailable)?;
        let limits = self.target.settings();
        let path = "/weights/downloads".to_owned();
        let exchange = Exchange::post(path, Bytes::from(body), limits.first_byte_timeout_ms).json();
        let answer = self
            .target
            .send(exchange)
            .await
            .map_err(|error| match error {
                ExchangeError::NotSent(_) => DownloadError::Unavailable,
                ExchangeError::Unknown(_) => DownloadError::Unknown,
            })?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            StatusCode::TOO_MANY_REQUESTS => Err(DownloadError::RateLimited {
                retry_after_ms: retry_after_ms(answer.headers()),
            }),
            _ => Err(DownloadError::Unavailable),
        }
    }
}
