//! Sets up logging for a process.

use displaydoc::Display;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::{json::JsonEncoder, pattern::PatternEncoder},
};

use crate::{LogFormat, LogSettings};

/// Name of the one appender.
const STDERR: &str = "stderr";
/// Pattern of a human-readable log line.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {T} {t}: {m}{n}";

/// logging cannot be set up: {0}
#[derive(Debug, Display)]
pub struct LoggingError(String);

impl std::error::Error for LoggingError {}

/// Sets up logging to standard error for this process; may be called only once.
///
/// # Errors
///
/// [`LoggingError`] if logging was set up before.
pub fn start_logging(settings: LogSettings) -> Result<(), LoggingError> {
    let appender = ConsoleAppender::builder().target(Target::Stderr);
    let appender = match settings.format {
        LogFormat::Json => appender.encoder(Box::new(JsonEncoder::new())),
        LogFormat::Text => appender.encoder(Box::new(PatternEncoder::new(TEXT_PATTERN))),
    };
    let config = Config::builder()
        .appender(Appender::builder().build(STDERR, Box::new(appender.build())))
        .build(Root::builder().appender(STDERR).build(settings.level))
        .map_err(|error| LoggingError(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| LoggingError(error.to_string()))?;
    Ok(())
}
