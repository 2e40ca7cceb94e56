//! Guards against prompts that cross regions for a cache, and against calls that wait at full targets of their
//! region while another region is idle.

use std::net::SocketAddrV4;

use toucan_gateway::{
    config::{EngineSettings, RegionTable, TargetEntry},
    placement::{ChoiceRequest, ChoiceSettings, TargetScope, TargetTable, choose_target},
    wire_format::{PartId, PromptPart},
};
use toucan_types::{DataCentreName, RegionName, ServiceName, SoftwareVersion, TargetName};

const TARGETS_PER_DATA_CENTRE: usize = 6;
const PROMPTS: u64 = 100;

/// Returns targets in the data centres `b` and `c`, which lie in two regions.
fn table() -> TargetTable {
    let mut table = TargetTable::default();
    for data_centre in ["b", "c"] {
        for at in 0..TARGETS_PER_DATA_CENTRE {
            let entry = TargetEntry {
                name: TargetName::from(format!("{data_centre}{at}")),
                service: ServiceName::from("s"),
                address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
                data_centre: DataCentreName::from(data_centre),
                software_version: SoftwareVersion::from("v1"),
                slots: 64,
                draining: false,
                cold_ms: 0,
                started_at_unix_ms: 1,
            };
            table.register(entry, 0);
        }
    }
    table
}

/// Returns how many of many prompts a VM in data centre `a` sends to data centre `b`.
fn prompts_at_b(table: &TargetTable, regions: &[(&str, &str)]) -> usize {
    let regions: RegionTable = regions
        .iter()
        .map(|(name, region)| (DataCentreName::from(*name), RegionName::from(*region)))
        .collect();
    let here = DataCentreName::from("a");
    let (service, settings) = (ServiceName::from("s"), ChoiceSettings::default());
    let is_at_b = |id: u64| {
        let part = |id: u64, tokens| PromptPart {
            id: PartId(id),
            tokens,
        };
        let request = ChoiceRequest {
            engine: Some(EngineSettings {
                tokens_per_event: 5,
            }),
            parts: &[part(id, 13_300), part(!id, 3_700)],
            data_centre: &here,
            software_version: None,
            scope: TargetScope {
                in_other_regions: &regions.in_other_regions(&here),
                ..TargetScope::default()
            },
            tried: &[],
            denied: &[],
            max_in_flight: 100,
            tie_break_seed: id,
        };
        let choice = choose_target(&request, &service, table, &settings, 0);
        choice.is_some_and(|choice| choice.target.entry.data_centre.as_str() == "b")
    };
    (0..PROMPTS).filter(|id| is_at_b(*id)).count()
}

#[test]
fn prompts_stay_in_their_region() {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    assert_eq!(prompts_at_b(&table(), &regions), PROMPTS as usize);
}

#[test]
fn prompts_are_spread_over_data_centres_whose_regions_are_not_known() {
    for regions in [&[][..], &[("a", "north")][..]] {
        let at_b = prompts_at_b(&table(), regions);
        assert!((30..=70).contains(&at_b), "{at_b} of {PROMPTS}");
    }
}

#[test]
fn prompts_leave_their_region_when_its_targets_are_full() {
    let mut table = table();
    for at in 0..TARGETS_PER_DATA_CENTRE {
        let name = TargetName::from(format!("b{at}"));
        table.get_mut(&name).expect("it is registered").in_flight = 70;
    }
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    assert_eq!(prompts_at_b(&table, &regions), 0);
}
