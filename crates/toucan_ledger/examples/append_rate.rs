//! Measures appends and bytes per second of a batcher with 1, 10 and 100 writers.
//!
//! `cargo run --release -p toucan_ledger --example append_rate`

use toucan_ledger::{
    AppendOutcome, Ledger, LedgerRecord, LedgerSettings, RecordBatcher, RecordBatcherSettings,
    Wallet,
};
use toucan_types::{
    BillId, BudgetName, DocumentVersion, IncarnationId, Offset, OrganisationName, Tokens,
};

const DURATION_MS: u64 = 60_000;
const STEP_MS: u64 = 10;
const FLUSH_INTERVAL_MS: u64 = 20;
/// Requests per second of one writer: 5,300 over 410 nodes.
const REQUESTS_PER_S: u64 = 13;
const WRITER: IncarnationId = IncarnationId(1_000_000);

fn main() {
    println!("| writers | interval ms | records/s | appends/s | bytes/s | bytes a request |");
    println!("|---:|---:|---:|---:|---:|---:|");
    for writers in [1, 10, 100] {
        for interval_ms in [100, 500] {
            run(writers, interval_ms);
        }
    }
}

fn budget(index: u64) -> BudgetName {
    BudgetName::from(format!("org-{}/budget-{index}", index % 490))
}

fn run(writers: u64, interval_ms: u64) {
    let settings = RecordBatcherSettings {
        append_interval_ms: interval_ms,
        ..RecordBatcherSettings::default()
    };
    let mut batcher = RecordBatcher::new(settings, WRITER);
    let mut ledger = Ledger::new(LedgerSettings::default());
    for index in 0..writers {
        let fund = LedgerRecord::Fund {
            budget: budget(index),
            organisation: OrganisationName::from("guild"),
            version: DocumentVersion(1),
            purchased_total_tokens: Tokens(1 << 40),
        };
        batcher.submit(fund).expect("the batcher has room");
    }
    let wallet = |index: u64| {
        let vm = format!("router-{index}");
        let mut wallet = Wallet::new(
            IncarnationId(index + 1),
            vm.clone().into(),
            vm.into(),
            "east".into(),
        );
        wallet.draw(&budget(index), Tokens(1 << 30), 0);
        wallet
    };
    let mut wallets: Vec<_> = (0..writers).map(wallet).collect();
    let (mut records, mut appends, mut bytes, mut bills) = (0, 0, 0, 0_u64);
    let mut now_ms = 0;
    while now_ms < DURATION_MS {
        now_ms += STEP_MS;
        for (index, wallet) in (0_u64..).zip(&mut wallets) {
            let due = (now_ms + index * STEP_MS) * REQUESTS_PER_S / 1000;
            let before = (now_ms - STEP_MS + index * STEP_MS) * REQUESTS_PER_S / 1000;
            for _ in before..due {
                if let Ok(reservation) = wallet.reserve(&budget(index), Tokens(800), now_ms) {
                    bills += 1;
                    let id = BillId(u128::from(bills) << 64 | u128::from(index) | 1 << 127);
                    wallet.settle(reservation, id, Tokens(400), now_ms);
                }
            }
            if (now_ms / STEP_MS + index).is_multiple_of(FLUSH_INTERVAL_MS / STEP_MS) {
                wallet.flush();
                let read_back = wallet.outbox().read_back_up_to();
                let unsent = wallet.outbox_mut().take_unsent(usize::MAX);
                let collected = batcher.collect(wallet.incarnation(), read_back, unsent);
                wallet
                    .outbox_mut()
                    .acknowledge(collected.expect("the batcher has room"));
            }
        }
        let Some(batch) = batcher.next_batch(now_ms) else {
            continue;
        };
        let data = batch.encode().expect("a batch fits");
        records += batch.records.len() as u64;
        appends += 1;
        bytes += data.len() as u64;
        batcher.appended(batch.number, AppendOutcome::Appended, now_ms);
        let offset = Offset(ledger.next_offset().0);
        let events = ledger.apply(offset, now_ms, &data).expect("offsets follow");
        batcher.read_back(&batch, &ledger, now_ms);
        for update in ledger.updates(&events, |_| true) {
            let index = usize::try_from(update.incarnation.0 - 1).expect("few writers");
            wallets[index].update(&update, now_ms);
        }
    }
    let per_s = |count: u64| count as f64 / (DURATION_MS / 1000) as f64;
    println!(
        "| {writers} | {interval_ms} | {:.1} | {:.2} | {:.0} | {:.0} |",
        per_s(records),
        per_s(appends),
        per_s(bytes),
        bytes as f64 / bills as f64,
    );
}
