//! Configuration document for a fleet profile.

use serde_json::{Map, Value, json};
use toucan_config::{ApiKey, Change, DocumentRecord, EditRecord, HashedKey, Section};
use toucan_types::DocumentVersion;

use super::FleetProfile;

/// Identity of the callers of one customer.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// Organisation.
    pub organisation: String,
    /// Budget.
    pub budget: String,
    /// Key, as sent in `Authorization: Bearer`.
    pub key: String,
    /// Weight in the load.
    pub weight: u64,
}

/// The three sections of the document, with the keys of callers and operators.
#[derive(Clone, Debug)]
pub struct FleetDocument {
    /// Finance section.
    pub finance: Value,
    /// Models section.
    pub models: Value,
    /// Operations section.
    pub operations: Value,
    /// One caller identity for each organisation.
    pub callers: Vec<CallerIdentity>,
    /// Operators' keys, one for the team of each section.
    pub operator_keys: Vec<(Section, String)>,
}

impl FleetDocument {
    /// Builds the document of a profile.
    #[must_use]
    pub fn new(profile: &FleetProfile) -> Self {
        let operator_keys: Vec<(Section, String)> = Section::ALL
            .iter()
            .map(|section| (*section, format!("tt_{section}_0123456789abcdef-{section}")))
            .collect();
        let callers = profile
            .organisations
            .iter()
            .map(|organisation| CallerIdentity {
                organisation: organisation.name.clone(),
                budget: format!("{}-main", organisation.name),
                key: format!("tt_{0}_0123456789abcdef-{0}", organisation.name),
                weight: organisation.weight,
            });
        let callers: Vec<CallerIdentity> = callers.collect();
        Self {
            finance: finance(profile, &callers),
            models: models(profile),
            operations: operations(profile, &operator_keys),
            callers,
            operator_keys,
        }
    }

    /// Returns the records for the document stream that put the whole document in force.
    ///
    /// The finance section is last because the first budget fixes the number of shards.
    #[must_use]
    pub fn records(&self, at_ms: u64) -> Vec<Vec<u8>> {
        let sections = [
            (Section::Models, &self.models),
            (Section::Operations, &self.operations),
            (Section::Finance, &self.finance),
        ];
        let records = sections.into_iter().filter_map(|(section, value)| {
            let text = serde_json::to_string_pretty(value).ok()?;
            let edit = EditRecord {
                edit_id: format!("first-{section}"),
                section,
                base_version: DocumentVersion(0),
                change: Change::Text { text },
                team: section.team(),
                author: "bench".to_owned(),
                at_ms,
                note: String::new(),
            };
            DocumentRecord::Edit(edit).encode().ok()
        });
        records.collect()
    }
}

fn finance(profile: &FleetProfile, callers: &[CallerIdentity]) -> Value {
    let mut organisations = Map::new();
    let mut budgets = Map::new();
    let mut caller_keys = Map::new();
    for (organisation, caller) in profile.organisations.iter().zip(callers) {
        let settings = json!({ "bridge_ms": profile.bridge_ms });
        organisations.insert(organisation.name.clone(), settings);
        let budget = json!({
            "organisation": organisation.name,
            "purchased_tokens": organisation.purchased_tokens,
        });
        budgets.insert(caller.budget.clone(), budget);
        let mut key = hashed_key(&caller.key);
        key.insert("organisation".to_owned(), json!(organisation.name));
        key.insert("budget".to_owned(), json!(caller.budget));
        caller_keys.insert(organisation.name.clone(), Value::Object(key));
    }
    json!({ "organisations": organisations, "budgets": budgets, "caller_keys": caller_keys })
}

fn models(profile: &FleetProfile) -> Value {
    json!({ "models": { profile.model(): {
        "serving_version": profile.model_version(),
        "versions": { profile.model_version(): {}, "2": {} },
        "organisations": ["*"],
        "max_output_tokens": 128,
        "prefix_block_tokens": 16,
    } } })
}

fn operations(profile: &FleetProfile, operator_keys: &[(Section, String)]) -> Value {
    let mut data_centres = Map::new();
    for (name, _) in &profile.data_centres {
        data_centres.insert(name.clone(), json!({}));
    }
    let mut team_keys = Map::new();
    for (section, key) in operator_keys {
        let mut hashed = hashed_key(key);
        hashed.insert("team".to_owned(), json!(section.name()));
        hashed.insert("author".to_owned(), json!("bench"));
        team_keys.insert(section.name().to_owned(), Value::Object(hashed));
    }
    let service = &profile.service;
    json!({
        "data_centres": data_centres,
        "services": {
            "drafting": {
                "kind": "models",
                "models": [profile.model()],
                "honours_fencing": profile.honours_fencing,
            },
            service.name.as_str(): {
                "kind": "plain",
                "cost_tokens": service.cost_tokens,
                "non_idempotent": [{ "method": "POST", "path": service.path }],
            },
        },
        "default_limits": { "requests_per_s": 10_000, "concurrency": 4_096, "queue_length": 512 },
        "ledger": {
            "shards": profile.shards,
            "append_rate_per_s": profile.fleet_append_rate_per_s(),
        },
        "team_keys": team_keys,
    })
}

fn hashed_key(key: &str) -> Map<String, Value> {
    let mut object = Map::new();
    // Keys of the benchmark are not secret, so a constant salt is sufficient.
    let Ok(key) = ApiKey::parse(key) else {
        return object;
    };
    let hashed = HashedKey::new(&key, [7; 16]);
    object.insert("salt".to_owned(), json!(hashed.salt_hex()));
    object.insert("hash".to_owned(), json!(hashed.hash_hex()));
    object
}
