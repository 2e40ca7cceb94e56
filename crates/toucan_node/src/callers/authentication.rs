//! Authentication of callers.

use http::{HeaderMap, header};
use toucan_config::{ApiKey, Document};
use toucan_types::{BudgetName, OrganisationName};

use super::{Refusal, RefusalCode};

/// Prefix of the `Authorization` header's value.
const BEARER: &str = "Bearer ";

/// Authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Organisation of the key.
    pub(crate) organisation: OrganisationName,
    /// Budget that pays for the key's requests.
    pub(crate) budget: BudgetName,
}

/// Returns the caller whose key the request carries.
///
/// # Errors
///
/// Every failure returns the same refusal, so that key ids cannot be enumerated.
pub(crate) fn authenticate(
    document: &Document,
    headers: &HeaderMap,
    now_ms: u64,
) -> Result<Caller, Refusal> {
    let refused = || Refusal::new(RefusalCode::Unauthenticated, "no valid key was given");
    let value = headers.get(header::AUTHORIZATION).ok_or_else(refused)?;
    let text = value.to_str().map_err(|_not_text| refused())?;
    let key = ApiKey::parse(text.strip_prefix(BEARER).ok_or_else(refused)?)
        .map_err(|_malformed| refused())?;
    let entry = document
        .caller_by_key_id(key.key_id())
        .ok_or_else(refused)?;
    if !entry.key.matches(&key) || !entry.is_current(now_ms) {
        return Err(refused());
    }
    Ok(Caller {
        organisation: entry.organisation.clone(),
        budget: entry.budget.clone(),
    })
}
