//! Level and format of the log.

use log::LevelFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    #[default]
    Text,
}

/// Level and format of the log, which goes to standard error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// Format of the lines.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::default(),
        }
    }
}
