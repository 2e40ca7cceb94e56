//! Finds the organisation that holds a caller's key.

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
    /// The ring of some organisations.
    pub fn new(organisations: impl IntoIterator<Item = Organisation>) -> Self {
        let mut ring = Self::default();
        for organisation in organisations {
            let organisation = Rc::new(organisation);
            for key in &organisation.keys {
                ring.by_key.insert(*key, Rc::clone(&organisation));
            }
            ring.by_name.insert(organisation.name.clone(), organisation);
        }
        ring
    }

    /// The organisation that holds `key`.
    #[must_use]
    pub fn by_key(&self, key: &str) -> Option<&Rc<Organisation>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// The organisation called `name`.
    #[must_use]
    pub fn get(&self, name: &OrganisationName) -> Option<&Rc<Organisation>> {
        self.by_name.get(name)
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
        self.by_name.values()
    }

    /// Whether no organisation is configured, so that callers need no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
