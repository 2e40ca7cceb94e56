//! A fleet of nodes with bootstrap keys on platform stand-ins, operated by `toucanctl`.

use std::{ffi::OsString, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use toucan_config::{ApiKey, HashedKey};
use toucan_node::{ListenSettings, Node, NodeSettings, PlatformSettings as PlatformAddresses};
use toucan_platform::formats::VmKind;
use toucan_platform::{ClientSettings, ServiceCall, ServiceClient, ServiceResponse};
use toucan_standins::{Platform, PlatformSettings, ServiceStandin};
use toucanctl::{Environment, Exit, Report, run};

/// An organisation with a budget.
pub const FINANCE: &str = r#"{
  // Customers.
  "organisations": { "guild": {} },
  "budgets": {
    "guild-main": { "organisation": "guild", "purchased_tokens": 1000 } // prepaid
  }
}
"#;
/// Two data centres and a service with one target.
pub const OPERATIONS: &str = r#"{
  "data_centres": { "a": {}, "b": {} },
  "services": { "register": { "kind": "plain", "cost_tokens": 5 } },
  "targets": {
    "r1": { "service": "register", "data_centre": "a", "address": "127.0.0.1:9" }
  },
  "ledger": { "shards": 2, "append_rate_per_s": 200 }
}
"#;

/// Caller key of the organisation `guild`.
const GUILD_KEY: &str = "tt_guild_secret-of-the-guild";

/// Nodes and platform stand-ins in this process.
pub struct OperatedFleet {
    pub runtime: tokio::runtime::Runtime,
    pub platform: Platform,
    pub nodes: Vec<Node>,
}

impl OperatedFleet {
    /// Starts one node for each data centre in the list.
    pub fn start(data_centres: &[&str]) -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let settings = PlatformSettings {
            data_centres: vec!["a".to_owned(), "b".to_owned()],
            ..PlatformSettings::default()
        };
        let platform = runtime
            .block_on(Platform::start(settings))
            .expect("stand-ins start");
        let mut fleet = Self {
            runtime,
            platform,
            nodes: Vec::new(),
        };
        for (number, data_centre) in data_centres.iter().enumerate() {
            fleet.add_node(number, data_centre);
        }
        fleet
    }

    /// Like [`Self::start`], with [`FINANCE`] and [`OPERATIONS`] in force at all nodes.
    pub fn with_document(data_centres: &[&str]) -> Self {
        let fleet = Self::start(data_centres);
        let finance = write_file("finance.jsonc", FINANCE);
        let operations = write_file("operations.jsonc", OPERATIONS);
        // The number of shards is fixed by the first budget.
        let shards = [
            "document",
            "edit",
            "operations",
            "--set",
            "operations.ledger.shards=2",
        ];
        fleet.ctl_ok(&shards, "operations");
        fleet.ctl_ok(&["document", "edit", "finance", &finance], "finance");
        fleet.ctl_ok(
            &["document", "edit", "operations", &operations],
            "operations",
        );
        fleet.wait_until(|fleet| {
            (0..fleet.nodes.len()).all(|node| fleet.version(node, "operations") == 2)
        });
        fleet
    }

    /// Starts the service of the document, sets its target's address and adds a caller key.
    pub fn add_service(&self) -> ServiceStandin {
        let starting = ServiceStandin::start("register", 1);
        let service = self.runtime.block_on(starting).expect("a service starts");
        let address = format!("operations.targets.r1.address={}", service.address());
        self.ctl_ok(
            &["document", "edit", "operations", "--set", &address],
            "operations",
        );
        let key = hashed(GUILD_KEY);
        let entry = format!(r#"{{ "organisation": "guild", "budget": "guild-main", {key} }}"#);
        let set = format!("finance.caller_keys.guild={entry}");
        self.ctl_ok(&["document", "edit", "finance", "--set", &set], "finance");
        service
    }

    /// Calls the service as `guild`; an empty `id` is not sent.
    pub fn call_service(&self, node: usize, path: &str, id: &str) -> ServiceResponse {
        let mut headers = HeaderMap::new();
        let bearer = HeaderValue::from_str(&format!("Bearer {GUILD_KEY}"));
        headers.insert("authorization", bearer.expect("plain characters"));
        if !id.is_empty() {
            let id = HeaderValue::from_str(id).expect("plain characters");
            headers.insert("x-request-id", id);
        }
        let call = ServiceCall {
            method: Method::GET,
            path: format!("/services/register{path}"),
            headers,
            body: Bytes::new(),
            first_byte_timeout_ms: 30_000,
        };
        let address = self.nodes[node].callers_address();
        let client = ServiceClient::new(ClientSettings::default());
        let calling = client.call(address, call);
        self.runtime.block_on(calling).expect("the node answers")
    }

    fn add_node(&mut self, number: usize, data_centre: &str) {
        let (vm, instance) = (format!("router-{number}"), format!("i-{number}"));
        let platform = self
            .platform
            .data_centre(data_centre)
            .expect("a known data centre");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let keys: Vec<_> = ["finance", "models", "operations"]
            .map(bootstrap_key)
            .into();
        let text = format!(
            r#"{{ "vm": "{vm}", "instance": "{instance}", "data_centre": "{data_centre}",
                 "leave_notice_ms": 50, "bootstrap_keys": {{ {} }} }}"#,
            keys.join(", ")
        );
        let settings = NodeSettings::parse(&text)
            .expect("valid settings")
            .with_listen(ListenSettings {
                callers: any,
                operators: any,
                peers: any,
            })
            .with_platform(PlatformAddresses {
                log: platform.log.address(),
                vm_list: platform.vm_list.address(),
                vm_list_poll_ms: 100,
            });
        let node = Node::start(settings).expect("a node starts");
        let address = node.peers_address();
        let adding =
            self.platform
                .add_vm(VmKind::Router, data_centre, &vm, &instance, None, address);
        self.runtime.block_on(adding).expect("a relay starts");
        self.nodes.push(node);
    }

    /// Runs a command with all nodes and the key of a team.
    pub fn ctl(&self, arguments: &[&str], team: &str) -> Report {
        let nodes = (0..self.nodes.len()).collect::<Vec<_>>();
        self.ctl_at(&nodes, arguments, team)
    }

    /// Runs a command with the given nodes and the key of a team.
    pub fn ctl_at(&self, nodes: &[usize], arguments: &[&str], team: &str) -> Report {
        let addresses: Vec<_> = nodes
            .iter()
            .map(|node| self.nodes[*node].operators_address().to_string())
            .collect();
        let environment = Environment {
            nodes: Some(addresses.join(",")),
            key: Some(team_key(team)),
            ..Environment::default()
        };
        run(arguments.iter().map(OsString::from).collect(), &environment)
    }

    /// Runs a command, asserts that it succeeds and returns its output.
    pub fn ctl_ok(&self, arguments: &[&str], team: &str) -> String {
        let report = self.ctl(arguments, team);
        assert_eq!(report.code, Exit::Done, "{arguments:?}: {report:?}");
        report.out
    }

    /// Returns the version of a section at one node; 0 if the node does not respond.
    pub fn version(&self, node: usize, section: &str) -> u64 {
        let report = self.ctl_at(&[node], &["document", "get", "--json"], section);
        let value: serde_json::Value = serde_json::from_str(&report.out).unwrap_or_default();
        value["versions"][section].as_u64().unwrap_or_default()
    }

    /// Polls until the condition holds; panics after a timeout far above the duration of any run.
    pub fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..1_500 {
            if condition(self) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the condition never held");
    }
}

/// Writes a file in the test directory of the build and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let thread = std::thread::current();
    let test = thread.name().unwrap_or("main").replace("::", "-");
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{name}"));
    std::fs::write(&path, text).expect("the directory is writable");
    path.to_string_lossy().into_owned()
}

fn team_key(team: &str) -> String {
    format!("tt_{team}-key_secret-of-team-{team}")
}

fn bootstrap_key(team: &str) -> String {
    let key = hashed(&team_key(team));
    format!(r#""{team}-key": {{ "team": "{team}", "author": "ann of {team}", {key} }}"#)
}

fn hashed(text: &str) -> String {
    let key = ApiKey::parse(text).expect("a key");
    let hashed = HashedKey::new(&key, [7; 16]);
    let (salt, hash) = (hashed.salt_hex(), hashed.hash_hex());
    format!(r#""salt": "{salt}", "hash": "{hash}""#)
}
