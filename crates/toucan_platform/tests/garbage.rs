//! Malformed responses: every client returns without a panic.

#![allow(
    clippy::unwrap_used,
    reason = "clippy does not see that helpers are part of a test"
)]

mod fake_server;

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use fake_server::{Action, FakeServer, response};
use http::{HeaderMap, Method};
use proptest::prelude::*;
use tokio::runtime::Runtime;
use toucan_platform::formats::{
    CacheEventPage, ChatChunk, ChatRequest, EngineLoad, EngineOrder, EngineOrderKind, EngineRole,
    KvExport, LogPage, VmList,
};
use toucan_platform::{
    ClientSettings, EngineCall, EngineClient, LogClient, ServiceCall, ServiceClient, VmListClient,
};
use toucan_types::{Offset, RequestId, StreamName};

/// Responses that are corrupted at random positions.
const RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 23\r\n\r\n{\"records\":[],\"next\":-1}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"off\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: {}\n\ndata: [DONE]\n\n",
    "HTTP/1.1 429 X\r\nretry-after: 99999999999999999999\r\ncontent-length: 0\r\n\r\n",
];

fn arbitrary_response() -> impl Strategy<Value = Vec<u8>> {
    let damaged = (
        0..RESPONSES.len(),
        any::<prop::sample::Index>(),
        any::<[u8; 3]>(),
    )
        .prop_map(|(response, at, bytes)| {
            let mut response = RESPONSES[response].as_bytes().to_vec();
            let at = at.index(response.len() - bytes.len());
            response[at..at + bytes.len()].copy_from_slice(&bytes);
            response
        });
    let body = prop::collection::vec(any::<u8>(), 0..80).prop_map(|body| response(200, "", &body));
    prop_oneof![
        damaged,
        body,
        prop::collection::vec(any::<u8>(), 0..200),
        "\\PC{0,80}".prop_map(String::into_bytes),
    ]
}

async fn call_all_clients(server: &FakeServer) {
    let settings = ClientSettings::default()
        .with_first_byte_timeout_ms(2_000)
        .with_read_timeout_ms(2_000)
        .with_max_response_bytes(1_000);
    let address = server.address;
    let log = LogClient::with_settings(address, settings.clone());
    let stream = StreamName::from("s");
    let _ = log.append(&stream, Bytes::new()).await;
    let _ = log.read(&stream, Offset(0), 10, 0).await;
    let _ = VmListClient::with_settings(address, settings.clone())
        .fetch()
        .await;
    let engine = EngineClient::new(settings.clone());
    let call = EngineCall {
        request: RequestId::from("r"),
        body: Bytes::new(),
        priority: 0,
        first_byte_timeout_ms: 2_000,
    };
    if let Ok(mut stream) = engine.start(address, call).await {
        while let Ok(event) = stream.next().await {
            if event == toucan_platform::EngineEvent::Done {
                break;
            }
        }
    }
    let order = EngineOrder {
        fencing_number: 1,
        kind: EngineOrderKind::ChangeRole {
            role: EngineRole::Both,
        },
    };
    let _ = engine.order(address, &order).await;
    let _ = engine.load(address).await;
    let call = ServiceCall {
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        first_byte_timeout_ms: 2_000,
    };
    let _ = ServiceClient::new(settings).call(address, call).await;
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn malformed_responses_do_not_panic_clients(bytes in arbitrary_response()) {
        let runtime = Runtime::new().unwrap();
        runtime.block_on(async {
            let bytes = Arc::new(Mutex::new(bytes));
            let server = FakeServer::start(move |_| {
                vec![Action::Send(bytes.lock().unwrap().clone()), Action::Close]
            })
            .await;
            call_all_clients(&server).await;
        });
    }

    #[test]
    fn malformed_json_does_not_panic_parsers(text in "[\\{\\}\\[\\]:,\"0-9a-z.\\-+e ]{0,120}") {
        let _ = serde_json::from_str::<LogPage>(&text);
        let _ = serde_json::from_str::<VmList>(&text);
        let _ = serde_json::from_str::<ChatRequest>(&text);
        let _ = serde_json::from_str::<ChatChunk>(&text);
        let _ = serde_json::from_str::<EngineLoad>(&text);
        let _ = serde_json::from_str::<EngineOrder>(&text);
        let _ = serde_json::from_str::<CacheEventPage>(&text);
        let _ = serde_json::from_str::<KvExport>(&text);
    }
}
