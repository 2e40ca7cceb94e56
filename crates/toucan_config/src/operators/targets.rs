//! Messages on targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucan_types::{DataCentreName, DocumentVersion, ServiceName, TargetName};

use crate::operators::EditRequest;
use crate::{Assignment, Change, EditPath, Section};

/// The targets as known to the responding node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsResponse {
    /// The targets.
    pub targets: Vec<TargetLine>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLine {
    /// Name.
    pub target: TargetName,
    /// Service.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Address.
    pub address: SocketAddr,
    /// Whether the document marks the target as drained.
    pub is_drained: bool,
    /// State at the responding node, such as `open`, `leaving` or `down`.
    pub state: String,
    /// Number of the responding node's requests in progress at the target.
    pub in_progress: u64,
}

/// Request to drain a target or to put it back into service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Identifier of the edit.
    pub edit_id: String,
    /// Version of the operations section that the edit is based on.
    pub base_version: DocumentVersion,
    /// Whether the target receives no new requests.
    pub is_drained: bool,
    /// Reason for the edit, kept in the history.
    #[serde(default)]
    pub note: String,
}

impl DrainRequest {
    /// Returns the edit that drains the target or puts it back into service.
    #[must_use]
    pub fn into_edit(self, target: &TargetName) -> EditRequest {
        let path = EditPath::of_entry(Section::Operations, "targets", target.as_str());
        let assignment = Assignment {
            path: path.field("drained").to_string(),
            value: self.is_drained.into(),
        };
        EditRequest {
            edit_id: self.edit_id,
            section: Section::Operations,
            base_version: self.base_version,
            change: Change::Assign {
                assignments: vec![assignment],
            },
            note: self.note,
            accept_warnings: true,
        }
    }
}
