//! Authenticated messages between gateways, one per datagram.

use displaydoc::Display;
use toucan_types::{OrganisationName, RequestId, TargetName, Tokens, VmName};

use crate::{
    binary_format,
    budget::PeerRecovery,
    paths::TunnelRequest,
    placement::{Departure, DepartureAnswer, DepartureQuery},
    poison::{Fingerprint, PoisonVerdict},
    streams::StreamOrigin,
};

use super::{EndedTarget, LoadReport, PermitAnswer, PermitQuery, ToldLimit, TransferId};

/// Length of the message authentication code at the start of a datagram.
const MAC_BYTES: usize = 16;

/// Id of a loan request, unique within one start of the borrowing process.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct LoanId(pub u64);

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PeerMessage {
    /// The sender's load.
    Load(LoadReport),
    /// Requests a loan. The same id always gets the same loan.
    AskLoan {
        /// Id of the request.
        id: LoanId,
        /// Start of the process that is asked. A later process at the same address must not lend,
        /// because the borrower could not authenticate its answer.
        lender_start: u64,
        /// Organisation whose tokens are requested.
        organisation: OrganisationName,
        /// Tokens requested.
        tokens: Tokens,
    },
    /// Lends tokens, which the sender no longer holds.
    Loan {
        /// Id of the request.
        id: LoanId,
        /// Organisation whose tokens are lent.
        organisation: OrganisationName,
        /// Tokens lent, zero if the sender has none to spare.
        tokens: Tokens,
    },
    /// Gives idle tokens, which the sender no longer holds, to a holder.
    Transfer {
        /// Id of the transfer.
        id: TransferId,
        /// Start of the process that receives the tokens.
        receiver_start: u64,
        /// Organisation whose tokens are transferred.
        organisation: OrganisationName,
        /// Tokens transferred.
        tokens: Tokens,
    },
    /// Acknowledges a transfer.
    TransferReceived {
        /// Id of the transfer.
        id: TransferId,
    },
    /// Tells where a stream began, when it begins or in answer to a question.
    StreamOrigin {
        /// The caller's attempt that received the first event.
        attempt: RequestId,
        /// Where the stream began; [`None`] if the sender does not know it.
        origin: Option<StreamOrigin>,
    },
    /// Asks where a stream began.
    AskStreamOrigin {
        /// The caller's attempt that received the first event.
        attempt: RequestId,
    },
    /// Tells how far the sender has come since the store's last restore.
    Recovery(PeerRecovery),
    /// Tells that a target has stated in a response that it is leaving.
    TargetLeaving {
        /// Target.
        target: TargetName,
        /// Unix time of the target's start.
        started_at_unix_ms: u64,
    },
    /// Tells that another process answers at a target's address.
    TargetReplaced {
        /// Target.
        target: TargetName,
        /// Unix time of the target's start.
        started_at_unix_ms: u64,
    },
    /// Tells that a target has named a limit on its calls, or names it no longer.
    TargetLimit(ToldLimit),
    /// Requests permits for calls to a target with a limit.
    AskPermits(PermitQuery),
    /// Grants permits, or none, for calls to a target.
    Permits(PermitAnswer),
    /// Tells that a target has ended, with the calls that may have ended it.
    TargetEnded(EndedTarget),
    /// Tells that an answer was completed to a call with fingerprints that were suspected.
    Sound(Vec<Fingerprint>),
    /// Tells that a call is sent to find out whether it ends targets, or that this is over.
    PoisonTrial {
        /// Fingerprints that are on trial.
        fingerprints: Vec<Fingerprint>,
        /// Whether the trial begins.
        has_begun: bool,
    },
    /// Tells that calls with a fingerprint end targets.
    Condemned(PoisonVerdict),
    /// Tells of targets that leave, as the sender has read it from the store.
    Departures(Vec<Departure>),
    /// Tells the version of the configuration that the sender has read.
    ConfigInForce(u64),
    /// Tells that a target has begun to state that it is brittle, or does so no longer.
    TargetBrittle {
        /// Target.
        target: TargetName,
        /// Unix time of the target's start.
        started_at_unix_ms: u64,
        /// Calls that it may turn away in a second; [`None`] if it is no longer brittle.
        rejections_per_s: Option<u32>,
    },
    /// Tells that a brittle target has turned away a call.
    TargetRejects {
        /// Target.
        target: TargetName,
        /// Unix time of the target's start.
        started_at_unix_ms: u64,
    },
    /// Tells whether the sender reaches some targets only by way of other gateways.
    CutOff(bool),
    /// Asks for a tunnel to a target. The first message on a connection, not sent as a datagram.
    OpenTunnel(TunnelRequest),
    /// Asks for the departures after a place in the log.
    AskDepartures(DepartureQuery),
    /// Answers a question for departures.
    DepartureAnswer(DepartureAnswer),
}

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Datagram {
    /// VM of the sender.
    pub vm: VmName,
    /// Random identifier of the sender's start.
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
    /// Encodes the datagram, authenticated with the sender's key.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Unreadable`] if the encoder fails.
    pub fn encode(&self, key: &[u8; 32]) -> Result<Vec<u8>, DatagramError> {
        let content = binary_format::encode(self)
            .map_err(|error| DatagramError::Unreadable(error.to_string()))?;
        let mac = blake3::keyed_hash(key, &content);
        let mut bytes = mac.as_bytes()[..MAC_BYTES].to_vec();
        bytes.extend_from_slice(&content);
        Ok(bytes)
    }

    /// Decodes and authenticates a datagram.
    ///
    /// `key_of` returns the key of a sender, given its VM and start.
    ///
    /// # Errors
    ///
    /// [`DatagramError`] if it is not an authentic message of a registered gateway.
    pub fn decode(
        bytes: &[u8],
        key_of: impl FnOnce(&VmName, u64) -> Option<[u8; 32]>,
    ) -> Result<Self, DatagramError> {
        let Some((mac, content)) = bytes.split_at_checked(MAC_BYTES) else {
            return Err(DatagramError::TooShort);
        };
        let datagram: Self = binary_format::decode(content)
            .map_err(|error| DatagramError::Unreadable(error.to_string()))?;
        let key = key_of(&datagram.vm, datagram.start).ok_or(DatagramError::UnknownSender)?;
        let expected = blake3::keyed_hash(&key, content);
        // Blake3 compares hashes in constant time.
        let mut padded = *expected.as_bytes();
        padded[..MAC_BYTES].copy_from_slice(mac);
        if blake3::Hash::from(padded) == expected {
            Ok(datagram)
        } else {
            Err(DatagramError::NotAuthentic)
        }
    }
}
