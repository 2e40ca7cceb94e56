//! Client of plain services.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode, header};

use crate::ClientSettings;
use crate::outgoing_request::{BodyError, OutgoingRequest, SendError, collect, is_final_status};
use crate::target_pool::TargetPool;

/// Hop-by-hop headers, which are never forwarded.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Client of plain services with a connection pool per target.
pub struct ServiceClient {
    targets: TargetPool,
}

/// One call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers; hop-by-hop headers are not sent.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Longest time until the response head arrives, in milliseconds.
    pub first_byte_timeout_ms: u64,
}

/// Complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Error of a call that got no complete response.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum CallError {
    /// not run: the request was not sent: {reason}
    NotSent {
        /// What failed.
        reason: String,
    },
    /// unknown whether the call was run: {reason}
    Unknown {
        /// What failed.
        reason: String,
    },
    /// the call was run, its answer with status {status} is larger than the limit
    TooLarge {
        /// HTTP status of the response.
        status: u16,
    },
}

impl std::error::Error for CallError {}

impl ServiceClient {
    /// Creates a client with the given limits.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        let targets = TargetPool::new(settings);
        Self { targets }
    }

    /// Calls the target at `address` once; this client never retries.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] only if no byte of the request was passed to a connection. Later
    /// failures are [`CallError::Unknown`], also if a pooled connection turns out to be closed.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: ServiceCall,
    ) -> Result<ServiceResponse, CallError> {
        let target = self.targets.get(address);
        let limits = target.settings();
        let request = OutgoingRequest {
            method: call.method,
            path: call.path,
            headers: without_connection_headers(call.headers),
            body: call.body,
            first_byte_timeout_ms: call.first_byte_timeout_ms,
        };
        let response = target.send(request).await.map_err(|error| match error {
            SendError::NotSent(reason) => CallError::NotSent { reason },
            SendError::Unknown(reason) => CallError::Unknown { reason },
        })?;
        let (head, body) = response.into_parts();
        if !is_final_status(head.status) {
            return Err(CallError::Unknown {
                reason: format!("the response has status {}, which ends none", head.status),
            });
        }
        let body = collect(body, limits.max_response_bytes, limits.read_timeout_ms)
            .await
            .map_err(|error| {
                if error == BodyError::Silent {
                    target.abandon_connections();
                }
                body_error(error, head.status)
            })?;
        Ok(ServiceResponse {
            status: head.status,
            headers: without_connection_headers(head.headers),
            body,
        })
    }

    /// Drops the connection pool of a target that no longer exists.
    pub fn forget(&self, address: SocketAddr) {
        self.targets.forget(address);
    }
}

fn body_error(error: BodyError, status: StatusCode) -> CallError {
    match error {
        BodyError::TooLarge => CallError::TooLarge {
            status: status.as_u16(),
        },
        BodyError::Broken | BodyError::Silent => CallError::Unknown {
            reason: error.to_string(),
        },
    }
}

fn without_connection_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
