//! Deterministic tokens: from the prompt alone, a caller detects missing and repeated tokens and
//! those of another response.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash of a prompt, which determines all tokens of the response.
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the token at `index` of the response to the prompt with this hash.
pub fn token(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!("{index}:{:08x} ", hash >> 32)
}

/// Returns the complete response to `prompt` with `count` tokens.
pub fn whole_answer(prompt: &str, count: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..count).map(|index| token(hash, index)).collect()
}
