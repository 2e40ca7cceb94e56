//! Measures how late the tasks of a gateway run.

use std::{rc::Rc, time::Duration};

use tokio::time::{Instant, sleep_until};

use crate::{Gateway, Platform};

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(250);
/// Delay from which on a target may have ended and started again before its connections are seen to have ended.
const MIN_LATE_MS: u64 = 200;
/// Delay from which on the process is behind.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Measures how long a task that is due waits until it runs, until the process ends.
///
/// All tasks of a gateway run on one thread. On a VM that is short of processor time, reads of the store and messages of
/// other gateways wait as long as calls do.
pub(crate) async fn watch_schedule<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut was_behind = false;
    loop {
        let due = Instant::now() + INTERVAL;
        let due_ms = gateway.now_ms() + INTERVAL.as_millis() as u64;
        sleep_until(due).await;
        let delay = due.elapsed();
        let now_ms = gateway.now_ms();
        // Includes the time for which the VM was suspended.
        if now_ms.saturating_sub(due_ms) >= MIN_LATE_MS {
            gateway.state.borrow_mut().ran_late_at_ms = Some(now_ms);
        }
        metrics::histogram!("toucan_task_delay_seconds").record(delay.as_secs_f64());
        let is_behind = delay > MAX_DELAY;
        if is_behind || was_behind {
            let calls_in_progress = gateway.state.borrow().calls_in_progress;
            log::warn!(target: "process", is_behind = is_behind, delay_ms = delay.as_millis() as u64, calls_in_progress = calls_in_progress; "tasks of the gateway run late");
        }
        was_behind = is_behind;
    }
}
