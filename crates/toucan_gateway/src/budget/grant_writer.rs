//! Decides which records a process writes to one partition of grants.

use toucan_types::{DocumentVersion, FastHashMap, OrganisationName, Tokens};

use super::{
    DrawDecision, DrawInput, DrawSettings, GatewayProcess, GrantKey, GrantOwner, GrantRecord,
    GrantTable, Wallet, decide_draw,
};

/// State of one organisation from which its next record is decided.
#[derive(Clone, Copy, Debug)]
pub struct OrganisationSnapshot {
    /// Version of this process's configuration.
    pub config_version: DocumentVersion,
    /// Total tokens that the organisation has paid for, in that configuration.
    pub prepaid: Tokens,
    /// Tokens that waiting calls need.
    pub waiting: Tokens,
    /// Whether tokens may be drawn, as far as the store's last restore is concerned.
    pub may_draw: bool,
    /// Whether this process holds tokens for other gateways and for its next calls.
    pub is_holder: bool,
    /// Number of processes that hold tokens of the budget.
    pub holders: u32,
    /// Tokens per second that calls to the other processes ask for.
    pub others_rate_per_s: u64,
    /// Time for which a stopping process still accepts calls; [`None`] if no stop is planned. At
    /// zero the process returns all idle tokens.
    pub remaining_accept_ms: Option<u64>,
}

/// Decides the records of one process.
///
/// Only this process writes its own record, and each append is conditional on the end offset that
/// was read. The stored record is therefore always known when the next one is decided. Returned
/// tokens leave the wallet before they are written, and the record holds their total. If the
/// outcome of an append is unknown, reading the stored record is enough to recover.
#[derive(Clone, Debug)]
pub struct GrantWriter {
    process: GatewayProcess,
}

impl GrantWriter {
    /// Creates the writer of a process.
    #[must_use]
    pub const fn new(process: GatewayProcess) -> Self {
        Self { process }
    }

    /// Returns the key of this process's record.
    #[must_use]
    pub fn key(&self, organisation: &OrganisationName) -> GrantKey {
        GrantKey {
            organisation: organisation.clone(),
            owner: GrantOwner::Process(self.process.clone()),
        }
    }

    /// Sets the wallet's drawn tokens to the stored total.
    ///
    /// To be called after the partition was read to its end. After a restore, a draw from before may
    /// have been appended late, at an offset that was given out again and without regard to grants
    /// that the store had lost. Its tokens are not held until all grants are known, and are
    /// returned if they exceed the budget.
    pub fn sync_wallet(
        &self,
        organisation: &OrganisationName,
        grants: &GrantTable,
        wallet: &mut Wallet,
        snapshot: &OrganisationSnapshot,
    ) {
        let Some(stored) = self.stored_record(organisation, grants) else {
            return;
        };
        let new = stored.drawn.saturating_sub(wallet.drawn());
        if !new.is_zero() && !snapshot.may_draw {
            return;
        }
        wallet.set_drawn(stored.drawn);
        let configured = (snapshot.config_version, snapshot.prepaid);
        if grants.granted(organisation) > grants.prepaid(organisation, configured).1 {
            wallet.return_new(new);
        }
    }

    /// Returns whether [`Self::decide`] would return a record, given what was last read.
    ///
    /// Also true if the partition must be read again before that can be decided.
    #[must_use]
    pub fn needs_write(
        &self,
        organisation: &OrganisationName,
        grants: &GrantTable,
        wallet: &Wallet,
        snapshot: &OrganisationSnapshot,
        settings: &DrawSettings,
        now_ms: u64,
    ) -> bool {
        // A waiting call or a frozen wallet needs the store's present state, not the last one read.
        !snapshot.waiting.is_zero()
            || wallet.is_frozen()
            || self.has_unrecorded_return(organisation, grants, wallet)
            || draw_decision(organisation, grants, wallet, snapshot, settings, now_ms)
                != DrawDecision::Keep
    }

    /// Returns the record to append for an organisation; [`None`] if nothing has changed.
    ///
    /// Returned tokens are removed from the wallet here, before the record is appended.
    pub fn decide(
        &self,
        organisation: &OrganisationName,
        grants: &GrantTable,
        wallet: &mut Wallet,
        snapshot: &OrganisationSnapshot,
        settings: &DrawSettings,
        now_ms: u64,
    ) -> Option<GrantRecord> {
        let configured = (snapshot.config_version, snapshot.prepaid);
        let (config_version, prepaid) = grants.prepaid(organisation, configured);
        wallet.set_frozen(grants.granted(organisation) > prepaid);
        let stored_drawn = self
            .stored_record(organisation, grants)
            .map_or(Tokens::ZERO, |stored| stored.drawn);
        let drawn = match draw_decision(organisation, grants, wallet, snapshot, settings, now_ms) {
            DrawDecision::Keep if !self.has_unrecorded_return(organisation, grants, wallet) => {
                return None;
            }
            DrawDecision::Keep => stored_drawn,
            DrawDecision::Draw(tokens) => stored_drawn.saturating_add(tokens),
            DrawDecision::Return(tokens) => {
                wallet.return_tokens(tokens);
                stored_drawn
            }
        };
        Some(GrantRecord {
            drawn,
            returned: wallet.returned(),
            spent: wallet.reported_spent(),
            // A gateway that no longer holds tokens must not keep a share of the fleet's rate.
            rate_per_s: if snapshot.is_holder {
                wallet.rate_per_s(now_ms) as u64
            } else {
                0
            },
            config_version,
            prepaid,
        })
    }

    fn stored_record(
        &self,
        organisation: &OrganisationName,
        grants: &GrantTable,
    ) -> Option<GrantRecord> {
        let owner = GrantOwner::Process(self.process.clone());
        grants.record(organisation, &owner)
    }

    fn has_unrecorded_return(
        &self,
        organisation: &OrganisationName,
        grants: &GrantTable,
        wallet: &Wallet,
    ) -> bool {
        let stored_returned = self
            .stored_record(organisation, grants)
            .map_or(Tokens::ZERO, |stored| stored.returned);
        wallet.returned() > stored_returned
    }

    /// Returns records that move the grants of this VM's former processes into a total, which
    /// counts as spent.
    ///
    /// The former processes' own records are deleted.
    #[must_use]
    pub fn merge_former_grants(&self, grants: &GrantTable) -> Vec<(GrantKey, Option<GrantRecord>)> {
        let mut records = Vec::new();
        let mut totals: FastHashMap<OrganisationName, GrantRecord> = FastHashMap::default();
        for (organisation, former, record) in grants.former_processes(&self.process) {
            let total = totals.entry(organisation.clone()).or_insert_with(|| {
                grants
                    .record(&organisation, &GrantOwner::FormerProcesses)
                    .unwrap_or(GrantRecord {
                        drawn: Tokens::ZERO,
                        returned: Tokens::ZERO,
                        spent: Tokens::ZERO,
                        rate_per_s: 0,
                        config_version: record.config_version,
                        prepaid: record.prepaid,
                    })
            });
            total.drawn = total.drawn.saturating_add(record.drawn);
            total.returned = total.returned.saturating_add(record.returned);
            total.spent = total.spent.saturating_add(record.spent);
            if record.config_version > total.config_version {
                total.config_version = record.config_version;
                total.prepaid = record.prepaid;
            }
            let key = GrantKey {
                organisation,
                owner: GrantOwner::Process(former),
            };
            records.push((key, None));
        }
        for (organisation, total) in totals {
            let key = GrantKey {
                organisation,
                owner: GrantOwner::FormerProcesses,
            };
            records.push((key, Some(total)));
        }
        records
    }
}

fn draw_decision(
    organisation: &OrganisationName,
    grants: &GrantTable,
    wallet: &Wallet,
    snapshot: &OrganisationSnapshot,
    settings: &DrawSettings,
    now_ms: u64,
) -> DrawDecision {
    if snapshot.remaining_accept_ms == Some(0) {
        return match wallet.returnable() {
            Tokens::ZERO => DrawDecision::Keep,
            idle => DrawDecision::Return(idle),
        };
    }
    let configured = (snapshot.config_version, snapshot.prepaid);
    let input = DrawInput {
        prepaid: grants.prepaid(organisation, configured).1,
        granted_to_all: grants.granted(organisation),
        spent_or_lost: grants.spent_or_lost(organisation),
        available: wallet.available(),
        returnable: wallet.returnable(),
        is_holder: snapshot.is_holder,
        waiting: snapshot.waiting,
        rate_per_s: wallet.rate_per_s(now_ms),
        others_rate_per_s: snapshot.others_rate_per_s as f64,
        holders: snapshot.holders,
        remaining_accept_ms: snapshot.remaining_accept_ms,
    };
    match decide_draw(&input, settings) {
        DrawDecision::Draw(_) if !snapshot.may_draw => DrawDecision::Keep,
        decision => decision,
    }
}
