//! Scenarios by name.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::storm::draw_faults;
use super::{Action, Plan};
use crate::load::LoadSettings;
use crate::profile::FleetProfile;

/// Average number of tokens that a request of the load uses.
const MEAN_REQUEST_TOKENS: u64 = 100;

/// Named scenario that plans load and faults for a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    configure: fn(&mut PlanBuilder<'_>),
}

/// Plan under construction.
struct PlanBuilder<'a> {
    plan: &'a mut Plan,
    random: StdRng,
    duration_ms: u64,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: &'static [Self] = &[
        Self::new("steady", "no fault", |_| {}),
        Self::new(
            "partition",
            "a data centre is cut off from all others",
            partition,
        ),
        Self::new(
            "top-up-in-partition",
            "short budgets are topped up while a data centre is cut off",
            top_up_in_partition,
        ),
        Self::new(
            "log-outage",
            "the log is down for a third of the run",
            log_outage,
        ),
        Self::new(
            "log-lossy",
            "the log and the service lose answers, the log is slow",
            log_lossy,
        ),
        Self::new(
            "router-death",
            "routers die with streams open and are replaced",
            router_crashes,
        ),
        Self::new(
            "paused-holder",
            "routers halt for long and go on",
            paused_routers,
        ),
        Self::new(
            "replace-all",
            "every router is replaced, one after the other",
            replace_all,
        ),
        Self::new("scarcity", "budgets cover half of the load", scarcity),
        Self::new("drain", "engines announce that they leave", drain),
        Self::new(
            "planned-stop",
            "routers are stopped in a planned way",
            planned_stop,
        ),
        Self::new("silent-links", "open connections go silent", silent_links),
        Self::new(
            "racing-edits",
            "operators edit the same section at once",
            racing_edits,
        ),
        Self::new(
            "overload",
            "several times the load that the engines can carry",
            overload,
        ),
        Self::new(
            "storm",
            "all faults drawn by seed, together and twice",
            storm,
        ),
    ];

    const fn new(
        name: &'static str,
        about: &'static str,
        configure: fn(&mut PlanBuilder<'_>),
    ) -> Self {
        Self {
            name,
            about,
            configure,
        }
    }

    /// Returns the scenario with a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<&'static Self> {
        Self::ALL.iter().find(|scenario| scenario.name == name)
    }

    /// Returns the plan for a fleet, a seed and a duration in seconds.
    #[must_use]
    pub fn plan(&self, profile: FleetProfile, seed: u64, seconds: u64) -> Plan {
        let duration_ms = seconds * 1_000;
        let mut plan = Plan {
            load: LoadSettings {
                requests_per_s: profile.requests_per_s,
                duration_ms,
                seed,
                ..LoadSettings::default()
            },
            profile,
            actions: Vec::new(),
        };
        let mut builder = PlanBuilder {
            plan: &mut plan,
            random: StdRng::seed_from_u64(seed),
            duration_ms,
        };
        (self.configure)(&mut builder);
        plan.actions.sort_by_key(|(at_ms, _)| *at_ms);
        plan
    }
}

impl PlanBuilder<'_> {
    /// Adds an action at a percentage of the run.
    fn add_at(&mut self, percent: u64, action: Action) {
        let at_ms = self.duration_ms * percent / 100;
        self.plan.actions.push((at_ms, action));
    }

    fn draw_data_centre(&mut self) -> usize {
        let count = self.plan.profile.data_centres.len();
        self.random.random_range(0..count)
    }

    /// Returns the indices of all routers in random order.
    fn shuffled_routers(&mut self) -> Vec<usize> {
        let mut routers: Vec<usize> = (0..self.plan.profile.routers().len()).collect();
        for last in (1..routers.len()).rev() {
            let other = self.random.random_range(0..=last);
            routers.swap(last, other);
        }
        routers
    }

    /// Sets the budgets so that they cover this percentage of the expected load.
    fn set_budget_coverage(&mut self, percent: u64) {
        let requests = self.plan.load.requests_per_s * self.duration_ms / 1_000;
        let total_tokens = requests * MEAN_REQUEST_TOKENS * percent / 100;
        let profile = self.plan.profile.clone();
        self.plan.profile = profile.with_purchased_total(total_tokens);
    }
}

fn partition(builder: &mut PlanBuilder<'_>) {
    let data_centre = builder.draw_data_centre();
    builder.add_at(25, Action::Isolate(data_centre, true));
    builder.add_at(65, Action::Isolate(data_centre, false));
}

fn top_up_in_partition(builder: &mut PlanBuilder<'_>) {
    partition(builder);
    builder.set_budget_coverage(60);
    for organisation in 0..builder.plan.profile.organisations.len() {
        let purchased_tokens = builder.plan.profile.organisations[organisation].purchased_tokens;
        builder.add_at(40, Action::TopUp(organisation, purchased_tokens / 2));
        builder.add_at(75, Action::TopUp(organisation, purchased_tokens / 2));
    }
}

fn log_outage(builder: &mut PlanBuilder<'_>) {
    builder.add_at(30, Action::LogDown(true));
    builder.add_at(65, Action::LogDown(false));
}

fn log_lossy(builder: &mut PlanBuilder<'_>) {
    builder.add_at(10, Action::LogLosesAnswers(300));
    builder.add_at(20, Action::ServiceLosesAnswers(100));
    builder.add_at(40, Action::LogSlow(300));
    builder.add_at(70, Action::LogSlow(0));
}

fn router_crashes(builder: &mut PlanBuilder<'_>) {
    for (index, router) in builder.shuffled_routers().into_iter().take(3).enumerate() {
        let percent = 20 + 25 * index as u64;
        builder.add_at(percent, Action::KillRouter(router));
        builder.add_at(percent + 12, Action::ReplaceRouter(router));
    }
}

fn paused_routers(builder: &mut PlanBuilder<'_>) {
    for router in builder.shuffled_routers().into_iter().take(2) {
        builder.add_at(25, Action::PauseRouter(router, true));
        builder.add_at(65, Action::PauseRouter(router, false));
    }
}

fn replace_all(builder: &mut PlanBuilder<'_>) {
    let routers = builder.shuffled_routers();
    let step = 80 / routers.len() as u64;
    for (index, router) in routers.into_iter().enumerate() {
        let percent = 10 + step * index as u64;
        builder.add_at(percent, Action::StopRouter(router));
        builder.add_at(percent + step / 2, Action::ReplaceRouter(router));
    }
}

fn scarcity(builder: &mut PlanBuilder<'_>) {
    builder.set_budget_coverage(50);
}

fn drain(builder: &mut PlanBuilder<'_>) {
    let engines = builder.plan.profile.engines;
    for (index, engine) in (0..engines / 2).enumerate() {
        builder.add_at(15 + 10 * (index as u64 % 4), Action::EngineLeaves(engine));
    }
}

fn planned_stop(builder: &mut PlanBuilder<'_>) {
    for (index, router) in builder.shuffled_routers().into_iter().take(3).enumerate() {
        let percent = 20 + 25 * index as u64;
        builder.add_at(percent, Action::StopRouter(router));
        builder.add_at(percent + 15, Action::ReplaceRouter(router));
    }
}

fn silent_links(builder: &mut PlanBuilder<'_>) {
    for percent in [25, 50, 75] {
        builder.add_at(percent, Action::SilenceConnections);
    }
}

fn racing_edits(builder: &mut PlanBuilder<'_>) {
    for percent in (5..95).step_by(5) {
        builder.add_at(percent, Action::RaceEdits);
    }
}

fn overload(builder: &mut PlanBuilder<'_>) {
    builder.plan.load.requests_per_s *= 6;
}

fn storm(builder: &mut PlanBuilder<'_>) {
    builder.set_budget_coverage(120);
    let actions = draw_faults(
        &builder.plan.profile,
        builder.duration_ms,
        &mut builder.random,
    );
    builder.plan.actions.extend(actions);
}
