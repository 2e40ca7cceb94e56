//! Which target gets a call, under the load patterns that the choice answers.

use std::{net::SocketAddrV4, sync::LazyLock};

use toucan_gateway::{
    config::{EngineSettings, TargetEntry},
    placement::{
        CallOutcome, ChoiceRequest, ChoiceSettings, DeregistrationGrace, FailureHistory,
        TargetChange, TargetState, TargetTable, choose_target,
    },
    wire_format::PromptPart,
};
use toucan_types::{DataCentreName, ServiceName, TargetName};

const ENGINE: EngineSettings = EngineSettings {
    tokens_per_event: 5,
};

fn entry(name: &str, started_at_unix_ms: u64) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(name),
        service: ServiceName::from("s"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        data_centre: DataCentreName::from("here"),
        slots: 64,
        draining: false,
        started_at_unix_ms,
    }
}

fn service() -> &'static ServiceName {
    static SERVICE: LazyLock<ServiceName> = LazyLock::new(|| ServiceName::from("s"));
    &SERVICE
}

fn table(count: usize) -> TargetTable {
    let mut table = TargetTable::default();
    for at in 0..count {
        table.register(entry(&format!("t{at}"), 1));
    }
    table
}

fn prompt(shared: u64) -> [PromptPart; 2] {
    [
        PromptPart {
            id: shared,
            tokens: 13_300,
        },
        PromptPart {
            id: shared ^ 0xffff_0000,
            tokens: 3_700,
        },
    ]
}

fn choose<'a>(
    table: &'a TargetTable,
    parts: &[PromptPart],
    tried: &[TargetName],
    tie_break_seed: u64,
    now_ms: u64,
) -> Option<&'a TargetState> {
    let data_centre = DataCentreName::from("here");
    let request = ChoiceRequest {
        engine: Some(ENGINE),
        parts,
        data_centre: &data_centre,
        tried,
        max_in_flight: 100,
        tie_break_seed,
    };
    choose_target(
        &request,
        service(),
        table,
        &ChoiceSettings::default(),
        now_ms,
    )
    .map(|choice| choice.target)
}

#[test]
fn calls_with_the_same_shared_part_go_to_the_same_target() {
    let table = table(12);
    let parts = prompt(42);
    let first = choose(&table, &parts, &[], 1, 0).map(|t| t.entry.name.clone());
    for draw in 2..50 {
        let next = choose(&table, &parts, &[], draw, 0).map(|t| t.entry.name.clone());
        assert_eq!(next, first);
    }
}

#[test]
fn different_prompts_are_spread() {
    let table = table(12);
    let chosen: std::collections::BTreeSet<_> = (0..100)
        .filter_map(|id| choose(&table, &prompt(id), &[], id, 0))
        .map(|target| target.entry.name.clone())
        .collect();
    assert!(chosen.len() >= 10, "only {} targets", chosen.len());
}

#[test]
fn a_hot_prompt_spills_over_when_its_target_has_much_to_read() {
    let mut table = table(12);
    let parts = prompt(42);
    let home = choose(&table, &parts, &[], 1, 0)
        .map(|target| target.entry.name.clone())
        .expect("there are targets");
    let state = table.get_mut(&home).expect("it was chosen");
    state.prompt_cache.record_sent(&parts, 0);
    state.set_peer_load(1, 40, 400_000, 0);
    let next = choose(&table, &parts, &[], 1, 0).expect("there are targets");
    assert_ne!(next.entry.name, home);
    let later = choose(&table, &parts, &[], 1, 60_000).expect("there are targets");
    assert_eq!(later.entry.name, home, "old words of peers no longer count");
}

#[test]
fn a_leaving_target_and_a_tried_one_get_nothing() {
    let mut table = table(2);
    let mut leaving = entry("t0", 1);
    leaving.draining = true;
    assert_eq!(table.register(leaving), TargetChange::Draining);
    let chosen = choose(&table, &prompt(1), &[], 1, 0).expect("t1 is left");
    assert_eq!(chosen.entry.name.as_str(), "t1");
    assert!(choose(&table, &prompt(1), &[TargetName::from("t1")], 1, 0).is_none());
}

#[test]
fn a_paused_target_is_used_only_if_all_are() {
    let mut table = table(2);
    for name in ["t0", "t1"] {
        let name = TargetName::from(name);
        let state = table.get_mut(&name).expect("it is registered");
        state.failures.record(CallOutcome::NotConnected, 0);
        let chosen = choose(&table, &prompt(1), &[], 1, 10);
        assert!(chosen.is_some());
        if name.as_str() == "t0" {
            assert_eq!(chosen.map(|t| t.entry.name.as_str()), Some("t1"));
        }
    }
}

#[test]
fn a_new_start_under_the_same_name_knows_nothing() {
    let mut table = table(1);
    let name = TargetName::from("t0");
    let state = table.get_mut(&name).expect("it is registered");
    state.prompt_cache.record_sent(&prompt(1), 0);
    assert_eq!(table.register(entry("t0", 2)), TargetChange::Started);
    let state = table.get(&name).expect("it is registered");
    assert_eq!(state.prompt_cache.cached_tokens(&prompt(1), 0), 0);
    assert_eq!(
        table.register(entry("t0", 1)),
        TargetChange::Other,
        "a late word"
    );
    let known = table.get(&name).map(|state| state.entry.started_at_unix_ms);
    assert_eq!(known, Some(2));
}

#[test]
fn pauses_grow_with_failures_in_a_row_and_end_with_an_answer() {
    let mut failures = FailureHistory::default();
    assert!(
        !failures.record(CallOutcome::Broken, 0),
        "one broken call is no pattern"
    );
    assert!(failures.record(CallOutcome::Broken, 0));
    let first = failures.backoff_until_ms();
    assert!(failures.record(CallOutcome::Silent, 0));
    assert!(failures.backoff_until_ms() > first);
    failures.record(CallOutcome::Answered, 10);
    assert!(!failures.is_in_backoff(10));
}

#[test]
fn a_data_centre_that_is_cut_off_is_avoided_after_two_targets() {
    let mut table = table(2);
    for at in 0..6 {
        let mut other = entry(&format!("far-{at}"), 1);
        other.data_centre = DataCentreName::from("there");
        table.register(other);
    }
    let far = |at: usize| TargetName::from(format!("far-{at}"));
    assert!(
        !table
            .record_outcome(&far(0), CallOutcome::NotConnected, 0)
            .data_centre
    );
    assert!(
        !table
            .record_outcome(&far(0), CallOutcome::NotConnected, 0)
            .data_centre,
        "one target may be down by itself"
    );
    assert!(
        table
            .record_outcome(&far(1), CallOutcome::NotConnected, 0)
            .data_centre
    );
    for draw in 0..20 {
        let chosen = choose(&table, &prompt(draw), &[], draw, 500).expect("two are near");
        assert_eq!(chosen.entry.data_centre.as_str(), "here");
    }
    table.record_outcome(&far(2), CallOutcome::Answered, 600);
    let far_again = (0..20)
        .filter_map(|draw| choose(&table, &prompt(draw), &[], draw, 700))
        .any(|target| target.entry.data_centre.as_str() == "there");
    assert!(far_again, "an answer ends it");
}

const DRAIN_MS: u64 = 2_000;

#[test]
fn a_registration_that_ends_on_a_calm_day_ends_the_use_at_once() {
    let mut rule = DeregistrationGrace::default();
    rule.record_read(false, 1_000);
    rule.record_read(false, 1_400);
    assert_eq!(rule.usable_until_ms(DRAIN_MS, 1_400), 1_400);
}

#[test]
fn one_failed_read_is_no_outage() {
    let mut rule = DeregistrationGrace::default();
    rule.record_read(false, 1_000);
    rule.record_read(true, 1_600);
    assert_eq!(rule.usable_until_ms(DRAIN_MS, 1_600), 1_600);
}

#[test]
fn registrations_that_lapsed_in_an_outage_are_waited_for_within_the_drain_bound() {
    let mut rule = DeregistrationGrace::default();
    rule.record_read(false, 1_000);
    rule.record_read(true, 9_000);
    assert_eq!(rule.usable_until_ms(DRAIN_MS, 9_000), 10_700);
    rule.record_read(false, 9_400);
    assert_eq!(rule.usable_until_ms(DRAIN_MS, 9_400), 10_600);
    rule.record_read(false, 10_600);
    assert_eq!(rule.usable_until_ms(DRAIN_MS, 10_600), 11_000);
    rule.record_read(false, 12_000);
    assert_eq!(rule.usable_until_ms(DRAIN_MS, 12_000), 12_000);
}

#[test]
fn a_target_whose_registration_ended_is_used_no_longer_than_allowed() {
    let mut table = table(1);
    let name = TargetName::from("t0");
    assert!(table.deregister(&name, 500));
    assert!(!table.deregister(&name, 900), "the first word counts");
    assert!(choose(&table, &prompt(1), &[], 0, 499).is_some());
    assert!(choose(&table, &prompt(1), &[], 0, 500).is_none());
    table.register(entry("t0", 1));
    assert!(choose(&table, &prompt(1), &[], 0, 500).is_some());
    table.deregister(&name, 600);
    assert_eq!(table.remove_expired(600), [name]);
}
