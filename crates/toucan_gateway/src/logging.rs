//! Writes the log to standard output without blocking whoever logs.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use displaydoc::Display;
use log4rs::{
    append::Append,
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};

/// Name of the one appender.
const STDOUT: &str = "stdout";
/// Lines that wait to be written; more are dropped and counted.
const MOST_WAITING: usize = 4_096;
/// Lines that are written at once at most.
const MOST_AT_ONCE: usize = 256;
/// Pause after lines were written, in which more of them gather for one write.
const GATHER: Duration = Duration::from_millis(100);
/// Time between two looks at what is still to be written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(10);

/// Lines that were handed to the writer.
static QUEUED: AtomicU64 = AtomicU64::new(0);
/// Lines of those that were written.
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// logging cannot be set up: {0}
#[derive(Debug, Display)]
pub struct LoggingError(String);

impl std::error::Error for LoggingError {}

impl LoggingError {
    fn from_cause(cause: impl std::fmt::Display) -> Self {
        Self(cause.to_string())
    }
}

/// Logs to standard output as one JSON object a line; to be called once.
///
/// # Errors
///
/// [`LoggingError`] if logging was set up before or the writer cannot start.
pub fn init_logging(level: log::LevelFilter) -> Result<(), LoggingError> {
    let (sender, receiver) = sync_channel(MOST_WAITING);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver))
        .map_err(LoggingError::from_cause)?;
    let appender = RingAppender {
        sender,
        encoder: JsonEncoder::new(),
    };
    let config = Config::builder()
        .appender(Appender::builder().build(STDOUT, Box::new(appender)))
        .build(Root::builder().appender(STDOUT).build(level))
        .map_err(LoggingError::from_cause)?;
    log4rs::init_config(config).map_err(LoggingError::from_cause)?;
    Ok(())
}

/// Waits until all lines are written, at most for `patience`; to be called before the process ends.
pub fn flush_logging(patience: Duration) {
    let end = Instant::now() + patience;
    while WRITTEN.load(Ordering::Acquire) < QUEUED.load(Ordering::Acquire) {
        if Instant::now() >= end {
            return;
        }
        thread::sleep(FLUSH_INTERVAL);
    }
}

/// Encodes lines and hands them to the writer.
#[derive(Debug)]
struct RingAppender {
    sender: SyncSender<Vec<u8>>,
    encoder: JsonEncoder,
}

impl Append for RingAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        match self.sender.try_send(line.0) {
            Ok(()) => {
                QUEUED.fetch_add(1, Ordering::Release);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                metrics::counter!("toucan_dropped_log_lines_total").increment(1);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        batch.clear();
        batch.extend_from_slice(&first);
        let mut lines = 1;
        for line in receiver.try_iter().take(MOST_AT_ONCE) {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        if io::stdout().write_all(&batch).is_err() {
            // Nobody reads the log; the counter tells so, and the calls go on.
            metrics::counter!("toucan_unwritten_log_batches_total").increment(1);
        }
        WRITTEN.fetch_add(lines, Ordering::Release);
        thread::sleep(GATHER);
    }
}
