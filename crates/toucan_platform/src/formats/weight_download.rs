//! Downloads from the weight store, `POST /weights/downloads`.
//!
//! 200 if the download may start; 429 with `Retry-After` over the store's rate.

use serde::{Deserialize, Serialize};

/// One download.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightDownload {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Target that loads the model.
    pub target: String,
}
