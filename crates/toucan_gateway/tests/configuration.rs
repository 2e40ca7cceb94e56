//! Tests of finding routes by host and longest prefix, and organisations by their keys.

use test_case::test_case;
use toucan_gateway::config::{
    AllowedRegions, KeyDigest, Organisation, OrganisationTable, Route, RouteKind, RouteTable,
    WeightedService,
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
        allowed_regions: AllowedRegions::default(),
    }
}

#[test_case("h.example", "/a/x" => Some("short".to_owned()))]
#[test_case("h.example", "/a/b/x" => Some("long".to_owned()))]
#[test_case("H.Example:80", "/a/b/" => Some("long".to_owned()))]
#[test_case("h.example", "/a" => None)]
#[test_case("other.example", "/a/b/x" => None)]
fn find_route_name(host: &str, path: &str) -> Option<String> {
    let table = RouteTable::new([
        route("short", "h.example", "/a/"),
        route("long", "h.example", "/a/b/"),
    ]);
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn calls_are_split_by_weight() {
    let mut split = route("split", "h", "/");
    split.services = [("a", 90), ("b", 10)]
        .into_iter()
        .map(|(service, weight)| WeightedService {
            service: ServiceName::from(service),
            weight,
        })
        .collect();
    let to_b = (0..1_000)
        .filter(|random| {
            split
                .service_for(*random)
                .is_some_and(|s| s.as_str() == "b")
        })
        .count();
    assert_eq!(to_b, 100);
}

#[test]
fn organisations_are_found_by_key() {
    let organisations = OrganisationTable::new([Organisation {
        name: OrganisationName::from("o"),
        keys: vec![KeyDigest::of("k1"), KeyDigest::of("k2")],
        priority: 0,
        prepaid: Some(Tokens(5)),
        allowed_regions: AllowedRegions::default(),
    }]);
    assert!(organisations.by_key("k1").is_some() && organisations.by_key("k2").is_some());
    assert!(organisations.by_key("k3").is_none());
}
