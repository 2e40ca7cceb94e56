//! Authentication of operators.

use http::{HeaderMap, StatusCode, header};
use toucan_config::{ApiKey, Document, TeamKey};
use toucan_types::{FastHashMap, TeamName};

use super::api_problem::ApiProblem;

/// Prefix of the `Authorization` header's value.
const BEARER: &str = "Bearer ";

/// Authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Operator {
    /// Team of the operator.
    pub(crate) team: TeamName,
    /// Name recorded as the author of the operator's edits.
    pub(crate) author: String,
}

/// Returns the operator whose key the request carries.
///
/// A bootstrap key of the settings is valid only while the document has no current key of its team.
///
/// # Errors
///
/// Every failure returns the same error, so that key ids cannot be enumerated.
pub(crate) fn authenticate_operator(
    document: &Document,
    bootstrap_keys: &FastHashMap<String, TeamKey>,
    headers: &HeaderMap,
    now_ms: u64,
) -> Result<Operator, ApiProblem> {
    let refused = || ApiProblem::new(StatusCode::UNAUTHORIZED, "no valid team key was given");
    let value = headers.get(header::AUTHORIZATION).ok_or_else(refused)?;
    let text = value.to_str().map_err(|_not_text| refused())?;
    let key = ApiKey::parse(text.strip_prefix(BEARER).ok_or_else(refused)?)
        .map_err(|_malformed| refused())?;
    let listed = document.team_key_by_id(key.key_id());
    let bootstrap = bootstrap_keys
        .get(key.key_id())
        .filter(|entry| !has_current_key(document, &entry.team, now_ms));
    let entry = listed.or(bootstrap).ok_or_else(refused)?;
    if !entry.key.matches(&key) || !entry.is_current(now_ms) {
        return Err(refused());
    }
    Ok(Operator {
        team: entry.team.clone(),
        author: entry.author.clone(),
    })
}

fn has_current_key(document: &Document, team: &TeamName, now_ms: u64) -> bool {
    let mut keys = document.operations().team_keys.values();
    keys.any(|key| key.team == *team && key.is_current(now_ms))
}
