//! The log client with valid, invalid and lost responses.

#![allow(
    clippy::unwrap_used,
    reason = "clippy does not see that helpers are part of a test"
)]

mod fake_server;

use std::net::{Ipv4Addr, TcpListener};

use bytes::Bytes;
use fake_server::{Action, FakeServer, response};
use test_case::test_case;
use toucan_platform::{
    AppendError, ClientSettings, LogClient, LogExtent, ReadError, VmListClient, VmListError,
};
use toucan_types::{Offset, StreamName};

fn stream() -> StreamName {
    StreamName::from("ledger-0")
}

fn settings() -> ClientSettings {
    ClientSettings::default()
        .with_first_byte_timeout_ms(300)
        .with_read_timeout_ms(300)
}

async fn append(server: &FakeServer) -> Result<Offset, AppendError> {
    let client = LogClient::with_settings(server.address, settings());
    client
        .append(&stream(), Bytes::from_static(b"\0record"))
        .await
}

async fn read(body: &'static str, status: u16) -> Result<(Vec<u64>, Offset), ReadError> {
    let server =
        FakeServer::start(move |_| vec![Action::Send(response(status, "", body.as_bytes()))]).await;
    let client = LogClient::with_settings(server.address, settings());
    let batch = client.read(&stream(), Offset(5), 100, 0).await?;
    let offsets = batch.records.iter().map(|record| record.offset.0).collect();
    Ok((offsets, batch.next_offset))
}

#[tokio::test]
async fn append_returns_the_offset() {
    let server =
        FakeServer::start(|_| vec![Action::Send(response(200, "", br#"{"offset":17}"#))]).await;
    assert_eq!(append(&server).await, Ok(Offset(17)));
    let request = &server.requests()[0];
    assert!(
        request
            .head
            .starts_with("POST /streams/ledger-0/records HTTP/1.1")
    );
    assert_eq!(request.body, b"\0record");
}

#[test_case(429, "retry-after: 2\r\n", "", AppendError::RateLimited { retry_after_ms: 2_000 })]
#[test_case(503, "", "", AppendError::Unavailable)]
#[test_case(413, "", "", AppendError::Refused { status: 413 })]
#[test_case(500, "", "", AppendError::Unknown)]
#[test_case(502, "", "", AppendError::Unknown)]
#[test_case(200, "", "{}", AppendError::Unknown)]
#[test_case(200, "", "{\"offset\":-1}", AppendError::Unknown)]
#[tokio::test]
async fn append_errors_by_response(
    status: u16,
    headers: &'static str,
    body: &'static str,
    expected: AppendError,
) {
    let server =
        FakeServer::start(move |_| vec![Action::Send(response(status, headers, body.as_bytes()))])
            .await;
    assert_eq!(append(&server).await, Err(expected));
}

#[tokio::test]
async fn lost_append_response_is_unknown_and_not_retried() {
    let closing = FakeServer::start(|_| vec![Action::Close]).await;
    assert_eq!(append(&closing).await, Err(AppendError::Unknown));
    assert_eq!(closing.requests().len(), 1);
    let silent = FakeServer::start(|_| vec![Action::Stall]).await;
    assert_eq!(append(&silent).await, Err(AppendError::Unknown));
    let truncated = FakeServer::start(|_| {
        let mut truncated = response(200, "", br#"{"offset":17}"#);
        truncated.truncate(truncated.len() - 3);
        vec![Action::Send(truncated), Action::Close]
    })
    .await;
    assert_eq!(append(&truncated).await, Err(AppendError::Unknown));
}

#[tokio::test]
async fn unreachable_log_is_unavailable() {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let client = LogClient::new(address);
    let error = client.append(&stream(), Bytes::new()).await;
    assert_eq!(error, Err(AppendError::Unavailable));
    let error = client.read(&stream(), Offset(0), 1, 0).await;
    assert_eq!(error, Err(ReadError::Unavailable));
    let error = VmListClient::new(address).fetch().await;
    assert_eq!(error, Err(VmListError::Unavailable));
}

#[tokio::test]
async fn records_are_read_in_offset_order() {
    let page = r#"{"records":[{"offset":5,"appended_at_ms":1,"data":"AAE="},
        {"offset":6,"appended_at_ms":1,"data":""}],"next_offset":9}"#;
    assert_eq!(read(page, 200).await, Ok((vec![5, 6], Offset(9))));
    let nothing = r#"{"records":[],"next_offset":5}"#;
    assert_eq!(read(nothing, 200).await, Ok((vec![], Offset(5))));
}

#[test_case(r#"{"records":[{"offset":6,"appended_at_ms":1,"data":""}],"next_offset":9}"# ; "a gap at the start")]
#[test_case(r#"{"records":[{"offset":5,"appended_at_ms":1,"data":""},{"offset":7,"appended_at_ms":1,"data":""}],"next_offset":9}"# ; "a gap")]
#[test_case(r#"{"records":[{"offset":5,"appended_at_ms":1,"data":""},{"offset":5,"appended_at_ms":1,"data":""}],"next_offset":9}"# ; "a repetition")]
#[test_case(r#"{"records":[{"offset":5,"appended_at_ms":1,"data":""}],"next_offset":5}"# ; "an end before the last record")]
#[test_case(r#"{"records":[{"offset":5,"appended_at_ms":1,"data":"?"}],"next_offset":9}"# ; "no base64")]
#[test_case(r#"{"records":[{"offset":5e3"# ; "no json")]
#[tokio::test]
async fn inconsistent_pages_are_malformed(body: &'static str) {
    assert_eq!(read(body, 200).await, Err(ReadError::Malformed));
}

#[tokio::test]
async fn expired_offset_error_has_the_oldest_offset() {
    let state = r#"{"first_offset":40,"next_offset":90}"#;
    let first = Offset(40);
    assert_eq!(read(state, 410).await, Err(ReadError::Expired { first }));
    assert_eq!(read("?", 410).await, Err(ReadError::Malformed));
    let server = FakeServer::start(|_| {
        let state = br#"{"first_offset":40,"next_offset":90}"#;
        vec![Action::Send(response(200, "", state))]
    })
    .await;
    let extent = LogClient::new(server.address).state(&stream()).await;
    assert_eq!(
        extent,
        Ok(LogExtent {
            first_offset: first,
            next_offset: Offset(90),
        })
    );
}

#[tokio::test]
async fn invalid_vm_entry_does_not_hide_valid_ones() {
    let server = FakeServer::start(|_| {
        let entry = |vm: &str, address: &str| {
            format!(
                r#"{{"vm":"{vm}","instance":"i-{vm}","data_centre":"dc-a","kind":"router",
                "address":"{address}","state":"leaving","since_ms":3}}"#
            )
        };
        let good = entry("vm-1", "10.0.0.1:7000");
        let bad = entry("vm-2", "vm-2.example:7000");
        let list = format!(r#"{{"as_of_ms":9,"vms":[{good},{bad}]}}"#);
        vec![Action::Send(response(200, "", list.as_bytes()))]
    })
    .await;
    let listing = VmListClient::new(server.address).fetch().await.unwrap();
    assert_eq!(listing.as_of_ms, 9);
    assert_eq!(listing.vms.len(), 1);
    assert_eq!(listing.vms[0].vm.as_str(), "vm-1");
    assert_eq!(listing.invalid[0].vm.as_str(), "vm-2");
}
