//! Tasks that run until the process ends.

use std::{future::Future, time::Duration};

use tokio::{task::spawn_local, time::sleep};

/// Pause before a task that has failed begins anew, so that an input on which it always fails does not
/// take the whole processor.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a task until the process ends. Should it panic, it begins anew.
///
/// Without this, one input that a task cannot handle would stop it for good and leave the process with
/// what it knew then.
pub(crate) fn spawn_duty<F>(name: &'static str, duty: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        loop {
            match spawn_local(duty()).await {
                Err(error) if error.is_panic() => {
                    metrics::counter!("toucan_failed_duties_total", "duty" => name).increment(1);
                    log::error!(target: "process", duty = name, error:% = error; "a task failed unexpectedly and begins anew");
                }
                // The process ends.
                Ok(()) | Err(_) => return,
            }
            sleep(RESTART_DELAY).await;
        }
    });
}
