//! Round trips over a link, the time to replace a silent connection, and the cost of membership.

#![allow(missing_docs, reason = "criterion's macros make public items")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy does not recognise this as a benchmark"
)]

#[path = "../tests/fleet/mod.rs"]
mod fleet;
#[path = "../tests/keys/mod.rs"]
mod keys;
#[path = "../tests/relay/mod.rs"]
mod relay;

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{Criterion, SamplingMode, criterion_group, criterion_main};
use fleet::{Fleet, introduction};
use keys::Authority;
use relay::Relay;
use tokio::runtime::Runtime;
use toucan_types::{Offset, ShardIndex};
use toucan_wire::{
    LinkError, LinkSettings, LoadHint, NEWEST_FRAME_VERSION, PeerHandler, PeerIdentity, PeerLink,
    PeerServer, PeerServerSettings, PeerTarget, Reply, Request, ShardEntries, Tls, decode_request,
    encode_request,
};

/// Number of entries in one journal request; each entry is about as large as a bill.
const JOURNAL_ENTRIES: usize = 10;
const ENTRY_BYTES: usize = 100;

async fn acknowledge(_: PeerIdentity, _: Request) -> Reply {
    Reply::Journaled {
        acknowledgements: Vec::new(),
    }
}

fn journal() -> Request {
    Request::Journal(vec![ShardEntries {
        shard: ShardIndex(1),
        entries: vec![Bytes::from(vec![7; ENTRY_BYTES]); JOURNAL_ENTRIES],
    }])
}

fn server_name() -> PeerIdentity {
    PeerIdentity::new("vm-1", "dc-a")
}

fn caller_name() -> PeerIdentity {
    PeerIdentity::new("vm-2", "dc-a")
}

fn serve(tls: Option<Arc<Tls>>) -> PeerServer<impl PeerHandler> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PeerServer::bind(address, tls, PeerServerSettings::default(), acknowledge).unwrap()
}

fn link_to(address: SocketAddr, tls: Option<Arc<Tls>>) -> PeerLink {
    let peer = PeerTarget {
        identity: server_name(),
        address,
    };
    PeerLink::new(peer, &caller_name(), tls, LinkSettings::default())
}

fn round_trips(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let _entered = runtime.enter();
    let authority = Authority::new();
    let plain = serve(None);
    let secure = serve(authority.tls(&server_name()));
    let links = [
        ("plain", link_to(plain.address(), None)),
        (
            "tls",
            link_to(secure.address(), authority.tls(&caller_name())),
        ),
    ];
    let request = journal();
    for (name, link) in &links {
        criterion.bench_function(&format!("journal round trip, {name}"), |bencher| {
            bencher.iter(|| runtime.block_on(link.request(&request)).unwrap());
        });
    }
}

/// Measures the time from a request on a silent connection to the reply of the next request.
fn leave_silent_link(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let _entered = runtime.enter();
    let server = serve(None);
    let relay = runtime.block_on(Relay::to(server.address()));
    let link = link_to(relay.address, None);
    let request = journal();
    let mut group = criterion.benchmark_group("silent link");
    group.sampling_mode(SamplingMode::Flat).sample_size(10);
    group.warm_up_time(Duration::from_millis(1));
    group.measurement_time(Duration::from_millis(1));
    group.bench_function("left and replaced", |bencher| {
        bencher.iter_custom(|iterations| {
            let mut spent = Duration::ZERO;
            for _ in 0..iterations {
                runtime.block_on(link.request(&request)).unwrap();
                relay.silence();
                let started = Instant::now();
                let lost = runtime.block_on(link.request(&request));
                assert_eq!(lost, Err(LinkError::Silent));
                runtime.block_on(link.request(&request)).unwrap();
                spent += started.elapsed();
            }
            spent
        });
    });
    group.finish();
}

fn membership(criterion: &mut Criterion) {
    let mut fleet = Fleet::new(&[59, 59, 59, 59, 58, 58, 58]);
    fleet.run(10_000);
    let now_ms = fleet.now_ms;
    let load = LoadHint::default();
    let sender = introduction(0, 7).vm;
    let due = fleet
        .node(&sender)
        .membership
        .due_heartbeats(now_ms + 2_000, load, Offset(1));
    let heartbeat = due[0].heartbeat.clone();
    let membership = &mut fleet.node(&introduction(0, 8).vm).membership;
    criterion.bench_function("heartbeat taken in and answered", |bencher| {
        bencher
            .iter(|| membership.answer_heartbeat(black_box(&heartbeat), now_ms, load, Offset(1)));
    });
    criterion.bench_function("states of 410 members brought up to date", |bencher| {
        bencher.iter(|| membership.update_states(black_box(now_ms)));
    });
    criterion.bench_function("gatherer of a shard found", |bencher| {
        bencher.iter(|| membership.batcher(black_box(ShardIndex(3))).clone());
    });
    let request = Request::Heartbeat(Box::new(heartbeat));
    criterion.bench_function("heartbeat encoded and decoded", |bencher| {
        bencher.iter(|| {
            let frame = encode_request(black_box(&request), NEWEST_FRAME_VERSION).unwrap();
            decode_request(&frame).unwrap()
        });
    });
}

criterion_group!(benches, round_trips, leave_silent_link, membership);
criterion_main!(benches);
