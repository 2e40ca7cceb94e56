//! Tests of when gateways move callers to others of their data centre.

use toucan_gateway::overload::{Relief, ReliefPhase, UtilisationReport};

const GATEWAYS: usize = 20;
/// Interval of load messages.
const INTERVAL_MS: u64 = 610;

/// Gateways of one data centre that report to each other, each report one interval old.
struct Fleet {
    reliefs: Vec<Relief>,
    now_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            reliefs: vec![Relief::new(0); GATEWAYS],
            now_ms: 0,
        }
    }

    /// Runs one interval, in which those that `hears` each other exchange reports; returns which are active.
    fn step(
        &mut self,
        utilisation: impl Fn(usize) -> u32,
        hears: impl Fn(usize, usize) -> bool,
    ) -> Vec<usize> {
        let reported = self.reliefs.clone();
        self.now_ms += INTERVAL_MS;
        for (at, relief) in self.reliefs.iter_mut().enumerate() {
            let others = (0..GATEWAYS).filter(|other| *other != at && hears(at, *other));
            let reports: Vec<UtilisationReport> = others
                .map(|other| UtilisationReport {
                    id: other as u64,
                    utilisation_permille: utilisation(other),
                    phase: reported[other].phase(),
                    received_at_ms: self.now_ms - INTERVAL_MS,
                })
                .collect();
            relief.update(at as u64, utilisation(at), &reports, self.now_ms);
        }
        let all = self.reliefs.iter().enumerate();
        all.filter(|(_at, relief)| relief.is_active())
            .map(|(at, _relief)| at)
            .collect()
    }
}

/// Fails if too many gateways are not ready at the same time, or one of them for too long, or none at all.
#[test]
fn at_most_a_quarter_moves_callers_and_for_a_short_time() {
    let mut fleet = Fleet::new();
    let utilisation = |at| if at % 3 == 0 { 1_900 } else { 100 };
    let mut active_steps = [0_u64; GATEWAYS];
    let steps = 300_000 / INTERVAL_MS;
    for _step in 0..steps {
        let active = fleet.step(utilisation, |_at, _other| true);
        assert!(active.len() <= GATEWAYS / 4, "{active:?}");
        assert!(active.iter().all(|at| at % 3 == 0), "{active:?}");
        for at in active {
            active_steps[at] += 1;
        }
    }
    assert!(active_steps[0] > 0);
    let longest = active_steps.iter().max().expect("there are gateways");
    assert!(longest * 10 < steps, "{longest} of {steps}");
}

/// Fails if gateways become unready although no other one could take their callers.
#[test]
fn equal_load_moves_nobody() {
    let mut fleet = Fleet::new();
    for _step in 0..200 {
        let active = fleet.step(|at| 1_400 + at as u32 * 20, |_at, _other| true);
        assert!(active.is_empty(), "{active:?}");
    }
}

/// Fails if a gateway that is cut off from the others becomes unready, or stays so after it was cut off.
#[test]
fn gateway_that_hears_from_no_other_stays_ready() {
    let utilisation = |at| if at == 0 { 3_000 } else { 100 };
    let mut fleet = Fleet::new();
    for _step in 0..200 {
        assert!(fleet.step(utilisation, |_at, _other| false).is_empty());
    }
    while fleet.step(utilisation, |_at, _other| true).is_empty() {
        assert!(fleet.now_ms < 200_000);
    }
    assert!(fleet.step(utilisation, |_at, _other| false).is_empty());
}

/// Fails if reports of gateways that have died count.
#[test]
fn old_reports_are_ignored() {
    let mut relief = Relief::new(0);
    let old = UtilisationReport {
        id: 1,
        utilisation_permille: 0,
        phase: ReliefPhase::None,
        received_at_ms: 50_000,
    };
    for now_ms in (53_001..120_000).step_by(610) {
        relief.update(0, 2_000, &[old; 10], now_ms);
        assert_eq!(relief.phase(), ReliefPhase::None);
    }
}
