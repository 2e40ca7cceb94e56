//! Client of the operator API.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toucan_config::operators::{EditResponse, Problem};
use toucan_platform::{CallError, ClientSettings, ServiceCall, ServiceClient, ServiceResponse};

use crate::cli_error::CliError;
use crate::options::Options;

/// Client of the operator API that tries the nodes in the given order.
///
/// All calls are idempotent: reads change nothing, and edits carry an id.
pub(crate) struct OperatorsClient<'a> {
    options: &'a Options,
    client: ServiceClient,
}

impl<'a> OperatorsClient<'a> {
    pub(crate) fn new(options: &'a Options) -> Result<Self, CliError> {
        if options.nodes.is_empty() {
            let message = "no node is given; use --node ADDRESS or TOUCANCTL_NODES";
            return Err(CliError::usage(message));
        }
        let settings = ClientSettings::default().with_first_byte_timeout_ms(options.timeout_ms);
        Ok(Self {
            options,
            client: ServiceClient::new(settings),
        })
    }

    /// Sends a GET request.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let response = self.call(Method::GET, path, Bytes::new()).await?;
        if response.status == StatusCode::OK {
            return read(&response);
        }
        Err(error_from_response(&response))
    }

    /// Sends a POST request that changes nothing.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let response = self.call(Method::POST, path, json(body)?).await?;
        if response.status == StatusCode::OK {
            return read(&response);
        }
        Err(error_from_response(&response))
    }

    /// Sends an edit.
    pub(crate) async fn edit(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<EditResponse, CliError> {
        let response = self.call(Method::POST, path, json(body)?).await?;
        match serde_json::from_slice(&response.body) {
            Ok(edit_answer) => Ok(edit_answer),
            Err(_) if response.status == StatusCode::OK => {
                Err(CliError::Unknown("the answer is malformed".to_owned()))
            }
            Err(_) => Err(error_from_response(&response)),
        }
    }

    /// Sends a GET request to every node and skips nodes that fail; fails if all nodes do.
    pub(crate) async fn get_all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Vec<T>, CliError> {
        self.call_all(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request to every node and skips nodes that fail; fails if all nodes do.
    pub(crate) async fn post_all<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Vec<T>, CliError> {
        self.call_all(Method::POST, path, json(body)?).await
    }

    async fn call_all<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Vec<T>, CliError> {
        let mut responses = Vec::new();
        let mut last = no_response();
        for node in &self.options.nodes {
            match self.call_node(*node, &method, path, &body).await? {
                Ok(response) if response.status == StatusCode::OK => {
                    responses.push(read(&response)?);
                }
                Ok(response) => last = error_from_response(&response),
                Err(error) => last = CliError::Unavailable(format!("{node}: {error}")),
            }
        }
        if responses.is_empty() {
            return Err(last);
        }
        Ok(responses)
    }

    /// Calls the nodes in order until one can be reached and has an answer.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ServiceResponse, CliError> {
        let is_read = method == Method::GET;
        let mut last = no_response();
        let mut is_unchanged = true;
        for node in &self.options.nodes {
            match self.call_node(*node, &method, path, &body).await? {
                Ok(response) if should_try_next_node(response.status) => {
                    last = error_from_response(&response);
                }
                Ok(response) => return Ok(response),
                Err(error) => {
                    let was_sent = !matches!(error, CallError::NotSent { .. });
                    is_unchanged &= is_read || !was_sent;
                    last = CliError::Unavailable(format!("{node}: {error}"));
                }
            }
        }
        if is_unchanged {
            return Err(last);
        }
        Err(CliError::Unknown(last.to_string()))
    }

    async fn call_node(
        &self,
        node: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Result<ServiceResponse, CallError>, CliError> {
        let call = ServiceCall {
            method: method.clone(),
            path: path.to_owned(),
            headers: self.headers()?,
            body: body.clone(),
            first_byte_timeout_ms: self.options.timeout_ms,
        };
        Ok(self.client.call(node, call).await)
    }

    fn headers(&self) -> Result<HeaderMap, CliError> {
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(key) = &self.options.key {
            let mut value = HeaderValue::from_str(&format!("Bearer {key}"))
                .map_err(|_| CliError::Unauthorised("the key is malformed".to_owned()))?;
            value.set_sensitive(true);
            headers.insert(header::AUTHORIZATION, value);
        }
        Ok(headers)
    }
}

fn no_response() -> CliError {
    CliError::Unavailable("no node answers".to_owned())
}

/// Returns whether another node may be able to answer.
fn should_try_next_node(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::MISDIRECTED_REQUEST
}

/// Percent-encodes a path segment, except letters, digits, `-`, `_`, `.` and `~`.
pub(crate) fn path_segment(text: &str) -> String {
    let mut segment = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            segment.push(char::from(byte));
        } else {
            segment.push_str(&format!("%{byte:02X}"));
        }
    }
    segment
}

fn json(body: &impl Serialize) -> Result<Bytes, CliError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| CliError::usage(error.to_string()))
}

fn read<T: DeserializeOwned>(response: &ServiceResponse) -> Result<T, CliError> {
    serde_json::from_slice(&response.body)
        .map_err(|error| CliError::Unavailable(format!("the answer is malformed: {error}")))
}

fn error_from_response(response: &ServiceResponse) -> CliError {
    let message = serde_json::from_slice::<Problem>(&response.body).map_or_else(
        |_| format!("status {}", response.status),
        |problem| problem.message,
    );
    match response.status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => CliError::Unauthorised(message),
        StatusCode::NOT_FOUND => CliError::NotFound(message),
        status if should_try_next_node(status) => CliError::Unavailable(message),
        StatusCode::GATEWAY_TIMEOUT => CliError::Unknown(message),
        _ => CliError::Refused(message),
    }
}
