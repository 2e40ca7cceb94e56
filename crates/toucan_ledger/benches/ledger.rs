//! Benchmarks of admitting a request and of applying records.
#![allow(missing_docs, reason = "criterion's macros make undocumented items")]

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use toucan_ledger::{
    Bill, GrantTotal, Ledger, LedgerRecord, LedgerSettings, RecordBatch, SettleEntry, Wallet,
    WalletUpdate,
};
use toucan_types::{
    BillId, BudgetName, DocumentVersion, IncarnationId, Offset, OrganisationName, Sequence, Tokens,
};

const HOLDER: IncarnationId = IncarnationId(7);
const BUDGETS: u64 = 10_000;
const RECORDS: u64 = 500;
const GRANT: Tokens = Tokens(1 << 40);

fn name(index: u64) -> BudgetName {
    BudgetName::from(format!("organisation-{}/budget-{index}", index % 490))
}

fn wallet() -> Wallet {
    let mut wallet = Wallet::new(HOLDER, "vm".into(), "i".into(), "east".into());
    let grants = (0..BUDGETS).map(|index| GrantTotal {
        budget: name(index),
        since: Sequence(2),
        granted_tokens: GRANT,
    });
    let update = WalletUpdate {
        incarnation: HOLDER,
        up_to: Offset(1),
        watermark: Sequence(2),
        fenced: false,
        fenced_peers: Vec::new(),
        predecessors: Vec::new(),
        grants: grants.collect(),
        in_transit: Vec::new(),
        hints: Vec::new(),
    };
    wallet.update(&update, 0);
    wallet
}

fn admit(criterion: &mut Criterion) {
    let mut wallet = wallet();
    let names: Vec<_> = (0..BUDGETS).map(name).collect();
    let mut next = 0;
    criterion.bench_function("reserve and cancel, 10,000 budgets", |bencher| {
        bencher.iter(|| {
            next = (next + 7_919) % names.len();
            let reservation = wallet.reserve(black_box(&names[next]), Tokens(500), 1);
            if let Ok(reservation) = reservation {
                wallet.cancel(reservation);
            }
        });
    });
}

fn batch(records: Vec<LedgerRecord>, number: u64) -> Vec<u8> {
    let batch = RecordBatch {
        writer: HOLDER,
        number,
        records,
    };
    batch.encode().expect("a batch of 500 records fits")
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(LedgerSettings::default());
    let mut records = vec![LedgerRecord::Announce {
        incarnation: HOLDER,
        process: HOLDER,
        vm: "vm".into(),
        instance: "i".into(),
        data_centre: "east".into(),
    }];
    for index in 0..BUDGETS {
        records.push(LedgerRecord::Fund {
            budget: name(index),
            organisation: OrganisationName::from("guild"),
            version: DocumentVersion(1),
            purchased_total_tokens: GRANT,
        });
    }
    for (number, records) in (0..).zip(records.chunks(500)) {
        let data = batch(records.to_vec(), number);
        ledger
            .apply(Offset(number), 1_000, &data)
            .expect("offsets follow");
    }
    ledger
}

fn draws() -> Vec<LedgerRecord> {
    let draw = |index| LedgerRecord::Draw {
        incarnation: HOLDER,
        sequence: Sequence(index + 2),
        budget: name(index * 17 % BUDGETS),
        tokens: Tokens(10_000),
        least_tokens: Tokens::ZERO,
    };
    (0..RECORDS).map(draw).collect()
}

fn settlements() -> Vec<LedgerRecord> {
    let settle = |index| {
        let bill = Bill {
            id: BillId(u128::from(index) << 64),
            tokens: Tokens(9),
            admitted_at_ms: 1_000,
        };
        let entry = SettleEntry {
            budget: name(index * 17 % BUDGETS),
            bills: vec![bill],
            returned_tokens: Tokens::ZERO,
        };
        let sequence = Sequence(index + 2 + RECORDS);
        LedgerRecord::Settle {
            incarnation: HOLDER,
            sequence,
            entries: vec![entry],
        }
    };
    (0..RECORDS).map(settle).collect()
}

fn apply(criterion: &mut Criterion) {
    let ledger = ledger();
    let draws = batch(draws(), 100);
    let first = ledger.next_offset();
    criterion.bench_function("decode and fold 500 draws", |bencher| {
        bencher.iter_batched_ref(
            || ledger.clone(),
            |ledger| ledger.apply(first, 1_000, &draws),
            BatchSize::LargeInput,
        );
    });
    let mut drawn = ledger.clone();
    drawn.apply(first, 1_000, &draws).expect("offsets follow");
    let bills = batch(settlements(), 101);
    criterion.bench_function("decode and fold 500 settlements of one bill", |bencher| {
        bencher.iter_batched_ref(
            || drawn.clone(),
            |ledger| ledger.apply(first.next(), 1_000, &bills),
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, admit, apply);
criterion_main!(benches);
