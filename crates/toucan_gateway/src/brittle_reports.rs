//! Applies what brittle targets state, and tells the other gateways.

use toucan_types::TargetName;

use crate::{Gateway, Platform, peers::PeerMessage};

impl<P: Platform> Gateway<P> {
    /// Applies what an answer of a target says of its brittleness, and tells the other gateways if that changed.
    pub(crate) fn record_brittle_target(
        &self,
        target: &TargetName,
        started_at_unix_ms: u64,
        rejections_per_s: Option<u32>,
    ) {
        if self.apply_brittle_target(target, started_at_unix_ms, rejections_per_s) {
            self.tell_all(PeerMessage::TargetBrittle {
                target: target.clone(),
                started_at_unix_ms,
                rejections_per_s,
            });
        }
    }

    /// Applies the same without telling others; returns whether it changed.
    pub(crate) fn apply_brittle_target(
        &self,
        target: &TargetName,
        started_at_unix_ms: u64,
        rejections_per_s: Option<u32>,
    ) -> bool {
        let now_ms = self.now_ms();
        let state = &mut *self.state.borrow_mut();
        let gateways = state.members.process_count(now_ms);
        let known = state.targets.brittle_mut(target, started_at_unix_ms);
        let is_changed =
            known.is_some_and(|known| known.record_statement(rejections_per_s, gateways));
        if is_changed {
            log::info!(target: "target", name = target.as_str(), rejections_per_s = rejections_per_s.unwrap_or(0); "the brittleness of the target has changed; 0 means that it is not brittle");
        }
        is_changed
    }

    /// Records that a target has turned away a call, and tells the other gateways if it is brittle.
    pub(crate) fn record_rejection(&self, target: &TargetName, started_at_unix_ms: u64) {
        if self.apply_rejection(target, started_at_unix_ms) {
            metrics::counter!("toucan_rejections_of_brittle_targets_total").increment(1);
            self.tell_all(PeerMessage::TargetRejects {
                target: target.clone(),
                started_at_unix_ms,
            });
        }
    }

    /// Applies the same without telling others; returns whether the target is brittle.
    pub(crate) fn apply_rejection(&self, target: &TargetName, started_at_unix_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let targets = &mut self.state.borrow_mut().targets;
        let known = targets.brittle_mut(target, started_at_unix_ms);
        known.is_some_and(|known| known.record_rejection(self.start_id(), now_ms))
    }
}
