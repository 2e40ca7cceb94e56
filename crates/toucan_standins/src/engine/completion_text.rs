//! The answers of the engines: functions of the conversation, so that a check knows them.

use toucan_platform::formats::{ChatMessage, ChatRequest};

/// Bytes of a prompt that make one token.
pub const BYTES_PER_TOKEN: u64 = 4;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Shortest answer when the request leaves room for it.
const SHORTEST_ANSWER_TOKENS: u64 = 8;
/// Number of answer lengths from the shortest on.
const ANSWER_LENGTHS: u64 = 120;
/// Tokens of an answer when the request sets no limit.
const DEFAULT_LIMIT_TOKENS: u64 = 64;

/// Number that an answer depends on: model name without its version, and conversation.
pub fn answer_seed(request: &ChatRequest) -> u64 {
    let model = request.model.split('@').next().unwrap_or_default();
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(prompt_text(&request.messages).as_bytes());
    first_u64(&hasher.finalize())
}

/// Length of the answer in tokens.
pub fn completion_tokens(request: &ChatRequest) -> u64 {
    let natural = SHORTEST_ANSWER_TOKENS + answer_seed(request) % ANSWER_LENGTHS;
    natural.min(request.max_tokens.unwrap_or(DEFAULT_LIMIT_TOKENS))
}

/// Text of one token of the answer.
pub fn answer_token(seed: u64, index: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    let word = first_u64(&hasher.finalize()) & 0xffff;
    format!("{word:04x} ")
}

/// The whole answer.
pub fn completion_text(request: &ChatRequest) -> String {
    let seed = answer_seed(request);
    let tokens = 0..completion_tokens(request);
    tokens.map(|index| answer_token(seed, index)).collect()
}

/// Tokens of a prompt.
pub fn prompt_tokens(messages: &[ChatMessage]) -> u64 {
    (prompt_text(messages).len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// Hashes of the whole blocks of a prompt, each covering it from its start to the block's end.
///
/// 64-bit FNV-1a over role, newline, content, newline of each message.
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
