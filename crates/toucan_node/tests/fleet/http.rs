//! A caller: plain HTTP/1.1 requests over a fresh connection each.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for a part of an answer; far above what any answer takes.
const PATIENCE: Duration = Duration::from_secs(60);

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    /// Data of the server-sent events, in order.
    pub fn events(&self) -> Vec<&str> {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .collect()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("a JSON body")
    }
}

/// Sends bytes as they are and reads until the server closes.
pub fn send_raw(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a valid timeout");
    stream.write_all(request).expect("the server reads");
    let mut answer = Vec::new();
    // A reset after the answer is the server's right; what came before it is judged.
    let _reset = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends a request and reads its whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    parse(&send_raw(address, request.as_bytes()))
}

pub fn parse(text: &str) -> Response {
    let (head, body) = text.split_once("\r\n\r\n").expect("an answer with a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = if chunked {
        unchunk(body)
    } else {
        body.to_owned()
    };
    Response {
        status: status.expect("a status"),
        body,
    }
}

fn unchunk(body: &str) -> String {
    let mut whole = String::new();
    let mut rest = body;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        if size == 0 || after.len() < size {
            whole.push_str(if size == 0 { "" } else { after });
            break;
        }
        whole.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    whole
}
