//! Tests of the engine: completions, resumption, priorities, cache, orders.

use crate::support::{chat_request, get, post, read_events, send, start_chat};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, StatusCode};
use test_case::test_case;
use toucan_platform::formats::{
    CacheEvent, CacheEventPage, ChatResponse, EngineLoad, EngineOrder, EngineOrderKind, KvExport,
    KvExportRequest, KvImport,
};
use toucan_standins::{
    EngineSettings, EngineStandin, WeightStoreStandin, completion_text, prompt_blocks,
};

fn fast_settings() -> EngineSettings {
    EngineSettings {
        step_base_us: 1_000,
        step_per_request_us: 0,
        prefill_token_us: 0,
        event_lag_ms: 0,
        event_loss_permille: 0,
        load_lag_ms: 0,
        ..EngineSettings::default()
    }
}

async fn start_engine(settings: EngineSettings) -> EngineStandin {
    EngineStandin::start(settings, None).await.expect("starts")
}

#[tokio::test]
async fn a_stream_returns_the_completion_of_its_request() {
    let engine = start_engine(fast_settings()).await;
    let request = chat_request("draft a guarantee", true);
    let response = start_chat(engine.address(), "r1", &request).await;
    let completion = read_events(response).await;
    assert_eq!(completion, (completion_text(&request), 12, true));
    assert_ne!(
        completion_text(&request),
        completion_text(&chat_request("another", true))
    );
    let run = &engine.runs()[0];
    assert_eq!(run.request_id, "r1");
    assert_eq!(run.finish_reason.as_deref(), Some("length"));
}

#[tokio::test]
async fn an_unstreamed_response_returns_the_completion_of_its_request() {
    let engine = start_engine(fast_settings()).await;
    let request = chat_request("draft a guarantee", false);
    let response = start_chat(engine.address(), "r1", &request).await;
    let body = http_body_util::BodyExt::collect(response.into_body())
        .await
        .unwrap();
    let response: ChatResponse = serde_json::from_slice(&body.to_bytes()).unwrap();
    assert_eq!(
        response.choices[0].message.content,
        completion_text(&request)
    );
}

#[tokio::test]
async fn a_duplicate_request_id_is_refused_and_its_stream_can_be_resumed() {
    let engine = start_engine(fast_settings()).await;
    let request = chat_request("draft a guarantee", true);
    drop(start_chat(engine.address(), "r1", &request).await);
    let duplicate = start_chat(engine.address(), "r1", &request).await;
    assert_eq!(duplicate.status(), StatusCode::CONFLICT);
    let path = "/v1/streams/r1?from_token=10";
    let resumed = send(engine.address(), Method::GET, path, &[], "").await;
    let (text, tokens, done) = read_events(resumed).await;
    assert!(completion_text(&request).ends_with(&text));
    assert_eq!(
        (text.split_whitespace().count(), tokens, done),
        (2, 12, true)
    );
    assert_eq!(engine.runs().len(), 1);
}

#[tokio::test]
async fn a_cancelled_stream_ends_with_its_usage() {
    let slow_settings = EngineSettings {
        step_base_us: 50_000,
        ..fast_settings()
    };
    let engine = start_engine(slow_settings).await;
    let response = start_chat(engine.address(), "r1", &chat_request("long", true)).await;
    let cancel = send(
        engine.address(),
        Method::POST,
        "/v1/streams/r1/cancel",
        &[],
        "",
    )
    .await;
    assert_eq!(cancel.status(), StatusCode::OK);
    let (_, tokens, done) = read_events(response).await;
    assert!(done && tokens < 12);
    assert_eq!(engine.runs()[0].finish_reason.as_deref(), Some("cancelled"));
}

#[tokio::test]
async fn a_higher_priority_runs_before_earlier_waiting_requests() {
    let one_slot = EngineSettings {
        batch_limit: 1,
        step_base_us: 5_000,
        ..fast_settings()
    };
    let engine = start_engine(one_slot).await;
    let address = engine.address();
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut calls = Vec::new();
    for (id, priority) in [("first", "0"), ("low", "0"), ("high", "5")] {
        let headers = [("x-request-id", id), ("x-priority", priority)];
        let body = serde_json::to_vec(&chat_request(id, false)).unwrap();
        let ended = Arc::clone(&ended);
        let in_flight = engine.in_flight_requests();
        calls.push(tokio::spawn(async move {
            send(
                address,
                Method::POST,
                "/v1/chat/completions",
                &headers,
                body,
            )
            .await;
            ended.lock().unwrap().push(id);
        }));
        while engine.in_flight_requests() == in_flight {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    for call in calls {
        call.await.unwrap();
    }
    assert_eq!(*ended.lock().unwrap(), ["first", "high", "low"]);
}

#[tokio::test]
async fn a_repeated_prefix_is_cached_and_excess_blocks_are_evicted() {
    let small_cache = EngineSettings {
        cache_blocks: 8,
        ..fast_settings()
    };
    let engine = start_engine(small_cache).await;
    let prompt = "tender dossier ".repeat(20);
    for id in ["r1", "r2"] {
        read_events(start_chat(engine.address(), id, &chat_request(&prompt, true)).await).await;
    }
    read_events(
        start_chat(
            engine.address(),
            "r3",
            &chat_request(&"other ".repeat(80), true),
        )
        .await,
    )
    .await;
    let runs = engine.runs();
    assert_eq!(runs[0].cached_tokens, 0);
    assert!(runs[1].cached_tokens > 0);
    let (_, page): (_, CacheEventPage) = get(engine.address(), "/events?after=0").await;
    let events = page.events.iter();
    assert!(
        events
            .clone()
            .any(|event| matches!(event, CacheEvent::Removed { .. }))
    );
    assert_eq!(page.last_sequence as usize, page.events.len());
}

#[tokio::test]
async fn imported_kv_cache_counts_as_cached_tokens() {
    let (from, to) = (
        start_engine(fast_settings()).await,
        start_engine(fast_settings()).await,
    );
    let request = chat_request(&"tender dossier ".repeat(20), true);
    read_events(start_chat(from.address(), "r1", &request).await).await;
    let last = *prompt_blocks(&request.messages, 16).last().unwrap();
    let body = serde_json::to_vec(&KvExportRequest { block: last }).unwrap();
    let response = send(from.address(), Method::POST, "/kv/export", &[], body).await;
    let body = http_body_util::BodyExt::collect(response.into_body())
        .await
        .unwrap();
    let export: KvExport = serde_json::from_slice(&body.to_bytes()).unwrap();
    let imported = post(to.address(), "/kv/import", &KvImport { export }).await;
    assert_eq!(imported, StatusCode::OK);
    read_events(start_chat(to.address(), "r2", &request).await).await;
    assert!(to.runs()[0].cached_tokens > 0);
}

#[test_case(true, StatusCode::CONFLICT; "honoured")]
#[test_case(false, StatusCode::OK; "ignored")]
#[tokio::test]
async fn a_lower_fencing_number_is_refused_if_fencing_is_honoured(
    honours_fencing: bool,
    expected: StatusCode,
) {
    let engine = start_engine(EngineSettings {
        honours_fencing,
        load_model_ms: 0,
        ..fast_settings()
    })
    .await;
    let order = |fencing_number, version: &str| EngineOrder {
        fencing_number,
        kind: EngineOrderKind::Load {
            model: "drafter".to_owned(),
            version: version.to_owned(),
            adapter: None,
        },
    };
    let address = engine.address();
    assert_eq!(
        post(address, "/orders", &order(7, "2")).await,
        StatusCode::OK
    );
    assert_eq!(post(address, "/orders", &order(3, "1")).await, expected);
    assert_eq!(engine.orders()[1].executed, expected == StatusCode::OK);
}

#[tokio::test]
async fn the_weight_store_limits_loads() {
    let weights = WeightStoreStandin::start(1).await.unwrap();
    let settings = EngineSettings {
        load_model_ms: 0,
        ..fast_settings()
    };
    let engine = EngineStandin::start(settings, Some(weights.clone()))
        .await
        .unwrap();
    let mut statuses = Vec::new();
    for version in ["1", "2", "3"] {
        let order = EngineOrder {
            fencing_number: 1,
            kind: EngineOrderKind::Load {
                model: "drafter".to_owned(),
                version: version.to_owned(),
                adapter: None,
            },
        };
        statuses.push(post(engine.address(), "/orders", &order).await);
    }
    assert!(statuses.contains(&StatusCode::TOO_MANY_REQUESTS));
    assert_eq!(weights.refused() as usize + weights.downloads().len(), 3);
}

#[tokio::test]
async fn a_leaving_engine_reports_it_and_records_later_requests() {
    let engine = start_engine(fast_settings()).await;
    engine.set_leaving(true);
    read_events(start_chat(engine.address(), "r1", &chat_request("late", true)).await).await;
    assert!(engine.runs()[0].after_leaving_ms.is_some());
    loop {
        let (_, load): (_, EngineLoad) = get(engine.address(), "/load").await;
        if load.leaving {
            break;
        }
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_crashed_engine_breaks_off_its_streams() {
    let slow_settings = EngineSettings {
        step_base_us: 20_000,
        ..fast_settings()
    };
    let engine = start_engine(slow_settings).await;
    let response = start_chat(engine.address(), "r1", &chat_request("lost", true)).await;
    engine.set_crashed(true);
    let (_, _, done) = read_events(response).await;
    assert!(!done);
}
