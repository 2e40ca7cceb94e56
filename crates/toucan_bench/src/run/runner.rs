//! One run: load together with faults, then the check of the history.

use std::io;
use std::time::Duration;

use tokio::time::Instant;

use super::{RunResult, RunSettings};
use crate::checker::{CheckResult, check};
use crate::fleet::Fleet;
use crate::history::History;
use crate::load::{LoadDriver, Progress, Recorder};
use crate::plan::{Action, Plan, Scenario};
use crate::profile::FleetProfile;

/// Interval of progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Finished run.
#[derive(Clone, Debug)]
pub struct FinishedRun {
    /// Result of the run.
    pub result: RunResult,
    /// History of the run.
    pub history: History,
    /// Result of checking the history.
    pub check_result: CheckResult,
}

/// Runs a scenario and checks its history; calls `report` every second with the progress.
///
/// # Errors
/// Returns an error if the scenario or profile is unknown or the fleet does not start.
pub async fn run_scenario(
    settings: &RunSettings,
    report: impl Fn(Duration, Progress),
) -> io::Result<FinishedRun> {
    let unknown = |what: &str, name: &str| {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("unknown {what} {name}"),
        )
    };
    let scenario = Scenario::from_name(&settings.scenario)
        .ok_or_else(|| unknown("scenario", &settings.scenario))?;
    let profile = FleetProfile::from_name(&settings.profile)
        .ok_or_else(|| unknown("profile", &settings.profile))?;
    let plan = scenario.plan(profile, settings.seed, settings.seconds);
    let fleet = Fleet::start(&plan).await?;
    let history = run_plan(&fleet, plan, report).await;
    fleet.shut_down().await;
    let check_result = check(&history);
    Ok(FinishedRun {
        result: RunResult::new(settings.clone(), &history, &check_result),
        history,
        check_result,
    })
}

/// Runs the load and the actions of a plan against a fleet and returns the history.
pub async fn run_plan(fleet: &Fleet, plan: Plan, report: impl Fn(Duration, Progress)) -> History {
    let recorder = Recorder::default();
    let duration_ms = plan.load.duration_ms;
    let driver = LoadDriver::new(
        plan.profile,
        fleet.document().callers.clone(),
        plan.load,
        fleet.directory().clone(),
    );
    fleet.start_counting();
    let start = Instant::now();
    let load = tokio::spawn(driver.run(recorder.clone()));
    let actions = tokio::spawn(perform_actions(
        fleet.clone(),
        plan.actions,
        start,
        duration_ms,
    ));
    while !(load.is_finished() && actions.is_finished()) {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        report(start.elapsed(), recorder.progress());
    }
    fleet
        .collect_history(recorder.finished(), duration_ms)
        .await
}

/// Performs actions at their times, and ends all remaining faults at the end of the load.
async fn perform_actions(
    fleet: Fleet,
    actions: Vec<(u64, Action)>,
    start: Instant,
    duration_ms: u64,
) {
    for (at_ms, action) in actions {
        let at_ms = at_ms.min(duration_ms);
        tokio::time::sleep_until(start + Duration::from_millis(at_ms)).await;
        log::info!("{at_ms} ms: {action:?}");
        fleet.perform(&action).await;
    }
    tokio::time::sleep_until(start + Duration::from_millis(duration_ms)).await;
    fleet.end_faults();
}
