//! Token streams over failing connections.

#![allow(
    clippy::unwrap_used,
    reason = "clippy does not see that helpers are part of a test"
)]

mod fake_server;

use bytes::Bytes;
use fake_server::{Action, FakeServer, ReceivedRequest, response, stream_end, stream_head, token};
use test_case::test_case;
use toucan_platform::{
    ClientSettings, DispatchError, EngineCall, EngineClient, EngineEvent, StreamError, TokenStream,
};
use toucan_types::RequestId;

const QUIET_MS: u64 = 100;

fn call() -> EngineCall {
    EngineCall {
        request: RequestId::from("r/1?x"),
        body: Bytes::from_static(b"{}"),
        priority: -3,
        first_byte_timeout_ms: 5_000,
    }
}

fn client() -> EngineClient {
    let settings = ClientSettings::default()
        .with_standby_after_ms(QUIET_MS)
        .with_read_timeout_ms(2_000);
    EngineClient::new(settings)
}

fn is_resume(request: &ReceivedRequest) -> bool {
    request.head.starts_with("GET /v1/streams/")
}

fn resumed_from(request: &ReceivedRequest) -> u64 {
    let (_, from) = request.head.split_once("from_token=").unwrap();
    from.split_whitespace().next().unwrap().parse().unwrap()
}

fn tokens(range: std::ops::Range<u64>) -> impl Iterator<Item = Action> {
    range.map(token)
}

fn with_action(mut actions: Vec<Action>, action: Action) -> Vec<Action> {
    actions.push(action);
    actions
}

/// Reads to the end; returns the token indices, whether the usage arrived, and the result.
async fn read(mut stream: TokenStream) -> (Vec<u64>, bool, Result<(), StreamError>) {
    let mut indices = Vec::new();
    let mut has_usage = false;
    loop {
        match stream.next().await {
            Ok(EngineEvent::Token { index, data }) => {
                assert_eq!(data, format!("{{\"token\":{index}}}"));
                indices.push(index);
            }
            Ok(EngineEvent::Usage { .. }) => has_usage = true,
            Ok(EngineEvent::Done) => return (indices, has_usage, Ok(())),
            Err(error) => return (indices, has_usage, Err(error)),
        }
    }
}

fn complete(count: u64) -> (Vec<u64>, bool, Result<(), StreamError>) {
    ((0..count).collect(), true, Ok(()))
}

#[tokio::test]
async fn complete_stream_with_request_headers() {
    let server = FakeServer::start(|_| {
        let mut actions = vec![stream_head()];
        actions.extend(tokens(0..50));
        actions.extend([stream_end(50), Action::Close]);
        actions
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(50));
    let head = server.requests()[0].head.to_ascii_lowercase();
    assert!(head.contains("x-request-id: r/1?x\r\n"), "{head}");
    assert!(head.contains("x-priority: -3\r\n"));
}

#[tokio::test]
async fn stalled_connection_is_replaced_without_lost_or_repeated_tokens() {
    let server = FakeServer::start(|request| {
        let mut actions = vec![stream_head()];
        if is_resume(request) {
            actions.extend(tokens(resumed_from(request)..40));
            actions.extend([stream_end(40), Action::Close]);
        } else {
            actions.extend(tokens(0..10));
            actions.push(Action::Stall);
        }
        actions
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(40));
    let resumes: Vec<_> = server.requests().into_iter().filter(is_resume).collect();
    assert_eq!(resumes.len(), 1);
    assert_eq!(resumed_from(&resumes[0]), 10);
    assert!(resumes[0].head.starts_with("GET /v1/streams/r%2F1%3Fx?"));
}

/// The standby connection fails too, as it does while the network to the engine is down.
#[test_case(Action::Close; "it ends")]
#[test_case(Action::Stall; "it goes silent")]
#[tokio::test]
async fn standby_is_retried_until_a_connection_delivers(second: Action) {
    let server = FakeServer::start(move |request| {
        if !is_resume(request) {
            let start = tokens(0..10).chain([Action::Stall]);
            return start.fold(vec![stream_head()], with_action);
        }
        if request.connection == 1 {
            return vec![second.clone()];
        }
        let rest = tokens(resumed_from(request)..40).chain([stream_end(40), Action::Close]);
        rest.fold(vec![stream_head()], with_action)
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(40));
}

#[tokio::test]
async fn stream_is_resumed_if_the_first_connection_never_responds() {
    let server = FakeServer::start(|request| {
        if !is_resume(request) {
            return vec![Action::Stall];
        }
        let mut actions = vec![stream_head()];
        actions.extend(tokens(0..6));
        actions.extend([stream_end(6), Action::Close]);
        actions
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(6));
    assert_eq!(server.requests().len(), 2);
}

/// The first connection stalls before the engine receives the request, which then arrives over a
/// second connection.
#[test_case(0 ; "the first request never arrives")]
#[test_case(1 ; "the first request arrives late and is refused")]
#[tokio::test]
async fn lost_request_is_sent_again_with_the_same_id(refused: usize) {
    let server = FakeServer::start(move |request| {
        if is_resume(request) {
            return vec![Action::Send(response(404, "", b""))];
        }
        if request.connection == 0 && refused == 0 {
            return vec![Action::Stall];
        }
        if request.connection == 0 {
            return vec![
                Action::WaitMs(3 * QUIET_MS),
                Action::Send(response(409, "", b"")),
            ];
        }
        let mut actions = vec![stream_head(), Action::WaitMs(4 * QUIET_MS)];
        actions.extend(tokens(0..6));
        actions.extend([stream_end(6), Action::Close]);
        actions
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(6));
    let starts = server
        .requests()
        .into_iter()
        .filter(|request| !is_resume(request));
    assert_eq!(starts.count(), 2);
}

#[tokio::test]
async fn late_first_byte_keeps_the_first_connection() {
    let server = FakeServer::start(|request| {
        if is_resume(request) {
            return vec![Action::Send(response(404, "", b""))];
        }
        if request.connection > 0 {
            return vec![Action::Send(response(409, "", b""))];
        }
        let mut actions = vec![Action::WaitMs(4 * QUIET_MS), stream_head()];
        actions.extend(tokens(0..6));
        actions.extend([stream_end(6), Action::Close]);
        actions
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(6));
}

#[tokio::test]
async fn slow_engine_keeps_the_connection() {
    let server = FakeServer::start(|request| {
        let mut actions = vec![stream_head()];
        if is_resume(request) {
            // The second connection is as slow, and no event is due before the first one delivers it.
            actions.push(Action::Stall);
            return actions;
        }
        for index in 0..3 {
            actions.extend([token(index), Action::WaitMs(4 * QUIET_MS)]);
        }
        actions.extend([stream_end(3), Action::Close]);
        actions
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(3));
}

#[tokio::test]
async fn broken_connection_fails_over_to_the_standby() {
    let server = FakeServer::start(|request| {
        let mut actions = vec![stream_head()];
        if is_resume(request) {
            actions.push(Action::WaitMs(4 * QUIET_MS));
            actions.extend(tokens(resumed_from(request)..9));
            actions.extend([stream_end(9), Action::Close]);
        } else {
            actions.extend(tokens(0..5));
            actions.extend([Action::WaitMs(2 * QUIET_MS), Action::Close]);
        }
        actions
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, complete(9));
}

#[tokio::test]
async fn broken_stream_reports_the_token_to_resume_from() {
    let server = FakeServer::start(|request| {
        let mut actions = vec![stream_head()];
        if is_resume(request) {
            actions.extend(tokens(resumed_from(request)..7));
            actions.extend([stream_end(7), Action::Close]);
        } else {
            actions.extend(tokens(0..4));
            // An incomplete event is not a token.
            actions.extend([Action::Send(b"id: 4\nda".to_vec()), Action::Close]);
        }
        actions
    })
    .await;
    let client = client();
    let stream = client.start(server.address, call()).await.unwrap();
    let (indices, _, end) = read(stream).await;
    assert_eq!(indices, [0, 1, 2, 3]);
    let next_token = end.unwrap_err().next_token();
    assert_eq!(next_token, 4);
    let request = call().request;
    let stream = client
        .resume(server.address, &request, next_token)
        .await
        .unwrap();
    assert_eq!(read(stream).await, ((4..7).collect(), true, Ok(())));
}

#[tokio::test]
async fn stream_without_progress_times_out() {
    let server = FakeServer::start(|request| {
        if is_resume(request) {
            return vec![Action::Send(response(404, "", b""))];
        }
        vec![stream_head(), token(0), Action::Stall]
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    let (indices, _, end) = read(stream).await;
    assert_eq!(indices, [0]);
    assert_eq!(end, Err(StreamError::Silent { next_token: 1 }));
}

#[tokio::test]
async fn repeated_tokens_are_dropped_and_gaps_are_errors() {
    let server = FakeServer::start(|_| {
        let actions = [0, 1, 1, 0, 2, 4].into_iter().map(token);
        [stream_head()].into_iter().chain(actions).collect()
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    let (indices, _, end) = read(stream).await;
    assert_eq!(indices, [0, 1, 2]);
    assert_eq!(end, Err(StreamError::Malformed { next_token: 3 }));
}

#[test_case("id: x\ndata: {}\n\n" ; "an index that is no number")]
#[test_case("id: 99999999999999999999\ndata: {}\n\n" ; "an index too large")]
#[test_case("data: {\"token\":1}\n\n" ; "an event without index or usage")]
#[test_case("data: [[[[\n\n" ; "no json")]
#[tokio::test]
async fn malformed_events_are_errors(event: &'static str) {
    let server = FakeServer::start(move |_| {
        vec![
            stream_head(),
            Action::Send(event.as_bytes().to_vec()),
            Action::Stall,
        ]
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    let (_, _, end) = read(stream).await;
    assert_eq!(end, Err(StreamError::Malformed { next_token: 0 }));
}

#[tokio::test]
async fn endless_event_is_stopped_at_the_size_limit() {
    let server = FakeServer::start(|_| {
        let mut actions = vec![stream_head()];
        actions.extend((0..100).map(|_| Action::Send(vec![b'x'; 1_000])));
        actions.push(Action::Stall);
        actions
    })
    .await;
    let client = EngineClient::new(ClientSettings::default().with_max_response_bytes(50_000));
    let stream = client.start(server.address, call()).await.unwrap();
    let (indices, _, end) = read(stream).await;
    assert!(indices.is_empty());
    assert_eq!(end, Err(StreamError::Broken { next_token: 0 }));
}

#[test_case(409, "", 1_000 ; "already held")]
#[test_case(429, "retry-after: 7\r\n", 7_000 ; "over its rate")]
#[test_case(503, "retry-after: soon\r\n", 1_000 ; "no room")]
#[tokio::test]
async fn engine_refusals_are_returned(status: u16, headers: &'static str, retry_after_ms: u64) {
    let server =
        FakeServer::start(move |_| vec![Action::Send(response(status, headers, b"why"))]).await;
    let refused = client().start(server.address, call()).await.err();
    let body = Bytes::from_static(b"why");
    assert_eq!(
        refused,
        Some(DispatchError::Refused {
            status,
            retry_after_ms,
            body
        })
    );
}

#[tokio::test]
async fn request_id_invalid_as_header_is_not_sent() {
    let server = FakeServer::start(|_| vec![Action::Close]).await;
    let mut call = call();
    call.request = RequestId::from("a\r\nx-priority: 9");
    let error = client().start(server.address, call).await.err().unwrap();
    assert!(matches!(error, DispatchError::NotSent { .. }));
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn response_that_is_not_a_stream_is_unknown() {
    let server = FakeServer::start(|_| vec![Action::Send(response(200, "", b"{}"))]).await;
    let error = client().start(server.address, call()).await.err().unwrap();
    assert!(matches!(error, DispatchError::Unknown { .. }));
}
