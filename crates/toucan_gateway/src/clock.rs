//! The time that decisions are given.

/// Milliseconds since the VM started, counting the time that it was suspended.
///
/// The steady clock stands still while a VM is suspended; deadlines of callers do not.
#[must_use]
pub(crate) fn boot_time_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let milliseconds = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    seconds * 1_000 + milliseconds
}
