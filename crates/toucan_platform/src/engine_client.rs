//! Client of engines.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toucan_types::{FencingNumber, RequestId};
use volo_http::response::Response;

use crate::engine_start::start_stream;
use crate::formats::{
    CacheEventPage, EngineLoad, EngineOrder, EngineOrderRefusal, HEADER_PRIORITY,
    HEADER_REQUEST_ID, KvExport, KvExportRequest, KvImport,
};
use crate::http_target::HttpTarget;
use crate::outgoing_request::{OutgoingRequest, SendError, collect, retry_after_ms};
use crate::target_pool::TargetPool;
use crate::token_reader::TokenReader;
use crate::url_segment::url_segment;
use crate::{ClientSettings, DispatchError, EngineCall, TokenStream};

/// Maximum size of an error response body that is returned to the caller, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Client of engines with a connection pool per engine.
pub struct EngineClient {
    targets: TargetPool,
}

/// Error of a request other than a stream or an order.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum EngineError {
    /// the engine cannot be reached: {reason}
    Unavailable {
        /// What failed.
        reason: String,
    },
    /// the engine refuses with status {status}
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// the engine's answer is not understood
    Malformed,
}

impl std::error::Error for EngineError {}

/// Error of an order; states whether the order may have been carried out.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum OrderError {
    /// not carried out: the order was not sent: {reason}
    NotSent {
        /// What failed.
        reason: String,
    },
    /// not carried out: the engine has seen the fencing number {seen}
    Fenced {
        /// Largest fencing number that the engine has received.
        seen: FencingNumber,
    },
    /// not carried out: over the rate of the weight store, again in {retry_after_ms} ms
    RateLimited {
        /// Requested retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// not carried out: the engine refuses with status {status}
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// unknown whether the order was carried out: {reason}
    Unknown {
        /// What failed.
        reason: String,
    },
}

impl std::error::Error for OrderError {}

impl EngineClient {
    /// Creates a client with the given limits.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        let targets = TargetPool::new(settings);
        Self { targets }
    }

    /// Starts a stream at the engine at `address`.
    ///
    /// If no response arrives within the standby delay, the request is also made over a new
    /// connection; an engine that is only slow keeps the first one. An engine accepts a request id
    /// only once, so the request does not run twice.
    ///
    /// # Errors
    ///
    /// [`DispatchError::NotSent`] only if no byte of the request was passed to a connection.
    /// After [`DispatchError::Unknown`] the stream may be running; [`Self::resume`] finds it.
    pub async fn start(
        &self,
        address: SocketAddr,
        call: EngineCall,
    ) -> Result<TokenStream, DispatchError> {
        let target = self.targets.get(address);
        let path = "/v1/chat/completions".to_owned();
        let mut outgoing =
            OutgoingRequest::post(path, call.body, call.first_byte_timeout_ms).json();
        let Ok(id) = HeaderValue::from_str(call.request.as_str()) else {
            let reason = "the request id is not a valid header value".to_owned();
            return Err(DispatchError::NotSent { reason });
        };
        outgoing.headers.insert(HEADER_REQUEST_ID, id);
        let priority = HeaderValue::from(call.priority);
        outgoing.headers.insert(HEADER_PRIORITY, priority);
        start_stream(target, outgoing, call.request).await
    }

    /// Resumes a stream at the engine from the token with index `from_token`.
    ///
    /// # Errors
    ///
    /// [`DispatchError::Refused`] with status 404 if the stream does not exist at the engine.
    pub async fn resume(
        &self,
        address: SocketAddr,
        request_id: &RequestId,
        from_token: u64,
    ) -> Result<TokenStream, DispatchError> {
        let target = self.targets.get(address);
        let reader = open_stream(&target, request_id, from_token).await?;
        Ok(TokenStream::new(
            target,
            request_id.clone(),
            reader,
            from_token,
        ))
    }

    /// Cancels a stream; returns false if it does not exist at the engine.
    ///
    /// # Errors
    ///
    /// [`EngineError`]; the stream may then still be running.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        request_id: &RequestId,
    ) -> Result<bool, EngineError> {
        let target = self.targets.get(address);
        let id = url_segment(request_id.as_str());
        let path = format!("/v1/streams/{id}/cancel");
        let outgoing =
            OutgoingRequest::post(path, Bytes::new(), target.settings().first_byte_timeout_ms);
        let response = target.send(outgoing).await.map_err(unavailable_error)?;
        match response.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(refused_error(status)),
        }
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// [`EngineError`].
    pub async fn load(&self, address: SocketAddr) -> Result<EngineLoad, EngineError> {
        self.get_json(address, "/load".to_owned()).await
    }

    /// Reads the events of the engine's prefix cache with sequence numbers larger than `after`.
    ///
    /// # Errors
    ///
    /// [`EngineError`].
    pub async fn events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEventPage, EngineError> {
        self.get_json(address, format!("/events?after={after}"))
            .await
    }

    /// Sends an order to the engine.
    ///
    /// # Errors
    ///
    /// [`OrderError::Fenced`] if the engine checks fencing numbers and has received a larger one;
    /// [`OrderError::Unknown`] if the order may have been carried out.
    pub async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<(), OrderError> {
        let target = self.targets.get(address);
        let outgoing = post_json(&target, "/orders", order);
        let response = target.send(outgoing).await.map_err(|error| match error {
            SendError::NotSent(reason) => OrderError::NotSent { reason },
            SendError::Unknown(reason) => OrderError::Unknown { reason },
        })?;
        order_result(&target, response).await
    }

    /// Exports the KV cache of a prefix; returns [`None`] if the engine no longer has it.
    ///
    /// # Errors
    ///
    /// [`EngineError`].
    pub async fn kv_export(
        &self,
        address: SocketAddr,
        request: &KvExportRequest,
    ) -> Result<Option<KvExport>, EngineError> {
        let target = self.targets.get(address);
        let outgoing = post_json(&target, "/kv/export", request);
        let response = target.send(outgoing).await.map_err(unavailable_error)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read_json(&target, response).await.map(Some)
    }

    /// Imports an exported KV cache; returns once the engine has the blocks.
    ///
    /// # Errors
    ///
    /// [`EngineError`].
    pub async fn kv_import(
        &self,
        address: SocketAddr,
        import: &KvImport,
    ) -> Result<(), EngineError> {
        let target = self.targets.get(address);
        let outgoing = post_json(&target, "/kv/import", import);
        let response = target.send(outgoing).await.map_err(unavailable_error)?;
        if response.status() != StatusCode::OK {
            return Err(refused_error(response.status()));
        }
        Ok(())
    }

    /// Drops the connection pool of an engine that no longer exists.
    pub fn forget(&self, address: SocketAddr) {
        self.targets.forget(address);
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: String,
    ) -> Result<T, EngineError> {
        let target = self.targets.get(address);
        let outgoing = OutgoingRequest::get(path, target.settings().first_byte_timeout_ms);
        let response = target.send(outgoing).await.map_err(unavailable_error)?;
        read_json(&target, response).await
    }
}

/// Opens another connection to an existing stream at the engine.
pub(crate) async fn open_stream(
    target: &Arc<HttpTarget>,
    request_id: &RequestId,
    from_token: u64,
) -> Result<TokenReader, DispatchError> {
    let id = url_segment(request_id.as_str());
    let path = format!("/v1/streams/{id}?from_token={from_token}");
    let outgoing = OutgoingRequest::get(path, target.settings().first_byte_timeout_ms);
    read_stream(target, outgoing).await
}

/// Sends a request whose response is an event stream.
pub(crate) async fn read_stream(
    target: &Arc<HttpTarget>,
    outgoing: OutgoingRequest,
) -> Result<TokenReader, DispatchError> {
    let limits = target.settings();
    let response = target.send(outgoing).await.map_err(|error| match error {
        SendError::NotSent(reason) => DispatchError::NotSent { reason },
        SendError::Unknown(reason) => DispatchError::Unknown { reason },
    })?;
    let status = response.status();
    if status != StatusCode::OK {
        let retry_after_ms = retry_after_ms(response.headers());
        let body = collect(
            response.into_body(),
            MAX_REFUSAL_BYTES,
            limits.read_timeout_ms,
        )
        .await;
        return Err(DispatchError::Refused {
            status: status.as_u16(),
            retry_after_ms,
            body: body.unwrap_or_default(),
        });
    }
    TokenReader::new(response, limits.max_response_bytes).ok_or_else(|| DispatchError::Unknown {
        reason: "the response of the engine is not an event stream".to_owned(),
    })
}

async fn order_result(target: &HttpTarget, response: Response) -> Result<(), OrderError> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(());
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        let retry_after_ms = retry_after_ms(response.headers());
        return Err(OrderError::RateLimited { retry_after_ms });
    }
    if status == StatusCode::CONFLICT
        && let Ok(refusal) = read_body::<EngineOrderRefusal>(target, response).await
    {
        let seen = FencingNumber(refusal.fencing_number);
        return Err(OrderError::Fenced { seen });
    }
    if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
        let reason = format!("status {status}");
        return Err(OrderError::Unknown { reason });
    }
    let status = status.as_u16();
    Err(OrderError::Refused { status })
}

async fn read_json<T: DeserializeOwned>(
    target: &HttpTarget,
    response: Response,
) -> Result<T, EngineError> {
    if response.status() != StatusCode::OK {
        return Err(refused_error(response.status()));
    }
    read_body(target, response).await
}

async fn read_body<T: DeserializeOwned>(
    target: &HttpTarget,
    response: Response,
) -> Result<T, EngineError> {
    let limits = target.settings();
    let body = collect(
        response.into_body(),
        limits.max_response_bytes,
        limits.read_timeout_ms,
    )
    .await
    .map_err(|error| EngineError::Unavailable {
        reason: error.to_string(),
    })?;
    serde_json::from_slice(&body).map_err(|_| EngineError::Malformed)
}

fn post_json(target: &HttpTarget, path: &str, body: &impl Serialize) -> OutgoingRequest {
    let body = serde_json::to_vec(body).expect("all map keys of the message are strings");
    let first_byte_timeout_ms = target.settings().first_byte_timeout_ms;
    OutgoingRequest::post(path.to_owned(), Bytes::from(body), first_byte_timeout_ms).json()
}

fn unavailable_error(error: SendError) -> EngineError {
    let (SendError::NotSent(reason) | SendError::Unknown(reason)) = error;
    EngineError::Unavailable { reason }
}

fn refused_error(status: StatusCode) -> EngineError {
    EngineError::Refused {
        status: status.as_u16(),
    }
}
