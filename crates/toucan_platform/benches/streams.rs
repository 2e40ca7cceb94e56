//! Cost of a stream of tokens and the time to leave a silent connection.

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
use fake_server::{Act, FakeServer, Received, stream_end, stream_head, token};
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

fn whole_streams(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let client = EngineClient::new(ClientSettings::default());
    for tokens in [1, TOKENS] {
        let server = runtime.block_on(FakeServer::start(move |_| {
            let mut acts = vec![stream_head()];
            acts.extend((0..tokens).map(token));
            acts.extend([stream_end(tokens), Act::Close]);
            acts
        }));
        criterion.bench_function(&format!("stream of {tokens} tokens"), |bencher| {
            bencher.iter(|| runtime.block_on(read_stream(&client, server.address)));
        });
    }
}

/// From the sending of a request to the end of its stream, of which the connection goes silent
/// either before the head of the answer or after the first token.
fn leave_silent_connections(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let client = EngineClient::new(ClientSettings::default());
    let mut group = criterion.benchmark_group("silent engine connection");
    group.sampling_mode(SamplingMode::Flat).sample_size(10);
    group.warm_up_time(Duration::from_millis(1));
    group.measurement_time(Duration::from_millis(1));
    for (name, first) in [("from its start", 0), ("after a token", 1)] {
        let script = move |request: &Received| {
            if request.head.starts_with("GET") {
                let mut acts = vec![stream_head()];
                acts.extend((first..3).map(token));
                acts.extend([stream_end(3), Act::Close]);
                return acts;
            }
            match first {
                0 => vec![Act::GoSilent],
                _ => vec![stream_head(), token(0), Act::GoSilent],
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

criterion_group!(benches, whole_streams, leave_silent_connections);
criterion_main!(benches);
