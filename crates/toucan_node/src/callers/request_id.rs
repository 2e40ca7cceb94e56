//! Identifier of a caller's request.

use http::HeaderMap;
use rand::Rng;
use toucan_platform::formats::HEADER_REQUEST_ID;
use toucan_types::RequestId;

use super::{Refusal, RefusalCode};

/// Maximum length of an identifier in characters.
const MAX_CHARACTERS: usize = 128;

/// Returns the identifier that the caller set, or a random one.
///
/// # Errors
///
/// An identifier that is empty, too long or not printable ASCII is refused, since identifiers are
/// used in headers, logs and paths.
pub(crate) fn request_id(headers: &HeaderMap, rng: &mut impl Rng) -> Result<RequestId, Refusal> {
    let Some(value) = headers.get(HEADER_REQUEST_ID) else {
        return Ok(RequestId::from(format!("{:032x}", rng.random::<u128>())));
    };
    let text = value.to_str().unwrap_or_default();
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_CHARACTERS || !printable {
        let message = format!(
            "{HEADER_REQUEST_ID}: expected 1 to {MAX_CHARACTERS} printable ASCII characters"
        );
        return Err(Refusal::new(RefusalCode::MalformedRequest, message));
    }
    Ok(RequestId::from(text))
}
