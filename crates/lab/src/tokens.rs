//! Deterministic tokens: a caller can tell a truncated, crossed, doubled or wrong answer from the
//! prompt alone.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a prompt; all tokens of its answer follow from it.
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// The token at `index` of the answer to the prompt with this hash.
pub fn token(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!("{index}:{:08x} ", hash >> 32)
}

/// The whole answer to `prompt` with `count` tokens.
pub fn whole_answer(prompt: &str, count: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..count).map(|index| token(hash, index)).collect()
}
