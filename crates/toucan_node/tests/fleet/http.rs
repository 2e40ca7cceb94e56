//! An HTTP/1.1 client that opens a new connection for each request.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Read timeout; far above the time that any response takes.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    /// Returns the data of the server-sent events, in order.
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
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a valid timeout");
    stream.write_all(request).expect("the server reads");
    let mut response = Vec::new();
    // The server may reset the connection after the response; the bytes before that are parsed.
    let _reset = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends a request and reads the complete response.
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
    let (head, body) = text.split_once("\r\n\r\n").expect("a response with a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = if chunked {
        decode_chunked(body)
    } else {
        body.to_owned()
    };
    Response {
        status: status.expect("a status"),
        body,
    }
}

fn decode_chunked(body: &str) -> String {
    let mut decoded = String::new();
    let mut rest = body;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        if size == 0 || after.len() < size {
            decoded.push_str(if size == 0 { "" } else { after });
            break;
        }
        decoded.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    decoded
}
