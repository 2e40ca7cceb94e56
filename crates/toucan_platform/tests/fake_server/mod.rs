//! A server that answers each request by a script, byte by byte if need be.

#![allow(dead_code, reason = "each test uses some of it")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy does not see that this is part of a test"
)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Received {
    /// Number of its connection, from 0.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
}

/// One step of an answer.
#[derive(Clone)]
pub enum Act {
    Send(Vec<u8>),
    WaitMs(u64),
    /// Ends the connection.
    Close,
    /// Keeps the connection open for good and does nothing more on it.
    GoSilent,
}

pub struct FakeServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Received>>>,
}

impl FakeServer {
    pub async fn start(script: impl Fn(&Received) -> Vec<Act> + Send + Sync + 'static) -> Self {
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

    pub fn requests(&self) -> Vec<Received> {
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
    script: Arc<impl Fn(&Received) -> Vec<Act>>,
    seen: Arc<Mutex<Vec<Received>>>,
) {
    socket.set_nodelay(true).unwrap();
    while let Some(request) = read_request(&mut socket, connection).await {
        seen.lock().unwrap().push(request.clone());
        for act in script(&request) {
            match act {
                Act::Send(bytes) => {
                    if socket.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Act::WaitMs(wait_ms) => sleep(Duration::from_millis(wait_ms)).await,
                Act::Close => return,
                Act::GoSilent => std::future::pending().await,
            }
        }
    }
}

async fn read_request(socket: &mut TcpStream, connection: usize) -> Option<Received> {
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
    Some(Received {
        connection,
        head,
        body,
    })
}

/// A whole answer.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut answer =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n{headers}\r\n").into_bytes();
    answer.extend_from_slice(body);
    answer
}

/// The head of an event stream that ends with its connection.
pub fn stream_head() -> Act {
    Act::Send(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec())
}

/// The event of a token.
pub fn token(index: u64) -> Act {
    Act::Send(format!("id: {index}\ndata: {{\"token\":{index}}}\n\n").into_bytes())
}

/// The events that end a whole stream.
pub fn stream_end(tokens: u64) -> Act {
    let usage = format!(
        "{{\"prompt_tokens\":3,\"completion_tokens\":{tokens},\"total_tokens\":{}}}",
        tokens + 3
    );
    let chunk = format!(
        "{{\"id\":\"r\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\
         \"choices\":[],\"usage\":{usage}}}"
    );
    Act::Send(format!("data: {chunk}\n\ndata: [DONE]\n\n").into_bytes())
}
