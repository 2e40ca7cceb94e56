//! Measures the time from sending an edit until it is in force at every node.
//!
//! `cargo run --release -p toucanctl --example time_in_force -- [NODES] [EDITS]`

use std::{
    ffi::OsString,
    net::SocketAddr,
    time::{Duration, Instant},
};

use toucan_config::{ApiKey, HashedKey};
use toucan_node::{ListenSettings, Node, NodeSettings, PlatformSettings as PlatformAddresses};
use toucan_platform::formats::VmKind;
use toucan_standins::{Platform, PlatformSettings};
use toucanctl::{Environment, Exit, Report, run};

/// Data centres of the fleet.
const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];
const KEY: &str = "tt_ann_secret-of-the-operators";
/// Interval between two polls of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for one edit.
const EDIT_TIMEOUT: Duration = Duration::from_secs(30);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut count = |default: usize| {
        let given = arguments.next().and_then(|text| text.parse().ok());
        given.unwrap_or(default)
    };
    let (nodes, edits) = (count(28), count(50));
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let settings = PlatformSettings {
        data_centres: DATA_CENTRES.map(str::to_owned).into(),
        ..PlatformSettings::default()
    };
    let platform = runtime
        .block_on(Platform::start(settings))
        .expect("stand-ins start");
    let fleet: Vec<_> = (0..nodes)
        .map(|number| start_node(&runtime, &platform, number))
        .collect();
    edit(&fleet, "operations.data_centres.a={}");
    wait_for(&fleet, 1);
    // A node that has not read the VM list yet has no peers to fetch edits from.
    while !fleet.iter().all(|node| known_vms(node) == fleet.len()) {
        std::thread::sleep(POLL_INTERVAL);
    }
    report("all connected", &fleet, edits);
    for data_centre in &DATA_CENTRES[1..] {
        platform.set_platform_partition(data_centre, true);
    }
    report(
        "platform cut off from all but one data centre",
        &fleet,
        edits,
    );
}

fn report(name: &str, fleet: &[Node], edits: usize) {
    let mut times: Vec<Duration> = Vec::new();
    for number in 0..edits {
        let before = version(&fleet[0]);
        let started = Instant::now();
        edit(fleet, &format!("operations.order.ageing_ms={number}"));
        times.extend(wait_for(fleet, before + 1).iter().map(|at| *at - started));
    }
    times.sort();
    let at = |permille: usize| times[(times.len() - 1) * permille / 1000].as_millis();
    println!(
        "{name}: {} nodes, {edits} edits, ms in force: p50 {}, p99 {}, worst {}",
        fleet.len(),
        at(500),
        at(990),
        at(1000)
    );
}

/// Returns the time at which each node was found to have this version of the operations section.
fn wait_for(fleet: &[Node], wanted: u64) -> Vec<Instant> {
    let started = Instant::now();
    let mut seen: Vec<Option<Instant>> = vec![None; fleet.len()];
    while seen.iter().any(Option::is_none) {
        if started.elapsed() >= EDIT_TIMEOUT {
            let versions: Vec<_> = fleet.iter().map(version).collect();
            panic!("version {wanted} is not in force everywhere: {versions:?}");
        }
        for (node, seen) in fleet.iter().zip(&mut seen) {
            if seen.is_none() && version(node) >= wanted {
                *seen = Some(Instant::now());
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    seen.into_iter().flatten().collect()
}

fn version(node: &Node) -> u64 {
    node.document_versions().operations.0
}

/// Returns the number of router VMs that a node knows.
fn known_vms(node: &Node) -> usize {
    let status = ctl(node, &["fleet", "status", "--json"]);
    let fleet: serde_json::Value = serde_json::from_str(&status.out).unwrap_or_default();
    fleet["vms"].as_array().map_or(0, Vec::len)
}

fn edit(fleet: &[Node], assignment: &str) {
    let report = ctl(
        &fleet[0],
        &["document", "edit", "operations", "--set", assignment],
    );
    assert_eq!(report.code, Exit::Done, "{report:?}");
}

fn ctl(node: &Node, words: &[&str]) -> Report {
    let environment = Environment {
        nodes: Some(node.operators_address().to_string()),
        key: Some(KEY.to_owned()),
        ..Environment::default()
    };
    run(words.iter().map(OsString::from).collect(), &environment)
}

fn start_node(runtime: &tokio::runtime::Runtime, platform: &Platform, number: usize) -> Node {
    let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
    let view = platform
        .data_centre(data_centre)
        .expect("a known data centre");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (vm, instance) = (format!("router-{number}"), format!("i-{number}"));
    let hashed = HashedKey::new(&ApiKey::parse(KEY).expect("a key"), [7; 16]);
    let text = format!(
        r#"{{ "vm": "{vm}", "instance": "{instance}", "data_centre": "{data_centre}",
             "bootstrap_keys": {{ "ann": {{
                 "team": "operations", "author": "ann", "salt": "{}", "hash": "{}"
             }} }} }}"#,
        hashed.salt_hex(),
        hashed.hash_hex()
    );
    let settings = NodeSettings::parse(&text)
        .expect("valid settings")
        .with_listen(ListenSettings {
            callers: any,
            operators: any,
            peers: any,
        })
        .with_platform(PlatformAddresses {
            log: view.log.address(),
            vm_list: view.vm_list.address(),
            vm_list_poll_ms: 500,
        });
    let node = Node::start(settings).expect("a node starts");
    let peers = node.peers_address();
    let adding = platform.add_vm(VmKind::Router, data_centre, &vm, &instance, None, peers);
    runtime.block_on(adding).expect("a relay starts");
    node
}
