//! How calls, answers, configurations and registrations look on the wire.

use bytes::Bytes;
use http::HeaderMap;
use toucan_types::{Finding, OrganisationName, RequestId, TargetName, Tokens};

use crate::config::{FleetConfig, TargetEntry};

/// One part of a prompt, which other calls may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub id: u64,
    /// Tokens in the part.
    pub tokens: u64,
}

/// What a call says of the tokens that it may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub input: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
}

impl TokenCounts {
    /// The most that the call may cost.
    #[must_use]
    pub fn max_total(self) -> Tokens {
        Tokens(self.input.saturating_add(self.max_output))
    }
}

/// The parts of a call's head that the gateway decides by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Id of this attempt of the caller; [`None`] if it sent none.
    pub id: Option<RequestId>,
    /// How long the caller waits; [`None`] if it does not say.
    pub caller_timeout_ms: Option<u64>,
    /// The caller's key; [`None`] if it sent none.
    pub key: Option<String>,
    /// Tokens that the call may use; [`None`] for a call of a plain service.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in their order; the last one belongs to the call or its session.
    pub prompt_parts: Vec<PromptPart>,
}

/// What the gateway adds to a call that it passes on.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The only target that may run the call.
    pub target: &'a TargetName,
    /// Time left for the answer.
    pub left_ms: u64,
    /// Organisation that the call is made for.
    pub organisation: Option<&'a OrganisationName>,
    /// Id of the last event that the caller has been sent, if another target goes on.
    pub last_event_id: Option<&'a str>,
    /// Rank among the calls at the target, 0 to 9; 0 goes first.
    pub priority: Option<u8>,
}

/// What a target's answer says in its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the call that is answered, if the target says so.
    pub id: Option<RequestId>,
    /// Whether the target says that it did not run the call and will not.
    pub not_run: bool,
    /// Whether the target vouches that the answer is its own.
    pub is_stamped: bool,
    /// Whether the body is encoded, so that it is not the target's plain body.
    pub is_encoded: bool,
}

/// The formats of the deployment that the gateway runs in.
pub trait WireFormat {
    /// Reads a caller's head.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Turns a caller's headers into those of the call to a target.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the head of a target's answer.
    fn read_response(&self, status: http::StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// All findings if it cannot be used.
    fn read_config(&self, bytes: &Bytes) -> Result<FleetConfig, Vec<Finding>>;

    /// Whether `key` holds the configuration, in the topic of configurations.
    fn is_config_key(&self, key: &str) -> bool;

    /// Reads a target's registration under `key`.
    ///
    /// # Errors
    ///
    /// All findings if it names no target.
    fn read_target(&self, key: &str, bytes: &Bytes) -> Result<TargetEntry, Vec<Finding>>;

    /// Path at which the balancer asks whether the VM takes connections.
    fn readiness_path(&self) -> &'static str;
}
