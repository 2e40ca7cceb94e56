//! A test fleet: stand-ins of the platform and nodes, all in this process.

use std::{net::SocketAddr, time::Duration};

use toucan_config::{ApiKey, Change, DocumentRecord, EditRecord, HashedKey, Section};
use toucan_node::{ListenSettings, Node, NodeSettings, PlatformSettings as PlatformAddresses};
use toucan_platform::formats::VmKind;
use toucan_router::OrderSettings;
use toucan_standins::{EngineSettings, EngineStandin, Platform, PlatformSettings, ServiceStandin};
use toucan_types::DocumentVersion;

/// Key of the organisation `guild`, whose budget has the purchased tokens.
pub const GUILD_KEY: &str = "tt_guild_secret-of-the-guild";
/// Key of the organisation `school`, which may not use the model.
pub const SCHOOL_KEY: &str = "tt_school_secret-of-the-school";

/// Stand-ins of the platform and nodes.
pub struct TestFleet {
    pub runtime: tokio::runtime::Runtime,
    pub platform: Platform,
    pub engines: Vec<EngineStandin>,
    pub service: ServiceStandin,
    pub nodes: Vec<Node>,
    next_instance: u64,
    orders: OrderSettings,
}

/// Options of a test fleet.
#[derive(Clone, Copy, Debug)]
pub struct TestFleetOptions {
    pub purchased_tokens: u64,
    /// Whether the engines check fencing numbers; the document says the same to the nodes.
    pub honours_fencing: bool,
    /// Downloads per second that the weight store admits; 0 for no limit.
    pub downloads_per_s: u64,
    /// Downloads per minute that the document allows.
    pub downloads_per_min: u32,
    pub orders: OrderSettings,
}

impl Default for TestFleetOptions {
    fn default() -> Self {
        Self {
            purchased_tokens: 200_000,
            honours_fencing: true,
            downloads_per_s: 2,
            downloads_per_min: 30,
            orders: OrderSettings::default(),
        }
    }
}

impl TestFleet {
    /// Starts two engines and one plain service in data centre `a` and writes the document, without
    /// any node.
    pub fn start(purchased_tokens: u64) -> Self {
        Self::start_with_options(TestFleetOptions {
            purchased_tokens,
            ..TestFleetOptions::default()
        })
    }

    /// Like [`TestFleet::start`], with options.
    pub fn start_with_options(options: TestFleetOptions) -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let (platform, engines, service) = runtime.block_on(async {
            let settings = PlatformSettings {
                data_centres: vec!["a".to_owned(), "b".to_owned()],
                downloads_per_s: options.downloads_per_s,
                ..PlatformSettings::default()
            };
            let platform = Platform::start(settings).await.expect("stand-ins start");
            let mut engines = Vec::new();
            for name in ["engine-1", "engine-2"] {
                let settings = EngineSettings {
                    name: name.to_owned(),
                    models: vec!["drafter@1".to_owned()],
                    honours_fencing: options.honours_fencing,
                    ..EngineSettings::default()
                };
                let engine = EngineStandin::start(settings, Some(platform.weights.clone())).await;
                let engine = engine.expect("an engine starts");
                let address = engine.address();
                let added = platform
                    .add_vm(VmKind::Target, "a", name, name, Some("drafting"), address)
                    .await;
                added.expect("a relay starts");
                engines.push(engine);
            }
            let service = ServiceStandin::start("register", 1)
                .await
                .expect("a service starts");
            let added = platform
                .add_vm(
                    VmKind::Target,
                    "a",
                    "register-1",
                    "register-1",
                    Some("register"),
                    service.address(),
                )
                .await;
            added.expect("a relay starts");
            (platform, engines, service)
        });
        let fleet = Self {
            runtime,
            platform,
            engines,
            service,
            nodes: Vec::new(),
            next_instance: 1,
            orders: options.orders,
        };
        fleet.write_document(options);
        fleet
    }

    /// Starts a node in a data centre and waits until it is ready.
    pub fn add_node(&mut self, data_centre: &str) -> usize {
        self.add_node_with(data_centre, "")
    }

    /// Starts a node with additional settings, such as `"body": { "silence_ms": 50 },`.
    pub fn add_node_with(&mut self, data_centre: &str, fields: &str) -> usize {
        let instance = format!("i-{}", self.next_instance);
        let vm = format!("router-{}", self.next_instance);
        self.next_instance += 1;
        let platform = self
            .platform
            .data_centre(data_centre)
            .expect("a known data centre");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = NodeSettings::parse(&format!(
            r#"{{ "vm": "{vm}", "instance": "{instance}", "data_centre": "{data_centre}",
                 {fields} "leave_notice_ms": 50 }}"#
        ))
        .expect("valid settings")
        .with_listen(ListenSettings {
            callers: any_port,
            operators: any_port,
            peers: any_port,
        })
        .with_platform(PlatformAddresses {
            log: platform.log.address(),
            vm_list: platform.vm_list.address(),
            vm_list_poll_ms: 100,
        })
        .with_orders(self.orders);
        let node = Node::start(settings).expect("a node starts");
        let peers = node.peers_address();
        let added = self.runtime.block_on(self.platform.add_vm(
            VmKind::Router,
            data_centre,
            &vm,
            &instance,
            None,
            peers,
        ));
        added.expect("a relay starts");
        self.nodes.push(node);
        let at = self.nodes.len() - 1;
        self.wait_until(|fleet| fleet.get(at, "/readyz").status == 200);
        self.wait_until(|fleet| fleet.knows_targets(at));
        at
    }

    fn knows_targets(&self, at: usize) -> bool {
        let state = super::http::send(
            self.nodes[at].operators_address(),
            "GET",
            "/state/admission",
            &[],
            "",
        );
        let state = state.json();
        let targets = state["targets"].as_array().cloned().unwrap_or_default();
        let loaded = |target: &serde_json::Value| {
            target["service"] == "register"
                || target["models"]
                    .as_array()
                    .is_some_and(|models| !models.is_empty())
        };
        targets.len() == 3 && targets.iter().all(loaded)
    }

    /// Polls until the condition holds; panics after a time far above that of any passing run.
    pub fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..1_500 {
            if condition(self) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        for node in &self.nodes {
            let address = node.operators_address();
            let state = super::http::send(address, "GET", "/state", &[], "");
            eprintln!("{}: {}", node.identity().vm, state.body);
        }
        panic!("the condition never held");
    }

    pub fn get(&self, node: usize, path: &str) -> super::http::Response {
        super::http::send(self.nodes[node].callers_address(), "GET", path, &[], "")
    }

    /// Sends a chat request with the guild's key.
    pub fn chat(&self, node: usize, id: &str, body: &str) -> super::http::Response {
        let authorization = format!("Bearer {GUILD_KEY}");
        let headers = [
            ("authorization", authorization.as_str()),
            ("x-request-id", id),
        ];
        let address = self.nodes[node].callers_address();
        super::http::send(address, "POST", "/v1/chat/completions", &headers, body)
    }

    /// Sends an issuance, which may not be repeated, to the plain service.
    pub fn issue(&self, node: usize, key: &str) -> super::http::Response {
        let authorization = format!("Bearer {GUILD_KEY}");
        let headers = [
            ("authorization", authorization.as_str()),
            ("idempotency-key", key),
        ];
        let address = self.nodes[node].callers_address();
        super::http::send(
            address,
            "POST",
            "/services/register/issuances",
            &headers,
            "{}",
        )
    }

    /// Returns the statement of the guild's budget from the first batcher that knows it.
    pub fn statement(&self) -> serde_json::Value {
        for node in &self.nodes {
            let address = node.operators_address();
            let response = super::http::send(address, "GET", "/state/ledger", &[], "");
            let shards = response.json()["shards"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let accounts = shards
                .iter()
                .flat_map(|shard| shard["accounts"].as_array().cloned().unwrap_or_default());
            if let Some(account) = accounts
                .into_iter()
                .find(|account| account["budget"] == "guild-main")
            {
                return account;
            }
        }
        serde_json::Value::Null
    }

    fn write_document(&self, options: TestFleetOptions) {
        let TestFleetOptions {
            purchased_tokens,
            honours_fencing,
            downloads_per_min,
            ..
        } = options;
        let operations = format!(
            r#"{{
            "data_centres": {{ "a": {{}}, "b": {{}} }},
            "services": {{
                "drafting": {{
                    "kind": "models", "models": ["drafter"], "honours_fencing": {honours_fencing}
                }},
                "register": {{
                    "kind": "plain", "cost_tokens": 5,
                    "non_idempotent": [{{ "method": "POST", "path": "/issuances" }}],
                }},
            }},
            "ledger": {{ "shards": 2, "append_rate_per_s": 200 }},
            "weight_store": {{ "downloads_per_min": {downloads_per_min} }},
        }}"#
        );
        let models = r#"{ "models": { "drafter": {
            "serving_version": "1", "versions": { "1": {} },
            "organisations": ["guild"], "max_output_tokens": 256,
        } } }"#;
        let finance = format!(
            r#"{{
                "organisations": {{ "guild": {{}}, "school": {{}} }},
                "budgets": {{
                    "guild-main": {{
                        "organisation": "guild", "purchased_tokens": {purchased_tokens}
                    }},
                    "school-main": {{ "organisation": "school", "purchased_tokens": 1000 }},
                }},
                "caller_keys": {{
                    "guild": {{ "organisation": "guild", "budget": "guild-main", {} }},
                    "school": {{ "organisation": "school", "budget": "school-main", {} }},
                }},
            }}"#,
            hashed(GUILD_KEY),
            hashed(SCHOOL_KEY),
        );
        // Names must exist before they are referenced, and the shards before the first budget.
        let open_models = models.replace(r#"["guild"]"#, r#"["*"]"#);
        let sections = [
            (Section::Models, open_models.as_str(), 0),
            (Section::Operations, operations.as_str(), 0),
            (Section::Finance, finance.as_str(), 0),
            (Section::Models, models, 1),
        ];
        for (section, text, base_version) in sections {
            self.edit(section, text, base_version);
        }
    }

    /// Replaces the text of a section.
    pub fn edit(&self, section: Section, text: &str, base_version: u64) {
        let change = Change::Text {
            text: text.to_owned(),
        };
        self.append_edit(section, change, base_version);
    }

    /// Appends an edit to the log.
    pub fn append_edit(&self, section: Section, change: Change, base_version: u64) {
        let edit = EditRecord {
            edit_id: format!("{section}-{base_version}"),
            section,
            base_version: DocumentVersion(base_version),
            change,
            team: section.team(),
            author: "test".to_owned(),
            at_ms: 1,
            note: String::new(),
        };
        let record = DocumentRecord::Edit(edit).encode().expect("a short record");
        self.platform.log.append("document", record);
    }

    /// Returns the state dump of a node's duty.
    pub fn state(&self, node: &Node, duty: &str) -> serde_json::Value {
        let path = format!("/state/{duty}");
        super::http::send(node.operators_address(), "GET", &path, &[], "").json()
    }
}

fn hashed(key: &str) -> String {
    let key = ApiKey::parse(key).expect("a key");
    let hashed = HashedKey::new(&key, [7; 16]);
    format!(
        r#""salt": "{}", "hash": "{}""#,
        hashed.salt_hex(),
        hashed.hash_hex()
    )
}
