//! Each limit on callers is reached and enforced.

use std::{io::Write, net::Shutdown};

use super::{
    http::{parse, send},
    single_node::{
        SingleNode, assert_refused, chat_body, chat_head, connect, read_until_closed,
        send_and_keep_open,
    },
};

const TIGHT_LIMITS: &str = r#"
    "connections": {
        "connections": 8, "header_ms": 300, "header_bytes": 8192, "header_fields": 20,
        "stall_ms": 300,
    },
    "body": { "body_bytes": 4096, "silence_ms": 200, "whole_ms": 600 },
"#;

#[test]
fn bodies_over_a_limit_are_refused_and_leave_no_state() {
    let node = SingleNode::start(TIGHT_LIMITS);
    let large = node.send("POST", "/v1/chat/completions", &[], &"x".repeat(4_097));
    assert_refused(&large, 413, "body_too_large", "no");

    let mut silent = send_and_keep_open(node.callers, chat_head("silent", 100).as_bytes());
    let response = parse(&read_until_closed(&mut silent));
    assert_refused(&response, 408, "body_timeout", "no");

    // Each byte arrives within the read timeout, but the body exceeds its total timeout.
    let mut slow = send_and_keep_open(node.callers, chat_head("slow", 100).as_bytes());
    for _ in 0..100 {
        std::thread::sleep(std::time::Duration::from_millis(50));
        if slow.write_all(b" ").is_err() {
            break;
        }
    }
    read_until_closed(&mut slow);
    assert!(node.counter("toucan_refusals_total", &["body_timeout"]) >= 2);

    let mut broken = send_and_keep_open(node.callers, chat_head("broken", 100).as_bytes());
    broken.write_all(b"{\"model\":").expect("the server reads");
    drop(broken);
    node.assert_healthy();
    let runs: usize = node
        .fleet
        .engines
        .iter()
        .map(|engine| engine.runs().len())
        .sum();
    assert_eq!(runs, 1, "only the good request ran");
}

#[test]
fn headers_over_a_limit_close_the_connection() {
    let node = SingleNode::start(TIGHT_LIMITS);
    let large = format!(
        "GET /healthz HTTP/1.1\r\nhost: node\r\nx: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    let many = format!(
        "GET /healthz HTTP/1.1\r\nhost: node\r\n{}\r\n",
        "x: 1\r\n".repeat(30)
    );
    for request in [large, many] {
        let mut stream = connect(node.callers);
        // The server may close before it has read everything.
        let _closed = stream.write_all(request.as_bytes());
        let response = read_until_closed(&mut stream);
        assert!(!response.contains("200 OK"), "{response}");
    }
    let unfinished: [&[u8]; 4] = [
        b"",
        b"G",
        b"GET /healthz HTTP/1.1\r\n",
        b"GET /healthz HTTP/1.1\r\nhost: no",
    ];
    for bytes in unfinished {
        let mut stream = send_and_keep_open(node.callers, bytes);
        let response = read_until_closed(&mut stream);
        assert!(!response.contains("200 OK"), "{response}");
    }
    node.assert_healthy();
}

#[test]
fn connections_over_the_limit_are_closed_and_counted() {
    let node = SingleNode::start(r#""connections": { "connections": 4, "header_ms": 86400000 },"#);
    let held: Vec<_> = (0..4).map(|_| connect(node.callers)).collect();
    let before = node.counter("toucan_connections_refused_total", &["callers"]);
    let mut refused = connect(node.callers);
    assert_eq!(read_until_closed(&mut refused), "");
    let after = node.counter("toucan_connections_refused_total", &["callers"]);
    assert!(after > before, "{before} then {after}");
    drop(held);
    node.assert_healthy();
}

#[test]
fn a_caller_that_stops_reading_is_disconnected() {
    let node = SingleNode::start(
        r#""connections": { "stall_ms": 300 }, "body": { "body_bytes": 16777216 },"#,
    );
    let body = "x".repeat(15 << 20);
    let head = format!(
        "POST /services/register/echo HTTP/1.1\r\nhost: node\r\nauthorization: {}\r\n\
         content-length: {}\r\n\r\n",
        super::single_node::authorization(),
        body.len()
    );
    let mut stream = send_and_keep_open(node.callers, head.as_bytes());
    stream.write_all(body.as_bytes()).expect("the server reads");
    // The response is larger than the socket buffers, and nobody reads it.
    node.fleet
        .wait_until(|_| node.counter("toucan_stalled_connections_total", &["callers"]) >= 1);
    let response = read_until_closed(&mut stream);
    assert!(response.len() < body.len(), "{} bytes came", response.len());
    node.assert_healthy();
}

#[test]
fn callers_that_disconnect_or_half_close_are_billed_at_most_once() {
    let node = SingleNode::start("");
    let body = chat_body(200, true);
    for (id, shutdown) in [("leaves", None), ("half-closes", Some(Shutdown::Write))] {
        let request = format!("{}{body}", chat_head(id, body.len()));
        let stream = send_and_keep_open(node.callers, request.as_bytes());
        node.fleet.wait_until(|fleet| {
            fleet
                .engines
                .iter()
                .any(|engine| engine.in_flight_requests() > 0)
        });
        match shutdown {
            Some(shutdown) => stream.shutdown(shutdown).expect("an open connection"),
            None => drop(stream),
        }
        // The engine is idle only because its stream was cancelled: 200 tokens take longer than
        // the grace period after a caller disconnects.
        node.fleet.wait_until(|fleet| {
            fleet
                .engines
                .iter()
                .all(|engine| engine.in_flight_requests() == 0)
        });
        node.assert_healthy();
    }
    let account = node.fleet.statement();
    let count = |name: &str| account[name].as_u64().expect("a count");
    assert_eq!(
        count("purchased_tokens"),
        count("remaining_tokens")
            + count("outstanding_tokens")
            + count("held_tokens")
            + count("spent_tokens")
    );
    // Both responses were cut off, so each costs less than a complete one.
    assert!(count("spent_tokens") < 2 * 200, "{account}");
    let health = send(node.callers, "GET", "/healthz", &[], "");
    assert_eq!(health.status, 200);
}
