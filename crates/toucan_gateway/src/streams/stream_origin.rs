//! Where a stream began.

use toucan_types::{ServiceName, SoftwareVersion};

/// Service and software version of the target that sent the first event of a stream.
///
/// Only targets of the same service and version may resume the stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StreamOrigin {
    /// Service of the target.
    pub service: ServiceName,
    /// Version of the target's software.
    pub software_version: SoftwareVersion,
}
