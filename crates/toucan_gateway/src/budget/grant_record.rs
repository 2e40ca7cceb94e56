//! Records of grants in the keyed log.

use displaydoc::Display;
use toucan_types::{DocumentVersion, OrganisationName, Tokens, VmName};

/// Separates the parts of a key; names do not contain it.
const KEY_SEPARATOR: char = '\u{1f}';
/// Stands in place of a holder in the key of an account's total of former holders.
const FORMER_HOLDERS: &str = "former";

/// One start of one gateway process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayProcess {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Random number of the start.
    pub start_id: u64,
}

/// Who the tokens of a record were granted to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum GrantOwner {
    /// A process that may be running.
    Process(GatewayProcess),
    /// All processes that were replaced; what they held counts as spent.
    FormerProcesses,
}

/// Key of a record: one owner's grants from one organisation's budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantKey {
    /// Organisation whose budget it is.
    pub organisation: OrganisationName,
    /// Who holds the tokens.
    pub owner: GrantOwner,
}

/// Newest state of one owner's grants; replaces the record before it under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantRecord {
    /// Tokens that the owner has drawn in all, from its start on.
    pub drawn: Tokens,
    /// Tokens of those that it has returned in all.
    pub returned: Tokens,
    /// Tokens that the owner had certainly spent when it wrote the record.
    pub spent: Tokens,
    /// Tokens a second that the owner's calls asked for when it wrote the record.
    pub rate_per_s: u64,
    /// Version of the configuration that gave `prepaid`.
    pub config_version: DocumentVersion,
    /// Most tokens of the organisation, as the writer knew it.
    pub prepaid: Tokens,
}

/// a record of grants cannot be read: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct GrantRecordError(pub String);

impl std::error::Error for GrantRecordError {}

impl GrantKey {
    /// The key as it stands in the log.
    #[must_use]
    pub fn encode(&self) -> String {
        match &self.owner {
            GrantOwner::FormerProcesses => {
                format!("{}{KEY_SEPARATOR}{FORMER_HOLDERS}", self.organisation)
            }
            GrantOwner::Process(process) => format!(
                "{}{KEY_SEPARATOR}{}{KEY_SEPARATOR}{:016x}",
                self.organisation, process.vm, process.start_id
            ),
        }
    }

    /// Reads a key of the log.
    ///
    /// # Errors
    ///
    /// [`GrantRecordError`] if the text is no key of a grant.
    pub fn decode(text: &str) -> Result<Self, GrantRecordError> {
        let broken = || GrantRecordError(format!("unexpected key {text:?}"));
        let mut parts = text.split(KEY_SEPARATOR);
        let (Some(organisation), Some(second)) = (parts.next(), parts.next()) else {
            return Err(broken());
        };
        let organisation = OrganisationName::from(organisation);
        let Some(start_id) = parts.next() else {
            if second != FORMER_HOLDERS {
                return Err(broken());
            }
            return Ok(Self {
                organisation,
                owner: GrantOwner::FormerProcesses,
            });
        };
        let start_id = u64::from_str_radix(start_id, 16).map_err(|_not_hexadecimal| broken())?;
        let vm = VmName::from(second);
        Ok(Self {
            organisation,
            owner: GrantOwner::Process(GatewayProcess { vm, start_id }),
        })
    }
}

impl GrantRecord {
    /// Tokens that the owner may spend in all.
    #[must_use]
    pub const fn granted(&self) -> Tokens {
        self.drawn.saturating_sub(self.returned)
    }

    /// The record as it stands in the log.
    ///
    /// # Errors
    ///
    /// [`GrantRecordError`] if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, GrantRecordError> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| GrantRecordError(error.to_string()))
    }

    /// Reads a record of the log.
    ///
    /// # Errors
    ///
    /// [`GrantRecordError`] if the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, GrantRecordError> {
        let (record, _read) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
            .map_err(|error| GrantRecordError(error.to_string()))?;
        Ok(record)
    }
}
