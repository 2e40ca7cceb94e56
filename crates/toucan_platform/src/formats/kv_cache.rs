//! Export and import of KV cache, `POST /kv/export` and `POST /kv/import`.

use serde::{Deserialize, Serialize};

/// Request to export the KV cache of a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// Hash of the last block of the prefix.
    pub block: u64,
}

/// Handle of an exported KV cache; the engine returns 404 if it no longer has the prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Address from which the importing engine fetches it.
    pub source: String,
    /// Identifier of the export at the source.
    pub export_id: String,
    /// Hashes of all blocks of the prefix, in order.
    pub blocks: Vec<u64>,
    /// Size in bytes.
    pub bytes: u64,
}

/// Request to import an exported KV cache; the engine returns 200 once it has the blocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImport {
    /// The export.
    pub export: KvExport,
}
