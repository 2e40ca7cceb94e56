//! The finance section.

use toucan_types::{BudgetName, OrganisationName, TokenOverflow, Tokens};

use crate::reader::{ObjectReader, SectionReader};
use crate::references::NameKind;
use crate::{CallerKey, HashedKey, Table, TopUp, schema};

/// The finance section: organisations, budgets, top-ups and callers' keys.
#[derive(Clone, Debug, Default)]
pub struct Finance {
    /// Organisations that may hold budgets.
    pub organisations: Table<OrganisationName, Organisation>,
    /// Prepaid budgets.
    pub budgets: Table<BudgetName, Budget>,
    /// Callers' keys by key id.
    pub caller_keys: Table<String, CallerKey>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Display name; may be empty.
    pub title: String,
    /// Duration of a partition or outage that grants should cover, in milliseconds.
    ///
    /// With a longer duration routers draw more tokens ahead. Fewer requests are refused during a
    /// partition, but more tokens may be unavailable on its other side.
    pub bridge_ms: u64,
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Organisation that paid.
    pub organisation: OrganisationName,
    /// Tokens bought initially, without top-ups.
    pub purchased_tokens: Tokens,
    /// Additions in the order of the text.
    pub top_ups: Vec<TopUp>,
    /// Duration of a partition or outage to cover, in milliseconds; defaults to the organisation's.
    pub bridge_ms: u64,
}

impl Budget {
    /// Returns the total of tokens bought, top-ups included.
    pub fn total_tokens(&self) -> Result<Tokens, TokenOverflow> {
        self.top_ups
            .iter()
            .try_fold(self.purchased_tokens, |sum, top_up| {
                sum.checked_add(top_up.tokens)
            })
    }
}

pub(crate) fn read_finance(reader: &SectionReader<'_>, root: &ObjectReader<'_, '_>) -> Finance {
    let mut finance = Finance::default();
    root.table("organisations", &schema::ORGANISATION, |name, object| {
        reader.define(NameKind::Organisation, name);
        let organisation = Organisation {
            title: object.text("title"),
            bridge_ms: object.number("bridge_ms"),
        };
        finance.organisations.insert(name.into(), organisation);
    });
    root.table("budgets", &schema::BUDGET, |name, object| {
        reader.define(NameKind::Budget, name);
        let budget = read_budget(&finance, name, object);
        finance.budgets.insert(name.into(), budget);
    });
    root.table("caller_keys", &schema::CALLER_KEY, |name, object| {
        if let Some(key) = read_caller_key(&finance, object) {
            finance.caller_keys.insert(name.to_owned(), key);
        }
    });
    finance
}

fn read_budget(finance: &Finance, name: &str, object: &ObjectReader<'_, '_>) -> Budget {
    let organisation =
        OrganisationName::from(object.reference("organisation", NameKind::Organisation));
    let default_bridge_ms = finance
        .organisations
        .get(organisation.as_str())
        .map_or(0, |organisation| organisation.bridge_ms);
    let mut top_ups: Vec<TopUp> = Vec::new();
    object.list("top_ups", &schema::TOP_UP, |entry| {
        let top_up = TopUp {
            id: entry.name("id"),
            budget: name.into(),
            tokens: Tokens(entry.number("tokens")),
        };
        if top_ups.iter().any(|earlier| earlier.id == top_up.id) {
            entry.error("id", "the budget has another top-up with this id", "");
        }
        top_ups.push(top_up);
    });
    let budget = Budget {
        organisation,
        purchased_tokens: Tokens(object.number("purchased_tokens")),
        top_ups,
        bridge_ms: object
            .optional_number("bridge_ms")
            .unwrap_or(default_bridge_ms),
    };
    if let Err(overflow) = budget.total_tokens() {
        object.error("top_ups", &overflow.to_string(), "lower the top-ups");
    }
    budget
}

fn read_caller_key(finance: &Finance, object: &ObjectReader<'_, '_>) -> Option<CallerKey> {
    let organisation =
        OrganisationName::from(object.reference("organisation", NameKind::Organisation));
    let budget = BudgetName::from(object.reference("budget", NameKind::Budget));
    let known_budget = finance.budgets.get(budget.as_str());
    if known_budget.is_some_and(|known_budget| known_budget.organisation != organisation) {
        object.error(
            "budget",
            "the budget belongs to another organisation than the key",
            "name a budget of the key's organisation",
        );
    }
    Some(CallerKey {
        organisation,
        budget,
        key: read_hashed_key(object)?,
        not_after_ms: object.optional_number("not_after_ms"),
    })
}

pub(crate) fn read_hashed_key(object: &ObjectReader<'_, '_>) -> Option<HashedKey> {
    let salt = object.text("salt");
    let hash = object.text("hash");
    let key = HashedKey::from_hex(&salt, &hash);
    if key.is_none() {
        object.error(
            "hash",
            "expected a salt of 32 and a hash of 64 hexadecimal digits",
            "make both with `toucanctl key new`",
        );
    }
    key
}
