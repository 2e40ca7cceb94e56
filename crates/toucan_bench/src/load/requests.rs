//! Random requests of the load.

use rand::Rng;
use rand::rngs::StdRng;
use toucan_platform::formats::{ChatMessage, ChatRequest};
use toucan_standins::{completion_text, completion_tokens, prompt_tokens};
use toucan_types::{BillId, OrganisationName, RequestId};

use super::LoadSettings;
use crate::history::{Expectation, RequestHistory};
use crate::profile::{CallerIdentity, FleetProfile};

/// Tokens that a router may add per message to its upper bound of the prompt.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;
/// Range of the `max_tokens` of a request.
const MAX_TOKENS_RANGE: std::ops::Range<u64> = 8..64;

/// Prefix of the last message of each model request; the request identifier and a full stop follow.
const MESSAGE_PREFIX: &str = "Draft guarantee ";

/// Returns the request identifier in the last message of a prompt; empty if there is none.
pub(crate) fn request_id_in_message(message: &str) -> String {
    let id = message
        .strip_prefix(MESSAGE_PREFIX)
        .and_then(|rest| rest.strip_suffix('.'));
    id.unwrap_or_default().to_owned()
}

/// Content of a request.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Request to a model.
    Chat(ChatRequest),
    /// Non-idempotent call of the plain service.
    Service {
        /// Path on the router.
        path: String,
        /// Body.
        body: String,
        /// Tokens billed.
        cost_tokens: u64,
    },
}

/// One request to send, and its history without attempts.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) key: String,
    pub(crate) call: Call,
    pub(crate) history: RequestHistory,
}

/// Draws the request with a given number; `None` without callers.
pub(crate) fn draw_request(
    profile: &FleetProfile,
    callers: &[CallerIdentity],
    settings: &LoadSettings,
    number: u64,
    random: &mut StdRng,
) -> Option<PlannedRequest> {
    let caller = draw_caller(callers, random)?;
    let request_id = format!("r-{}-{number}", settings.seed);
    let is_service = random.random_range(0..1_000) < settings.service_permille;
    let (call, expectation, most_tokens) = if is_service {
        service_call(profile, &request_id)
    } else {
        chat_call(profile, caller, settings, &request_id, random)
    };
    let organisation = OrganisationName::from(caller.organisation.as_str());
    let bill = BillId::of(&organisation, &RequestId::from(request_id.as_str()));
    Some(PlannedRequest {
        key: caller.key.clone(),
        call,
        history: RequestHistory {
            organisation: caller.organisation.clone(),
            budget: caller.budget.clone(),
            request_id,
            bill: bill.to_string(),
            most_tokens,
            non_idempotent: is_service,
            expectation,
            attempts: Vec::new(),
        },
    })
}

fn draw_caller<'a>(
    callers: &'a [CallerIdentity],
    random: &mut StdRng,
) -> Option<&'a CallerIdentity> {
    let total: u64 = callers.iter().map(|caller| caller.weight).sum();
    let mut drawn = random.random_range(0..total.max(1));
    callers.iter().find(|caller| {
        let found = drawn < caller.weight;
        drawn = drawn.saturating_sub(caller.weight);
        found
    })
}

fn service_call(profile: &FleetProfile, request_id: &str) -> (Call, Expectation, u64) {
    let service = &profile.service;
    let body = format!("order-{request_id}");
    let call = Call::Service {
        path: format!("/services/{}{}", service.name, service.path),
        body: body.clone(),
        cost_tokens: service.cost_tokens,
    };
    (call, Expectation::Echo { text: body }, service.cost_tokens)
}

fn chat_call(
    profile: &FleetProfile,
    caller: &CallerIdentity,
    settings: &LoadSettings,
    request_id: &str,
    random: &mut StdRng,
) -> (Call, Expectation, u64) {
    let message = |role: &str, content: String| ChatMessage {
        role: role.to_owned(),
        content,
    };
    // Callers of one organisation share their system message, so that engines can cache the prefix.
    let instructions = format!("You write for {}. ", caller.organisation).repeat(12);
    let max_tokens = random.random_range(MAX_TOKENS_RANGE);
    let request = ChatRequest {
        model: profile.model().to_owned(),
        messages: vec![
            message("system", instructions),
            message("user", format!("{MESSAGE_PREFIX}{request_id}.")),
        ],
        max_tokens: Some(max_tokens),
        stream: random.random_range(0..1_000) < settings.streamed_permille,
        other: serde_json::Map::new(),
    };
    let prompt = prompt_tokens(&request.messages);
    let expectation = Expectation::Text {
        text: completion_text(&request),
        usage_tokens: prompt + completion_tokens(&request),
    };
    let bytes: usize = request
        .messages
        .iter()
        .map(|message| message.content.len())
        .sum();
    let overhead_tokens = MESSAGE_OVERHEAD_TOKENS * request.messages.len() as u64;
    let most_tokens = bytes as u64 + overhead_tokens + max_tokens;
    (Call::Chat(request), expectation, most_tokens)
}
