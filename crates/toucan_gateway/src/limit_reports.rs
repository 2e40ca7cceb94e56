//! Applies the limits that targets name.

use toucan_types::TargetName;

use crate::{Gateway, Platform, limits::StatedLimit};

impl<P: Platform> Gateway<P> {
    /// Applies what a response of a target says about a limit on its calls.
    pub(crate) fn record_stated_limit(
        &self,
        target: &TargetName,
        started_at_unix_ms: u64,
        stated: StatedLimit,
    ) {
        let rate = match stated {
            StatedLimit::Absent => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Unreadable => {
                metrics::counter!("toucan_unreadable_limits_total").increment(1);
                log::debug!(target: "target", name = target.as_str(); "the limit of the target cannot be read and is ignored");
                return;
            }
        };
        let now_ms = self.now_ms();
        let is_changed = {
            let targets = &mut self.state.borrow_mut().targets;
            targets.record_limit(target, started_at_unix_ms, rate, now_ms)
        };
        if !is_changed {
            return;
        }
        if let Some(rate) = rate {
            metrics::counter!("toucan_limiting_targets_total").increment(1);
            log::info!(target: "target", name = target.as_str(), per_s = rate.per_s(); "the target limits its calls");
        } else {
            log::info!(target: "target", name = target.as_str(); "the target no longer limits its calls");
        }
    }
}
