//! Benchmarks of the choice of a target among 162 and 1,400 targets that 60 gateways have reported on.

use std::{hint::black_box, net::SocketAddrV4};

use criterion::{Criterion, criterion_group, criterion_main};
use toucan_gateway::{
    config::{EngineSettings, TargetEntry},
    placement::{
        ChoiceRequest, ChoiceSettings, TargetLoad, TargetScope, TargetTable, choose_target,
    },
    wire_format::{PartId, PromptPart},
};
use toucan_types::{DataCentreName, ServiceName, SoftwareVersion, TargetName};

/// Gateways that report calls at each target.
const PEERS_PER_TARGET: u64 = 5;

fn table(targets: u64) -> TargetTable {
    let mut table = TargetTable::default();
    for at in 0..targets {
        let name = TargetName::from(format!("target-{at}"));
        let entry = TargetEntry {
            name: name.clone(),
            service: ServiceName::from("engines"),
            address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
            data_centre: DataCentreName::from(format!("dc-{}", at % 3)),
            software_version: SoftwareVersion::from("v1"),
            slots: 64,
            draining: false,
            cold_ms: 0,
            started_at_unix_ms: 1,
        };
        table.register(entry, 0);
        let Some(target) = table.get_mut(&name) else {
            continue;
        };
        for peer in 0..PEERS_PER_TARGET {
            let load = TargetLoad {
                in_flight: 1 + (at % 7) as u32,
                unread_tokens: 3_000,
                kv_tokens: 6_000,
                ..TargetLoad::default()
            };
            target.set_peer_load((at * 11 + peer * 7) % 60, load, 1_000);
        }
    }
    table
}

fn choose(c: &mut Criterion) {
    let service = ServiceName::from("engines");
    let data_centre = DataCentreName::from("dc-0");
    for targets in [162, 1_400] {
        let table = table(targets);
        let mut turn = 0;
        c.bench_function(&format!("choose_target/{targets}"), |b| {
            b.iter(|| {
                turn += 1;
                let parts = [(turn % 72, 13_300), (turn, 3_720)];
                let parts = parts.map(|(id, tokens)| PromptPart {
                    id: PartId(id),
                    tokens,
                });
                let request = ChoiceRequest {
                    engine: Some(EngineSettings {
                        tokens_per_event: 5,
                        slots: Some(64),
                        kv_capacity_tokens: Some(382_741),
                    }),
                    parts: &parts,
                    output_tokens: 120,
                    data_centre: &data_centre,
                    software_version: None,
                    scope: TargetScope::default(),
                    tried: &[],
                    denied: &[],
                    max_in_flight: 100,
                    tie_break_seed: turn,
                };
                let settings = ChoiceSettings::default();
                let choice = choose_target(&request, &service, &table, &settings, 1_100);
                black_box(choice.map(|choice| choice.first_event_ms))
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
