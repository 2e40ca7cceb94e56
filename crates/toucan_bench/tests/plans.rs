//! Scenarios: the list is complete, and plans depend only on the seed and fit the fleet.

use test_case::test_case;
use toucan_bench::{Action, FleetProfile, RunSettings, Scenario};

#[test]
fn all_scenarios_are_listed() {
    let names: Vec<&str> = Scenario::ALL.iter().map(|scenario| scenario.name).collect();
    let expected = [
        "steady",
        "partition",
        "top-up-in-partition",
        "log-outage",
        "log-lossy",
        "router-death",
        "paused-holder",
        "replace-all",
        "scarcity",
        "drain",
        "planned-stop",
        "silent-links",
        "racing-edits",
        "overload",
        "storm",
    ];
    assert_eq!(names, expected);
}

#[test_case("co-operative")]
#[test_case("forge")]
#[test_case("demo")]
fn plan_is_deterministic_and_fits_the_fleet(profile: &str) {
    let profile = FleetProfile::from_name(profile).expect("a known profile");
    let routers = profile.routers().len();
    for scenario in Scenario::ALL {
        for seed in 1..20 {
            let plan = scenario.plan(profile.clone(), seed, 20);
            let again = scenario.plan(profile.clone(), seed, 20);
            assert_eq!(plan.actions, again.actions);
            let is_fitting = plan.actions.iter().all(|(_, action)| match action {
                Action::KillRouter(index)
                | Action::StopRouter(index)
                | Action::ReplaceRouter(index)
                | Action::PauseRouter(index, _) => *index < routers,
                Action::EngineLeaves(index)
                | Action::EngineSilent(index, _)
                | Action::EngineDead(index, _) => *index < profile.engines,
                _ => true,
            });
            assert!(is_fitting, "{} seed {seed}", scenario.name);
        }
    }
}

#[test]
fn storm_plans_differ_by_seed() {
    let storm = Scenario::from_name("storm").expect("it is there");
    let profile = FleetProfile::co_operative();
    let one = storm.plan(profile.clone(), 1, 20).actions;
    let other = storm.plan(profile, 2, 20).actions;
    assert_ne!(one, other);
}

#[test]
fn run_command_names_its_settings() {
    let settings = RunSettings::default();
    let command = settings.command();
    assert!(command.starts_with("toucan_bench run steady --profile co-operative --seed 1"));
}
