//! Formats of calls, responses, configurations and registrations on the wire.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::HeaderMap;
use toucan_types::{DataCentreName, Finding, OrganisationName, RequestId, TargetName, Tokens};

use crate::{
    config::{FleetConfig, TargetEntry},
    limits::StatedLimit,
};

/// Maximum number of parts of one call that are remembered, so that a caller cannot fill the memory.
const MAX_SHARED_PARTS: usize = 64;

/// Maximum number of tokens of a prompt that targets are compared by.
const MAX_PROMPT_TOKENS: u64 = 1 << 24;

/// Maximum number of output tokens that are expected of one call. A caller must not be able to make a target
/// look full by what it declares.
const MAX_EXPECTED_OUTPUT_TOKENS: u64 = 1 << 13;

/// Id of a part of a prompt, the same in every call that has the part.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// One part of a prompt. Other calls may have the same part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: PartId,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Token counts that a caller declares for its call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens in the prompt.
    pub input: u64,
    /// Maximum number of tokens in the response.
    pub max_output: u64,
}

impl TokenCounts {
    /// Returns the maximum cost of the call.
    #[must_use]
    pub fn max_total(self) -> Tokens {
        Tokens(self.input.saturating_add(self.max_output))
    }
}

/// Parsed headers of a call that the gateway's decisions depend on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the caller's attempt; [`None`] if it sent none.
    pub id: Option<RequestId>,
    /// Time for which the caller waits for the response; [`None`] if it sent none.
    pub caller_timeout_ms: Option<u64>,
    /// API key of the caller; [`None`] if it sent none.
    pub key: Option<String>,
    /// Declared token counts; [`None`] for calls to services without model engines.
    pub tokens: Option<TokenCounts>,
    /// Output tokens that the caller expects; [`None`] if it does not say.
    pub output_hint: Option<u64>,
    /// Parts of the prompt in order. The last one is specific to the call or its session.
    pub prompt_parts: Vec<PromptPart>,
    /// Where the caller resumes a stream; [`None`] if the call begins a new one.
    pub resumption: Option<Resumption>,
}

impl CallHead {
    /// Limits the parts to the tokens of the whole prompt, by which the call is paid for.
    ///
    /// Targets are compared by the tokens that they still have to process, so a caller must not be
    /// able to claim any number.
    pub fn limit_part_tokens(&mut self) {
        let input = self.tokens.map_or(0, |tokens| tokens.input);
        let mut left = input.min(MAX_PROMPT_TOKENS);
        for part in &mut self.prompt_parts {
            part.tokens = part.tokens.min(left);
            left -= part.tokens;
        }
    }

    /// Returns the output tokens to expect: those that the caller expects, or else the most it allows.
    #[must_use]
    pub fn expected_output(&self) -> u64 {
        let max_output = self.tokens.map_or(0, |tokens| tokens.max_output);
        let expected = self.output_hint.unwrap_or(max_output).min(max_output);
        expected.min(MAX_EXPECTED_OUTPUT_TOKENS)
    }

    /// Returns the parts of the prompt that other calls may have too, which are all but the last, up to
    /// `MAX_SHARED_PARTS`.
    #[must_use]
    pub fn shared_parts(&self) -> Vec<PartId> {
        let shared = self.prompt_parts.len().saturating_sub(1);
        let shared = shared.min(MAX_SHARED_PARTS);
        let parts = self.prompt_parts.iter().take(shared);
        parts.map(|part| part.id).collect()
    }
}

/// Where a caller resumes a stream that broke off in an earlier attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the caller's attempt that received the first event of the stream; [`None`] if the
    /// caller does not name it.
    pub first_attempt: Option<RequestId>,
    /// Id of the last event that the caller received; [`None`] if it does not name one.
    pub last_event_id: Option<String>,
}

/// Values that the gateway adds to the headers of a call that it forwards.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Only target that may run the call.
    pub target: &'a TargetName,
    /// Time left until the call's deadline.
    pub left_ms: u64,
    /// Organisation that makes the call.
    pub organisation: Option<&'a OrganisationName>,
    /// Id of the last event that was delivered, if the call resumes a stream of another target.
    pub last_event_id: Option<&'a str>,
    /// Priority at the target, 0 to 9, where 0 is the highest; [`None`] for services without model
    /// engines.
    pub priority: Option<u8>,
}

/// Parsed headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the call that the response belongs to, if the target sent it.
    pub id: Option<RequestId>,
    /// Whether the target states that it did not run the call and never will.
    pub not_run: bool,
    /// Whether the target marked the response as its own.
    pub is_stamped: bool,
    /// Whether the body has a content encoding, and so is not the target's original body.
    pub is_encoded: bool,
    /// Whether the target states that it is leaving and must get no new calls.
    pub is_leaving: bool,
    /// Time for which the target wants no calls from this VM; [`None`] if it does not throttle it.
    pub throttle: Option<Duration>,
    /// What the target states about a limit on its calls from all gateways together.
    pub limit: StatedLimit,
    /// Calls that the target may turn away in a second before it falls over; [`None`] if it states none.
    pub rejections_per_s: Option<u32>,
}

/// Formats of the deployment that the gateway runs in.
pub trait WireFormat {
    /// Parses the headers of a call.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Rewrites the headers of a caller's request for the request to a target.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Parses the status and headers of a target's response.
    fn read_response(&self, status: http::StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// All findings if the configuration is invalid.
    fn read_config(&self, bytes: &Bytes) -> Result<FleetConfig, Vec<Finding>>;

    /// Returns whether `key` is the key of the configuration in its topic.
    fn is_config_key(&self, key: &str) -> bool;

    /// Returns the data centre that `key`, in the topic of the configuration, evacuates; [`None`] if the key
    /// is of another kind.
    ///
    /// # Errors
    ///
    /// A finding if the key names no data centre.
    fn evacuated_data_centre(&self, key: &str) -> Option<Result<DataCentreName, Finding>>;

    /// Parses a target's registration, stored under `key`.
    ///
    /// # Errors
    ///
    /// All findings if the registration is invalid.
    fn read_target(&self, key: &str, bytes: &Bytes) -> Result<TargetEntry, Vec<Finding>>;

    /// Returns the path of the load balancer's readiness probes.
    fn readiness_path(&self) -> &'static str;
}
