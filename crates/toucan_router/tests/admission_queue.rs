//! Order, ageing, deadlines and bounds of the admission queue.

use proptest::prelude::*;
use test_case::test_case;
use toucan_router::{
    AdmissionQueue, PoolKey, QueueEntry, QueueRefusal, QueueSettings, SchedulingShare,
};
use toucan_types::Tokens;

fn entry(class: &str, organisation: &str, at_ms: u64) -> QueueEntry {
    QueueEntry {
        class: class.into(),
        organisation: organisation.into(),
        deadline_ms: u64::MAX,
        cost_tokens: Tokens(100),
        enqueued_at_ms: at_ms,
        ..QueueEntry::default()
    }
}

fn two_ranks() -> QueueSettings {
    QueueSettings::default()
        .with_class("first", SchedulingShare::ranked(0))
        .with_class("second", SchedulingShare::ranked(1))
}

fn drain(queue: &mut AdmissionQueue<usize>, now_ms: u64) -> Vec<usize> {
    std::iter::from_fn(|| queue.pop(now_ms, |_, _| true))
        .map(|(item, _)| item)
        .collect()
}

#[test]
fn ranks_go_before_arrival_and_unnamed_classes_last() {
    let mut queue = AdmissionQueue::new(two_ranks());
    for (item, class) in ["other", "second", "first"].into_iter().enumerate() {
        queue.push(item, entry(class, "guild", 0), 0).unwrap();
    }
    assert_eq!(drain(&mut queue, 1), [2, 1, 0]);
}

#[test]
fn priority_then_arrival_within_an_organisation() {
    let mut queue = AdmissionQueue::new(two_ranks());
    for (item, priority) in [0, 5, 5, -1].into_iter().enumerate() {
        let entry = QueueEntry {
            priority,
            ..entry("first", "guild", 0)
        };
        queue.push(item, entry, 0).unwrap();
    }
    assert_eq!(drain(&mut queue, 1), [1, 2, 0, 3]);
}

#[test_case(3, 1, 75; "three to one")]
#[test_case(1, 1, 50; "even")]
fn organisations_share_by_weight(left: u32, right: u32, expected_left: usize) {
    let settings = QueueSettings::default()
        .with_organisation("left", SchedulingShare::weighted(left))
        .with_organisation("right", SchedulingShare::weighted(right));
    let mut queue = AdmissionQueue::new(settings);
    for item in 0..200 {
        let organisation = if item % 2 == 0 { "left" } else { "right" };
        queue
            .push(item, entry("any", organisation, 0), 0)
            .expect("there is a place");
    }
    let served: Vec<_> = (0..100).filter_map(|_| queue.pop(1, |_, _| true)).collect();
    let of_left = served.iter().filter(|(item, _)| item % 2 == 0).count();
    assert!(of_left.abs_diff(expected_left) <= 1, "{of_left}");
}

#[test]
fn an_idle_organisation_saves_no_credit() {
    let mut queue = AdmissionQueue::new(QueueSettings::default());
    for item in 0..50 {
        queue.push(item, entry("any", "busy", 0), 0).unwrap();
    }
    for _ in 0..40 {
        queue.pop(1, |_, _| true);
    }
    for item in 50..60 {
        queue.push(item, entry("any", "idle", 1), 1).unwrap();
    }
    let next: Vec<_> = (0..4).filter_map(|_| queue.pop(2, |_, _| true)).collect();
    let of_idle = next.iter().filter(|(item, _)| *item >= 50).count();
    assert_eq!(of_idle, 2);
}

/// 101 dispatches while the first class always has work: the credit of 20 pays for the 21st.
#[test_case(QueueSettings::default().aged_share.0, 5; "ageing")]
#[test_case(0, 0; "strict")]
fn only_strict_order_starves(aged_permille: u32, expected: usize) {
    let mut settings = two_ranks();
    settings.aged_share.0 = aged_permille;
    let mut queue = AdmissionQueue::new(settings);
    for item in 0..20 {
        queue
            .push(item, entry("second", "guild", 0), 0)
            .expect("there is a place");
    }
    let mut of_second = 0;
    for turn in 0..101 {
        let now_ms = 10_000 + turn;
        // Attempts without a free place earn the low rank nothing.
        for _ in 0..50 {
            assert!(queue.pop(now_ms, |_, _| false).is_none());
        }
        queue
            .push(1_000, entry("first", "guild", now_ms), now_ms)
            .expect("there is a place");
        let (item, _) = queue.pop(now_ms, |_, _| true).expect("work waits");
        of_second += usize::from(item < 20);
    }
    assert_eq!(of_second, expected);
}

#[test]
fn a_saturated_pool_does_not_hold_up_another_one() {
    let mut queue = AdmissionQueue::new(two_ranks());
    for item in 0..10 {
        let pool = PoolKey(u64::from(item == 9));
        let entry = QueueEntry {
            pool,
            ..entry("first", "guild", 0)
        };
        queue.push(item, entry, 0).unwrap();
    }
    let mut asked = 0;
    let popped = queue.pop(1, |entry, _| {
        asked += 1;
        entry.pool == PoolKey(1)
    });
    assert_eq!(popped.map(|(item, _)| item), Some(9));
    assert_eq!(asked, 2);
    assert!(queue.pop(1, |_, _| false).is_none());
}

/// Ten requests a second are served; a request with 300 ms left behind 20 others is refused at once.
#[test]
fn hopeless_work_is_refused_at_once_and_told_when_to_return() {
    let mut queue = AdmissionQueue::new(QueueSettings::default());
    for item in 0..40 {
        queue.push(item, entry("any", "guild", 0), 0).unwrap();
    }
    for turn in 1..=20 {
        queue.pop(turn * 100, |_, _| true);
    }
    let late = QueueEntry {
        deadline_ms: 2_300,
        ..entry("any", "guild", 2_000)
    };
    let refusal = queue.push(99, late, 2_000).unwrap_err();
    let QueueRefusal::TooLate {
        estimated_wait_ms,
        retry_after_ms,
    } = refusal
    else {
        panic!("{refusal}");
    };
    assert!(
        (1_800..=2_200).contains(&estimated_wait_ms),
        "{estimated_wait_ms}"
    );
    assert!(
        (1_500..=2_400).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    let in_time = QueueEntry {
        deadline_ms: 5_000,
        ..entry("any", "guild", 2_000)
    };
    assert!(queue.push(100, in_time, 2_000).is_ok());
}

#[test]
fn the_time_of_service_counts_before_the_deadline() {
    let mut queue = AdmissionQueue::new(QueueSettings::default());
    let entry = QueueEntry {
        deadline_ms: 1_000,
        service_ms: 600,
        ..entry("any", "guild", 0)
    };
    queue.push(0, entry.clone(), 0).unwrap();
    assert_eq!(queue.next_expiry_ms(), Some(401));
    assert!(queue.take_refused(400).is_empty());
    let refused = queue.take_refused(401);
    assert!(matches!(refused[0].refusal, QueueRefusal::Expired { .. }));
    assert!(matches!(
        queue.push(1, entry, 401),
        Err(QueueRefusal::TooLate { .. })
    ));
}

#[test]
fn an_expired_entry_is_never_served() {
    let mut queue = AdmissionQueue::new(QueueSettings::default());
    let short = QueueEntry {
        deadline_ms: 10,
        ..entry("any", "guild", 0)
    };
    queue.push(0, short, 0).unwrap();
    assert!(queue.pop(11, |_, _| true).is_none());
    assert_eq!(queue.take_refused(11).len(), 1);
}

#[test]
fn a_full_queue_gives_places_by_order_and_to_the_shorter_lane() {
    let mut queue = AdmissionQueue::new(two_ranks().with_capacity(3));
    for item in 0..3 {
        queue.push(item, entry("second", "greedy", 0), 0).unwrap();
    }
    assert!(matches!(
        queue.push(3, entry("second", "greedy", 0), 0),
        Err(QueueRefusal::Full { .. })
    ));
    queue.push(4, entry("second", "modest", 0), 0).unwrap();
    queue.push(5, entry("first", "guild", 0), 0).unwrap();
    let displaced: Vec<usize> = queue
        .take_refused(0)
        .into_iter()
        .map(|refused| refused.item)
        .collect();
    assert_eq!(displaced, [2, 1]);
    assert_eq!(drain(&mut queue, 1), [5, 0, 4]);
}

#[test]
fn a_refused_estimate_recovers_once_the_queue_is_empty() {
    let mut queue = AdmissionQueue::new(QueueSettings::default());
    let long = |at_ms| QueueEntry {
        deadline_ms: at_ms + 5_000,
        ..entry("any", "guild", at_ms)
    };
    queue.push(0, long(0), 0).unwrap();
    queue.push(1, long(0), 0).unwrap();
    // Nothing is served for 4 s: no further request can be in time.
    assert!(queue.pop(4_000, |_, _| false).is_none());
    assert!(queue.push(2, long(4_000), 4_000).is_err());
    assert_eq!(queue.take_refused(6_000).len(), 2);
    assert!(queue.push(3, long(6_000), 6_000).is_ok());
}

#[test]
fn a_changed_order_holds_for_what_waits() {
    let mut queue = AdmissionQueue::new(two_ranks());
    queue.push(0, entry("first", "guild", 0), 0).unwrap();
    queue.push(1, entry("second", "guild", 0), 0).unwrap();
    let turned = QueueSettings::default()
        .with_class("first", SchedulingShare::ranked(1))
        .with_class("second", SchedulingShare::ranked(0));
    queue.set_settings(turned);
    assert_eq!(drain(&mut queue, 1), [1, 0]);
}

#[derive(Clone, Debug)]
enum Step {
    Push {
        class: u8,
        organisation: u8,
        deadline_ms: u64,
    },
    Pop,
    Remove(usize),
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u8, 0..3_u8, 0..2_000_u64)
            .prop_map(|(class, organisation, deadline_ms)| Step::Push { class, organisation, deadline_ms }),
        3 => Just(Step::Pop),
        1 => (0..100_usize).prop_map(Step::Remove),
        1 => Just(Step::Expire),
    ]
}

proptest! {
    /// Each request leaves exactly once: served, removed or refused; the bound holds.
    #[test]
    fn nothing_is_lost_or_doubled(steps in proptest::collection::vec(step(), 1..200)) {
        let mut queue = AdmissionQueue::new(two_ranks().with_capacity(8));
        let mut ids = Vec::new();
        let mut left = Vec::new();
        for (at, step) in steps.iter().enumerate() {
            let now_ms = at as u64 * 10;
            match step {
                Step::Push { class, organisation, deadline_ms } => {
                    let class = ["first", "second", "third"][usize::from(*class)];
                    let entry = QueueEntry {
                        deadline_ms: now_ms + deadline_ms,
                        ..entry(class, &organisation.to_string(), now_ms)
                    };
                    let item = ids.len();
                    if let Ok(id) = queue.push(item, entry, now_ms) {
                        ids.push(id);
                    }
                }
                Step::Pop => left.extend(queue.pop(now_ms, |_, _| true).map(|(item, _)| item)),
                Step::Remove(at) => left.extend(ids.get(*at).and_then(|id| queue.remove(*id))),
                Step::Expire => left.extend(queue.take_refused(now_ms).into_iter().map(|refused| refused.item)),
            }
            prop_assert!(queue.len() <= 8);
            let by_class: usize = queue.class_entries().map(|(_, entries)| entries).sum();
            prop_assert_eq!(by_class, queue.len());
        }
        left.extend(drain(&mut queue, 0));
        left.extend(queue.take_refused(u64::MAX).into_iter().map(|refused| refused.item));
        left.sort_unstable();
        prop_assert_eq!(left, (0..ids.len()).collect::<Vec<_>>());
        prop_assert!(queue.is_empty());
    }
}
