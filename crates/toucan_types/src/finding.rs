//! Findings of input checks.

use crate::{Position, Severity};

/// An error or a warning about a settings file or configuration document, with its position.
///
/// Checks report all findings together instead of stopping at the first.
///
/// ```
/// use toucan_types::{Finding, Position, Severity};
///
/// let finding = Finding::new(Severity::Error, "limits.body_bytes", "expected a number")
///     .at(Position { line: 3, column: 9 })
///     .with_hint("give a count of bytes, such as 1048576");
/// assert_eq!(
///     finding.to_string(),
///     "3:9: error: limits.body_bytes: expected a number (give a count of bytes, such as 1048576)",
/// );
/// ```
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Finding {
    /// Severity.
    pub severity: Severity,
    /// Path of the value, such as `operations.services[2].kind`.
    pub path: String,
    /// Position in the text.
    pub position: Position,
    /// What is wrong, and what was expected.
    pub message: String,
    /// How to fix it; empty if there is no hint.
    pub hint: String,
}

impl Finding {
    /// Creates a finding without a hint, positioned at the start of the text.
    pub fn new(severity: Severity, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            severity,
            path: path.into(),
            position: Position::default(),
            message: message.into(),
            hint: String::new(),
        }
    }

    /// Sets the position.
    #[must_use]
    pub fn at(mut self, position: Position) -> Self {
        self.position = position;
        self
    }

    /// Sets the hint.
    #[must_use]
    pub fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = hint.into();
        self
    }
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}: {}: {}: {}",
            self.position, self.severity, self.path, self.message
        )?;
        if !self.hint.is_empty() {
            write!(f, " ({})", self.hint)?;
        }
        Ok(())
    }
}
