//! Corrected load, drain, health and belief of targets.

use test_case::test_case;
use toucan_router::{
    CacheChange, ChoiceRequest, DispatchId, DispatchOutcome, DrainSource, LoadReport, ModelKey,
    TargetDescription, TargetIndex, TargetTable, TargetTableSettings,
};
use toucan_types::ServiceName;

fn table(stride: u32) -> (TargetTable, TargetIndex, ServiceName) {
    let settings = TargetTableSettings {
        prefix_block_stride: stride,
        ..TargetTableSettings::default()
    };
    let service = ServiceName::from("drafting");
    let mut table = TargetTable::new(settings, "qc-1".into());
    let index = table.upsert(TargetDescription {
        name: "engine-1".into(),
        service: service.clone(),
        data_centre: "qc-1".into(),
        batch_limit: 4,
    });
    (table, index, service)
}

fn report(as_of_ms: u64, running: u32) -> LoadReport {
    LoadReport {
        as_of_ms,
        running,
        batch_limit: 4,
        models: vec![ModelKey::parse("drafting@1")],
        ..LoadReport::default()
    }
}

fn load(table: &TargetTable, index: TargetIndex) -> u32 {
    table.get(index).map_or(0, |target| table.load(target))
}

fn send(
    table: &mut TargetTable,
    index: TargetIndex,
    service: &ServiceName,
    now_ms: u64,
) -> DispatchId {
    table
        .record_dispatch(index, &ChoiceRequest::new(service, now_ms))
        .expect("the target is known")
}

const DONE: DispatchOutcome = DispatchOutcome::Completed {
    cached_tokens: None,
};

#[test]
fn a_late_report_is_corrected_by_what_was_sent_and_ended_since() {
    let (mut table, index, service) = table(1);
    let before = send(&mut table, index, &service, 100);
    let after = send(&mut table, index, &service, 300);
    // Holds for 200: contains the first dispatch and one of another router.
    assert!(table.apply_report(index, &report(200, 2), 900));
    assert_eq!(load(&table, index), 3);
    table.record_end(before, DONE, 950);
    assert_eq!(load(&table, index), 2);
    table.record_end(after, DONE, 960);
    assert_eq!(load(&table, index), 1);
    // Holds for 955: the first has ended, the second not yet.
    assert!(table.apply_report(index, &report(955, 2), 1_000));
    assert_eq!(load(&table, index), 1);
    assert!(
        !table.apply_report(index, &report(500, 9), 1_010),
        "an older report is ignored"
    );
    table.record_end(after, DONE, 1_020);
    assert_eq!(load(&table, index), 1, "a second end counts for nothing");
}

#[test]
fn a_target_with_a_clock_ahead_does_not_hide_dispatches() {
    let (mut table, index, service) = table(1);
    table.apply_report(index, &report(99_000, 0), 1_000);
    send(&mut table, index, &service, 1_001);
    assert_eq!(load(&table, index), 1);
}

#[test]
fn places_run_out_without_any_report() {
    let (mut table, index, service) = table(1);
    for sent in 0..5 {
        assert!(
            table.has_capacity(&ChoiceRequest::new(&service, 0)),
            "{sent}"
        );
        send(&mut table, index, &service, 0);
    }
    assert!(!table.has_capacity(&ChoiceRequest::new(&service, 0)));
    assert_eq!(table.free_places(&service, 0), 0);
}

#[test_case(DrainSource::Platform)]
#[test_case(DrainSource::Target)]
#[test_case(DrainSource::Operator)]
fn one_word_about_leaving_ends_new_work_and_only_its_source_takes_it_back(source: DrainSource) {
    let (mut table, index, service) = table(1);
    let request = ChoiceRequest::new(&service, 10);
    assert!(table.set_draining(index, source, true, 10));
    assert!(!table.has_capacity(&request));
    for other in [
        DrainSource::Platform,
        DrainSource::Target,
        DrainSource::Operator,
    ] {
        if other != source {
            assert!(!table.set_draining(index, other, false, 20));
        }
    }
    assert!(!table.has_capacity(&request));
    assert!(table.set_draining(index, source, false, 30));
    assert!(table.has_capacity(&request));
}

#[test]
fn a_report_that_says_leaving_drains() {
    let (mut table, index, service) = table(1);
    let draining = LoadReport {
        draining: true,
        ..report(0, 0)
    };
    table.apply_report(index, &draining, 5);
    assert!(!table.has_capacity(&ChoiceRequest::new(&service, 5)));
}

#[test]
fn failures_pause_a_target_and_one_probe_follows() {
    let (mut table, index, service) = table(1);
    let first = send(&mut table, index, &service, 0);
    table.record_end(first, DispatchOutcome::Failed, 0);
    let at = |now_ms| ChoiceRequest::new(&service, now_ms);
    assert!(!table.has_capacity(&at(249)));
    assert!(table.has_capacity(&at(250)));
    let probe = send(&mut table, index, &service, 250);
    assert!(
        !table.has_capacity(&at(251)),
        "a second probe waits for the first"
    );
    table.record_end(probe, DispatchOutcome::Failed, 300);
    assert!(!table.has_capacity(&at(799)));
    let probe = send(&mut table, index, &service, 800);
    table.record_first_token(probe, 801);
    assert!(table.has_capacity(&at(801)));
}

#[test]
fn only_targets_with_the_model_loaded_serve_it() {
    let (mut table, index, service) = table(1);
    table.apply_report(index, &report(0, 0), 0);
    let key = |name| ModelKey::parse(name);
    for (name, serves) in [
        ("drafting@1", true),
        ("drafting@2", false),
        ("drafting@1+fr", false),
    ] {
        let key = key(name);
        let request = ChoiceRequest::new(&service, 1).with_model(&key);
        assert_eq!(table.has_capacity(&request), serves, "{name}");
    }
    table.remove(index);
    assert!(!table.has_capacity(&ChoiceRequest::new(&service, 1)));
}

fn believed(table: &TargetTable, index: TargetIndex, service: &ServiceName, now_ms: u64) -> u64 {
    let request = ChoiceRequest::new(service, now_ms).with_prompt(&BLOCKS, 16, 64);
    table.believed_tokens(index, &request)
}

const BLOCKS: [u64; 4] = [11, 12, 13, 14];

#[test]
fn events_build_and_take_the_belief() {
    let (mut table, index, service) = table(1);
    table.apply_cache_event(index, 1, &CacheChange::Stored(&BLOCKS), 0);
    assert_eq!(believed(&table, index, &service, 0), 64);
    table.apply_cache_event(index, 2, &CacheChange::Removed(&BLOCKS[2..]), 5_000);
    assert!((30..=32).contains(&believed(&table, index, &service, 5_000)));
    table.apply_cache_event(index, 2, &CacheChange::Cleared, 5_000);
    assert!(
        believed(&table, index, &service, 5_000) > 0,
        "an old number is ignored"
    );
    table.apply_cache_event(index, 3, &CacheChange::Cleared, 5_000);
    assert_eq!(believed(&table, index, &service, 5_001), 0);
}

#[test]
fn a_gap_lowers_the_belief_in_what_was_known_before() {
    let (mut table, index, service) = table(1);
    table.apply_cache_event(index, 1, &CacheChange::Stored(&BLOCKS), 100);
    table.apply_cache_event(index, 9, &CacheChange::Stored(&[99]), 200);
    assert_eq!(believed(&table, index, &service, 200), 44);
    table.apply_cache_event(index, 10, &CacheChange::Stored(&BLOCKS), 300);
    assert_eq!(believed(&table, index, &service, 300), 64);
}

#[test]
fn a_removal_older_than_the_own_use_is_not_believed() {
    let (mut table, index, service) = table(1);
    let request = ChoiceRequest::new(&service, 1_000).with_prompt(&BLOCKS, 16, 64);
    table.record_dispatch(index, &request).unwrap();
    table.apply_cache_event(index, 1, &CacheChange::Removed(&BLOCKS), 1_500);
    assert!((63..=64).contains(&believed(&table, index, &service, 1_500)));
}

#[test]
fn the_engines_own_answer_repairs_the_belief() {
    let (mut table, index, service) = table(1);
    let retention = |table: &TargetTable| {
        table
            .get(index)
            .map(|target| target.belief().retention_ms())
    };
    let first = retention(&table);
    for (turn, cached_tokens) in [(0, 0), (1, 0), (2, 0)] {
        let now_ms = turn * 10_000;
        let request = ChoiceRequest::new(&service, now_ms).with_prompt(&BLOCKS, 16, 64);
        let dispatch = table.record_dispatch(index, &request).unwrap();
        let end = DispatchOutcome::Completed {
            cached_tokens: Some(cached_tokens),
        };
        table.record_end(dispatch, end, now_ms + 100);
    }
    let taught = retention(&table);
    assert!(taught < first, "{taught:?} {first:?}");
}

#[test]
fn what_never_arrived_is_not_believed_cached() {
    let (mut table, index, service) = table(1);
    let request = ChoiceRequest::new(&service, 0).with_prompt(&BLOCKS, 16, 64);
    let dispatch = table.record_dispatch(index, &request).unwrap();
    table.record_end(dispatch, DispatchOutcome::Failed, 5);
    assert_eq!(believed(&table, index, &service, 5), 0);
}

#[test]
fn memory_for_prefixes_is_bounded() {
    let (mut table, index, _) = table(2);
    let blocks: Vec<u64> = (0..1_000_000).collect();
    for (page, blocks) in blocks.chunks(1_000).enumerate() {
        table.apply_cache_event(index, page as u64 + 1, &CacheChange::Stored(blocks), 0);
    }
    let most = TargetTableSettings::default().most_prefix_blocks;
    assert!(table.prefixes().len() <= most);
    let recent = blocks
        .iter()
        .rev()
        .find(|block| table.prefixes().keeps(**block))
        .unwrap();
    assert_eq!(table.prefixes().holders(*recent).len(), 1);
}
