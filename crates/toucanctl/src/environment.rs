//! Environment of a command.

use std::io::IsTerminal;

/// Environment of a command: environment variables, terminal and clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// Node addresses from `TOUCANCTL_NODES`, separated by commas.
    pub nodes: Option<String>,
    /// Key from `TOUCANCTL_KEY`.
    pub key: Option<String>,
    /// Whether the output is a terminal and colour is enabled.
    pub use_colour: bool,
    /// Current time in milliseconds since 1970.
    pub now_ms: u64,
}

impl Environment {
    /// Returns the environment of this process; colour is off in a pipe and if `NO_COLOR` is set.
    #[must_use]
    pub fn from_process() -> Self {
        let since_1970 = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let now_ms = since_1970.map_or(0, |time| time.as_millis());
        Self {
            nodes: std::env::var("TOUCANCTL_NODES").ok(),
            key: std::env::var("TOUCANCTL_KEY").ok(),
            use_colour: std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none(),
            now_ms: u64::try_from(now_ms).unwrap_or(u64::MAX),
        }
    }
}
