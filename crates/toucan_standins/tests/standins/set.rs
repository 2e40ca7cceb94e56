//! The whole set and its interface for fault switches.

use crate::support::{call, get, try_call};
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
    let response = call(admin, Method::POST, path, &[], "").await;
    assert_eq!(response.status(), expected);
    let (status, _): (_, serde_json::Value) = get(admin, "/record").await;
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_plain_service_counts_every_run_also_when_its_answer_is_lost() {
    let set = StandinSet::start(&StandinSetup::default()).await.unwrap();
    let service = &set.services[0];
    service.set_response_loss_permille(1_000);
    let headers = [("idempotency-key", "k1"), ("x-fencing-number", "4")];
    let lost = try_call(service.address(), Method::POST, "/issue", &headers, "{}").await;
    assert!(lost.is_err());
    service.set_down(true);
    let refused = call(service.address(), Method::POST, "/issue", &headers, "{}").await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let runs = service.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].idempotency_key.as_deref(), Some("k1"));
    assert_eq!(runs[0].fencing_number, Some(4));
}

#[test]
fn a_wrong_setup_names_its_place() {
    let error = StandinSetup::from_jsonc("{ // note\n  \"seed\": 1,\n  \"sed\": 2\n}").unwrap_err();
    assert!(error.contains("sed"), "{error}");
    let setup = StandinSetup::from_jsonc("{ // note\n  \"seed\": 1, }").unwrap();
    assert_eq!(setup.seed, 1);
}
