//! In-memory log and wallets, shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use toucan_ledger::{Ledger, LedgerEvent, LedgerRecord, LedgerSettings, RecordBatch, Wallet};
use toucan_types::{BudgetName, DocumentVersion, IncarnationId, Offset, OrganisationName, Tokens};

pub const BUDGET: &str = "drafting";

pub fn budget() -> BudgetName {
    BudgetName::from(BUDGET)
}

pub fn fund(version: u64, total: u64) -> LedgerRecord {
    LedgerRecord::Fund {
        budget: budget(),
        organisation: OrganisationName::from("guild"),
        version: DocumentVersion(version),
        purchased_total_tokens: Tokens(total),
    }
}

pub fn wallet(incarnation: u64, instance: &str) -> Wallet {
    let vm = format!("vm-of-{instance}");
    Wallet::new(
        IncarnationId(incarnation),
        vm.into(),
        instance.into(),
        "east".into(),
    )
}

/// One stream with its ledger.
pub struct Stream {
    pub ledger: Ledger,
    pub batches: Vec<RecordBatch>,
    pub now_ms: u64,
}

impl Stream {
    pub fn new(total: u64) -> Self {
        let ledger = Ledger::new(LedgerSettings::default());
        let mut stream = Self {
            ledger,
            batches: Vec::new(),
            now_ms: 1_000_000,
        };
        stream.append(vec![fund(1, total)]);
        stream
    }

    pub fn append(&mut self, records: Vec<LedgerRecord>) -> Vec<LedgerEvent> {
        let offset = Offset(self.batches.len() as u64);
        let number = offset.0;
        let batch = RecordBatch {
            writer: IncarnationId(0),
            number,
            records,
        };
        let data = batch.encode().unwrap();
        self.batches.push(batch);
        self.now_ms += 10;
        let events = self.ledger.apply(offset, self.now_ms, &data).unwrap();
        let account = self.ledger.account(&budget()).unwrap();
        assert_eq!(
            account.purchased_tokens.0,
            account.remaining_tokens.0
                + account.outstanding_tokens.0
                + account.held_tokens.0
                + account.spent_tokens.0,
        );
        events
    }

    /// Appends the unsent records of a wallet and lets the wallet read them back.
    pub fn sync(&mut self, wallet: &mut Wallet) -> Vec<LedgerEvent> {
        wallet.flush();
        let records = wallet.outbox_mut().take_unsent(usize::MAX);
        let events = self.append(records);
        self.read_back(wallet);
        events
    }

    pub fn read_back(&self, wallet: &mut Wallet) {
        if let Some(update) = self.ledger.full_update(wallet.incarnation()) {
            wallet.update(&update, self.now_ms);
        }
    }

    /// Returns a wallet that has announced itself and drawn.
    pub fn announced_wallet(&mut self, incarnation: u64, instance: &str, tokens: u64) -> Wallet {
        let mut wallet = wallet(incarnation, instance);
        wallet.draw(&budget(), Tokens(tokens), self.now_ms);
        self.sync(&mut wallet);
        wallet
    }
}
