//! Prefix hashes of a prompt's blocks.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns one hash for each whole block of `block_bytes` bytes; it covers the prompt from its
/// start to the end of the block.
///
/// Each hash is the running 64-bit FNV-1a state at the block's end. Equal hashes mean equal
/// prefixes, barring collisions. A trailing partial block has no hash, because engines only cache
/// whole blocks. The result is the same on every machine and in every release.
///
/// ```
/// use toucan_router::block_hashes;
///
/// let short = block_hashes("abcdefgh", 4);
/// let long = block_hashes("abcdefghijkl!", 4);
/// assert_eq!(short, long[..2]);
/// ```
#[must_use]
pub fn block_hashes(prompt: &str, block_bytes: usize) -> Vec<u64> {
    let block_bytes = block_bytes.max(1);
    let mut hash = FNV_OFFSET_BASIS;
    let mut blocks = Vec::with_capacity(prompt.len() / block_bytes);
    for block in prompt.as_bytes().chunks_exact(block_bytes) {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        blocks.push(hash);
    }
    blocks
}
