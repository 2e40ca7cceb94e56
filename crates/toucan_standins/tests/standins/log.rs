//! Tests of the log: order, retention, rate limit, outage, lost responses.

use crate::support::{get, send, try_send};
use http::{Method, StatusCode};
use test_case::test_case;
use toucan_platform::formats::{LogPage, LogStreamState};
use toucan_standins::LogStandin;

const RECORDS_PATH: &str = "/streams/document/records";

#[tokio::test]
async fn records_are_read_in_the_order_of_their_offsets() {
    let log = LogStandin::start(1).await.unwrap();
    for text in ["a", "b", "c"] {
        let response = send(log.address(), Method::POST, RECORDS_PATH, &[], text).await;
        assert_eq!(response.status(), StatusCode::OK);
    }
    let (_, page): (_, LogPage) = get(
        log.address(),
        &format!("{RECORDS_PATH}?from=1&limit=5&wait_ms=0"),
    )
    .await;
    let offsets: Vec<u64> = page.records.iter().map(|record| record.offset).collect();
    assert_eq!(offsets, [1, 2]);
    assert_eq!(page.next_offset, 3);
    assert_eq!(page.records[0].data, "Yg==");
}

#[tokio::test]
async fn expired_offsets_are_answered_410_and_stay_in_records() {
    let log = LogStandin::start(1).await.unwrap();
    log.set_retention_records(2);
    for number in 0..5_u8 {
        log.append("document", vec![number]);
    }
    let (status, offset_range): (_, LogStreamState) = get(
        log.address(),
        &format!("{RECORDS_PATH}?from=2&limit=5&wait_ms=0"),
    )
    .await;
    assert_eq!(status, StatusCode::GONE);
    assert_eq!(offset_range.first_offset, 3);
    assert_eq!(log.records("document").len(), 5);
}

#[tokio::test]
async fn a_waiting_read_returns_the_next_append() {
    let log = LogStandin::start(1).await.unwrap();
    let address = log.address();
    let path = format!("{RECORDS_PATH}?from=0&limit=5&wait_ms=20000");
    let reader = tokio::spawn(async move { get::<LogPage>(address, &path).await });
    tokio::task::yield_now().await;
    log.append("document", "late");
    let (_, page) = reader.await.unwrap();
    assert_eq!(page.records.len(), 1);
}

#[tokio::test]
async fn a_lost_response_does_not_undo_the_append() {
    let log = LogStandin::start(1).await.unwrap();
    log.set_response_loss_permille(1_000);
    let response = try_send(log.address(), Method::POST, RECORDS_PATH, &[], "x").await;
    assert!(response.is_err());
    assert_eq!(log.records("document").len(), 1);
}

#[test_case(true, 0, StatusCode::SERVICE_UNAVAILABLE; "down")]
#[test_case(false, 1, StatusCode::TOO_MANY_REQUESTS; "over the rate")]
#[tokio::test]
async fn a_refused_append_leaves_no_record(down: bool, rate: u64, expected: StatusCode) {
    let log = LogStandin::start(1).await.expect("starts");
    log.set_down(down);
    log.set_append_rate_per_s(rate);
    let mut statuses = Vec::new();
    for _ in 0..4 {
        let response = send(log.address(), Method::POST, RECORDS_PATH, &[], "x").await;
        statuses.push(response.status());
    }
    assert!(statuses.contains(&expected));
    let accepted = statuses.iter().filter(|status| status.is_success()).count();
    assert_eq!(log.records("document").len(), accepted);
}
