//! Orders to engines, `POST /orders`.
//!
//! 200 if done; 409 with [`EngineOrderRefusal`] if the engine checks fencing numbers and has
//! received a larger one; 429 with `Retry-After` if the weight store refuses the download.

use serde::{Deserialize, Serialize};

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefills prompts and generates tokens.
    #[default]
    Both,
    /// Prefills prompts and exports their KV cache.
    Prefill,
    /// Imports KV cache and generates tokens.
    Decode,
}

/// Action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrderKind {
    /// Load a version of a model, with an adapter if one is given.
    Load {
        /// Model.
        model: String,
        /// Version.
        version: String,
        /// Adapter.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
    },
    /// Unload a version of a model once its streams have ended.
    Unload {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Change the role.
    ChangeRole {
        /// New role.
        role: EngineRole,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number; it increases with each change of the node that gives orders.
    pub fencing_number: u64,
    /// Requested action.
    #[serde(flatten)]
    pub kind: EngineOrderKind,
}

/// Response to an order whose fencing number is too old.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrderRefusal {
    /// Largest fencing number that the engine has received.
    pub fencing_number: u64,
}
