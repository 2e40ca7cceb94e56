//! Time of one choice and of one report, with 12 and with 1,400 targets.

use criterion::{Criterion, criterion_group, criterion_main};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::hint::black_box;
use toucan_router::{
    CacheChange, ChoiceRequest, DispatchOutcome, LoadReport, ModelKey, PowerOfTwoChoices,
    PrefixAware, TargetDescription, TargetIndex, TargetPolicy, TargetTable, TargetTableSettings,
};
use toucan_types::ServiceName;

/// Blocks of a prompt of 4,096 tokens.
const PROMPT_BLOCKS: usize = 256;
/// Prompts known, over all targets.
const PROMPTS: usize = 4_000;

struct Fleet {
    table: TargetTable,
    indexes: Vec<TargetIndex>,
    prompts: Vec<Vec<u64>>,
    service: ServiceName,
    model: ModelKey,
    report: LoadReport,
}

fn fleet(targets: usize) -> Fleet {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut table = TargetTable::new(TargetTableSettings::default(), "qc-1".into());
    table.set_peer_routers(7);
    let service = ServiceName::from("drafting");
    let model = ModelKey::parse("drafting@1");
    let report = LoadReport {
        batch_limit: 48,
        models: vec![model.clone()],
        ..LoadReport::default()
    };
    let indexes: Vec<TargetIndex> = (0..targets)
        .map(|number| {
            let index = table.upsert(TargetDescription {
                name: format!("engine-{number}").into(),
                service: service.clone(),
                data_centre: "qc-1".into(),
                batch_limit: 48,
            });
            let running = rng.random_range(0..40);
            table.apply_report(
                index,
                &LoadReport {
                    running,
                    ..report.clone()
                },
                0,
            );
            index
        })
        .collect();
    let prompts = prompts(&mut rng);
    for (number, prompt) in prompts.iter().enumerate() {
        let index = indexes[rng.random_range(0..targets)];
        table.apply_cache_event(index, number as u64 + 1, &CacheChange::Stored(prompt), 0);
    }
    Fleet {
        table,
        indexes,
        prompts,
        service,
        model,
        report,
    }
}

/// Prompts of 10 organisations, each with a fixed start of half the prompt.
fn prompts(rng: &mut SmallRng) -> Vec<Vec<u64>> {
    let starts: Vec<Vec<u64>> = (0..10)
        .map(|_| (0..PROMPT_BLOCKS / 2).map(|_| rng.random()).collect())
        .collect();
    (0..PROMPTS)
        .map(|number| {
            let mut prompt = starts[number % starts.len()].clone();
            prompt.extend((0..PROMPT_BLOCKS / 2).map(|_| rng.random::<u64>()));
            prompt
        })
        .collect()
}

fn choose(c: &mut Criterion) {
    for targets in [12, 1_400] {
        let mut fleet = fleet(targets);
        let mut rng = SmallRng::seed_from_u64(2);
        let mut turn = 0;
        c.bench_function(&format!("choose/prefix_aware/{targets}"), |b| {
            b.iter(|| {
                turn += 1;
                let request = ChoiceRequest::new(&fleet.service, 1_000)
                    .with_model(&fleet.model)
                    .with_prompt(&fleet.prompts[turn * 7 % PROMPTS], 16, 4_096);
                black_box(PrefixAware::default().choose(&fleet.table, &request, &mut rng))
            });
        });
        c.bench_function(&format!("choose/power_of_two/{targets}"), |b| {
            b.iter(|| {
                let request = ChoiceRequest::new(&fleet.service, 1_000).with_model(&fleet.model);
                black_box(PowerOfTwoChoices.choose(&fleet.table, &request, &mut rng))
            });
        });
        c.bench_function(&format!("dispatch_and_end/{targets}"), |b| {
            b.iter(|| {
                turn += 1;
                let request = ChoiceRequest::new(&fleet.service, 1_000)
                    .with_model(&fleet.model)
                    .with_prompt(&fleet.prompts[turn * 7 % PROMPTS], 16, 4_096);
                let index = fleet.indexes[turn % targets];
                if let Some(dispatch) = fleet.table.record_dispatch(index, &request) {
                    let end = DispatchOutcome::Completed {
                        cached_tokens: Some(2_048),
                    };
                    fleet.table.record_end(dispatch, end, 1_001);
                }
            });
        });
        c.bench_function(&format!("report/{targets}"), |b| {
            b.iter(|| {
                turn += 1;
                fleet
                    .table
                    .apply_report(fleet.indexes[turn % targets], &fleet.report, 1_000);
            });
        });
        c.bench_function(&format!("has_capacity/{targets}"), |b| {
            b.iter(|| {
                let request = ChoiceRequest::new(&fleet.service, 1_000).with_model(&fleet.model);
                black_box(fleet.table.has_capacity(&request))
            });
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(std::time::Duration::from_millis(300))
        .measurement_time(std::time::Duration::from_secs(1));
    targets = choose
}
criterion_main!(benches);
