//! Random and mutated requests to the callers' port: each gets a response or a closed connection.

use std::{io::Write, net::Shutdown};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use super::single_node::{SingleNode, chat_body, chat_head, connect, read_until_closed};

const CASES: u32 = 300;

fn valid_requests() -> Vec<Vec<u8>> {
    let chat = chat_body(2, true);
    let complete = chat_body(2, false);
    let bearer = super::single_node::authorization();
    vec![
        format!("{}{chat}", chat_head("fuzz", chat.len())).into_bytes(),
        format!("{}{complete}", chat_head("fuzz-whole", complete.len())).into_bytes(),
        format!("GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: {bearer}\r\n\r\n")
            .into_bytes(),
        format!(
            "POST /services/register/issuances?a=b HTTP/1.1\r\nhost: n\r\nauthorization: {bearer}\
             \r\nidempotency-key: fuzz\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{{}}\r\n0\r\n\r\n"
        )
        .into_bytes(),
    ]
}

fn requests() -> impl Strategy<Value = Vec<u8>> {
    let mutated = (
        prop::sample::select(valid_requests()),
        prop::collection::vec((any::<prop::sample::Index>(), 0..4_u8, any::<u8>()), 1..8),
    )
        .prop_map(|(mut bytes, edits)| {
            for (position, edit, byte) in edits {
                if bytes.is_empty() {
                    break;
                }
                let position = position.index(bytes.len());
                match edit {
                    0 => {
                        bytes.remove(position);
                    }
                    1 => bytes.insert(position, byte),
                    2 => bytes[position] = byte,
                    _ => bytes.truncate(position),
                }
            }
            bytes
        });
    prop_oneof![
        1 => prop::collection::vec(any::<u8>(), 0..400),
        4 => mutated,
    ]
}

#[test]
fn every_input_is_answered_or_closed() {
    let node = SingleNode::start(
        r#""connections": { "header_ms": 200 }, "body": { "silence_ms": 100, "whole_ms": 500 },"#,
    );
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&requests(), |request| {
        let mut stream = connect(node.callers);
        // The server may respond and close before it has read everything.
        let _closed = stream.write_all(&request);
        let _closed = stream.shutdown(Shutdown::Write);
        let response = read_until_closed(&mut stream);
        prop_assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 "),
            "{response:?}"
        );
        prop_assert!(!response.starts_with("HTTP/1.1 500"), "{response:?}");
        prop_assert!(!node.fleet.nodes[0].has_failed());
        Ok(())
    });
    result.expect("every request is answered or closed");
    assert_eq!(node.fleet.get(0, "/healthz").status, 200);
    node.assert_healthy();
}

#[test]
fn incomplete_requests_time_out() {
    let node = SingleNode::start(
        r#""connections": { "header_ms": 200 }, "body": { "silence_ms": 100, "whole_ms": 500 },"#,
    );
    for request in valid_requests() {
        for cut in (0..request.len()).step_by(29) {
            let mut stream = connect(node.callers);
            stream.write_all(&request[..cut]).expect("the server reads");
            read_until_closed(&mut stream);
        }
    }
    node.assert_healthy();
}
