//! Output and exit code of a command.

use serde::Serialize;
use toucan_types::Finding;

use crate::Exit;

/// Output and exit code of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
    /// Exit code.
    pub code: Exit,
}

impl Report {
    pub(crate) fn done(out: impl Into<String>) -> Self {
        Self {
            out: out.into(),
            err: String::new(),
            code: Exit::Done,
        }
    }

    pub(crate) fn json(value: &impl Serialize, code: Exit) -> Self {
        let mut out = serde_json::to_string_pretty(value).unwrap_or_default();
        out.push('\n');
        Self {
            code,
            ..Self::done(out)
        }
    }

    #[must_use]
    pub(crate) fn with_code(mut self, code: Exit) -> Self {
        self.code = code;
        self
    }

    #[must_use]
    pub(crate) fn with_err(mut self, err: impl Into<String>) -> Self {
        self.err.push_str(&err.into());
        self
    }
}

/// Formats findings one per line, each prefixed with its file.
pub(crate) fn finding_lines(file: &str, findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("{file}:{finding}\n"))
        .collect()
}
