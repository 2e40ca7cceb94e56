//! Client of the platform's list of VMs.

use std::net::SocketAddr;

use http::StatusCode;

use crate::exchange::{Exchange, collect};
use crate::formats::VmList;
use crate::http_target::HttpTarget;
use crate::{ClientSettings, VmListing};

/// Client of the platform's list of VMs.
pub struct VmListClient {
    target: HttpTarget,
}

/// Why there is no list.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum VmListError {
    /// the platform's list of VMs is unavailable
    Unavailable,
    /// the platform's list of VMs is not understood
    Malformed,
}

impl std::error::Error for VmListError {}

impl VmListClient {
    /// A client of the list at `address`, with the default limits.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_settings(address, ClientSettings::default())
    }

    /// A client of the list at `address`.
    #[must_use]
    pub fn with_settings(address: SocketAddr, settings: ClientSettings) -> Self {
        let target = HttpTarget::new(address, settings);
        Self { target }
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// [`VmListError`]; the last list then stays the best knowledge there is.
    pub async fn fetch(&self) -> Result<VmListing, VmListError> {
        let limits = self.target.settings();
        let exchange = Exchange::get("/vms".to_owned(), limits.first_byte_timeout_ms);
        let Ok(answer) = self.target.send(exchange).await else {
            return Err(VmListError::Unavailable);
        };
        if answer.status() != StatusCode::OK {
            return Err(VmListError::Unavailable);
        }
        let Ok(body) = collect(
            answer.into_body(),
            limits.max_response_bytes,
            limits.read_timeout_ms,
        )
        .await
        else {
            return Err(VmListError::Unavailable);
        };
        let Ok(list) = serde_json::from_slice::<VmList>(&body) else {
            return Err(VmListError::Malformed);
        };
        Ok(VmListing::from(list))
    }
}
