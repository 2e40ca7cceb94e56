//! Finds the organisation that a caller's key belongs to.

use std::rc::Rc;

use toucan_types::{FastHashMap, OrganisationName};

use super::{KeyDigest, Organisation};

/// Organisations by name and by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    by_key: FastHashMap<KeyDigest, Rc<Organisation>>,
    by_name: FastHashMap<OrganisationName, Rc<Organisation>>,
}

impl OrganisationTable {
    /// Creates a table of the given organisations.
    pub fn new(organisations: impl IntoIterator<Item = Organisation>) -> Self {
        let mut table = Self::default();
        for organisation in organisations {
            let organisation = Rc::new(organisation);
            for key in &organisation.keys {
                table.by_key.insert(*key, Rc::clone(&organisation));
            }
            table
                .by_name
                .insert(organisation.name.clone(), organisation);
        }
        table
    }

    /// Returns the organisation that `key` belongs to.
    #[must_use]
    pub fn by_key(&self, key: &str) -> Option<&Rc<Organisation>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns the organisation called `name`.
    #[must_use]
    pub fn get(&self, name: &OrganisationName) -> Option<&Rc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
        self.by_name.values()
    }

    /// Returns whether no organisation is configured, so that callers need no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
