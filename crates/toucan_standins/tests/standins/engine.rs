//! The engine: answers, resumption, priorities, cache, orders.

use crate::support::{call, chat, get, post, read_events, start_chat};
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

fn fast() -> EngineSettings {
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

async fn engine(settings: EngineSettings) -> EngineStandin {
    EngineStandin::start(settings, None).await.expect("starts")
}

#[tokio::test]
async fn a_stream_gives_the_answer_of_its_request() {
    let engine = engine(fast()).await;
    let request = chat("draft a guarantee", true);
    let response = start_chat(engine.address(), "r1", &request).await;
    let answer = read_events(response).await;
    assert_eq!(answer, (completion_text(&request), 12, true));
    assert_ne!(
        completion_text(&request),
        completion_text(&chat("another", true))
    );
    let run = &engine.runs()[0];
    assert_eq!(run.request_id, "r1");
    assert_eq!(run.finish_reason.as_deref(), Some("length"));
}

#[tokio::test]
async fn a_whole_response_gives_the_same_answer() {
    let engine = engine(fast()).await;
    let request = chat("draft a guarantee", false);
    let response = start_chat(engine.address(), "r1", &request).await;
    let body = http_body_util::BodyExt::collect(response.into_body())
        .await
        .unwrap();
    let answer: ChatResponse = serde_json::from_slice(&body.to_bytes()).unwrap();
    assert_eq!(answer.choices[0].message.content, completion_text(&request));
}

#[tokio::test]
async fn a_duplicate_id_is_refused_and_the_stream_can_be_resumed() {
    let engine = engine(fast()).await;
    let request = chat("draft a guarantee", true);
    drop(start_chat(engine.address(), "r1", &request).await);
    let duplicate = start_chat(engine.address(), "r1", &request).await;
    assert_eq!(duplicate.status(), StatusCode::CONFLICT);
    let path = "/v1/streams/r1?from_token=10";
    let resumed = call(engine.address(), Method::GET, path, &[], "").await;
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
    let slow = EngineSettings {
        step_base_us: 50_000,
        ..fast()
    };
    let engine = engine(slow).await;
    let response = start_chat(engine.address(), "r1", &chat("long", true)).await;
    let cancel = call(
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
async fn a_larger_priority_overtakes_waiting_requests() {
    let narrow = EngineSettings {
        batch_limit: 1,
        step_base_us: 5_000,
        ..fast()
    };
    let engine = engine(narrow).await;
    let address = engine.address();
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut calls = Vec::new();
    for (id, priority) in [("first", "0"), ("low", "0"), ("high", "5")] {
        let headers = [("x-request-id", id), ("x-priority", priority)];
        let body = serde_json::to_vec(&chat(id, false)).unwrap();
        let ended = Arc::clone(&ended);
        let in_progress = engine.in_flight_requests();
        calls.push(tokio::spawn(async move {
            call(
                address,
                Method::POST,
                "/v1/chat/completions",
                &headers,
                body,
            )
            .await;
            ended.lock().unwrap().push(id);
        }));
        while engine.in_flight_requests() == in_progress {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    for call in calls {
        call.await.unwrap();
    }
    assert_eq!(*ended.lock().unwrap(), ["first", "high", "low"]);
}

#[tokio::test]
async fn a_repeated_prefix_is_cached_and_the_memory_is_limited() {
    let small = EngineSettings {
        cache_blocks: 8,
        ..fast()
    };
    let engine = engine(small).await;
    let prompt = "tender dossier ".repeat(20);
    for id in ["r1", "r2"] {
        read_events(start_chat(engine.address(), id, &chat(&prompt, true)).await).await;
    }
    read_events(start_chat(engine.address(), "r3", &chat(&"other ".repeat(80), true)).await).await;
    let runs = engine.runs();
    assert_eq!(runs[0].cached_tokens, 0);
    assert!(runs[1].cached_tokens > 0);
    let (_, page): (_, CacheEventPage) = get(engine.address(), "/events?after=0").await;
    let removed = page.events.iter();
    assert!(
        removed
            .clone()
            .any(|event| matches!(event, CacheEvent::Removed { .. }))
    );
    assert_eq!(page.last_sequence as usize, page.events.len());
}

#[tokio::test]
async fn exported_kv_cache_spares_the_importing_engine_the_prefill() {
    let (from, to) = (engine(fast()).await, engine(fast()).await);
    let request = chat(&"tender dossier ".repeat(20), true);
    read_events(start_chat(from.address(), "r1", &request).await).await;
    let last = *prompt_blocks(&request.messages, 16).last().unwrap();
    let body = serde_json::to_vec(&KvExportRequest { block: last }).unwrap();
    let response = call(from.address(), Method::POST, "/kv/export", &[], body).await;
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
async fn an_order_with_an_old_fencing_number(honours_fencing: bool, expected: StatusCode) {
    let engine = engine(EngineSettings {
        honours_fencing,
        load_model_ms: 0,
        ..fast()
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
        ..fast()
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
async fn a_leaving_engine_says_so_and_keeps_what_it_still_got_on_record() {
    let engine = engine(fast()).await;
    engine.set_leaving(true);
    read_events(start_chat(engine.address(), "r1", &chat("late", true)).await).await;
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
async fn a_dead_engine_breaks_its_streams() {
    let slow = EngineSettings {
        step_base_us: 20_000,
        ..fast()
    };
    let engine = engine(slow).await;
    let response = start_chat(engine.address(), "r1", &chat("lost", true)).await;
    engine.set_crashed(true);
    let (_, _, done) = read_events(response).await;
    assert!(!done);
}
