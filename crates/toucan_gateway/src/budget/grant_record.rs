//! Keys and records of grants in the keyed log.

use displaydoc::Display;
use toucan_types::{DocumentVersion, OrganisationName, Tokens, VmName};

use crate::binary_format;

/// Separates the fields of a key; names never contain it.
const KEY_SEPARATOR: char = '\u{1f}';
/// Replaces the process in the key of an organisation's total for former processes.
const FORMER_PROCESSES: &str = "former";

/// One start of a gateway process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayProcess {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Random identifier of the start.
    pub start_id: u64,
}

/// The owner of granted tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum GrantOwner {
    /// A process that may be running.
    Process(GatewayProcess),
    /// All processes that were replaced by a later start. Whatever they held counts as spent.
    FormerProcesses,
}

/// Key of a [`GrantRecord`]: one owner's grants from one organisation's budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantKey {
    /// Organisation that owns the budget.
    pub organisation: OrganisationName,
    /// Owner of the granted tokens.
    pub owner: GrantOwner,
}

/// State of one owner's grants; it replaces the previous record under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantRecord {
    /// Total tokens that the owner has drawn since its start.
    pub drawn: Tokens,
    /// Total tokens of those that the owner has returned.
    pub returned: Tokens,
    /// Tokens that the owner had spent for certain when it wrote the record.
    pub spent: Tokens,
    /// Tokens per second that the owner's calls asked for when it wrote the record.
    pub rate_per_s: u64,
    /// Version of the configuration that `prepaid` comes from.
    pub config_version: DocumentVersion,
    /// Total tokens that the organisation has paid for, as known to the writer.
    pub prepaid: Tokens,
}

/// a record of grants cannot be read: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct GrantRecordError(pub String);

impl std::error::Error for GrantRecordError {}

impl GrantKey {
    /// Encodes the key for the log.
    #[must_use]
    pub fn encode(&self) -> String {
        match &self.owner {
            GrantOwner::FormerProcesses => {
                format!("{}{KEY_SEPARATOR}{FORMER_PROCESSES}", self.organisation)
            }
            GrantOwner::Process(process) => format!(
                "{}{KEY_SEPARATOR}{}{KEY_SEPARATOR}{:016x}",
                self.organisation, process.vm, process.start_id
            ),
        }
    }

    /// Decodes a key from the log.
    ///
    /// # Errors
    ///
    /// [`GrantRecordError`] if the text is not the key of a grant.
    pub fn decode(text: &str) -> Result<Self, GrantRecordError> {
        let invalid = || GrantRecordError(format!("unexpected key {text:?}"));
        let mut parts = text.split(KEY_SEPARATOR);
        let (Some(organisation), Some(second)) = (parts.next(), parts.next()) else {
            return Err(invalid());
        };
        let organisation = OrganisationName::from(organisation);
        let Some(start_id) = parts.next() else {
            if second != FORMER_PROCESSES {
                return Err(invalid());
            }
            return Ok(Self {
                organisation,
                owner: GrantOwner::FormerProcesses,
            });
        };
        let start_id = u64::from_str_radix(start_id, 16).map_err(|_not_hexadecimal| invalid())?;
        let vm = VmName::from(second);
        Ok(Self {
            organisation,
            owner: GrantOwner::Process(GatewayProcess { vm, start_id }),
        })
    }
}

impl GrantRecord {
    /// Returns the total tokens that the owner may spend, including those already spent.
    #[must_use]
    pub const fn granted(&self) -> Tokens {
        self.drawn.saturating_sub(self.returned)
    }

    /// Returns whether `other`, of the same owner, was written later. Both totals only grow.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        self.drawn < other.drawn || self.returned < other.returned
    }

    /// Encodes the record for the log.
    ///
    /// # Errors
    ///
    /// [`GrantRecordError`] if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, GrantRecordError> {
        binary_format::encode(self).map_err(|error| GrantRecordError(error.to_string()))
    }

    /// Decodes a record from the log.
    ///
    /// # Errors
    ///
    /// [`GrantRecordError`] if the bytes are not a grant record.
    pub fn decode(bytes: &[u8]) -> Result<Self, GrantRecordError> {
        binary_format::decode(bytes).map_err(|error| GrantRecordError(error.to_string()))
    }
}
