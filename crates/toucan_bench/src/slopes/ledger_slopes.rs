//! Probes of the ledger: budgets, bills, incarnations, wallet, record size.

use toucan_ledger::{
    Bill, GrantTotal, Ledger, LedgerRecord, LedgerSettings, RecordBatch, SettleEntry, Wallet,
    WalletUpdate,
};
use toucan_types::{BillId, BudgetName, DocumentVersion, IncarnationId, Offset, Sequence, Tokens};

use super::Probe;
use super::resource_usage::{build_cpu_us, memory_growth_bytes, thread_cpu_us};

const BUDGET_COUNTS: [u64; 5] = [10_000, 20_000, 40_000, 80_000, 160_000];
const BILL_COUNTS: [u64; 5] = [50_000, 100_000, 200_000, 400_000, 800_000];
const INCARNATION_COUNTS: [u64; 4] = [2_000, 4_000, 8_000, 16_000];
const BATCH_BILLS: [u64; 5] = [1, 10, 100, 400, 1_000];
/// Records per append while a ledger is filled.
const FILL_BATCH_RECORDS: u64 = 1_000;
/// Tokens of each bill.
const BILL_TOKENS: u64 = 100;
/// Number of requests in one timing of the wallet.
const WALLET_REQUESTS: u64 = 100_000;

/// Probes of the ledger.
pub(crate) const PROBES: &[Probe] = &[
    Probe {
        name: "fold_memory_per_budget",
        about: "resident memory of one fold",
        x: "budgets",
        y: "bytes",
        sizes: &BUDGET_COUNTS,
        measure: |count| memory_growth_bytes(|| ledger_with_budgets(count)),
    },
    Probe {
        name: "fold_cpu_per_funded_budget",
        about: "processor time to write, read and fold the funding of each budget",
        x: "budgets",
        y: "us",
        sizes: &BUDGET_COUNTS,
        measure: |count| build_cpu_us(|| ledger_with_budgets(count)),
    },
    Probe {
        name: "fold_memory_per_bill",
        about: "resident memory of one fold that remembers bills",
        x: "bills within the window",
        y: "bytes",
        sizes: &BILL_COUNTS,
        measure: |count| memory_growth_bytes(|| ledger_with_bills(count)),
    },
    Probe {
        name: "fold_cpu_per_bill",
        about: "processor time to write, read and fold bills",
        x: "bills",
        y: "us",
        sizes: &BILL_COUNTS,
        measure: |count| build_cpu_us(|| ledger_with_bills(count)),
    },
    Probe {
        name: "fold_memory_per_incarnation",
        about: "resident memory of one fold that remembers incarnations",
        x: "incarnations",
        y: "bytes",
        sizes: &INCARNATION_COUNTS,
        measure: |count| memory_growth_bytes(|| ledger_with_incarnations(count)),
    },
    Probe {
        name: "log_bytes_per_bill",
        about: "size of one append with one settlement of one budget",
        x: "bills",
        y: "bytes",
        sizes: &BATCH_BILLS,
        measure: append_bytes,
    },
    Probe {
        name: "wallet_memory_per_budget",
        about: "resident memory of a wallet that holds a grant of each budget",
        x: "budgets held",
        y: "bytes",
        sizes: &BUDGET_COUNTS,
        measure: |count| memory_growth_bytes(|| wallet_with_budgets(count)),
    },
    Probe {
        name: "wallet_cpu_per_request",
        about: "processor time to reserve and settle one request",
        x: "budgets held",
        y: "us",
        sizes: &BUDGET_COUNTS,
        measure: wallet_request_us,
    },
];

fn budget(number: u64) -> BudgetName {
    BudgetName::from(format!("organisation-{}-budget-{number}", number % 490))
}

/// Ledger that is filled in batches of records.
struct LedgerFeeder {
    ledger: Ledger,
    pending: Vec<LedgerRecord>,
}

impl LedgerFeeder {
    fn new() -> Self {
        Self {
            ledger: Ledger::new(LedgerSettings::default()),
            pending: Vec::new(),
        }
    }

    fn push(&mut self, record: LedgerRecord) {
        self.pending.push(record);
        if self.pending.len() as u64 >= FILL_BATCH_RECORDS {
            self.flush();
        }
    }

    fn flush(&mut self) {
        let batch = RecordBatch {
            writer: IncarnationId(1),
            number: 0,
            records: std::mem::take(&mut self.pending),
        };
        let Ok(data) = batch.encode() else {
            return;
        };
        let offset = self.ledger.next_offset();
        if let Err(error) = self.ledger.apply(offset, 1_000, &data) {
            log::error!("failed to apply a record of the measurement: {error}");
        }
    }

    fn fund(&mut self, budget: BudgetName, tokens: u64) {
        self.push(LedgerRecord::Fund {
            budget,
            organisation: "organisation".into(),
            version: DocumentVersion(1),
            purchased_total_tokens: Tokens(tokens),
        });
    }

    fn announce(&mut self, incarnation: u64) {
        self.push(LedgerRecord::Announce {
            incarnation: IncarnationId(incarnation),
            process: IncarnationId(incarnation),
            vm: format!("vm-{}", incarnation % 410).into(),
            instance: format!("instance-{incarnation}").into(),
            data_centre: format!("dc-{}", incarnation % 7).into(),
        });
    }

    fn finish(mut self) -> Ledger {
        self.flush();
        self.ledger
    }
}

fn ledger_with_budgets(count: u64) -> Ledger {
    let mut feeder = LedgerFeeder::new();
    (0..count).for_each(|number| feeder.fund(budget(number), 1_000_000));
    feeder.finish()
}

fn ledger_with_bills(count: u64) -> Ledger {
    let mut feeder = LedgerFeeder::new();
    feeder.fund(budget(0), count * BILL_TOKENS);
    feeder.announce(7);
    feeder.push(LedgerRecord::Draw {
        incarnation: IncarnationId(7),
        sequence: Sequence(2),
        budget: budget(0),
        tokens: Tokens(count * BILL_TOKENS),
        least_tokens: Tokens::ZERO,
    });
    for number in 0..count / FILL_BATCH_RECORDS {
        feeder.push(settlement(
            Sequence(3 + number),
            number * FILL_BATCH_RECORDS,
            FILL_BATCH_RECORDS,
        ));
        feeder.flush();
    }
    feeder.finish()
}

fn ledger_with_incarnations(count: u64) -> Ledger {
    let mut feeder = LedgerFeeder::new();
    (0..count).for_each(|number| feeder.announce(number + 1));
    feeder.finish()
}

fn settlement(sequence: Sequence, first: u64, count: u64) -> LedgerRecord {
    let bills = (first..first + count).map(|number| Bill {
        // Identifiers are hashes, so they are distributed over all 128 bits.
        id: BillId::of(&"organisation".into(), &format!("request-{number}").into()),
        tokens: Tokens(BILL_TOKENS),
        admitted_at_ms: 1_000,
    });
    LedgerRecord::Settle {
        incarnation: IncarnationId(7),
        sequence,
        entries: vec![SettleEntry {
            budget: budget(0),
            bills: bills.collect(),
            returned_tokens: Tokens(0),
        }],
    }
}

fn append_bytes(bills: u64) -> f64 {
    let batch = RecordBatch {
        writer: IncarnationId(u64::MAX),
        number: 1_000_000,
        records: vec![settlement(Sequence(1_000_000), 0, bills)],
    };
    batch.encode().map_or(0, |data| data.len()) as f64
}

fn wallet_request_us(budgets: u64) -> f64 {
    let mut wallet = wallet_with_budgets(budgets);
    let names: Vec<BudgetName> = (0..budgets).map(budget).collect();
    let before = thread_cpu_us();
    for number in 0..WALLET_REQUESTS {
        // A prime step visits the budgets out of order.
        let name = &names[(number * 7_919 % budgets) as usize];
        if let Ok(reservation) = wallet.reserve(name, Tokens(10), 1_000) {
            wallet.settle(reservation, BillId(u128::from(number)), Tokens(10), 1_000);
        }
    }
    (thread_cpu_us() - before) / WALLET_REQUESTS as f64
}

fn wallet_with_budgets(count: u64) -> Wallet {
    let incarnation = IncarnationId(7);
    let mut wallet = Wallet::new(incarnation, "vm".into(), "instance".into(), "dc".into());
    let grants = (0..count).map(|number| GrantTotal {
        budget: budget(number),
        since: Sequence(2),
        granted_tokens: Tokens(1_000_000),
    });
    for number in 0..count {
        wallet.record_demand(&budget(number), Tokens(1), 0);
    }
    let update = WalletUpdate {
        incarnation,
        up_to: Offset(1),
        watermark: Sequence(2),
        fenced: false,
        fenced_peers: Vec::new(),
        predecessors: Vec::new(),
        grants: grants.collect(),
        in_transit: Vec::new(),
        hints: Vec::new(),
    };
    wallet.update(&update, 10);
    wallet
}
