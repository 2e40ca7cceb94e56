//! Client of the platform's VM list.

use std::net::SocketAddr;

use http::StatusCode;

use crate::formats::VmList;
use crate::http_target::HttpTarget;
use crate::outgoing_request::{OutgoingRequest, collect};
use crate::{ClientSettings, VmListing};

/// Client of the platform's VM list.
pub struct VmListClient {
    target: HttpTarget,
}

/// Error of fetching the VM list.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum VmListError {
    /// the platform's list of VMs is unavailable
    Unavailable,
    /// the platform's list of VMs is not understood
    Malformed,
}

impl std::error::Error for VmListError {}

impl VmListClient {
    /// Creates a client of the list at `address` with the default limits.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_settings(address, ClientSettings::default())
    }

    /// Creates a client of the list at `address`.
    #[must_use]
    pub fn with_settings(address: SocketAddr, settings: ClientSettings) -> Self {
        let target = HttpTarget::new(address, settings);
        Self { target }
    }

    /// Fetches the list.
    ///
    /// # Errors
    ///
    /// [`VmListError`]; the caller then keeps using the last list.
    pub async fn fetch(&self) -> Result<VmListing, VmListError> {
        let limits = self.target.settings();
        let request = OutgoingRequest::get("/vms".to_owned(), limits.first_byte_timeout_ms);
        let Ok(response) = self.target.send(request).await else {
            return Err(VmListError::Unavailable);
        };
        if response.status() != StatusCode::OK {
            return Err(VmListError::Unavailable);
        }
        let Ok(body) = collect(
            response.into_body(),
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
