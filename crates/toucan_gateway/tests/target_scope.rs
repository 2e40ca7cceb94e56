//! Guards against evacuations that end too soon or never, against calls that are sent although the order arrived
//! while they waited, against prompts that cross regions for a cache, and against calls that wait at full targets
//! of their region while another region is idle.

use std::net::SocketAddrV4;

use test_case::test_case;
use toucan_gateway::{
    config::{EngineSettings, Evacuations, RegionTable, TargetEntry},
    placement::{
        ChoiceRequest, ChoiceSettings, Exclusion, TargetScope, TargetTable, choose_target,
    },
    wire_format::{PartId, PromptPart},
};
use toucan_types::{
    DataCentreName, FastHashSet, Offset, RegionName, ServiceName, SoftwareVersion, TargetName,
};

const PROMPTS: u64 = 100;

fn entry(name: &str, data_centre: &str) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(name),
        service: ServiceName::from("s"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        data_centre: DataCentreName::from(data_centre),
        software_version: SoftwareVersion::from("v1"),
        slots: 64,
        draining: false,
        cold_ms: 0,
        started_at_unix_ms: 1,
    }
}

fn table(targets: &[(&str, &str)]) -> TargetTable {
    let mut table = TargetTable::default();
    for (name, data_centre) in targets {
        table.register(entry(name, data_centre), 0);
    }
    table
}

fn names(data_centres: &[&str]) -> FastHashSet<DataCentreName> {
    let names = data_centres.iter().copied();
    names.map(DataCentreName::from).collect()
}

fn evacuations(data_centres: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for name in data_centres {
        assert!(evacuations.begin(DataCentreName::from(*name), 10));
    }
    evacuations
}

#[test]
fn snapshot_ends_the_evacuations_that_it_does_not_list() {
    let mut evacuations = evacuations(&["a", "b"]);
    let ended = evacuations.retain_listed(&names(&["b"]));
    assert_eq!(ended, [(DataCentreName::from("a"), 10)]);
    assert!(!evacuations.contains(&DataCentreName::from("a")));
    let again = evacuations.begin(DataCentreName::from("b"), 99);
    assert!(!again, "a record that is read again starts nothing");
    assert_eq!(evacuations.sorted(), [(&DataCentreName::from("b"), 10)]);
}

/// The restored store ends at offset 7. It may still have the deletion of an earlier evacuation.
#[test_case(6 => true; "a deletion from before the restore")]
#[test_case(7 => false; "a deletion from after the restore")]
fn only_a_new_deletion_ends_what_a_restored_store_has_lost(offset: u64) -> bool {
    let mut evacuations = evacuations(&["a"]);
    let name = DataCentreName::from("a");
    evacuations.keep_unlisted(&names(&[]), Offset(7));
    assert_eq!(evacuations.retain_listed(&names(&[])), []);
    evacuations.end(&name, Offset(offset));
    evacuations.contains(&name)
}

#[test]
fn evacuation_that_is_written_again_after_a_restore_ends_like_any_other() {
    let mut evacuations = evacuations(&["a"]);
    evacuations.keep_unlisted(&names(&[]), Offset(7));
    evacuations.begin(DataCentreName::from("a"), 20);
    assert_eq!(evacuations.retain_listed(&names(&[])).len(), 1);
}

/// A call that waits for a permit may wait for longer than an order or a registration takes to arrive.
#[test]
fn call_that_has_waited_is_not_sent_to_a_target_that_is_excluded_since() {
    let mut table = table(&[("t", "a")]);
    let chosen = entry("t", "a");
    let (here, elsewhere) = (evacuations(&["a"]), evacuations(&["b"]));
    let scope_of = |evacuations| TargetScope {
        evacuations: Some(evacuations),
        ..TargetScope::default()
    };
    assert!(table.is_still_eligible(&chosen, &scope_of(&elsewhere), 0));
    assert!(!table.is_still_eligible(&chosen, &scope_of(&here), 0));
    table.record_leaving(&chosen.name, 1);
    assert!(!table.is_still_eligible(&chosen, &scope_of(&elsewhere), 0));
}

#[test_case(&["a"] => None; "a target is left")]
#[test_case(&["a", "b"] => Some(Exclusion::Evacuated); "no target is left")]
#[test_case(&["z"] => None; "no target is affected")]
fn reason_is_given_only_if_no_target_in_service_may_get_the_call(
    evacuated: &[&str],
) -> Option<Exclusion> {
    let mut table = table(&[("t0", "a"), ("t1", "b"), ("t2", "c")]);
    table.record_leaving(&TargetName::from("t2"), 1);
    let evacuations = evacuations(evacuated);
    let scope = TargetScope {
        evacuations: Some(&evacuations),
        ..TargetScope::default()
    };
    table.exclusion(&ServiceName::from("s"), None, &scope, 0)
}

/// Names and data centres of targets; `b` and `c` lie in two regions.
const TWO_REGIONS: [(&str, &str); 6] = [
    ("b0", "b"),
    ("b1", "b"),
    ("b2", "b"),
    ("c0", "c"),
    ("c1", "c"),
    ("c2", "c"),
];

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
                ..EngineSettings::default()
            }),
            parts: &[part(id, 13_300), part(!id, 3_700)],
            output_tokens: 0,
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
    assert_eq!(
        prompts_at_b(&table(&TWO_REGIONS), &regions),
        PROMPTS as usize
    );
}

#[test]
fn prompts_are_spread_over_data_centres_whose_regions_are_not_known() {
    for regions in [&[][..], &[("a", "north")][..]] {
        let at_b = prompts_at_b(&table(&TWO_REGIONS), regions);
        assert!((30..=70).contains(&at_b), "{at_b} of {PROMPTS}");
    }
}

#[test]
fn prompts_leave_their_region_when_its_targets_are_full() {
    let mut table = table(&TWO_REGIONS);
    for name in ["b0", "b1", "b2"] {
        let name = TargetName::from(name);
        table
            .get_mut(&name)
            .expect("it is registered")
            .own
            .in_flight = 70;
    }
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    assert_eq!(prompts_at_b(&table, &regions), 0);
}
