//! Tests of the shares of organisations while targets are behind.

use rand::{Rng, SeedableRng, rngs::StdRng};
use toucan_gateway::overload::{FairShares, are_targets_behind, overload_retry_after_ms};
use toucan_types::OrganisationName;

const ORGANISATIONS: usize = 24;
const GATEWAYS: usize = 61;
/// Interval of load messages.
const INTERVAL_MS: u64 = 610;
const CALL_TOKENS: u64 = 5_000;
const OBJECTIVE_MS: u64 = 1_000;
const LEFT_MS: u64 = 10_000;
/// Time that all engines together need for a call.
const CALL_MS: f64 = 4.0;

/// Simulates gateways in front of engines that serve calls in order, at this part of their capacity. From
/// 10 s to 16.5 s the first organisation makes 7.5 times its calls.
///
/// Returns the served parts of the calls of the first organisation and of all others during that time.
fn simulate(load: f64, seed: u64) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut gateways = vec![FairShares::default(); GATEWAYS];
    let names: Vec<OrganisationName> = (0..ORGANISATIONS)
        .map(|at| OrganisationName::from(format!("o{at}").as_str()))
        .collect();
    let (mut made, mut served) = ([0.0; 2], [0.0; 2]);
    let (mut free_at_ms, mut now_ms) = (0.0_f64, 0.0_f64);
    let mut next_report_ms = 0;
    while now_ms < 16_500.0 {
        let is_surge = now_ms >= 10_000.0;
        let weight = if is_surge { 7.5 } else { 1.0 };
        let total = ORGANISATIONS as f64 - 1.0 + weight;
        now_ms += -CALL_MS * ORGANISATIONS as f64 / (load * total)
            * random.random_range(f64::EPSILON..1.0).ln();
        let at_ms = now_ms as u64;
        if at_ms >= next_report_ms {
            next_report_ms = at_ms + INTERVAL_MS;
            for from in 0..GATEWAYS {
                let report = gateways[from].report(at_ms);
                for (to, gateway) in gateways.iter_mut().enumerate() {
                    if to != from {
                        gateway.apply_report(from as u64, report.clone(), at_ms);
                    }
                }
            }
        }
        let drawn = random.random_range(0.0..total);
        let organisation = (drawn - weight).max(-1.0).floor() as i64 + 1;
        let name = &names[organisation as usize];
        let shares = &mut gateways[random.random_range(0..GATEWAYS)];
        let backlog_ms = (free_at_ms - now_ms).max(0.0);
        shares.record_offered(name, CALL_TOKENS, at_ms);
        let exceeds =
            are_targets_behind(backlog_ms, OBJECTIVE_MS) && shares.exceeds_share(name, at_ms);
        let is_served =
            !exceeds && overload_retry_after_ms(backlog_ms, OBJECTIVE_MS, LEFT_MS).is_none();
        if is_served {
            shares.record_admitted(name, CALL_TOKENS, at_ms);
            free_at_ms = free_at_ms.max(now_ms) + CALL_MS;
        }
        let group = usize::from(organisation > 0);
        if is_surge {
            made[group] += 1.0;
            served[group] += f64::from(u8::from(is_served));
        }
    }
    (served[0] / made[0], served[1] / made[1])
}

/// Fails if an organisation that makes many more calls than usual takes the share of the others.
#[test]
fn surge_of_one_organisation_costs_the_others_little() {
    for load in [0.95, 1.0] {
        for seed in 0..10 {
            let (surging, others) = simulate(load, seed);
            let figures = format!("load {load}, seed {seed}: {surging:.3} {others:.3}");
            assert!(others >= 0.95, "{figures}");
            assert!(surging <= others, "{figures}");
        }
    }
}

/// Fails if shares that others do not use are lost.
#[test]
fn unused_shares_are_lent() {
    for seed in 0..10 {
        assert_eq!(simulate(0.4, seed), (1.0, 1.0), "seed {seed}");
    }
}
