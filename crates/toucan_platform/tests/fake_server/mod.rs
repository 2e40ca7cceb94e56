//! An HTTP server that answers each request with scripted bytes.

#![allow(dead_code, reason = "each test uses a part of this module")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy does not see that this is part of a test"
)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};

/// A request as received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Index of the connection, from 0.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

/// One step of a scripted response.
#[derive(Clone)]
pub enum Action {
    Send(Vec<u8>),
    WaitMs(u64),
    /// Closes the connection.
    Close,
    /// Keeps the connection open and does nothing more on it.
    Stall,
}

pub struct FakeServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeServer {
    pub async fn start(
        script: impl Fn(&ReceivedRequest) -> Vec<Action> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let script = Arc::new(script);
        let seen = Arc::clone(&requests);
        tokio::spawn(async move {
            for connection in 0.. {
                let (socket, _) = listener.accept().await.unwrap();
                let script = Arc::clone(&script);
                let seen = Arc::clone(&seen);
                tokio::spawn(serve(socket, connection, script, seen));
            }
        });
        Self { address, requests }
    }

    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    pub fn connections(&self) -> usize {
        let requests = self.requests();
        requests
            .iter()
            .map(|request| request.connection + 1)
            .max()
            .unwrap_or(0)
    }
}

async fn serve(
    mut socket: TcpStream,
    connection: usize,
    script: Arc<impl Fn(&ReceivedRequest) -> Vec<Action>>,
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
) {
    socket.set_nodelay(true).unwrap();
    while let Some(request) = read_request(&mut socket, connection).await {
        seen.lock().unwrap().push(request.clone());
        for action in script(&request) {
            match action {
                Action::Send(bytes) => {
                    if socket.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Action::WaitMs(wait_ms) => sleep(Duration::from_millis(wait_ms)).await,
                Action::Close => return,
                Action::Stall => std::future::pending().await,
            }
        }
    }
}

async fn read_request(socket: &mut TcpStream, connection: usize) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        let byte = socket.read_u8().await.ok()?;
        bytes.push(byte);
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
    let length = head
        .to_ascii_lowercase()
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    socket.read_exact(&mut body).await.ok()?;
    Some(ReceivedRequest {
        connection,
        head,
        body,
    })
}

/// Returns a complete response.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n{headers}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends the head of an event stream that ends when the connection closes.
pub fn stream_head() -> Action {
    Action::Send(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec())
}

/// Sends the event of a token.
pub fn token(index: u64) -> Action {
    Action::Send(format!("id: {index}\ndata: {{\"token\":{index}}}\n\n").into_bytes())
}

/// Sends the events that end a complete stream.
pub fn stream_end(tokens: u64) -> Action {
    let usage = format!(
        "{{\"prompt_tokens\":3,\"completion_tokens\":{tokens},\"total_tokens\":{}}}",
        tokens + 3
    );
    let chunk = format!(
        "{{\"id\":\"r\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\
         \"choices\":[],\"usage\":{usage}}}"
    );
    Action::Send(format!("data: {chunk}\n\ndata: [DONE]\n\n").into_bytes())
}
