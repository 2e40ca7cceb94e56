//! A fleet of one node, and the checks that it is healthy after each fault.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use super::{
    http::{Response, send},
    test_fleet::{GUILD_KEY, TestFleet},
};

/// Read timeout, far longer than any response takes.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const PURCHASED_TOKENS: u64 = 1_000_000;

/// A fleet of one node.
pub struct SingleNode {
    pub fleet: TestFleet,
    pub callers: SocketAddr,
    health_checks: std::cell::Cell<u32>,
}

impl SingleNode {
    /// Starts a node with additional settings fields.
    pub fn start(fields: &str) -> Self {
        let mut fleet = TestFleet::start(PURCHASED_TOKENS);
        let node = fleet.add_node_with("a", fields);
        let callers = fleet.nodes[node].callers_address();
        let health_checks = std::cell::Cell::new(0);
        Self {
            fleet,
            callers,
            health_checks,
        }
    }

    /// Sends a request with the key of the organisation `guild`.
    pub fn send(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
        let authorization = authorization();
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        send(self.callers, method, path, &all, body)
    }

    /// Checks that the node serves requests and has no state left of earlier ones.
    pub fn assert_healthy(&self) {
        self.fleet.wait_until(|fleet| {
            let state = send(fleet.nodes[0].operators_address(), "GET", "/state", &[], "");
            state.json()["open_requests"] == 0
        });
        let check = self.health_checks.get();
        self.health_checks.set(check + 1);
        let response = self
            .fleet
            .chat(0, &format!("good-{check}"), &chat_body(2, true));
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.events().last(), Some(&"[DONE]"), "{response:?}");
        assert!(!self.fleet.nodes[0].has_failed());
    }

    /// Returns the sum of a counter over the series whose text contains all of `labels`.
    pub fn counter(&self, name: &str, labels: &[&str]) -> u64 {
        let address = self.fleet.nodes[0].operators_address();
        let metrics = send(address, "GET", "/metrics", &[], "").body;
        metrics
            .lines()
            .filter(|line| {
                line.starts_with(name) && labels.iter().all(|label| line.contains(label))
            })
            .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
            .sum()
    }
}

/// Returns the `Authorization` header of the organisation `guild`.
pub fn authorization() -> String {
    format!("Bearer {GUILD_KEY}")
}

pub fn chat_body(max_tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"drafter","messages":[{{"role":"user","content":"Draft a bid bond."}}],
            "max_tokens":{max_tokens},"stream":{stream}}}"#
    )
}

/// Returns the head of a chat request with a `content-length` of `body_bytes`.
pub fn chat_head(id: &str, body_bytes: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nauthorization: {}\r\n\
         x-request-id: {id}\r\ncontent-length: {body_bytes}\r\n\r\n",
        authorization()
    )
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    let timeout = Some(READ_TIMEOUT);
    stream.set_read_timeout(timeout).expect("a valid timeout");
    stream
}

/// Sends bytes and keeps the connection open.
pub fn send_and_keep_open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("the server reads");
    stream
}

/// Reads until the server closes the connection; panics if it never does.
pub fn read_until_closed(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        let is_silent = matches!(
            error.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        );
        assert!(!is_silent, "the connection is still open");
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Checks that a response is a refusal in the format of all refusals.
pub fn assert_refused(response: &Response, status: u16, code: &str, ran: &str) {
    assert_eq!(response.status, status, "{response:?}");
    let error = &response.json()["error"];
    assert_eq!(error["code"], code, "{response:?}");
    assert_eq!(error["ran"], ran, "{response:?}");
    assert!(error["request_id"].is_string(), "{response:?}");
    let message = error["message"].as_str().unwrap_or_default();
    assert!(!message.is_empty(), "{response:?}");
}
