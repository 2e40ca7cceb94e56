//! Routes are found by host and longest prefix, organisations by their keys.

use test_case::test_case;
use toucan_gateway::config::{
    KeyDigest, Organisation, OrganisationTable, Route, RouteKind, RouteTable, WeightedService,
};
use toucan_types::{OrganisationName, ServiceName, Tokens};

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        services: vec![WeightedService {
            service: ServiceName::from("s"),
            weight: 1,
        }],
        timeout_ms: 1_000,
        latency_objective_ms: 100,
        priority: 0,
        max_targets: 1,
        is_public: false,
    }
}

#[test_case("h.example", "/a/x" => Some("short".to_owned()))]
#[test_case("h.example", "/a/b/x" => Some("long".to_owned()))]
#[test_case("H.Example:80", "/a/b/" => Some("long".to_owned()))]
#[test_case("h.example", "/a" => None)]
#[test_case("other.example", "/a/b/x" => None)]
fn found(host: &str, path: &str) -> Option<String> {
    let table = RouteTable::new([
        route("short", "h.example", "/a/"),
        route("long", "h.example", "/a/b/"),
    ]);
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn weights_share_out_calls() {
    let mut split = route("split", "h", "/");
    split.services = [("a", 90), ("b", 10)]
        .into_iter()
        .map(|(service, weight)| WeightedService {
            service: ServiceName::from(service),
            weight,
        })
        .collect();
    let to_b = (0..1_000)
        .filter(|draw| split.service_for(*draw).is_some_and(|s| s.as_str() == "b"))
        .count();
    assert_eq!(to_b, 100);
}

#[test]
fn keys_lead_to_their_organisation() {
    let ring = OrganisationTable::new([Organisation {
        name: OrganisationName::from("o"),
        keys: vec![KeyDigest::of("k1"), KeyDigest::of("k2")],
        priority: 0,
        prepaid: Some(Tokens(5)),
    }]);
    assert!(ring.by_key("k1").is_some() && ring.by_key("k2").is_some());
    assert!(ring.by_key("k3").is_none());
}
