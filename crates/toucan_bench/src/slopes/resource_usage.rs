//! Memory and processor time of this process, read from `/proc`.

use std::fs;

/// Size of a page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the resident memory of this process, in bytes; 0 if `/proc` does not provide it.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
}

/// Returns the processor time of this thread, in microseconds.
pub(crate) fn thread_cpu_us() -> f64 {
    let schedstat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = schedstat.split_whitespace().next();
    nanoseconds
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1_000.0
}

/// Returns the growth of the resident memory while a value is built and held, in bytes.
pub(crate) fn memory_growth_bytes<T>(build: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    let value = build();
    let bytes = resident_bytes() - before;
    drop(value);
    bytes
}

/// Returns the processor time to build a value, in microseconds.
pub(crate) fn build_cpu_us<T>(build: impl FnOnce() -> T) -> f64 {
    let before = thread_cpu_us();
    let value = build();
    let us = thread_cpu_us() - before;
    drop(value);
    us
}
