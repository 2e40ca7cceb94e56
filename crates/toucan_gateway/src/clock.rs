//! The clock that decisions are based on.

/// Returns the milliseconds since the VM booted, including the time for which it was suspended.
///
/// `CLOCK_MONOTONIC` stops while a VM is suspended, but callers' deadlines continue to run.
#[must_use]
pub(crate) fn boot_time_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let milliseconds = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    seconds * 1_000 + milliseconds
}

/// Returns the milliseconds since the Unix epoch, by the clock of this VM.
#[must_use]
pub(crate) fn unix_time_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
