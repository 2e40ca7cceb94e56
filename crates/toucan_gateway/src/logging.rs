//! Logging to standard output that never blocks the logging thread.

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

/// Name of the only appender.
const APPENDER_NAME: &str = "stdout";
/// Maximum number of lines in the queue; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of queued lines that are written together with the first one.
const MAX_BATCHED_LINES: usize = 256;
/// Maximum number of bytes in one write, unless a line is longer. A pipe takes up to so many at once or none, so that a
/// reader which falls behind gets whole lines.
const MAX_WRITE_BYTES: usize = 4_096;
/// Pause after the lines of a batch, in which others accumulate for the next one.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a flush checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of lines queued for the writer thread.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
/// Number of queued lines that were written.
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// logging cannot be set up: {0}
#[derive(Debug, Display)]
pub struct LoggingError(String);

impl std::error::Error for LoggingError {}

impl LoggingError {
    fn from_cause(cause: impl std::fmt::Display) -> Self {
        Self(cause.to_string())
    }
}

/// Sets up logging to standard output, one JSON object per line. Must be called at most once.
///
/// # Errors
///
/// [`LoggingError`] if a logger is already installed or the writer thread cannot be started.
pub fn init_logging(level: log::LevelFilter) -> Result<(), LoggingError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver))
        .map_err(LoggingError::from_cause)?;
    let appender = QueueAppender {
        sender,
        encoder: JsonEncoder::new(),
    };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(appender)))
        .build(Root::builder().appender(APPENDER_NAME).build(level))
        .map_err(LoggingError::from_cause)?;
    log4rs::init_config(config).map_err(LoggingError::from_cause)?;
    Ok(())
}

/// Waits up to `max_wait` until all queued lines are written. Call it before the process exits.
pub fn flush_logging(max_wait: Duration) {
    let deadline = Instant::now() + max_wait;
    while WRITTEN_LINES.load(Ordering::Acquire) < QUEUED_LINES.load(Ordering::Acquire) {
        if Instant::now() >= deadline {
            return;
        }
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Encodes log records and queues them for the writer thread.
#[derive(Debug)]
struct QueueAppender {
    sender: SyncSender<Vec<u8>>,
    encoder: JsonEncoder,
}

impl Append for QueueAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        match self.sender.try_send(line.0) {
            Ok(()) => {
                QUEUED_LINES.fetch_add(1, Ordering::Release);
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
    let mut joined = Vec::new();
    while let Ok(first) = receiver.recv() {
        joined.clear();
        joined.extend_from_slice(&first);
        let mut lines = 1;
        for line in receiver.try_iter().take(MAX_BATCHED_LINES) {
            if joined.len() + line.len() > MAX_WRITE_BYTES {
                write_joined(&joined);
                joined.clear();
            }
            joined.extend_from_slice(&line);
            lines += 1;
        }
        write_joined(&joined);
        WRITTEN_LINES.fetch_add(lines, Ordering::Release);
        thread::sleep(BATCH_INTERVAL);
    }
}

fn write_joined(lines: &[u8]) {
    let mut output = io::stdout().lock();
    if output
        .write_all(lines)
        .and_then(|()| output.flush())
        .is_err()
    {
        // Standard output has no reader. Count this and continue to serve calls.
        metrics::counter!("toucan_unwritten_log_batches_total").increment(1);
    }
}
