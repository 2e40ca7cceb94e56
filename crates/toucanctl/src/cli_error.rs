//! Errors of commands.

use displaydoc::Display;

use crate::{Exit, Report};

/// Error of a command.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum CliError {
    /// {0}; see `toucanctl --help`
    Usage(String),
    /// cannot read {0}: {1}
    File(String, String),
    /// {0}
    Unauthorised(String),
    /// {0}
    NotFound(String),
    /// {0}
    Refused(String),
    /// nothing was changed: {0}
    Unavailable(String),
    /// {0}; run the same command again with the same edit id
    Unknown(String),
}

impl std::error::Error for CliError {}

impl CliError {
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage(message.into())
    }

    pub(crate) const fn code(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File(..) => Exit::Usage,
            Self::Unauthorised(_) => Exit::Unauthorised,
            Self::NotFound(_) => Exit::NotFound,
            Self::Refused(_) => Exit::Findings,
            Self::Unavailable(_) => Exit::Unavailable,
            Self::Unknown(_) => Exit::Unknown,
        }
    }
}

impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> Self {
        Self::usage(error.to_string())
    }
}

impl From<CliError> for Report {
    fn from(error: CliError) -> Self {
        Self::done("")
            .with_err(format!("toucanctl: {error}\n"))
            .with_code(error.code())
    }
}
