//! Messages between gateways, one in a datagram.

use displaydoc::Display;
use toucan_types::{OrganisationName, TargetName, Tokens, VmName};

/// Bytes of the authentication code at the start of a datagram.
const CODE_BYTES: usize = 16;

/// Number of a request for a loan, unique for the start of the process that asks.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct LoanId(pub u64);

/// What a gateway tells another one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PeerMessage {
    /// Calls of the sender at targets; targets that are not listed have none.
    Load(Vec<TargetCalls>),
    /// Asks for a loan. The same id always gets the same loan.
    AskLoan {
        /// Number of the request.
        id: LoanId,
        /// Start of the process that is asked. Another process under the same address must not lend,
        /// because the asker could not authenticate its answer.
        lender_start: u64,
        /// Organisation whose tokens are lacking.
        organisation: OrganisationName,
        /// Tokens that are lacking.
        tokens: Tokens,
    },
    /// Lends tokens; they are gone from the sender.
    Loan {
        /// Number of the request.
        id: LoanId,
        /// Organisation whose tokens are lent.
        organisation: OrganisationName,
        /// Tokens lent, none if the sender has none to spare.
        tokens: Tokens,
    },
}

/// Calls of one gateway at one target.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TargetCalls {
    /// Target.
    pub target: TargetName,
    /// Calls that it works on.
    pub in_flight: u32,
    /// Prompt tokens of those calls that it still has to read.
    pub unread_tokens: u64,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Datagram {
    /// VM of the sender.
    pub vm: VmName,
    /// Random number of the sender's start.
    pub start: u64,
    /// Message.
    pub message: PeerMessage,
}

/// a datagram cannot be used: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub enum DatagramError {
    /// it is too short
    TooShort,
    /// its content is no message: {0}
    Unreadable(String),
    /// its sender is not registered
    UnknownSender,
    /// its authentication code is wrong
    NotAuthentic,
}

impl std::error::Error for DatagramError {}

impl Datagram {
    /// The bytes of the datagram, authenticated with the sender's key.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Unreadable`] if the encoder fails.
    pub fn encode(&self, key: &[u8; 32]) -> Result<Vec<u8>, DatagramError> {
        let content = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .map_err(|error| DatagramError::Unreadable(error.to_string()))?;
        let code = blake3::keyed_hash(key, &content);
        let mut bytes = code.as_bytes()[..CODE_BYTES].to_vec();
        bytes.extend_from_slice(&content);
        Ok(bytes)
    }

    /// Reads a datagram whose sender's key `key_of` knows by VM and start.
    ///
    /// # Errors
    ///
    /// [`DatagramError`] if it is no authentic message of a registered gateway.
    pub fn decode(
        bytes: &[u8],
        key_of: impl FnOnce(&VmName, u64) -> Option<[u8; 32]>,
    ) -> Result<Self, DatagramError> {
        let Some((code, content)) = bytes.split_at_checked(CODE_BYTES) else {
            return Err(DatagramError::TooShort);
        };
        let (datagram, _read): (Self, usize) =
            bincode::serde::decode_from_slice(content, bincode::config::standard())
                .map_err(|error| DatagramError::Unreadable(error.to_string()))?;
        let key = key_of(&datagram.vm, datagram.start).ok_or(DatagramError::UnknownSender)?;
        let expected = blake3::keyed_hash(&key, content);
        // The comparison of blake3's hashes takes the same time for all values.
        let mut whole = *expected.as_bytes();
        whole[..CODE_BYTES].copy_from_slice(code);
        if blake3::Hash::from(whole) == expected {
            Ok(datagram)
        } else {
            Err(DatagramError::NotAuthentic)
        }
    }
}
