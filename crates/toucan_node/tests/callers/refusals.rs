//! Refused requests and the code that each gets.

use test_case::test_case;

use super::{
    http::{parse, send, send_raw},
    single_node::{SingleNode, assert_refused, authorization, chat_body},
};

const CHAT: &str = "/v1/chat/completions";

#[test]
fn malformed_requests_are_refused_with_their_position() {
    let node = SingleNode::start("");
    let messages = r#""messages":[{"role":"user","content":"Draft."}]"#;
    let cases = [
        ("{\"model\":\n \"drafter\",]".to_owned(), "2:12"),
        (String::new(), "1:0"),
        ("[1".to_owned(), "1:"),
        (r#"{"model":"drafter"}"#.to_owned(), "messages"),
        (
            r#"{"model":"drafter","messages":[]}"#.to_owned(),
            "messages",
        ),
        (format!(r#"{{"model":7,{messages}}}"#), "1:10"),
        (
            format!(r#"{{"model":"drafter",{messages},"max_tokens":0}}"#),
            "max_tokens",
        ),
        (
            format!(r#"{{"model":"drafter",{messages},"max_tokens":-1}}"#),
            "1:",
        ),
        (
            format!(r#"{{"model":"drafter",{messages},"max_tokens":1e999}}"#),
            "1:",
        ),
        (
            format!(
                r#"{{"model":"drafter",{messages},"max_tokens":{}}}"#,
                "9".repeat(400)
            ),
            "1:",
        ),
        ("[".repeat(100_000), "1:"),
    ];
    for (body, position) in cases {
        let response = node.send("POST", CHAT, &[], &body);
        assert_refused(&response, 400, "malformed_request", "no");
        let json = response.json();
        let message = json["error"]["message"].as_str().unwrap_or_default();
        assert!(message.contains(position), "{message} lacks {position}");
    }
    let mut request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: node\r\nconnection: close\r\nauthorization: {}\r\n\
         content-length: 4\r\n\r\n",
        authorization()
    )
    .into_bytes();
    request.extend_from_slice(b"\"\xff\xfe\"");
    let response = parse(&send_raw(node.callers, &request));
    assert_refused(&response, 400, "malformed_request", "no");
    node.assert_healthy();
}

#[test]
fn maximum_numbers_are_capped_rather_than_refused() {
    let node = SingleNode::start("");
    // The reservation is capped at the model's maximum output tokens, so this one stays small.
    let response = node.send(
        "POST",
        CHAT,
        &[("x-deadline-ms", "18446744073709551615")],
        &chat_body(u64::MAX, false),
    );
    assert_eq!(response.status, 200, "{response:?}");
    node.assert_healthy();
}

#[test]
fn wrong_routes_methods_and_headers_are_refused_in_the_same_format() {
    let node = SingleNode::start("");
    let long_id = "i".repeat(129);
    let good = chat_body(2, true);
    let unknown_model = good.replace("drafter", "nobody");
    let unknown_version = good.replace("drafter", "drafter@7");
    type Case<'a> = (
        &'a str,
        &'a str,
        &'a [(&'a str, &'a str)],
        &'a str,
        u16,
        &'a str,
    );
    let cases: [Case<'_>; 17] = [
        ("GET", CHAT, &[], "", 405, "method_not_allowed"),
        ("DELETE", CHAT, &[], &good, 405, "method_not_allowed"),
        ("POST", "/v1/models", &[], "", 405, "method_not_allowed"),
        ("POST", "/healthz", &[], "", 405, "method_not_allowed"),
        ("PUT", "/readyz", &[], "", 405, "method_not_allowed"),
        ("GET", "/", &[], "", 404, "not_found"),
        ("POST", "/v1/embeddings", &[], &good, 404, "not_found"),
        ("GET", "/services/nobody/x", &[], "", 404, "not_found"),
        ("GET", "/services/drafting/x", &[], "", 404, "not_found"),
        ("POST", CHAT, &[], &unknown_model, 404, "not_found"),
        ("POST", CHAT, &[], &unknown_version, 404, "not_found"),
        (
            "POST",
            CHAT,
            &[("x-request-id", "a b")],
            &good,
            400,
            "malformed_request",
        ),
        (
            "POST",
            CHAT,
            &[("x-request-id", &long_id)],
            &good,
            400,
            "malformed_request",
        ),
        (
            "POST",
            CHAT,
            &[("x-deadline-ms", "soon")],
            &good,
            400,
            "malformed_request",
        ),
        (
            "POST",
            CHAT,
            &[("x-deadline-ms", "-1")],
            &good,
            400,
            "malformed_request",
        ),
        (
            "POST",
            CHAT,
            &[("x-request-class", "royal")],
            &good,
            400,
            "malformed_request",
        ),
        (
            "POST",
            "/services/register/issuances",
            &[],
            "{}",
            400,
            "malformed_request",
        ),
    ];
    for (method, path, headers, body, status, code) in cases {
        let response = node.send(method, path, headers, body);
        assert_refused(&response, status, code, "no");
    }
    node.assert_healthy();
    let runs: usize = node
        .fleet
        .engines
        .iter()
        .map(|engine| engine.runs().len())
        .sum();
    assert_eq!(runs, 1, "only the good request ran");
}

#[test_case("POST", CHAT; "chat")]
#[test_case("GET", "/v1/models"; "models")]
#[test_case("POST", "/services/register/issuances"; "plain service")]
fn requests_without_a_key_are_refused(method: &str, path: &str) {
    let node = SingleNode::start("");
    for headers in [vec![], vec![("authorization", "Basic dXNlcg==")]] {
        let response = send(node.callers, method, path, &headers, "{}");
        assert_refused(&response, 401, "unauthenticated", "no");
    }
    node.assert_healthy();
}
