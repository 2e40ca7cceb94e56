//! Authenticated calls of the operators' interface.

use std::sync::Arc;

use bytes::Bytes;
use http::Uri;
use serde::de::DeserializeOwned;
use volo_http::request::Request;

use super::{
    api_problem::ApiProblem,
    operator::{Operator, authenticate_operator},
};
use crate::{callers::read_body, node_shared::NodeShared};

/// Authenticated call of the operators' interface with its operator, URI and body.
pub(super) struct ApiRequest {
    pub(super) shared: Arc<NodeShared>,
    pub(super) operator: Operator,
    uri: Uri,
    body: Bytes,
}

impl ApiRequest {
    /// Authenticates the operator and reads the body.
    pub(super) async fn read(
        shared: Arc<NodeShared>,
        request: Request,
    ) -> Result<Self, ApiProblem> {
        let (parts, body) = request.into_parts();
        let document = Arc::clone(&shared.document.load().document);
        let bootstrap_keys = &shared.settings.bootstrap_keys;
        let now_ms = shared.clock.now_ms();
        let operator = authenticate_operator(&document, bootstrap_keys, &parts.headers, now_ms)?;
        let body = read_body(body, shared.settings.body).await?;
        Ok(Self {
            shared,
            operator,
            uri: parts.uri,
            body,
        })
    }

    /// Parses the body as JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, ApiProblem> {
        serde_json::from_slice(&self.body)
            .map_err(|error| ApiProblem::malformed(format!("the body cannot be read: {error}")))
    }

    /// Returns the percent-decoded part of the path between a prefix and a suffix.
    pub(super) fn path_parameter(&self, before: &str, after: &str) -> Result<String, ApiProblem> {
        let part = self
            .uri
            .path()
            .strip_prefix(before)
            .and_then(|rest| rest.strip_suffix(after));
        part.and_then(percent_decode)
            .ok_or_else(|| ApiProblem::malformed("the path cannot be read"))
    }

    /// Returns a percent-decoded value of the query string; empty if it is missing.
    pub(super) fn query_parameter(&self, name: &str) -> Result<String, ApiProblem> {
        let pairs = self.uri.query().unwrap_or_default().split('&');
        let value = pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value);
        percent_decode(value).ok_or_else(|| ApiProblem::malformed(format!("{name} cannot be read")))
    }
}

/// Decodes `%XX` escapes; [`None`] if an escape is malformed or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        if first != b'%' {
            bytes.push(first);
            rest = after;
            continue;
        }
        let digits = std::str::from_utf8(after.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &after[2..];
    }
    String::from_utf8(bytes).ok()
}
