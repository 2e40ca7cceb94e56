//! The grants in one partition of the keyed log.

use toucan_types::{DocumentVersion, FastHashMap, OrganisationName, Tokens, VmName};

use super::{GatewayProcess, GrantKey, GrantOwner, GrantRecord};

/// The newest grant record of each owner, by organisation.
///
/// Every append is conditional on the partition's end offset, so each writer has seen all records
/// before its own. Grants never expire.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    by_organisation: FastHashMap<OrganisationName, OrganisationGrants>,
}

/// The grants from one organisation's budget.
#[derive(Clone, Debug, Default)]
struct OrganisationGrants {
    by_owner: FastHashMap<GrantOwner, GrantRecord>,
    /// Newest configuration version that any writer had seen, with its prepaid total.
    newest_prepaid: Option<(DocumentVersion, Tokens)>,
}

impl GrantTable {
    /// Applies the newest record of a key; [`None`] if the key was deleted.
    pub fn apply(&mut self, key: GrantKey, record: Option<GrantRecord>) {
        let grants = self.by_organisation.entry(key.organisation).or_default();
        let Some(record) = record else {
            grants.by_owner.remove(&key.owner);
            return;
        };
        let seen = (record.config_version, record.prepaid);
        if grants.newest_prepaid.is_none_or(|known| known.0 <= seen.0) {
            grants.newest_prepaid = Some(seen);
        }
        grants.by_owner.insert(key.owner, record);
    }

    /// Returns whether the table has a newer record of a key than this one.
    #[must_use]
    pub fn has_newer(&self, key: &GrantKey, record: &GrantRecord) -> bool {
        let known = self.record(&key.organisation, &key.owner);
        known.is_some_and(|known| record.is_older_than(&known))
    }

    /// Applies the records that were known before the store came back from an older copy, where this
    /// table has none or an older one.
    ///
    /// Returns their keys, whose records have to be written again. A record that was merged into
    /// another one meanwhile may count twice, which grants too little and never too much.
    pub fn recover(&mut self, known: &Self) -> Vec<GrantKey> {
        let mut recovered = Vec::new();
        for (organisation, grants) in &known.by_organisation {
            for (owner, record) in &grants.by_owner {
                let key = GrantKey {
                    organisation: organisation.clone(),
                    owner: owner.clone(),
                };
                let current = self.record(organisation, owner);
                if current.is_none_or(|current| current.is_older_than(record)) {
                    self.apply(key.clone(), Some(*record));
                    recovered.push(key);
                }
            }
        }
        recovered
    }

    /// Returns the tokens granted to all owners, spent or not.
    #[must_use]
    pub fn granted(&self, organisation: &OrganisationName) -> Tokens {
        let Some(grants) = self.by_organisation.get(organisation) else {
            return Tokens::ZERO;
        };
        grants.by_owner.values().fold(Tokens::ZERO, |sum, record| {
            sum.saturating_add(record.granted())
        })
    }

    /// Returns the tokens that all owners have reported as spent; they may have spent more since.
    #[must_use]
    pub fn spent(&self, organisation: &OrganisationName) -> Tokens {
        let Some(grants) = self.by_organisation.get(organisation) else {
            return Tokens::ZERO;
        };
        grants
            .by_owner
            .values()
            .fold(Tokens::ZERO, |sum, record| sum.saturating_add(record.spent))
    }

    /// Returns the tokens that nobody can spend any more: those reported as spent, and all that
    /// former processes held.
    #[must_use]
    pub fn spent_or_lost(&self, organisation: &OrganisationName) -> Tokens {
        let Some(grants) = self.by_organisation.get(organisation) else {
            return Tokens::ZERO;
        };
        grants
            .by_owner
            .iter()
            .fold(Tokens::ZERO, |sum, (owner, record)| {
                sum.saturating_add(match owner {
                    GrantOwner::Process(_) => record.spent,
                    GrantOwner::FormerProcesses => record.granted(),
                })
            })
    }

    /// Returns the tokens per second that the calls of all processes ask for, by their newest
    /// records.
    ///
    /// Skips processes on VMs for which `is_live` returns false, because they serve no calls.
    #[must_use]
    pub fn rate_per_s(
        &self,
        organisation: &OrganisationName,
        is_live: impl Fn(&VmName) -> bool,
    ) -> u64 {
        let Some(grants) = self.by_organisation.get(organisation) else {
            return 0;
        };
        grants
            .by_owner
            .iter()
            .filter(|(owner, _record)| match owner {
                GrantOwner::Process(process) => is_live(&process.vm),
                GrantOwner::FormerProcesses => false,
            })
            .map(|(_owner, record)| record.rate_per_s)
            .sum()
    }

    /// Returns the total that may be granted, with the configuration version that it comes from.
    ///
    /// `configured` is the value from this VM's configuration. If another writer has seen a newer
    /// configuration, its value takes precedence, whether higher or lower.
    #[must_use]
    pub fn prepaid(
        &self,
        organisation: &OrganisationName,
        configured: (DocumentVersion, Tokens),
    ) -> (DocumentVersion, Tokens) {
        let newest = self
            .by_organisation
            .get(organisation)
            .and_then(|grants| grants.newest_prepaid);
        match newest {
            Some(newest) if newest.0 > configured.0 => newest,
            _ => configured,
        }
    }

    /// Returns the newest record of one owner.
    #[must_use]
    pub fn record(
        &self,
        organisation: &OrganisationName,
        owner: &GrantOwner,
    ) -> Option<GrantRecord> {
        self.by_organisation
            .get(organisation)?
            .by_owner
            .get(owner)
            .copied()
    }

    /// Returns the records of earlier processes on the same VM as `process`.
    #[must_use]
    pub fn former_processes(
        &self,
        process: &GatewayProcess,
    ) -> Vec<(OrganisationName, GatewayProcess, GrantRecord)> {
        let mut replaced = Vec::new();
        for (organisation, grants) in &self.by_organisation {
            for (owner, record) in &grants.by_owner {
                let GrantOwner::Process(former) = owner else {
                    continue;
                };
                if former.vm == process.vm && former.start_id != process.start_id {
                    replaced.push((organisation.clone(), former.clone(), *record));
                }
            }
        }
        replaced
    }
}
