//! The whole state of the document's stream at one offset, and its encoding.

use serde::{Deserialize, Serialize};
use toucan_types::{FastHashMap, Offset};

use crate::applied_top_ups::AppliedTopUps;
use crate::blame::BlameEntry;
use crate::{DecidedEdit, DocumentRecord, HistoryEntry, RecordError, Versions};

/// Maximum content of one part in bytes, before JSON escaping.
const PART_BYTES: usize = 256 * 1024;
/// Maximum number of parts.
const MAX_PARTS: u32 = 512;
/// Maximum number of snapshots assembled at the same time; the oldest is dropped first.
const MAX_PENDING: usize = 4;

/// The whole state at one offset.
///
/// It is written to the log, so that older records may expire, and sent to nodes that cannot read
/// the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentSnapshot {
    /// All records below this offset are applied.
    pub up_to: Offset,
    /// Version of each section.
    pub versions: Versions,
    pub(crate) finance: String,
    pub(crate) models: String,
    pub(crate) operations: String,
    pub(crate) history: Vec<HistoryEntry>,
    pub(crate) decided: Vec<DecidedEdit>,
    pub(crate) top_ups: AppliedTopUps,
    pub(crate) blame: [Vec<(usize, BlameEntry)>; 3],
}

/// One part of a snapshot, as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Offset of the snapshot.
    pub up_to: Offset,
    /// Hash of the whole content in hexadecimal.
    ///
    /// Parts with the same hash can be combined, whichever node wrote them.
    pub digest: String,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Content of this part.
    pub data: String,
}

impl DocumentSnapshot {
    /// Encodes the state as one message between nodes.
    pub fn to_bytes(&self) -> Result<Vec<u8>, RecordError> {
        serde_json::to_vec(self).map_err(|error| RecordError::Malformed(error.to_string()))
    }

    /// Decodes a state.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(bytes).map_err(|error| RecordError::Malformed(error.to_string()))
    }

    /// Splits the state into records for the log.
    pub fn to_records(&self) -> Result<Vec<DocumentRecord>, RecordError> {
        let content = serde_json::to_string(self)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        let digest = hex_digest(&content);
        let pieces = split_content(&content);
        let parts = u32::try_from(pieces.len())
            .ok()
            .filter(|parts| *parts <= MAX_PARTS)
            .ok_or(RecordError::TooLong(content.len()))?;
        let records = (0..parts).zip(pieces).map(|(part, data)| {
            DocumentRecord::Snapshot(SnapshotPart {
                up_to: self.up_to,
                digest: digest.clone(),
                part,
                parts,
                data: data.to_owned(),
            })
        });
        Ok(records.collect())
    }

    /// Returns the hash of the whole state in hexadecimal; equal states have equal hashes.
    #[must_use]
    pub fn digest(&self) -> String {
        serde_json::to_string(self).map_or_else(|_| String::new(), |content| hex_digest(&content))
    }
}

/// Assembles snapshots from their parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotAssembler {
    pending: Vec<(String, FastHashMap<u32, String>)>,
}

impl SnapshotAssembler {
    /// Adds a part; returns the snapshot once it is complete and its hash is correct.
    pub(crate) fn add(&mut self, part: SnapshotPart) -> Option<DocumentSnapshot> {
        if part.parts == 0 || part.parts > MAX_PARTS || part.part >= part.parts {
            return None;
        }
        let at = match self.pending.iter().position(|(key, _)| *key == part.digest) {
            Some(at) => at,
            None => {
                if self.pending.len() == MAX_PENDING {
                    self.pending.remove(0);
                }
                self.pending
                    .push((part.digest.clone(), FastHashMap::default()));
                self.pending.len() - 1
            }
        };
        let pieces = &mut self.pending[at].1;
        pieces.insert(part.part, part.data);
        let content: String = (0..part.parts)
            .map(|index| pieces.get(&index).map(String::as_str))
            .collect::<Option<_>>()?;
        self.pending.remove(at);
        if hex_digest(&content) != part.digest {
            return None;
        }
        let snapshot: DocumentSnapshot = serde_json::from_str(&content).ok()?;
        (snapshot.up_to == part.up_to).then_some(snapshot)
    }
}

fn hex_digest(content: &str) -> String {
    blake3::hash(content.as_bytes()).to_hex().to_string()
}

fn split_content(content: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = content;
    while !rest.is_empty() {
        let mut end = PART_BYTES.min(rest.len());
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, after) = rest.split_at(end);
        pieces.push(piece);
        rest = after;
    }
    pieces
}
