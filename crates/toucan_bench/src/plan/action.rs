//! Faults and operators' actions with their times.

use crate::load::LoadSettings;
use crate::profile::FleetProfile;

/// One fault or operator action; routers, engines, data centres and organisations are given by
/// index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Partitions a data centre from the platform and all other data centres, or reconnects it.
    Isolate(usize, bool),
    /// Partitions a data centre from the platform only, or reconnects it.
    CutFromPlatform(usize, bool),
    /// Partitions two data centres from each other, or reconnects them.
    CutBetween(usize, usize, bool),
    /// Makes the log unavailable, or available again.
    LogDown(bool),
    /// Delays each call to the log, in milliseconds.
    LogSlow(u64),
    /// Drops this many thousandths of the responses of the log, after the append.
    LogLosesAnswers(u64),
    /// Drops this many thousandths of the responses of the plain service, after the run.
    ServiceLosesAnswers(u64),
    /// Kills a router; its VM is destroyed.
    KillRouter(usize),
    /// Stops a router as planned.
    StopRouter(usize),
    /// Starts a new VM for a router that was killed or stopped.
    ReplaceRouter(usize),
    /// Pauses the whole process of a router, or resumes it.
    PauseRouter(usize, bool),
    /// Makes an engine announce that it is leaving.
    EngineLeaves(usize),
    /// Makes an engine stop responding, or resume.
    EngineSilent(usize, bool),
    /// Crashes an engine, or restarts it without state.
    EngineDead(usize, bool),
    /// Makes all open connections between VMs and to the platform stop delivering data; new
    /// connections work.
    SilenceConnections,
    /// Adds tokens to the budget of an organisation, as an edit of the finance team.
    TopUp(usize, u64),
    /// Publishes two conflicting edits of the same section with the same base version.
    RaceEdits,
}

impl Action {
    /// Returns whether the action lets delayed data be delivered.
    #[must_use]
    pub fn is_heal(&self) -> bool {
        matches!(
            self,
            Self::Isolate(_, false)
                | Self::CutBetween(_, _, false)
                | Self::EngineSilent(_, false)
                | Self::PauseRouter(_, false)
        )
    }
}

/// Fleet, load and actions of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Profile of the fleet.
    pub profile: FleetProfile,
    /// Settings of the load.
    pub load: LoadSettings,
    /// Actions with their times since the start of the load, in milliseconds.
    pub actions: Vec<(u64, Action)>,
}

impl Plan {
    /// Returns the indices of the routers that the plan pauses.
    #[must_use]
    pub fn paused_routers(&self) -> Vec<usize> {
        let actions = self.actions.iter();
        let paused = actions.filter_map(|(_, action)| match action {
            Action::PauseRouter(index, true) => Some(*index),
            _ => None,
        });
        paused.collect()
    }
}
