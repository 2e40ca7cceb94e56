//! Decides the records that a process writes into one partition of grants.

use toucan_types::{DocumentVersion, FastHashMap, OrganisationName, Tokens};

use super::{
    DrawDecision, DrawSettings, DrawView, GatewayProcess, GrantKey, GrantOwner, GrantRecord,
    GrantTable, Wallet, decide_draw,
};

/// What is known of an organisation when its record is decided.
#[derive(Clone, Copy, Debug)]
pub struct OrganisationSnapshot {
    /// Version of this process's configuration.
    pub config_version: DocumentVersion,
    /// Most tokens of the organisation in that configuration.
    pub prepaid: Tokens,
    /// Tokens that calls wait for.
    pub waiting: Tokens,
    /// Processes that draw from the budget.
    pub processes: u32,
    /// Tokens a second that the calls of the other processes ask for.
    pub others_rate_per_s: u64,
    /// Time for which a process that stops still accepts calls; it then returns all that is idle.
    /// [`None`] if no stop is planned.
    pub remaining_accept_ms: Option<u64>,
}

/// Writes the records of one process.
///
/// Only this process writes its record, and a record is appended only at the end that was read, so
/// the stored record is always known when the next one is decided. Returned tokens leave the wallet
/// before they are written and are counted in the record; an append whose fate is unknown is
/// therefore settled by reading what the store holds.
#[derive(Clone, Debug)]
pub struct GrantWriter {
    process: GatewayProcess,
}

impl GrantWriter {
    /// The writer of a process.
    #[must_use]
    pub const fn new(process: GatewayProcess) -> Self {
        Self { process }
    }

    /// The key of this process's record.
    #[must_use]
    pub fn key(&self, organisation: &OrganisationName) -> GrantKey {
        GrantKey {
            organisation: organisation.clone(),
            owner: GrantOwner::Process(self.process.clone()),
        }
    }

    /// Sets a wallet to what the store says, after the partition was read to its end.
    pub fn sync_wallet(
        &self,
        organisation: &OrganisationName,
        book: &GrantTable,
        wallet: &mut Wallet,
    ) {
        if let Some(stored) = self.stored(organisation, book) {
            wallet.set_drawn(stored.drawn);
        }
    }

    /// Whether [`Self::decide`] would write a record, if the store holds what was last read.
    #[must_use]
    pub fn needs_write(
        &self,
        organisation: &OrganisationName,
        book: &GrantTable,
        wallet: &Wallet,
        view: &OrganisationSnapshot,
        settings: &DrawSettings,
        now_ms: u64,
    ) -> bool {
        // A waiting call or a total in doubt needs what the store says now, not what it said before.
        !view.waiting.is_zero()
            || wallet.is_frozen()
            || self.has_unwritten_return(organisation, book, wallet)
            || decision(organisation, book, wallet, view, settings, now_ms) != DrawDecision::Keep
    }

    /// The record to be written for an organisation, if there is something to write.
    ///
    /// Tokens that are returned leave the wallet here, before the record is sent.
    pub fn decide(
        &self,
        organisation: &OrganisationName,
        book: &GrantTable,
        wallet: &mut Wallet,
        view: &OrganisationSnapshot,
        settings: &DrawSettings,
        now_ms: u64,
    ) -> Option<GrantRecord> {
        let configured = (view.config_version, view.prepaid);
        let (config_version, prepaid) = book.prepaid(organisation, configured);
        wallet.set_frozen(book.granted(organisation) > prepaid);
        let stored_drawn = self
            .stored(organisation, book)
            .map_or(Tokens::ZERO, |stored| stored.drawn);
        let drawn = match decision(organisation, book, wallet, view, settings, now_ms) {
            DrawDecision::Keep if !self.has_unwritten_return(organisation, book, wallet) => {
                return None;
            }
            DrawDecision::Keep => stored_drawn,
            DrawDecision::Draw(tokens) => stored_drawn.saturating_add(tokens),
            DrawDecision::Return(tokens) => {
                wallet.take_back(tokens);
                stored_drawn
            }
        };
        Some(GrantRecord {
            drawn,
            returned: wallet.returned(),
            spent: wallet.certainly_spent(),
            rate_per_s: wallet.rate_per_s(now_ms) as u64,
            config_version,
            prepaid,
        })
    }

    fn stored(&self, organisation: &OrganisationName, book: &GrantTable) -> Option<GrantRecord> {
        let owner = GrantOwner::Process(self.process.clone());
        book.record(organisation, &owner)
    }

    fn has_unwritten_return(
        &self,
        organisation: &OrganisationName,
        book: &GrantTable,
        wallet: &Wallet,
    ) -> bool {
        let stored = self
            .stored(organisation, book)
            .map_or(Tokens::ZERO, |stored| stored.returned);
        wallet.returned() > stored
    }

    /// Records that count the grants of former processes of this VM as spent.
    #[must_use]
    pub fn merge_former_grants(&self, book: &GrantTable) -> Vec<(GrantKey, Option<GrantRecord>)> {
        let mut records = Vec::new();
        let mut totals: FastHashMap<OrganisationName, GrantRecord> = FastHashMap::default();
        for (organisation, former, record) in book.former_processes(&self.process) {
            let total = totals.entry(organisation.clone()).or_insert_with(|| {
                book.record(&organisation, &GrantOwner::FormerProcesses)
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

fn decision(
    organisation: &OrganisationName,
    book: &GrantTable,
    wallet: &Wallet,
    view: &OrganisationSnapshot,
    settings: &DrawSettings,
    now_ms: u64,
) -> DrawDecision {
    if view.remaining_accept_ms == Some(0) {
        return match wallet.available() {
            Tokens::ZERO => DrawDecision::Keep,
            idle => DrawDecision::Return(idle),
        };
    }
    let configured = (view.config_version, view.prepaid);
    let draw = DrawView {
        prepaid: book.prepaid(organisation, configured).1,
        granted_to_all: book.granted(organisation),
        available: wallet.available(),
        waiting: view.waiting,
        rate_per_s: wallet.rate_per_s(now_ms),
        others_rate_per_s: view.others_rate_per_s as f64,
        processes: view.processes,
        remaining_accept_ms: view.remaining_accept_ms,
    };
    decide_draw(&draw, settings)
}
