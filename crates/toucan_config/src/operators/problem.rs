//! Error response of a call.

use serde::{Deserialize, Serialize};

/// Error response of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Human-readable description of the error.
    pub message: String,
}

impl Problem {
    /// Creates a problem with this message.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}
