//! Client of the operators' HTTP interface.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toucan_config::operators::{EditResponse, Problem};
use toucan_platform::{CallError, ClientSettings, ServiceCall, ServiceClient, ServiceResponse};

use crate::cli_error::CliError;
use crate::options::Options;

/// Client of the operators' HTTP interface, which tries the nodes in their order.
///
/// Every call may be made again: reading changes nothing, and edits carry an id.
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

    /// Reads something.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let answer = self.call(Method::GET, path, Bytes::new()).await?;
        if answer.status == StatusCode::OK {
            return read(&answer);
        }
        Err(problem(&answer))
    }

    /// Asks for something that changes nothing.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let answer = self.call(Method::POST, path, json(body)?).await?;
        if answer.status == StatusCode::OK {
            return read(&answer);
        }
        Err(problem(&answer))
    }

    /// Makes an edit.
    pub(crate) async fn edit(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<EditResponse, CliError> {
        let answer = self.call(Method::POST, path, json(body)?).await?;
        match serde_json::from_slice(&answer.body) {
            Ok(edit_answer) => Ok(edit_answer),
            Err(_) if answer.status == StatusCode::OK => {
                Err(CliError::Unknown("the answer is malformed".to_owned()))
            }
            Err(_) => Err(problem(&answer)),
        }
    }

    /// Reads the same from every node; nodes that do not answer are left out unless none does.
    pub(crate) async fn get_all<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Vec<T>, CliError> {
        self.all(Method::GET, path, Bytes::new()).await
    }

    /// Asks every node for the same; nodes that do not answer are left out unless none does.
    pub(crate) async fn post_all<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Vec<T>, CliError> {
        self.all(Method::POST, path, json(body)?).await
    }

    async fn all<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Vec<T>, CliError> {
        let mut answers = Vec::new();
        let mut last = no_answer();
        for node in &self.options.nodes {
            match self.call_node(*node, &method, path, &body).await? {
                Ok(answer) if answer.status == StatusCode::OK => answers.push(read(&answer)?),
                Ok(answer) => last = problem(&answer),
                Err(error) => last = CliError::Unavailable(format!("{node}: {error}")),
            }
        }
        if answers.is_empty() {
            return Err(last);
        }
        Ok(answers)
    }

    /// Calls the first node that can be reached and has an answer.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ServiceResponse, CliError> {
        let is_reading = method == Method::GET;
        let mut last = no_answer();
        let mut is_known = true;
        for node in &self.options.nodes {
            match self.call_node(*node, &method, path, &body).await? {
                Ok(answer) if is_elsewhere(answer.status) => last = problem(&answer),
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let was_sent = !matches!(error, CallError::NotSent { .. });
                    is_known &= is_reading || !was_sent;
                    last = CliError::Unavailable(format!("{node}: {error}"));
                }
            }
        }
        if is_known {
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

fn no_answer() -> CliError {
    CliError::Unavailable("no node answers".to_owned())
}

/// Whether another node may have the answer that this one has not.
fn is_elsewhere(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::MISDIRECTED_REQUEST
}

/// A part of a path, with everything but letters, digits, `-`, `_`, `.` and `~` escaped.
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

fn read<T: DeserializeOwned>(answer: &ServiceResponse) -> Result<T, CliError> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| CliError::Unavailable(format!("the answer is malformed: {error}")))
}

fn problem(answer: &ServiceResponse) -> CliError {
    let message = serde_json::from_slice::<Problem>(&answer.body).map_or_else(
        |_| format!("status {}", answer.status),
        |problem| problem.message,
    );
    match answer.status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => CliError::Unauthorised(message),
        StatusCode::NOT_FOUND => CliError::NotFound(message),
        status if is_elsewhere(status) => CliError::Unavailable(message),
        StatusCode::GATEWAY_TIMEOUT => CliError::Unknown(message),
        _ => CliError::Refused(message),
    }
}
