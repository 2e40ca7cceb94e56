//! Counts of the cases that histories covered.

use toucan_ledger::LedgerEvent;

/// Counts of the cases that histories covered, to detect a run that tests nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    pub delivered: u64,
    pub fences: u64,
    pub releases: u64,
    pub late: u64,
    pub duplicate_records: u64,
    pub duplicate_bills: u64,
    pub transfers: u64,
    pub snapshots_loaded: u64,
    pub closed_wallets: u64,
    pub unbilled_after_two_losses: u64,
}

impl Coverage {
    pub fn add(&mut self, other: Self) {
        self.delivered += other.delivered;
        self.fences += other.fences;
        self.releases += other.releases;
        self.late += other.late;
        self.duplicate_records += other.duplicate_records;
        self.duplicate_bills += other.duplicate_bills;
        self.transfers += other.transfers;
        self.snapshots_loaded += other.snapshots_loaded;
        self.closed_wallets += other.closed_wallets;
        self.unbilled_after_two_losses += other.unbilled_after_two_losses;
    }

    pub(super) fn event(&mut self, event: &LedgerEvent) {
        let counter = match event {
            LedgerEvent::Fenced { .. } => &mut self.fences,
            LedgerEvent::Released { .. } => &mut self.releases,
            LedgerEvent::Late { .. } => &mut self.late,
            LedgerEvent::Duplicate { .. } => &mut self.duplicate_records,
            LedgerEvent::DuplicateBill { .. } => &mut self.duplicate_bills,
            LedgerEvent::Transferred { received: true, .. } => &mut self.transfers,
            _ => return,
        };
        *counter += 1;
    }
}
