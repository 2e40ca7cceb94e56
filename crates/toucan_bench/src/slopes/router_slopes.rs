//! Probes of the router: target table, choice of a target, prefixes.

use rand::SeedableRng;
use rand::rngs::StdRng;
use toucan_router::{
    CacheChange, ChoiceRequest, LoadReport, ModelKey, PrefixAware, TargetDescription, TargetPolicy,
    TargetTable, TargetTableSettings,
};
use toucan_types::ServiceName;

use super::Probe;
use super::resource_usage::{memory_growth_bytes, thread_cpu_us};

const TARGET_COUNTS: [u64; 5] = [1_400, 2_800, 5_600, 11_200, 22_400];
const BLOCK_COUNTS: [u64; 4] = [25_000, 50_000, 100_000, 200_000];
/// Number of choices in one timing.
const TIMED_CHOICES: u64 = 50_000;

/// Probes of the router.
pub(crate) const PROBES: &[Probe] = &[
    Probe {
        name: "router_memory_per_target",
        about: "resident memory of the table of targets",
        x: "targets",
        y: "bytes",
        sizes: &TARGET_COUNTS,
        measure: |count| memory_growth_bytes(|| table_with_targets(count)),
    },
    Probe {
        name: "router_cpu_per_choice",
        about: "processor time of one choice of a target for a prompt of 64 blocks",
        x: "targets",
        y: "us",
        sizes: &TARGET_COUNTS,
        measure: choice_us,
    },
    Probe {
        name: "router_memory_per_prefix_block",
        about: "resident memory of a table of ten targets that remembers prefixes",
        x: "blocks",
        y: "bytes",
        sizes: &BLOCK_COUNTS,
        measure: |count| memory_growth_bytes(|| table_with_prefixes(count)),
    },
];

fn table_with_targets(count: u64) -> TargetTable {
    let mut table = TargetTable::new(TargetTableSettings::default(), "dc-0".into());
    for number in 0..count {
        let index = table.upsert(TargetDescription {
            name: format!("worker-{number}").into(),
            service: "drafting".into(),
            data_centre: format!("dc-{}", number % 7).into(),
            batch_limit: 64,
        });
        let report = LoadReport {
            as_of_ms: 1_000,
            running: (number % 64) as u32,
            batch_limit: 64,
            tokens_per_s: 1_200,
            models: vec![model()],
            ..LoadReport::default()
        };
        table.apply_report(index, &report, 1_000);
    }
    table
}

fn model() -> ModelKey {
    ModelKey::parse("drafter@1")
}

fn choice_us(targets: u64) -> f64 {
    let table = table_with_targets(targets);
    let service = ServiceName::from("drafting");
    let key = model();
    let blocks: Vec<u64> = (0..64).collect();
    let policy = PrefixAware::default();
    let mut random = StdRng::seed_from_u64(1);
    let request = ChoiceRequest::new(&service, 1_100)
        .with_model(&key)
        .with_prompt(&blocks, 16, 1_024);
    let before = thread_cpu_us();
    let chosen =
        (0..TIMED_CHOICES).filter(|_| policy.choose(&table, &request, &mut random).is_some());
    assert_eq!(
        chosen.count() as u64,
        TIMED_CHOICES,
        "every choice finds a target"
    );
    (thread_cpu_us() - before) / TIMED_CHOICES as f64
}

fn table_with_prefixes(count: u64) -> TargetTable {
    let mut table = table_with_targets(10);
    let Some(index) = table.index(&"worker-0".into()) else {
        return table;
    };
    let blocks = (0..count).map(|block| block.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let blocks: Vec<u64> = blocks.collect();
    for (sequence, chunk) in blocks.chunks(100).enumerate() {
        let sequence = sequence as u64 + 1;
        table.apply_cache_event(index, sequence, &CacheChange::Stored(chunk), 1_000);
    }
    table
}
