//! Accepted edits, and the versions in force at the nodes.

use serde::{Deserialize, Serialize};

/// Edit that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedEdit {
    /// Time at which the edit's record was appended to the log.
    pub at_ms: u64,
    /// Section of the document.
    pub section: String,
    /// Version of the section after the edit.
    pub version: u64,
}

/// Version of a section that was in force at a node at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationSample {
    /// Time of the sample.
    pub at_ms: u64,
    /// Name of the node.
    pub node: String,
    /// Whether the node ran and its data centre could reach the platform.
    pub reachable: bool,
    /// Section of the document.
    pub section: String,
    /// Version in force.
    pub version: u64,
}
