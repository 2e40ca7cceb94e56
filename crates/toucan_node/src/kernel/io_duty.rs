//! A duty that does I/O: one thread with its own small runtime.

use std::{future::Future, thread::JoinHandle};

use tokio::runtime::Runtime;

use super::failure_signal::FailureSignal;

/// Starts the thread of a duty that runs async tasks; the thread ends when the future completes.
///
/// With more than one worker, the runtime starts worker threads in addition.
pub(crate) fn spawn_io_duty<F, T>(
    name: &'static str,
    workers: usize,
    failure: &FailureSignal,
    work: F,
) -> std::io::Result<JoinHandle<()>>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future<Output = ()>,
{
    let runtime = runtime(name, workers)?;
    let guard = failure.guard(name);
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let _guard = guard;
            runtime.block_on(async { work().await });
            // Tasks that are still waiting for the network are dropped with the runtime.
            runtime.shutdown_background();
        })
}

fn runtime(name: &'static str, workers: usize) -> std::io::Result<Runtime> {
    let mut builder = if workers > 1 {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(workers);
        builder
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    builder.enable_all().thread_name(name).build()
}
