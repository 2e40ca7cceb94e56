//! Completions of the engines; they depend only on the request, so that a test can compute them.

use toucan_platform::formats::{ChatMessage, ChatRequest};

/// Number of prompt bytes per token.
pub const BYTES_PER_TOKEN: u64 = 4;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Minimum length of a completion, unless the request's limit is lower.
const MIN_COMPLETION_TOKENS: u64 = 8;
/// Number of possible lengths of a completion without limit, from the minimum upwards.
const COMPLETION_LENGTHS: u64 = 120;
/// Maximum length of a completion if the request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 64;

/// Returns the seed of a completion, from the model's name without its version and the messages.
pub fn completion_seed(request: &ChatRequest) -> u64 {
    let model = request.model.split('@').next().unwrap_or_default();
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(prompt_text(&request.messages).as_bytes());
    first_u64(&hasher.finalize())
}

/// Returns the length of the completion, in tokens.
pub fn completion_tokens(request: &ChatRequest) -> u64 {
    let unlimited = MIN_COMPLETION_TOKENS + completion_seed(request) % COMPLETION_LENGTHS;
    unlimited.min(request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
}

/// Returns the text of one token of the completion.
pub fn completion_token_text(seed: u64, index: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    let word = first_u64(&hasher.finalize()) & 0xffff;
    format!("{word:04x} ")
}

/// Returns the text of the completion.
pub fn completion_text(request: &ChatRequest) -> String {
    let seed = completion_seed(request);
    let tokens = 0..completion_tokens(request);
    tokens
        .map(|index| completion_token_text(seed, index))
        .collect()
}

/// Returns the length of a prompt, in tokens.
pub fn prompt_tokens(messages: &[ChatMessage]) -> u64 {
    (prompt_text(messages).len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// Returns the hashes of a prompt's full blocks, each over the prompt up to the end of the block.
///
/// The hash is 64-bit FNV-1a over role, newline, content and newline of each message.
pub fn prompt_blocks(messages: &[ChatMessage], block_tokens: u32) -> Vec<u64> {
    let text = prompt_text(messages);
    let block_bytes = u64::from(block_tokens.max(1)) * BYTES_PER_TOKEN;
    let block_bytes = usize::try_from(block_bytes).unwrap_or(usize::MAX);
    let mut hash = FNV_OFFSET_BASIS;
    let blocks = text.as_bytes().chunks_exact(block_bytes);
    blocks
        .map(|block| {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            hash
        })
        .collect()
}

fn prompt_text(messages: &[ChatMessage]) -> String {
    let lines = messages.iter();
    lines
        .map(|message| format!("{}\n{}\n", message.role, message.content))
        .collect()
}

fn first_u64(hash: &blake3::Hash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
