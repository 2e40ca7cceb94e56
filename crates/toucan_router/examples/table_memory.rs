//! Memory of a target table with 1,400 targets and a full prefix index.
//!
//! ```text
//! cargo run --release -p toucan_router --example table_memory
//! ```
//!
//! Reads the process's resident memory from `/proc`, so it runs on Linux only.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use toucan_router::{
    CacheChange, LoadReport, ModelKey, TargetDescription, TargetTable, TargetTableSettings,
};

const TARGETS: usize = 1_400;
const MODELS: usize = 30;
const PAGE_BYTES: u64 = 4_096;

fn main() -> std::io::Result<()> {
    let empty_bytes = resident_bytes()?;
    let settings = TargetTableSettings::default();
    let mut table = TargetTable::new(settings, "qc-1".into());
    let indexes: Vec<_> = (0..TARGETS)
        .map(|number| {
            let index = table.upsert(TargetDescription {
                name: format!("engine-{number}").into(),
                service: "drafting".into(),
                data_centre: "qc-1".into(),
                batch_limit: 48,
            });
            let report = LoadReport {
                batch_limit: 48,
                models: vec![ModelKey::parse(&format!("model-{}@1", number % MODELS))],
                ..LoadReport::default()
            };
            table.apply_report(index, &report, 0);
            index
        })
        .collect();
    let targets_bytes = resident_bytes()?;
    let mut rng = SmallRng::seed_from_u64(1);
    for page in 0..6_000_000_u64 / 64 {
        let blocks: Vec<u64> = (0..64).map(|_| rng.random()).collect();
        let index = indexes[rng.random_range(0..TARGETS)];
        table.apply_cache_event(index, page + 1, &CacheChange::Stored(&blocks), 0);
    }
    let full_bytes = resident_bytes()?;
    println!(
        "targets: {TARGETS}, {} bytes each",
        (targets_bytes - empty_bytes) / TARGETS as u64
    );
    println!(
        "blocks: {}, {} bytes each, {} MB in all",
        table.prefixes().len(),
        (full_bytes - targets_bytes) / table.prefixes().len() as u64,
        (full_bytes - empty_bytes) / 1_000_000,
    );
    Ok(())
}

fn resident_bytes() -> std::io::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE_BYTES)
}
