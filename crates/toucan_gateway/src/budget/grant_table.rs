//! All grants of one partition of the keyed log.

use toucan_types::{DocumentVersion, FastHashMap, OrganisationName, Tokens, VmName};

use super::{GatewayProcess, GrantKey, GrantOwner, GrantRecord};

/// The newest record of each owner, by organisation.
///
/// A record is added only by an append whose condition is the partition's end, so every writer has
/// seen all records before its own. The book adds up what is granted; it never decides by time.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    accounts: FastHashMap<OrganisationName, GrantAccount>,
}

/// The grants from one organisation's budget.
#[derive(Clone, Debug, Default)]
struct GrantAccount {
    by_owner: FastHashMap<GrantOwner, GrantRecord>,
    /// The newest configuration that a writer had seen, and what it said.
    newest_prepaid: Option<(DocumentVersion, Tokens)>,
}

impl GrantTable {
    /// Takes the newest record of a key; [`None`] if the key was dropped.
    pub fn apply(&mut self, key: GrantKey, record: Option<GrantRecord>) {
        let account = self.accounts.entry(key.organisation).or_default();
        let Some(record) = record else {
            account.by_owner.remove(&key.owner);
            return;
        };
        let seen = (record.config_version, record.prepaid);
        if account.newest_prepaid.is_none_or(|known| known.0 <= seen.0) {
            account.newest_prepaid = Some(seen);
        }
        account.by_owner.insert(key.owner, record);
    }

    /// Tokens granted to all owners, spent or not.
    #[must_use]
    pub fn granted(&self, organisation: &OrganisationName) -> Tokens {
        let Some(account) = self.accounts.get(organisation) else {
            return Tokens::ZERO;
        };
        account.by_owner.values().fold(Tokens::ZERO, |sum, record| {
            sum.saturating_add(record.granted())
        })
    }

    /// Tokens that owners have reported as spent; they may have spent more since.
    #[must_use]
    pub fn spent(&self, organisation: &OrganisationName) -> Tokens {
        let Some(account) = self.accounts.get(organisation) else {
            return Tokens::ZERO;
        };
        account
            .by_owner
            .values()
            .fold(Tokens::ZERO, |sum, record| sum.saturating_add(record.spent))
    }

    /// Tokens a second that the calls of all processes ask for, as they last wrote.
    ///
    /// Processes on VMs for which `is_live` is false no longer serve calls.
    #[must_use]
    pub fn rate_per_s(
        &self,
        organisation: &OrganisationName,
        is_live: impl Fn(&VmName) -> bool,
    ) -> u64 {
        let Some(account) = self.accounts.get(organisation) else {
            return 0;
        };
        account
            .by_owner
            .iter()
            .filter(|(owner, _record)| match owner {
                GrantOwner::Process(process) => is_live(&process.vm),
                GrantOwner::FormerProcesses => false,
            })
            .map(|(_owner, record)| record.rate_per_s)
            .sum()
    }

    /// The most that may be granted, if `configured` is what this VM's configuration says.
    ///
    /// A newer configuration that another writer has seen goes first, higher or lower.
    #[must_use]
    pub fn prepaid(
        &self,
        organisation: &OrganisationName,
        configured: (DocumentVersion, Tokens),
    ) -> (DocumentVersion, Tokens) {
        let newest = self
            .accounts
            .get(organisation)
            .and_then(|account| account.newest_prepaid);
        match newest {
            Some(newest) if newest.0 > configured.0 => newest,
            _ => configured,
        }
    }

    /// The record of one owner.
    #[must_use]
    pub fn record(
        &self,
        organisation: &OrganisationName,
        owner: &GrantOwner,
    ) -> Option<GrantRecord> {
        self.accounts
            .get(organisation)?
            .by_owner
            .get(owner)
            .copied()
    }

    /// Former processes of `process`'s VM that still have records, by organisation.
    #[must_use]
    pub fn former_processes(
        &self,
        process: &GatewayProcess,
    ) -> Vec<(OrganisationName, GatewayProcess, GrantRecord)> {
        let mut replaced = Vec::new();
        for (organisation, account) in &self.accounts {
            for (owner, record) in &account.by_owner {
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
