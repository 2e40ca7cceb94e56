//! Measures the memory of the ledger state per budget, holder and bill, and the size of a snapshot.
//!
//! `cargo run --release -p toucan_ledger --example ledger_sizes`
#![allow(unsafe_code, reason = "counting bytes needs an allocator")]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Instant;

use toucan_ledger::{
    Bill, Ledger, LedgerRecord, LedgerSettings, RecordBatch, SettleEntry, SnapshotLoader,
};
use toucan_types::{
    BillId, BudgetName, DocumentVersion, IncarnationId, Offset, OrganisationName, Sequence, Tokens,
};

static ALLOCATED_BYTES: AtomicI64 = AtomicI64::new(0);

struct CountingAllocator;

fn signed(size: usize) -> i64 {
    i64::try_from(size).unwrap_or(i64::MAX)
}

// SAFETY: each call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(signed(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(signed(layout.size()), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const BUDGETS: u64 = 660_000;
const HOLDERS: u64 = 410;
const ORGANISATIONS: u64 = 490;
const BILLS: u64 = 1_000_000;
const BATCH_RECORDS: usize = 1_000;
const PART_BYTES: usize = 256 << 10;

fn name(index: u64) -> BudgetName {
    BudgetName::from(format!("org-{}/budget-{index}", index % ORGANISATIONS))
}

/// A ledger that receives records in batches, with counters for the report.
struct MeasuredLedger {
    ledger: Ledger,
    waiting: Vec<LedgerRecord>,
    records: u64,
    apply_s: f64,
    log_bytes: usize,
}

impl MeasuredLedger {
    fn push(&mut self, record: LedgerRecord) {
        self.waiting.push(record);
        if self.waiting.len() >= BATCH_RECORDS {
            self.flush();
        }
    }

    fn flush(&mut self) {
        let records = std::mem::take(&mut self.waiting);
        self.records += records.len() as u64;
        let offset = self.ledger.next_offset();
        let batch = RecordBatch {
            writer: IncarnationId(0),
            number: offset.0,
            records,
        };
        let data = batch.encode().expect("a batch of 1,000 small records fits");
        drop(batch);
        self.log_bytes += data.len();
        let started = Instant::now();
        self.ledger
            .apply(offset, 1_000_000, &data)
            .expect("offsets follow");
        self.apply_s += started.elapsed().as_secs_f64();
    }

    /// Prints the averages per record since the last call; returns the allocated bytes.
    fn report(&mut self, what: &str, count: u64, before_bytes: i64) -> i64 {
        self.flush();
        let now_bytes = ALLOCATED_BYTES.load(Ordering::Relaxed);
        println!(
            "| {what} | {count} | {} | {:.0} | {:.0} |",
            (now_bytes - before_bytes) / signed(usize::try_from(count).unwrap_or(1)),
            self.apply_s * 1e9 / self.records as f64,
            self.log_bytes as f64 / self.records as f64,
        );
        (self.records, self.apply_s, self.log_bytes) = (0, 0.0, 0);
        now_bytes
    }
}

fn main() {
    println!("| what | count | state bytes each | ns to decode and apply each | log bytes each |");
    println!("|---|---:|---:|---:|---:|");
    let ledger = Ledger::new(LedgerSettings::default());
    let mut measured = MeasuredLedger {
        ledger,
        waiting: Vec::new(),
        records: 0,
        apply_s: 0.0,
        log_bytes: 0,
    };
    let mut bytes = ALLOCATED_BYTES.load(Ordering::Relaxed);
    for holder in 1..=HOLDERS {
        measured.push(LedgerRecord::Announce {
            incarnation: IncarnationId(holder << 40),
            process: IncarnationId(holder << 40),
            vm: format!("router-east-2-{holder}").into(),
            instance: format!("i-0f3a9c{holder:08}").into(),
            data_centre: "east-2".into(),
        });
    }
    bytes = measured.report("incarnation", HOLDERS, bytes);
    for index in 0..BUDGETS {
        measured.push(LedgerRecord::Fund {
            budget: name(index),
            organisation: OrganisationName::from(format!("org-{}", index % ORGANISATIONS)),
            version: DocumentVersion(1),
            purchased_total_tokens: Tokens(10_000_000),
        });
    }
    bytes = measured.report("budget without a holder", BUDGETS, bytes);
    let mut sequences = vec![1; usize::try_from(HOLDERS).unwrap_or(0) + 1];
    for index in 0..BUDGETS {
        let holder = index % HOLDERS + 1;
        let sequence = &mut sequences[usize::try_from(holder).unwrap_or(0)];
        *sequence += 1;
        measured.push(LedgerRecord::Draw {
            incarnation: IncarnationId(holder << 40),
            sequence: Sequence(*sequence),
            budget: name(index),
            tokens: Tokens(1_000_000),
            least_tokens: Tokens::ZERO,
        });
    }
    bytes = measured.report("first holder of a budget", BUDGETS, bytes);
    for index in 0..BILLS {
        let budget = index * 7_919 % BUDGETS;
        let holder = budget % HOLDERS + 1;
        let sequence = &mut sequences[usize::try_from(holder).unwrap_or(0)];
        *sequence += 1;
        let id = BillId(u128::from(index).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835));
        let bill = Bill {
            id,
            tokens: Tokens(300),
            admitted_at_ms: 1_000_000,
        };
        let entry = SettleEntry {
            budget: name(budget),
            bills: vec![bill],
            returned_tokens: Tokens::ZERO,
        };
        measured.push(LedgerRecord::Settle {
            incarnation: IncarnationId(holder << 40),
            sequence: Sequence(*sequence),
            entries: vec![entry],
        });
    }
    measured.report("settlement of one bill", BILLS, bytes);
    snapshot(&measured.ledger);
}

fn snapshot(ledger: &Ledger) {
    let started = Instant::now();
    let parts = ledger
        .snapshot_parts(IncarnationId(1), PART_BYTES)
        .expect("items encode");
    let written_s = started.elapsed().as_secs_f64();
    let bytes: usize = parts.iter().map(|part| part.body.len()).sum();
    let mut loader = SnapshotLoader::new(LedgerSettings::default());
    let started = Instant::now();
    let mut loaded = None;
    for part in parts {
        let records = vec![LedgerRecord::Snapshot(part)];
        let batch = RecordBatch {
            writer: IncarnationId(1),
            number: 0,
            records,
        };
        loaded = loader.push(&batch).or(loaded);
    }
    let read_s = started.elapsed().as_secs_f64();
    let loaded = loaded.expect("the snapshot is whole");
    let accounts = loaded.accounts().count();
    println!("\nsnapshot: {bytes} bytes, written in {written_s:.2} s, read in {read_s:.2} s");
    println!(
        "budgets read: {accounts}, next offset {}",
        loaded.next_offset()
    );
    assert_eq!(loaded.next_offset(), Offset(ledger.next_offset().0));
}
