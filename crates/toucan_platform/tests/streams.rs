//! Streams of tokens over connections that fail.

#![allow(
    clippy::unwrap_used,
    reason = "clippy does not see that helpers are part of a test"
)]

mod fake_server;

use bytes::Bytes;
use fake_server::{Act, FakeServer, Received, answer, stream_end, stream_head, token};
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

fn is_resume(request: &Received) -> bool {
    request.head.starts_with("GET /v1/streams/")
}

fn resumed_from(request: &Received) -> u64 {
    let (_, from) = request.head.split_once("from_token=").unwrap();
    from.split_whitespace().next().unwrap().parse().unwrap()
}

fn tokens(range: std::ops::Range<u64>) -> impl Iterator<Item = Act> {
    range.map(token)
}

fn with(mut acts: Vec<Act>, act: Act) -> Vec<Act> {
    acts.push(act);
    acts
}

/// Reads to the end; gives the indices of the tokens, whether the usage came, and the end.
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

fn whole(count: u64) -> (Vec<u64>, bool, Result<(), StreamError>) {
    ((0..count).collect(), true, Ok(()))
}

#[tokio::test]
async fn a_stream_comes_whole_and_its_request_says_who_it_is() {
    let server = FakeServer::start(|_| {
        let mut acts = vec![stream_head()];
        acts.extend(tokens(0..50));
        acts.extend([stream_end(50), Act::Close]);
        acts
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(50));
    let head = server.requests()[0].head.to_ascii_lowercase();
    assert!(head.contains("x-request-id: r/1?x\r\n"), "{head}");
    assert!(head.contains("x-priority: -3\r\n"));
}

#[tokio::test]
async fn a_connection_that_goes_silent_is_left_without_a_token_lost_or_doubled() {
    let server = FakeServer::start(|request| {
        let mut acts = vec![stream_head()];
        if is_resume(request) {
            acts.extend(tokens(resumed_from(request)..40));
            acts.extend([stream_end(40), Act::Close]);
        } else {
            acts.extend(tokens(0..10));
            acts.push(Act::GoSilent);
        }
        acts
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(40));
    let resumes: Vec<_> = server.requests().into_iter().filter(is_resume).collect();
    assert_eq!(resumes.len(), 1);
    assert_eq!(resumed_from(&resumes[0]), 10);
    assert!(resumes[0].head.starts_with("GET /v1/streams/r%2F1%3Fx?"));
}

/// The second connection fails too, as it does while the way to the engine is cut.
#[test_case(Act::Close; "it ends")]
#[test_case(Act::GoSilent; "it goes silent")]
#[tokio::test]
async fn a_stream_is_asked_for_again_until_a_connection_brings_it(second: Act) {
    let server = FakeServer::start(move |request| {
        if !is_resume(request) {
            let start = tokens(0..10).chain([Act::GoSilent]);
            return start.fold(vec![stream_head()], with);
        }
        if request.connection == 1 {
            return vec![second.clone()];
        }
        let rest = tokens(resumed_from(request)..40).chain([stream_end(40), Act::Close]);
        rest.fold(vec![stream_head()], with)
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(40));
}

#[tokio::test]
async fn a_connection_silent_from_its_start_is_left_and_the_stream_found() {
    let server = FakeServer::start(|request| {
        if !is_resume(request) {
            return vec![Act::GoSilent];
        }
        let mut acts = vec![stream_head()];
        acts.extend(tokens(0..6));
        acts.extend([stream_end(6), Act::Close]);
        acts
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(6));
    assert_eq!(server.requests().len(), 2);
}

/// Starts over a connection that is silent before the engine gets anything; the engine gets the
/// request by a second one.
#[test_case(0 ; "the first request never arrives")]
#[test_case(1 ; "the first request arrives late and is refused")]
#[tokio::test]
async fn a_request_that_did_not_arrive_is_sent_again_under_its_id(refused: usize) {
    let server = FakeServer::start(move |request| {
        if is_resume(request) {
            return vec![Act::Send(answer(404, "", b""))];
        }
        if request.connection == 0 && refused == 0 {
            return vec![Act::GoSilent];
        }
        if request.connection == 0 {
            return vec![Act::WaitMs(3 * QUIET_MS), Act::Send(answer(409, "", b""))];
        }
        let mut acts = vec![stream_head(), Act::WaitMs(4 * QUIET_MS)];
        acts.extend(tokens(0..6));
        acts.extend([stream_end(6), Act::Close]);
        acts
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(6));
    let starts = server
        .requests()
        .into_iter()
        .filter(|request| !is_resume(request));
    assert_eq!(starts.count(), 2);
}

#[tokio::test]
async fn an_engine_that_begins_late_keeps_the_first_connection() {
    let server = FakeServer::start(|request| {
        if is_resume(request) {
            return vec![Act::Send(answer(404, "", b""))];
        }
        if request.connection > 0 {
            return vec![Act::Send(answer(409, "", b""))];
        }
        let mut acts = vec![Act::WaitMs(4 * QUIET_MS), stream_head()];
        acts.extend(tokens(0..6));
        acts.extend([stream_end(6), Act::Close]);
        acts
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(6));
}

#[tokio::test]
async fn a_slow_engine_keeps_its_connection() {
    let server = FakeServer::start(|request| {
        let mut acts = vec![stream_head()];
        if is_resume(request) {
            // As slow over the second connection, with nothing to say before the first one has.
            acts.push(Act::GoSilent);
            return acts;
        }
        for index in 0..3 {
            acts.extend([token(index), Act::WaitMs(4 * QUIET_MS)]);
        }
        acts.extend([stream_end(3), Act::Close]);
        acts
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(3));
}

#[tokio::test]
async fn a_connection_that_breaks_while_a_second_one_stands_costs_nothing() {
    let server = FakeServer::start(|request| {
        let mut acts = vec![stream_head()];
        if is_resume(request) {
            acts.push(Act::WaitMs(4 * QUIET_MS));
            acts.extend(tokens(resumed_from(request)..9));
            acts.extend([stream_end(9), Act::Close]);
        } else {
            acts.extend(tokens(0..5));
            acts.extend([Act::WaitMs(2 * QUIET_MS), Act::Close]);
        }
        acts
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    assert_eq!(read(stream).await, whole(9));
}

#[tokio::test]
async fn a_broken_stream_says_where_to_resume_and_is_resumed_there() {
    let server = FakeServer::start(|request| {
        let mut acts = vec![stream_head()];
        if is_resume(request) {
            acts.extend(tokens(resumed_from(request)..7));
            acts.extend([stream_end(7), Act::Close]);
        } else {
            acts.extend(tokens(0..4));
            // Half an event, which is no token.
            acts.extend([Act::Send(b"id: 4\nda".to_vec()), Act::Close]);
        }
        acts
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
async fn a_stream_that_stays_silent_everywhere_ends_with_an_error() {
    let server = FakeServer::start(|request| {
        if is_resume(request) {
            return vec![Act::Send(answer(404, "", b""))];
        }
        vec![stream_head(), token(0), Act::GoSilent]
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    let (indices, _, end) = read(stream).await;
    assert_eq!(indices, [0]);
    assert_eq!(end, Err(StreamError::Silent { next_token: 1 }));
}

#[tokio::test]
async fn repeated_tokens_are_dropped_and_a_gap_is_an_error() {
    let server = FakeServer::start(|_| {
        let acts = [0, 1, 1, 0, 2, 4].into_iter().map(token);
        [stream_head()].into_iter().chain(acts).collect()
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
async fn an_event_that_is_not_understood_is_an_error(event: &'static str) {
    let server = FakeServer::start(move |_| {
        vec![
            stream_head(),
            Act::Send(event.as_bytes().to_vec()),
            Act::GoSilent,
        ]
    })
    .await;
    let stream = client().start(server.address, call()).await.unwrap();
    let (_, _, end) = read(stream).await;
    assert_eq!(end, Err(StreamError::Malformed { next_token: 0 }));
}

#[tokio::test]
async fn a_stream_without_end_is_cut_at_the_limit() {
    let server = FakeServer::start(|_| {
        let mut acts = vec![stream_head()];
        acts.extend((0..100).map(|_| Act::Send(vec![b'x'; 1_000])));
        acts.push(Act::GoSilent);
        acts
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
async fn a_refusal_is_handed_on(status: u16, headers: &'static str, retry_after_ms: u64) {
    let server = FakeServer::start(move |_| vec![Act::Send(answer(status, headers, b"why"))]).await;
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
async fn a_request_id_that_cannot_stand_in_a_header_is_not_sent() {
    let server = FakeServer::start(|_| vec![Act::Close]).await;
    let mut call = call();
    call.request = RequestId::from("a\r\nx-priority: 9");
    let error = client().start(server.address, call).await.err().unwrap();
    assert!(matches!(error, DispatchError::NotSent { .. }));
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn an_answer_that_is_no_stream_means_unknown() {
    let server = FakeServer::start(|_| vec![Act::Send(answer(200, "", b"{}"))]).await;
    let error = client().start(server.address, call()).await.err().unwrap();
    assert!(matches!(error, DispatchError::Unknown { .. }));
}
