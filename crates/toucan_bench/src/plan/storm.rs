//! Random faults of all kinds, overlapping in time.

use rand::Rng;
use rand::rngs::StdRng;

use super::Action;
use crate::profile::FleetProfile;

/// Number of kinds of faults.
const FAULT_KINDS: u64 = 12;
/// Range of the duration of a fault, in percent of the run.
const FAULT_DURATION_PERCENT: std::ops::Range<u64> = 8..30;
/// Range of the start of a fault, in percent of the run.
const START_PERCENT: std::ops::Range<u64> = 5..70;
/// Fraction of dropped responses, in thousandths.
const LOST_ANSWERS_PERMILLE: u64 = 250;
/// Delay of a slow log, in milliseconds.
const SLOW_LOG_MS: u64 = 400;

/// Returns two faults of each kind at random times in random places, unsorted.
pub(crate) fn draw_faults(
    profile: &FleetProfile,
    duration_ms: u64,
    random: &mut StdRng,
) -> Vec<(u64, Action)> {
    let mut actions = Vec::new();
    let mut routers: Vec<usize> = (0..profile.routers().len()).collect();
    for kind in (0..FAULT_KINDS).chain(0..FAULT_KINDS) {
        let start_percent = random.random_range(START_PERCENT);
        let end_percent = start_percent + random.random_range(FAULT_DURATION_PERCENT);
        let start_ms = duration_ms * start_percent / 100;
        let end_ms = duration_ms * end_percent / 100;
        let data_centres = profile.data_centres.len();
        let data_centre = random.random_range(0..data_centres);
        let other_data_centre = (data_centre + 1) % data_centres;
        let engine = random.random_range(0..profile.engines);
        let mut add_pair = |start: Action, end: Action| {
            actions.push((start_ms, start));
            actions.push((end_ms, end));
        };
        match kind {
            0 => add_pair(
                Action::Isolate(data_centre, true),
                Action::Isolate(data_centre, false),
            ),
            1 => add_pair(
                Action::CutBetween(data_centre, other_data_centre, true),
                Action::CutBetween(data_centre, other_data_centre, false),
            ),
            2 => add_pair(
                Action::CutFromPlatform(data_centre, true),
                Action::CutFromPlatform(data_centre, false),
            ),
            3 => add_pair(Action::LogDown(true), Action::LogDown(false)),
            4 => add_pair(Action::LogSlow(SLOW_LOG_MS), Action::LogSlow(0)),
            5 => add_pair(
                Action::LogLosesAnswers(LOST_ANSWERS_PERMILLE),
                Action::LogLosesAnswers(0),
            ),
            6 => add_pair(
                Action::ServiceLosesAnswers(LOST_ANSWERS_PERMILLE),
                Action::ServiceLosesAnswers(0),
            ),
            7 => add_pair(
                Action::EngineSilent(engine, true),
                Action::EngineSilent(engine, false),
            ),
            8 => add_pair(
                Action::EngineDead(engine, true),
                Action::EngineDead(engine, false),
            ),
            9 => add_pair(Action::SilenceConnections, Action::RaceEdits),
            10 => add_pair(
                Action::EngineLeaves(engine),
                Action::TopUp(data_centre, 20_000),
            ),
            _ => {
                // Each router gets at most one fault of its own, and only while more than half of the
                // routers have none, so that half of them keep running.
                if routers.len() * 2 > profile.routers().len() {
                    let index = random.random_range(0..routers.len());
                    let router = routers.swap_remove(index);
                    let start = match random.random_range(0..3) {
                        0 => Action::KillRouter(router),
                        1 => Action::StopRouter(router),
                        _ => Action::PauseRouter(router, true),
                    };
                    let end = match start {
                        Action::PauseRouter(..) => Action::PauseRouter(router, false),
                        _ => Action::ReplaceRouter(router),
                    };
                    add_pair(start, end);
                }
            }
        }
    }
    actions
}
