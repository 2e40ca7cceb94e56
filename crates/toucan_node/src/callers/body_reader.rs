//! Reader of request bodies with limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use volo_http::body::Body;

use super::{Refusal, RefusalCode};

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size of a body in bytes.
    pub max_bytes: usize,
    /// Maximum time without a byte of the body, in milliseconds.
    pub read_timeout_ms: u64,
    /// Timeout for the complete body, in milliseconds.
    pub total_timeout_ms: u64,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            max_bytes: 4 * 1024 * 1024,
            read_timeout_ms: 10_000,
            total_timeout_ms: 60_000,
        }
    }
}

/// Reads a complete body.
///
/// # Errors
///
/// A body that is too large, too slow or incomplete is refused.
pub(crate) async fn read_body(body: Body, limits: BodyLimits) -> Result<Bytes, Refusal> {
    let total_timeout = Duration::from_millis(limits.total_timeout_ms);
    tokio::time::timeout(total_timeout, collect(body, limits))
        .await
        .unwrap_or_else(|_elapsed| Err(body_timeout()))
}

async fn collect(mut body: Body, limits: BodyLimits) -> Result<Bytes, Refusal> {
    let read_timeout = Duration::from_millis(limits.read_timeout_ms);
    let mut bytes = BytesMut::new();
    loop {
        let Ok(next) = tokio::time::timeout(read_timeout, body.frame()).await else {
            return Err(body_timeout());
        };
        let Some(frame) = next else {
            return Ok(bytes.freeze());
        };
        let Ok(frame) = frame else {
            return Err(Refusal::new(
                RefusalCode::MalformedRequest,
                "the body broke off",
            ));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len().saturating_add(data.len()) > limits.max_bytes {
            let message = format!("the body is larger than {} bytes", limits.max_bytes);
            return Err(Refusal::new(RefusalCode::BodyTooLarge, message));
        }
        bytes.extend_from_slice(&data);
    }
}

fn body_timeout() -> Refusal {
    Refusal::new(RefusalCode::BodyTimeout, "the body did not arrive in time")
}
