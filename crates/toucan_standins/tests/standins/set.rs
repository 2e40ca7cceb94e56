//! Tests of a set of stand-ins and of its admin interface.

use crate::support::{get, send, try_send};
use http::{Method, StatusCode};
use test_case::test_case;
use toucan_standins::{StandinSet, StandinSetup};

#[test_case("/log?down=true", StatusCode::OK; "log down")]
#[test_case("/cut?from=dc-a&to=platform&on=true", StatusCode::OK; "cut from the platform")]
#[test_case("/cut?from=dc-a&to=dc-b&on=true", StatusCode::OK; "cut between")]
#[test_case("/engine?name=engine-dc-a&silent=true", StatusCode::OK; "engine silent")]
#[test_case("/vm?instance=engine-dc-a&state=leaving", StatusCode::OK; "vm leaving")]
#[test_case("/service?name=nobody&down=true", StatusCode::BAD_REQUEST; "unknown service")]
#[test_case("/cut?from=dc-a", StatusCode::BAD_REQUEST; "missing parameter")]
#[test_case("/nothing", StatusCode::NOT_FOUND; "unknown path")]
#[tokio::test]
async fn the_admin_interface_switches_faults(path: &str, expected: StatusCode) {
    let setup = StandinSetup::default();
    let set = StandinSet::start(&setup).await.expect("starts");
    let admin = set.serve_admin(setup.admin_address).await.expect("serves");
    let response = send(admin, Method::POST, path, &[], "").await;
    assert_eq!(response.status(), expected);
    let (status, _): (_, serde_json::Value) = get(admin, "/record").await;
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_plain_service_records_a_run_whose_response_is_lost() {
    let set = StandinSet::start(&StandinSetup::default()).await.unwrap();
    let service = &set.services[0];
    service.set_response_loss_permille(1_000);
    let headers = [("idempotency-key", "k1"), ("x-fencing-number", "4")];
    let lost = try_send(service.address(), Method::POST, "/issue", &headers, "{}").await;
    assert!(lost.is_err());
    service.set_down(true);
    let refused = send(service.address(), Method::POST, "/issue", &headers, "{}").await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let runs = service.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].idempotency_key.as_deref(), Some("k1"));
    assert_eq!(runs[0].fencing_number, Some(4));
}

#[test]
fn an_invalid_setup_is_refused_with_the_unknown_field() {
    let error = StandinSetup::from_jsonc("{ // note\n  \"seed\": 1,\n  \"sed\": 2\n}").unwrap_err();
    assert!(error.contains("sed"), "{error}");
    let setup = StandinSetup::from_jsonc("{ // note\n  \"seed\": 1, }").unwrap();
    assert_eq!(setup.seed, 1);
}
