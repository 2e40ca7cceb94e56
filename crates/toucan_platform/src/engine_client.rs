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
use crate::exchange::{Exchange, ExchangeError, collect, retry_after_ms};
use crate::formats::{
    CacheEventPage, EngineLoad, EngineOrder, EngineOrderRefusal, HEADER_PRIORITY,
    HEADER_REQUEST_ID, KvExport, KvExportRequest, KvImport,
};
use crate::http_target::HttpTarget;
use crate::target_pool::TargetPool;
use crate::token_reader::TokenReader;
use crate::url_segment::url_segment;
use crate::{ClientSettings, DispatchError, EngineCall, TokenStream};

/// Largest body of a refusal that is handed on, in bytes.
const REFUSAL_BYTES: usize = 64 * 1024;

/// Client of engines, with a pool of connections for each.
pub struct EngineClient {
    targets: TargetPool,
}

/// Why an engine gave no answer to a question.
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

/// Why an order was not carried out, or may not have been.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum OrderError {
    /// not carried out: the order was not sent: {reason}
    NotSent {
        /// What failed.
        reason: String,
    },
    /// not carried out: the engine has seen the fencing number {seen}
    Fenced {
        /// Largest fencing number that the engine has seen.
        seen: FencingNumber,
    },
    /// not carried out: over the rate of the weight store, again in {retry_after_ms} ms
    RateLimited {
        /// Delay that is asked for, in milliseconds.
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
    /// A client with the given limits.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        let targets = TargetPool::new(settings);
        Self { targets }
    }

    /// Starts a stream at the engine at `address`.
    ///
    /// A connection on which no answer begins for a while is doubted, and the engine asked over a
    /// new one; a slow engine keeps the first. An engine takes a request id once, so nothing runs
    /// twice.
    ///
    /// # Errors
    ///
    /// [`DispatchError::NotSent`] only if no byte of the request was handed to a connection;
    /// after [`DispatchError::Unknown`] the stream may run and is found by [`Self::resume`].
    pub async fn start(
        &self,
        address: SocketAddr,
        call: EngineCall,
    ) -> Result<TokenStream, DispatchError> {
        let target = self.targets.get(address);
        let path = "/v1/chat/completions".to_owned();
        let mut exchange = Exchange::post(path, call.body, call.first_byte_timeout_ms).json();
        let Ok(id) = HeaderValue::from_str(call.request.as_str()) else {
            let reason = "the request id cannot stand in a header".to_owned();
            return Err(DispatchError::NotSent { reason });
        };
        exchange.headers.insert(HEADER_REQUEST_ID, id);
        let priority = HeaderValue::from(call.priority);
        exchange.headers.insert(HEADER_PRIORITY, priority);
        start_stream(target, exchange, call.request).await
    }

    /// Resumes a stream that the engine holds, from the token with index `from_token`.
    ///
    /// # Errors
    ///
    /// [`DispatchError::Refused`] with status 404 if the engine does not hold the stream.
    pub async fn resume(
        &self,
        address: SocketAddr,
        request: &RequestId,
        from_token: u64,
    ) -> Result<TokenStream, DispatchError> {
        let target = self.targets.get(address);
        let reader = open_stream(&target, request, from_token).await?;
        Ok(TokenStream::new(
            target,
            request.clone(),
            reader,
            from_token,
        ))
    }

    /// Stops a stream; false if the engine does not hold it.
    ///
    /// # Errors
    ///
    /// [`EngineError`]; the stream may run on then.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        request: &RequestId,
    ) -> Result<bool, EngineError> {
        let target = self.targets.get(address);
        let id = url_segment(request.as_str());
        let path = format!("/v1/streams/{id}/cancel");
        let exchange = Exchange::post(path, Bytes::new(), target.settings().first_byte_timeout_ms);
        let answer = target.send(exchange).await.map_err(unavailable)?;
        match answer.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(refused(status)),
        }
    }

    /// Reads the engine's report of its load.
    ///
    /// # Errors
    ///
    /// [`EngineError`].
    pub async fn load(&self, address: SocketAddr) -> Result<EngineLoad, EngineError> {
        self.get_json(address, "/load".to_owned()).await
    }

    /// Reads the events of the engine's prefix cache after the one numbered `after`.
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

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`OrderError::Fenced`] if the engine honours fencing numbers and has seen a larger one;
    /// [`OrderError::Unknown`] if the order may have been carried out.
    pub async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<(), OrderError> {
        let target = self.targets.get(address);
        let exchange = post_json(&target, "/orders", order);
        let answer = target.send(exchange).await.map_err(|error| match error {
            ExchangeError::NotSent(reason) => OrderError::NotSent { reason },
            ExchangeError::Unknown(reason) => OrderError::Unknown { reason },
        })?;
        order_result(&target, answer).await
    }

    /// Asks an engine to export the KV cache of a prefix; [`None`] if it no longer holds it.
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
        let exchange = post_json(&target, "/kv/export", request);
        let answer = target.send(exchange).await.map_err(unavailable)?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        read_json(&target, answer).await.map(Some)
    }

    /// Asks an engine to import an exported KV cache; returns when it holds the blocks.
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
        let exchange = post_json(&target, "/kv/import", import);
        let answer = target.send(exchange).await.map_err(unavailable)?;
        if answer.status() != StatusCode::OK {
            return Err(refused(answer.status()));
        }
        Ok(())
    }

    /// Gives up the connections to an engine that is gone.
    pub fn forget(&self, address: SocketAddr) {
        self.targets.forget(address);
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: String,
    ) -> Result<T, EngineError> {
        let target = self.targets.get(address);
        let exchange = Exchange::get(path, target.settings().first_byte_timeout_ms);
        let answer = target.send(exchange).await.map_err(unavailable)?;
        read_json(&target, answer).await
    }
}

/// Opens another connection to a stream that the engine holds.
pub(crate) async fn open_stream(
    target: &Arc<HttpTarget>,
    request: &RequestId,
    from_token: u64,
) -> Result<TokenReader, DispatchError> {
    let id = url_segment(request.as_str());
    let path = format!("/v1/streams/{id}?from_token={from_token}");
    let exchange = Exchange::get(path, target.settings().first_byte_timeout_ms);
    read_stream(target, exchange).await
}

/// Sends a request whose answer is a stream.
pub(crate) async fn read_stream(
    target: &Arc<HttpTarget>,
    exchange: Exchange,
) -> Result<TokenReader, DispatchError> {
    let limits = target.settings();
    let answer = target.send(exchange).await.map_err(|error| match error {
        ExchangeError::NotSent(reason) => DispatchError::NotSent { reason },
        ExchangeError::Unknown(reason) => DispatchError::Unknown { reason },
    })?;
    let status = answer.status();
    if status != StatusCode::OK {
        let retry_after_ms = retry_after_ms(answer.headers());
        let body = collect(answer.into_body(), REFUSAL_BYTES, limits.read_timeout_ms).await;
        return Err(DispatchError::Refused {
            status: status.as_u16(),
            retry_after_ms,
            body: body.unwrap_or_default(),
        });
    }
    TokenReader::new(answer, limits.max_response_bytes).ok_or_else(|| DispatchError::Unknown {
        reason: "the engine's answer is no event stream".to_owned(),
    })
}

async fn order_result(target: &HttpTarget, answer: Response) -> Result<(), OrderError> {
    let status = answer.status();
    if status == StatusCode::OK {
        return Ok(());
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        let retry_after_ms = retry_after_ms(answer.headers());
        return Err(OrderError::RateLimited { retry_after_ms });
    }
    if status == StatusCode::CONFLICT
        && let Ok(refusal) = read_body::<EngineOrderRefusal>(target, answer).await
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
    answer: Response,
) -> Result<T, EngineError> {
    if answer.status() != StatusCode::OK {
        return Err(refused(answer.status()));
    }
    read_body(target, answer).await
}

async fn read_body<T: DeserializeOwned>(
    target: &HttpTarget,
    answer: Response,
) -> Result<T, EngineError> {
    let limits = target.settings();
    let body = collect(
        answer.into_body(),
        limits.max_response_bytes,
        limits.read_timeout_ms,
    )
    .await
    .map_err(|error| EngineError::Unavailable {
        reason: error.to_string(),
    })?;
    serde_json::from_slice(&body).map_err(|_| EngineError::Malformed)
}

fn post_json(target: &HttpTarget, path: &str, body: &impl Serialize) -> Exchange {
    let body = serde_json::to_vec(body).expect("the message has no maps with keys but strings");
    let first_byte_timeout_ms = target.settings().first_byte_timeout_ms;
    Exchange::post(path.to_owned(), Bytes::from(body), first_byte_timeout_ms).json()
}

fn unavailable(error: ExchangeError) -> EngineError {
    let (ExchangeError::NotSent(reason) | ExchangeError::Unknown(reason)) = error;
    EngineError::Unavailable { reason }
}

fn refused(status: StatusCode) -> EngineError {
    EngineError::Refused {
        status: status.as_u16(),
    }
}
