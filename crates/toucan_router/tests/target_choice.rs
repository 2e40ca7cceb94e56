//! Properties that hold for all policies, and those of the prefix-aware one.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;
use toucan_router::{
    ChoiceRequest, DispatchOutcome, DrainSource, LeastLoadedByReport, LoadReport,
    PowerOfTwoChoices, PrefixAware, PrefixHash, Random, TargetDescription, TargetIndex,
    TargetPolicy, TargetTable, TargetTableSettings, block_hashes,
};
use toucan_types::ServiceName;

struct Fleet {
    table: TargetTable,
    service: ServiceName,
    near: Vec<TargetIndex>,
    far: Vec<TargetIndex>,
    rng: SmallRng,
}

impl Fleet {
    fn new(near: usize, far: usize) -> Self {
        let mut table = TargetTable::new(TargetTableSettings::default(), "qc-1".into());
        let service = ServiceName::from("drafting");
        let mut add = |data_centre: &str, count: usize| -> Vec<TargetIndex> {
            let description = |number| TargetDescription {
                name: format!("{data_centre}-{number}").into(),
                service: service.clone(),
                data_centre: data_centre.into(),
                batch_limit: 8,
            };
            (0..count)
                .map(|number| table.upsert(description(number)))
                .collect()
        };
        let (near, far) = (add("qc-1", near), add("qc-2", far));
        Self {
            table,
            service,
            near,
            far,
            rng: SmallRng::seed_from_u64(3),
        }
    }

    fn choose(
        &mut self,
        policy: &impl TargetPolicy,
        prompt: &str,
        exclude: &[TargetIndex],
    ) -> Option<TargetIndex> {
        let blocks = block_hashes(prompt, 64);
        let request = ChoiceRequest::new(&self.service, 0)
            .with_prompt(&blocks, 16, blocks.len() as u64 * 16)
            .excluding(exclude);
        let chosen = policy.choose(&self.table, &request, &mut self.rng)?;
        let dispatch = self.table.record_dispatch(chosen, &request)?;
        self.table.record_first_token(dispatch, 0);
        Some(chosen)
    }
}

fn prompt(name: &str) -> String {
    format!("{name} ").repeat(2_000)
}

fn never_to_the_unfit(policy: &impl TargetPolicy) {
    let mut fleet = Fleet::new(4, 0);
    let (leaving, failed, tried, fit) =
        (fleet.near[0], fleet.near[1], fleet.near[2], fleet.near[3]);
    fleet
        .table
        .set_draining(leaving, DrainSource::Platform, true, 0);
    let request = ChoiceRequest::new(&fleet.service, 0);
    let dispatch = fleet
        .table
        .record_dispatch(failed, &request)
        .expect("a target fits");
    fleet.table.record_end(dispatch, DispatchOutcome::Failed, 0);
    for turn in 0..50 {
        let chosen = fleet.choose(policy, &prompt(&turn.to_string()), &[tried]);
        assert_eq!(chosen, Some(fit));
    }
    assert_eq!(fleet.choose(policy, "", &[tried, fit]), None);
}

fn near_before_far(policy: &impl TargetPolicy) {
    let mut fleet = Fleet::new(2, 2);
    for turn in 0..8 {
        let chosen = fleet
            .choose(policy, &prompt(&turn.to_string()), &[])
            .expect("a target fits");
        assert!(fleet.near.contains(&chosen));
    }
    let near = fleet.near.clone();
    let chosen = fleet.choose(policy, "x", &near).expect("a target fits");
    assert!(fleet.far.contains(&chosen));
}

#[test]
fn all_policies_skip_leaving_failed_and_excluded_targets() {
    never_to_the_unfit(&Random);
    never_to_the_unfit(&LeastLoadedByReport);
    never_to_the_unfit(&PowerOfTwoChoices);
    never_to_the_unfit(&PrefixHash::default());
    never_to_the_unfit(&PrefixAware::default());
}

#[test]
fn all_policies_prefer_the_own_data_centre() {
    near_before_far(&Random);
    near_before_far(&LeastLoadedByReport);
    near_before_far(&PowerOfTwoChoices);
    near_before_far(&PrefixHash::default());
    near_before_far(&PrefixAware::default());
}

#[test]
fn a_repeated_prompt_goes_where_it_was_until_that_target_is_loaded() {
    let mut fleet = Fleet::new(12, 0);
    let policy = PrefixAware::default();
    let text = prompt("tender");
    let first = fleet.choose(&policy, &text, &[]).unwrap();
    assert_eq!(fleet.choose(&policy, &text, &[]), Some(first));
    let full = LoadReport {
        running: 8,
        waiting: 30,
        batch_limit: 8,
        ..LoadReport::default()
    };
    fleet.table.apply_report(first, &full, 0);
    assert_ne!(fleet.choose(&policy, &text, &[]), Some(first));
}

#[test]
fn a_prompt_that_is_being_prefilled_is_not_prefilled_elsewhere_too() {
    let mut fleet = Fleet::new(12, 0);
    let blocks = block_hashes(&prompt("tender"), 64);
    let service = fleet.service.clone();
    let request = ChoiceRequest::new(&service, 0).with_prompt(&blocks, 16, 2_000);
    let policy = PrefixAware::default();
    let first = policy
        .choose(&fleet.table, &request, &mut fleet.rng)
        .unwrap();
    fleet.table.record_dispatch(first, &request).unwrap();
    assert_eq!(
        policy.choose(&fleet.table, &request, &mut fleet.rng),
        Some(first)
    );
}

/// One of two targets takes eight times as long; after a while it is tried again.
#[test]
fn a_slow_target_gets_less_until_it_may_be_well_again() {
    let mut fleet = Fleet::new(2, 0);
    let slow = fleet.near[0];
    let service = fleet.service.clone();
    let mut to_slow_at = |now_ms: u64, slow_factor: u64| {
        let mut to_slow = 0;
        for request in 0..100 {
            let sent_ms = now_ms + request * 100;
            let request = ChoiceRequest::new(&service, sent_ms).with_prompt(&[], 16, 1_000);
            let policy = PrefixAware::default();
            let chosen = policy
                .choose(&fleet.table, &request, &mut fleet.rng)
                .unwrap();
            let dispatch = fleet.table.record_dispatch(chosen, &request).unwrap();
            let took_ms = if chosen == slow { 80 * slow_factor } else { 80 };
            fleet.table.record_first_token(dispatch, sent_ms + took_ms);
            let end = DispatchOutcome::Completed {
                cached_tokens: None,
            };
            fleet.table.record_end(dispatch, end, sent_ms + took_ms);
            to_slow += usize::from(chosen == slow);
        }
        to_slow
    };
    assert!((30..70).contains(&to_slow_at(0, 1)));
    assert!(to_slow_at(10_000, 8) < 10);
    assert!((30..70).contains(&to_slow_at(200_000, 1)));
}

#[test]
fn nodes_that_know_nothing_yet_agree_on_a_new_prompts_target() {
    let text = prompt("anvil");
    let choose = |seed| {
        let mut fleet = Fleet::new(200, 0);
        fleet.rng = SmallRng::seed_from_u64(seed);
        fleet.choose(&PrefixHash::default(), &text, &[])
    };
    assert_eq!(choose(1), choose(2));
}

#[test]
fn work_goes_to_another_data_centre_once_the_own_one_is_full() {
    let mut fleet = Fleet::new(2, 2);
    let full = LoadReport {
        running: 8,
        waiting: 8,
        batch_limit: 8,
        ..LoadReport::default()
    };
    for near in fleet.near.clone() {
        fleet.table.apply_report(near, &full, 0);
    }
    let chosen = fleet.choose(&PrefixAware::default(), "x", &[]).unwrap();
    assert!(fleet.far.contains(&chosen));
}

#[test]
fn only_free_gives_none_when_all_places_are_taken() {
    let mut fleet = Fleet::new(2, 0);
    let service = fleet.service.clone();
    let request = ChoiceRequest::new(&service, 0).require_free_slot();
    let mut sent = 0;
    while let Some(chosen) = PrefixAware::default().choose(&fleet.table, &request, &mut fleet.rng) {
        fleet.table.record_dispatch(chosen, &request).unwrap();
        sent += 1;
    }
    assert_eq!(sent, 2 * (8 + 1));
}

#[test_case("", 0; "empty")]
#[test_case("abc", 0; "shorter than a block")]
#[test_case("abcdefgh", 2; "whole blocks")]
#[test_case("abcdefghi", 2; "a rest has no hash")]
fn only_whole_blocks_have_hashes(text: &str, blocks: usize) {
    assert_eq!(block_hashes(text, 4).len(), blocks);
}
