//! What is logged and in which form.

use log::LevelFilter;

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// What is logged and in which form; lines go to standard error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// Form of the lines.
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
