//! Checks of a recorded history, by code that is independent of the code that makes the fleet's
//! decisions.

mod answers;
mod billing;
mod check_result;
mod configuration;
mod false_refusals;
mod figures;
mod promise;
mod replay;
mod runs;

pub use check_result::CheckResult;
pub use figures::Figures;
pub(crate) use figures::percentile;
pub use promise::{Breach, Promise};

use crate::history::History;

/// Checks every promise and computes the figures.
///
/// ```
/// use toucan_bench::{History, check};
///
/// let check_result = check(&History::default());
/// assert!(check_result.is_ok());
/// ```
#[must_use]
pub fn check(history: &History) -> CheckResult {
    let replay = replay::Replay::new(history);
    let mut breaches = Vec::new();
    breaches.extend(billing::overspend(history, &replay));
    breaches.extend(billing::billed_twice(history, &replay));
    breaches.extend(billing::unbilled(history, &replay));
    breaches.extend(answers::wrong_answers(history));
    breaches.extend(runs::answers_without_run(history));
    breaches.extend(runs::ran_after_not_run(history));
    breaches.extend(runs::non_idempotent_reruns(history));
    breaches.extend(runs::work_to_leaving_target(history));
    breaches.extend(runs::planned_stop_cut_offs(history));
    breaches.extend(configuration::reverted_edits(history));
    let figures = Figures::compute(history, &breaches);
    CheckResult { figures, breaches }
}
