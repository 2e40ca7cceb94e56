//! Tests of the order reconciler: one decider per group and no contradictory orders, also for
//! engines that ignore fencing numbers.

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
fn a_departing_decider_changes_only_its_own_groups() {
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
fn no_order_is_issued_before_the_claim_is_read_back_and_settled() {
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
    reconciler.apply_claim(&claim(1), Offset(6), 100);
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
fn the_claim_with_the_largest_offset_wins_in_any_read_order() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(2), Offset(9), 0);
    reconciler.apply_claim(&claim(1), Offset(6), 0);
    reconciler.record_caught_up(20_000);
    assert_eq!(reconciler.fencing_number(&group()), None);
    assert_eq!(
        next(&mut reconciler, &reported(&[], 0), &["a@1"], 20_000),
        None
    );
}

#[test]
fn the_next_order_waits_for_a_newer_report() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(1), Offset(0), 0);
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
    // An order is sent again if the reports do not show its effect.
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

/// Oscillating demand must not make a target load and unload a model in turn.
#[test]
fn contradictory_orders_are_at_least_the_settle_time_apart() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(1), Offset(0), 0);
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

/// A node that was paused while another node claimed its group resumes with a stale log. It may
/// load models, but not unload any.
#[test]
fn a_node_with_a_stale_log_unloads_nothing_from_an_engine_that_ignores_fencing() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(1), Offset(0), 0);
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
    let fencing_aware = ReportedState {
        honours_fencing: true,
        ..reported(&["a@1"], stale_ms)
    };
    assert!(next(&mut reconciler, &fencing_aware, &[], stale_ms).is_some());
}

#[test]
fn a_refused_fencing_number_requires_a_new_claim() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(1), Offset(4), 0);
    reconciler.record_refusal(&group(), FencingNumber(8));
    assert_eq!(
        reconciler.wanted_claim(&group(), true, |_| true, 20_000),
        Some(claim(1))
    );
    reconciler.apply_claim(&claim(1), Offset(11), 0);
    assert_eq!(
        reconciler.wanted_claim(&group(), true, |_| true, 20_000),
        None
    );
}

#[test]
fn a_claim_is_respected_during_the_cooldown_if_its_node_is_live() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(2), Offset(0), 1_000);
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
    // Two nodes that both consider themselves the decider append one claim per cooldown, not one
    // per check.
    let mut claims = 0;
    let mut other = OrderReconciler::new(OrderSettings::default(), IncarnationId(2));
    other.record_caught_up(0);
    other.apply_claim(&claim(2), Offset(0), 1_000);
    for now_ms in (1_000..601_000).step_by(1_000) {
        for node in [1, 2] {
            let view = if node == 1 { &reconciler } else { &other };
            if let Some(claim) = view.wanted_claim(&group(), true, |_| true, now_ms) {
                claims += 1;
                reconciler.apply_claim(&claim, Offset(claims), now_ms);
                other.apply_claim(&claim, Offset(claims), now_ms);
            }
        }
    }
    assert!(claims <= 10, "{claims}");
}

/// Two nodes consider themselves the decider. The target ignores fencing numbers and executes every
/// order.
#[test]
fn two_deciders_never_contradict_each_other_once_both_read_the_log() {
    let (mut old, mut new) = (reconciler(1), reconciler(2));
    old.apply_claim(&claim(1), Offset(0), 0);
    new.apply_claim(&claim(1), Offset(0), 0);
    let mut loaded: Vec<&str> = Vec::new();
    let mut orders = Vec::new();
    for now_ms in (20_000..60_000).step_by(100) {
        // The old decider reads the newer claim 2 s later than the new one.
        if now_ms == 30_000 {
            new.apply_claim(&claim(2), Offset(1), now_ms);
        }
        if now_ms == 32_000 {
            old.apply_claim(&claim(2), Offset(1), now_ms);
        }
        old.record_caught_up(now_ms);
        new.record_caught_up(now_ms);
        let report = reported(&loaded, now_ms);
        let old_order = next(&mut old, &report, &["a@1"], now_ms);
        let new_order = next(&mut new, &report, &["b@1"], now_ms);
        for (node, order) in [(1, old_order), (2, new_order)] {
            let Some(order) = order else {
                continue;
            };
            loaded = match (node, &order.kind) {
                (1, _) => vec!["a@1"],
                (_, OrderKind::Load { .. }) => vec!["a@1", "b@1"],
                (_, OrderKind::Unload { .. } | OrderKind::ChangeRole { .. }) => vec!["b@1"],
            };
            orders.push((node, now_ms));
        }
    }
    assert_eq!(loaded, ["b@1"]);
    let last_of_old = orders.iter().rfind(|(node, _)| *node == 1);
    let first_of_new = orders.iter().find(|(node, _)| *node == 2);
    assert_eq!(last_of_old, Some(&(1, 20_000)));
    assert_eq!(first_of_new, Some(&(2, 40_000)));
}

/// An order that the engine did not execute may be sent again immediately and contradicts no later
/// order.
#[test]
fn undoing_an_order_restores_the_previous_one() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(1), Offset(0), 0);
    reconciler.record_caught_up(20_000);
    let load = next(&mut reconciler, &reported(&[], 19_000), &["a@1"], 20_000).unwrap();
    let loaded = reported(&["a@1"], 21_000);
    let second = next(&mut reconciler, &loaded, &["a@1", "b@1"], 21_500).unwrap();
    reconciler.undo_sent(&second.target);
    let again = next(&mut reconciler, &loaded, &["a@1", "b@1"], 21_600);
    assert_eq!(again, Some(second));
    reconciler.undo_sent(&load.target);
    // The last order is the load of a@1 again, which the unload of a@1 contradicts.
    assert_eq!(next(&mut reconciler, &loaded, &[], 22_000), None);
}

#[test]
fn peek_order_changes_no_state() {
    let mut reconciler = reconciler(1);
    reconciler.apply_claim(&claim(1), Offset(0), 0);
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
