//! One decider per target, orders that settle, also for engines that ignore the number.

use toucan_router::{
    ModelKey, Order, OrderClaim, OrderGroup, OrderKind, OrderReconciler, OrderSettings,
    ReportedState, TargetState,
};
use toucan_types::{FencingNumber, IncarnationId, Offset, TargetName, VmName};

fn group() -> OrderGroup {
    OrderGroup {
        data_centre: "qc-1".into(),
        service: "drafting".into(),
    }
}

fn claim(incarnation: u64) -> OrderClaim {
    OrderClaim {
        group: group(),
        incarnation: IncarnationId(incarnation),
    }
}

fn reconciler(incarnation: u64) -> OrderReconciler {
    let mut reconciler = OrderReconciler::new(OrderSettings::default(), IncarnationId(incarnation));
    reconciler.record_caught_up(0);
    reconciler
}

fn state(models: &[&str]) -> TargetState {
    TargetState {
        models: models.iter().map(|name| ModelKey::parse(name)).collect(),
        ..TargetState::default()
    }
}

fn reported(models: &[&str], as_of_ms: u64) -> ReportedState {
    ReportedState {
        state: state(models),
        as_of_ms,
        honours_fencing: false,
    }
}

fn next(
    reconciler: &mut OrderReconciler,
    from: &ReportedState,
    to: &[&str],
    now_ms: u64,
) -> Option<Order> {
    reconciler.next_order(
        &group(),
        &TargetName::from("engine-1"),
        from,
        &state(to),
        now_ms,
    )
}

#[test]
fn one_of_the_live_nodes_decides_and_only_its_groups_move_when_it_goes() {
    let vms: Vec<VmName> = (0..8).map(|vm| VmName::from(format!("vm-{vm}"))).collect();
    let groups: Vec<OrderGroup> = (0..64)
        .map(|service| OrderGroup {
            data_centre: "qc-1".into(),
            service: format!("service-{service}").into(),
        })
        .collect();
    for group in &groups {
        let before = group.decider(&vms);
        let after = group.decider(&vms[1..]);
        assert!(before == after || before == Some(&vms[0]));
    }
}

#[test]
fn nothing_is_ordered_without_a_claim_that_was_read_back_and_has_settled() {
    let mut reconciler = reconciler(1);
    let from = reported(&[], 0);
    assert_eq!(next(&mut reconciler, &from, &["a@1"], 20_000), None);
    assert_eq!(
        reconciler.wanted_claim(&group(), true, |_| true, 20_000),
        Some(claim(1))
    );
    assert_eq!(
        reconciler.wanted_claim(&group(), false, |_| true, 20_000),
        None
    );
    reconciler.fold(&claim(1), Offset(6), 100);
    reconciler.record_caught_up(10_000);
    assert_eq!(
        reconciler.wanted_claim(&group(), true, |_| true, 20_000),
        None
    );
    assert_eq!(next(&mut reconciler, &from, &["a@1"], 9_000), None);
    let order = next(&mut reconciler, &from, &["a@1"], 10_100).unwrap();
    assert_eq!(order.fencing_number, FencingNumber(7));
}

#[test]
fn the_claim_with_the_larger_offset_wins_whatever_the_order_of_reading() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(2), Offset(9), 0);
    reconciler.fold(&claim(1), Offset(6), 0);
    reconciler.record_caught_up(20_000);
    assert_eq!(reconciler.fencing_number(&group()), None);
    assert_eq!(
        next(&mut reconciler, &reported(&[], 0), &["a@1"], 20_000),
        None
    );
}

#[test]
fn one_order_at_a_time_confirmed_by_a_newer_report() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(1), Offset(0), 0);
    reconciler.record_caught_up(20_000);
    let to = ["a@1", "b@1"];
    let first = next(&mut reconciler, &reported(&["old@1"], 19_000), &to, 20_000).unwrap();
    assert!(matches!(first.kind, OrderKind::Load { .. }));
    assert_eq!(
        next(&mut reconciler, &reported(&["old@1"], 19_500), &to, 20_100),
        None
    );
    assert!(
        next(
            &mut reconciler,
            &reported(&["old@1", "a@1"], 20_500),
            &to,
            21_000
        )
        .is_some()
    );
    // An order whose effect the reports do not show is repeated, not forgotten.
    reconciler.record_caught_up(51_000);
    let again = next(
        &mut reconciler,
        &reported(&["old@1", "a@1"], 50_000),
        &to,
        51_000,
    )
    .unwrap();
    assert!(matches!(again.kind, OrderKind::Load { .. }));
}

/// A demand that swings must not make a target load and unload in turn.
#[test]
fn contradictory_orders_are_at_least_the_settle_time_apart() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(1), Offset(0), 0);
    let mut loaded: Vec<&str> = Vec::new();
    let mut sent = Vec::new();
    for now_ms in (20_000..80_000).step_by(500) {
        reconciler.record_caught_up(now_ms);
        let to: &[&str] = if now_ms % 2_000 < 1_000 {
            &["a@1"]
        } else {
            &[]
        };
        if let Some(order) = next(&mut reconciler, &reported(&loaded, now_ms), to, now_ms) {
            loaded = match order.kind {
                OrderKind::Load { .. } => vec!["a@1"],
                OrderKind::Unload { .. } | OrderKind::ChangeRole { .. } => Vec::new(),
            };
            sent.push(now_ms);
        }
    }
    assert!(sent.len() >= 2);
    assert!(
        sent.windows(2).all(|pair| pair[1] - pair[0] >= 10_000),
        "{sent:?}"
    );
}

/// A node paused after its claim was overtaken wakes with an old view: it may add, not take away.
#[test]
fn a_stale_view_of_the_log_takes_nothing_away_from_an_engine_that_does_not_check() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(1), Offset(0), 0);
    reconciler.record_caught_up(20_000);
    let stale_ms = 60_000;
    assert_eq!(
        next(
            &mut reconciler,
            &reported(&["a@1"], stale_ms),
            &[],
            stale_ms
        ),
        None
    );
    let checking = ReportedState {
        honours_fencing: true,
        ..reported(&["a@1"], stale_ms)
    };
    assert!(next(&mut reconciler, &checking, &[], stale_ms).is_some());
}

#[test]
fn a_refused_number_asks_for_a_new_claim() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(1), Offset(4), 0);
    reconciler.record_refusal(&group(), FencingNumber(8));
    assert_eq!(
        reconciler.wanted_claim(&group(), true, |_| true, 20_000),
        Some(claim(1))
    );
    reconciler.fold(&claim(1), Offset(11), 0);
    assert_eq!(
        reconciler.wanted_claim(&group(), true, |_| true, 20_000),
        None
    );
}

#[test]
fn a_live_nodes_claim_is_left_alone_for_a_while_and_a_dead_ones_is_not() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(2), Offset(0), 1_000);
    assert_eq!(
        reconciler.wanted_claim(&group(), true, |_| true, 60_999),
        None
    );
    assert!(
        reconciler
            .wanted_claim(&group(), true, |_| true, 61_000)
            .is_some()
    );
    assert!(
        reconciler
            .wanted_claim(&group(), true, |_| false, 1_001)
            .is_some()
    );
    // Two nodes that each believe to decide: one claim per hold time, not one per look.
    let mut claims = 0;
    let mut other = OrderReconciler::new(OrderSettings::default(), IncarnationId(2));
    other.record_caught_up(0);
    other.fold(&claim(2), Offset(0), 1_000);
    for now_ms in (1_000..601_000).step_by(1_000) {
        for node in [1, 2] {
            let view = if node == 1 { &reconciler } else { &other };
            if let Some(claim) = view.wanted_claim(&group(), true, |_| true, now_ms) {
                claims += 1;
                reconciler.fold(&claim, Offset(claims), now_ms);
                other.fold(&claim, Offset(claims), now_ms);
            }
        }
    }
    assert!(claims <= 10, "{claims}");
}

/// Two nodes believe that they decide; the target ignores numbers and runs every order.
#[test]
fn two_deciders_never_contradict_each_other_once_both_read_the_log() {
    let (mut old, mut new) = (reconciler(1), reconciler(2));
    old.fold(&claim(1), Offset(0), 0);
    new.fold(&claim(1), Offset(0), 0);
    let mut loaded: Vec<&str> = Vec::new();
    let mut orders = Vec::new();
    for now_ms in (20_000..60_000).step_by(100) {
        // The old one reads the overtaking claim 2 s later than the new one.
        if now_ms == 30_000 {
            new.fold(&claim(2), Offset(1), now_ms);
        }
        if now_ms == 32_000 {
            old.fold(&claim(2), Offset(1), now_ms);
        }
        old.record_caught_up(now_ms);
        new.record_caught_up(now_ms);
        let report = reported(&loaded, now_ms);
        let by_old = next(&mut old, &report, &["a@1"], now_ms);
        let by_new = next(&mut new, &report, &["b@1"], now_ms);
        for (by, order) in [(1, by_old), (2, by_new)] {
            let Some(order) = order else {
                continue;
            };
            loaded = match (by, &order.kind) {
                (1, _) => vec!["a@1"],
                (_, OrderKind::Load { .. }) => vec!["a@1", "b@1"],
                (_, OrderKind::Unload { .. } | OrderKind::ChangeRole { .. }) => vec!["b@1"],
            };
            orders.push((by, now_ms));
        }
    }
    assert_eq!(loaded, ["b@1"]);
    let last_of_old = orders.iter().rfind(|(by, _)| *by == 1);
    let first_of_new = orders.iter().find(|(by, _)| *by == 2);
    assert_eq!(last_of_old, Some(&(1, 20_000)));
    assert_eq!(first_of_new, Some(&(2, 40_000)));
}

/// What an engine says it did not carry out may be sent again at once, and contradicts nothing.
#[test]
fn an_order_that_was_not_carried_out_leaves_the_one_before_it_as_the_last() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(1), Offset(0), 0);
    reconciler.record_caught_up(20_000);
    let load = next(&mut reconciler, &reported(&[], 19_000), &["a@1"], 20_000).unwrap();
    let loaded = reported(&["a@1"], 21_000);
    let second = next(&mut reconciler, &loaded, &["a@1", "b@1"], 21_500).unwrap();
    reconciler.undo_sent(&second.target);
    let again = next(&mut reconciler, &loaded, &["a@1", "b@1"], 21_600);
    assert_eq!(again, Some(second));
    reconciler.undo_sent(&load.target);
    // The load of a@1 is still the last order, which an unload of it contradicts.
    assert_eq!(next(&mut reconciler, &loaded, &[], 22_000), None);
}

#[test]
fn a_peek_changes_nothing() {
    let mut reconciler = reconciler(1);
    reconciler.fold(&claim(1), Offset(0), 0);
    reconciler.record_caught_up(20_000);
    let (name, from, to) = (
        TargetName::from("engine-1"),
        reported(&[], 0),
        state(&["a@1"]),
    );
    let peeked = reconciler.peek_order(&group(), &name, &from, &to, 20_000);
    assert!(peeked.is_some());
    assert_eq!(
        reconciler.peek_order(&group(), &name, &from, &to, 20_001),
        peeked
    );
    assert_eq!(next(&mut reconciler, &from, &["a@1"], 20_002), peeked);
}
