//! Cost of a token stream and time to replace an unresponsive connection.

#![allow(missing_docs, reason = "criterion's macros make public items")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy does not see that this is a bench"
)]

#[path = "../tests/fake_server/mod.rs"]
mod fake_server;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{Criterion, SamplingMode, criterion_group, criterion_main};
use fake_server::{Action, FakeServer, ReceivedRequest, stream_end, stream_head, token};
use tokio::runtime::Runtime;
use toucan_platform::{ClientSettings, EngineCall, EngineClient, EngineEvent};
use toucan_types::RequestId;

const TOKENS: u64 = 1_000;

fn call() -> EngineCall {
    EngineCall {
        request: RequestId::from("r-1"),
        body: Bytes::from_static(b"{}"),
        priority: 0,
        first_byte_timeout_ms: 60_000,
    }
}

async fn read_stream(client: &EngineClient, address: SocketAddr) -> u64 {
    let mut stream = client.start(address, call()).await.unwrap();
    let mut tokens = 0;
    loop {
        match stream.next().await.unwrap() {
            EngineEvent::Token { .. } => tokens += 1,
            EngineEvent::Usage { .. } => {}
            EngineEvent::Done => return tokens,
        }
    }
}

fn complete_streams(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let client = EngineClient::new(ClientSettings::default());
    for tokens in [1, TOKENS] {
        let server = runtime.block_on(FakeServer::start(move |_| {
            let mut actions = vec![stream_head()];
            actions.extend((0..tokens).map(token));
            actions.extend([stream_end(tokens), Action::Close]);
            actions
        }));
        criterion.bench_function(&format!("stream of {tokens} tokens"), |bencher| {
            bencher.iter(|| runtime.block_on(read_stream(&client, server.address)));
        });
    }
}

/// Time from sending a request to the end of its stream when the connection stalls either before
/// the response head or after the first token.
fn replace_stalled_connections(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let client = EngineClient::new(ClientSettings::default());
    let mut group = criterion.benchmark_group("silent engine connection");
    group.sampling_mode(SamplingMode::Flat).sample_size(10);
    group.warm_up_time(Duration::from_millis(1));
    group.measurement_time(Duration::from_millis(1));
    for (name, first) in [("from its start", 0), ("after a token", 1)] {
        let script = move |request: &ReceivedRequest| {
            if request.head.starts_with("GET") {
                let mut actions = vec![stream_head()];
                actions.extend((first..3).map(token));
                actions.extend([stream_end(3), Action::Close]);
                return actions;
            }
            match first {
                0 => vec![Action::Stall],
                _ => vec![stream_head(), token(0), Action::Stall],
            }
        };
        let server = runtime.block_on(FakeServer::start(script));
        group.bench_function(name, |bencher| {
            bencher.iter_custom(|iterations| {
                let started = Instant::now();
                for _ in 0..iterations {
                    let tokens = runtime.block_on(read_stream(&client, server.address));
                    assert_eq!(tokens, 3);
                }
                started.elapsed()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, complete_streams, replace_stalled_connections);
criterion_main!(benches);
