//! Reads a caller's body within limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use volo_http::body::Body;

use super::{Refusal, RefusalCode};

/// Limits of a caller's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Most bytes of a body.
    pub max_bytes: usize,
    /// Longest time in milliseconds without a byte of the body.
    pub read_timeout_ms: u64,
    /// Longest time in milliseconds for the whole body.
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

/// Reads the whole body, refusing one that is too large, too slow or broken off.
pub(crate) async fn read_body(body: Body, limits: BodyLimits) -> Result<Bytes, Refusal> {
    let whole = Duration::from_millis(limits.total_timeout_ms);
    tokio::time::timeout(whole, collect(body, limits))
        .await
        .unwrap_or_else(|_elapsed| Err(too_slow()))
}

async fn collect(mut body: Body, limits: BodyLimits) -> Result<Bytes, Refusal> {
    let silence = Duration::from_millis(limits.read_timeout_ms);
    let mut bytes = BytesMut::new();
    loop {
        let Ok(next) = tokio::time::timeout(silence, body.frame()).await else {
            return Err(too_slow());
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

fn too_slow() -> Refusal {
    Refusal::new(RefusalCode::BodyTimeout, "the body did not arrive in time")
}
