//! Performs faults and operators' actions.

use toucan_platform::formats::VmState;

use super::Fleet;
use crate::clock::now_ms;
use crate::plan::Action;

impl Fleet {
    /// Performs one action; a planned stop continues in the background.
    pub async fn perform(&self, action: &Action) {
        let standins = &self.standins;
        let platform = &standins.platform;
        let log = &platform.log;
        if action.is_heal() {
            self.record_heal(now_ms());
        }
        match *action {
            Action::Isolate(index, cut) => self.isolate(index, cut),
            Action::CutFromPlatform(index, cut) => {
                platform.set_platform_partition(&self.data_centre(index), cut);
            }
            Action::CutBetween(one, other, cut) => {
                platform.set_partition_between(
                    &self.data_centre(one),
                    &self.data_centre(other),
                    cut,
                );
            }
            Action::LogDown(down) => log.set_down(down),
            Action::LogSlow(slow_ms) => log.set_delay_ms(slow_ms),
            Action::LogLosesAnswers(permille) => log.set_response_loss_permille(permille),
            Action::ServiceLosesAnswers(permille) => {
                let services = standins.services.iter();
                services.for_each(|service| service.set_response_loss_permille(permille));
            }
            Action::KillRouter(index) => self.nodes.kill(index).await,
            Action::StopRouter(index) => self.stop_router(index),
            Action::ReplaceRouter(index) => {
                if let Err(error) = self.nodes.start(index).await {
                    log::error!("failed to replace a router: {error}");
                }
            }
            Action::PauseRouter(index, paused) => self.nodes.set_paused(index, paused),
            Action::EngineLeaves(index) => {
                if let Some(engine) = standins.engines.get(index) {
                    engine.set_leaving(true);
                    platform.vm_list.set_state(engine.name(), VmState::Leaving);
                }
            }
            Action::EngineSilent(index, silent) => {
                let engine = standins.engines.get(index);
                engine
                    .into_iter()
                    .for_each(|engine| engine.set_silent(silent));
            }
            Action::EngineDead(index, dead) => {
                let engine = standins.engines.get(index);
                engine
                    .into_iter()
                    .for_each(|engine| engine.set_crashed(dead));
            }
            Action::SilenceConnections => {
                self.record_silence(now_ms());
                platform.silence_all_connections();
            }
            Action::TopUp(index, tokens) => {
                if let Some(caller) = self.document.callers.get(index) {
                    self.operator.top_up(&caller.budget, tokens);
                }
            }
            Action::RaceEdits => self.operator.publish_conflicting_edits(),
        }
    }

    /// Ends all faults that can be ended.
    pub fn end_faults(&self) {
        self.record_heal(now_ms());
        let platform = &self.standins.platform;
        platform.log.set_down(false);
        platform.log.set_delay_ms(0);
        platform.log.set_response_loss_permille(0);
        for index in 0..self.profile.data_centres.len() {
            self.isolate(index, false);
        }
        for engine in &self.standins.engines {
            engine.set_silent(false);
            engine.set_crashed(false);
        }
        for service in &self.standins.services {
            service.set_response_loss_permille(0);
        }
        self.nodes.resume_all();
    }

    fn isolate(&self, index: usize, cut: bool) {
        let platform = &self.standins.platform;
        let here = self.data_centre(index);
        platform.set_platform_partition(&here, cut);
        for (other, _) in &self.profile.data_centres {
            if *other != here {
                platform.set_partition_between(&here, other, cut);
            }
        }
    }

    fn stop_router(&self, index: usize) {
        let fleet = self.clone();
        tokio::spawn(async move {
            let slots = fleet.nodes.slots();
            if let Some(slot) = slots.get(index).filter(|slot| slot.operators.is_some()) {
                fleet.record_planned_stop(&slot.instance, now_ms());
            }
            fleet.nodes.stop(index).await;
        });
    }

    fn data_centre(&self, index: usize) -> String {
        let data_centre = self.profile.data_centres.get(index);
        data_centre.map_or_else(String::new, |(name, _)| name.clone())
    }
}
