//! Estimates of the tokens that requests take in an engine's KV cache.
//!
//! The engine keeps the prompts and answers of all batched requests in one KV cache. A limit on the
//! number of requests does not bound its use: a few very long prompts fill it, and the engine then
//! evicts cached content.

/// Bytes of text per token: fewer than usual, so that estimates err on the high side.
const BYTES_PER_TOKEN: u64 = 3;

/// Tokens assumed for an answer whose request sets no maximum.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Returns the maximum number of tokens of a request, estimated from the bytes of its prompt and
/// the maximum number of tokens of its answer.
pub fn estimate(prompt_bytes: usize, answer: Option<u32>) -> u32 {
    let prompt = (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN);
    let prompt = u32::try_from(prompt).unwrap_or(u32::MAX);
    prompt.saturating_add(answer.unwrap_or(DEFAULT_ANSWER_TOKENS))
}

/// Returns whether a request of `next` tokens fits beside `used` tokens of others. A request whose
/// estimate exceeds the whole capacity runs alone, since only the engine knows its true size.
pub fn fits(capacity: u32, used: u32, next: u32) -> bool {
    used == 0 || used.saturating_add(next) <= capacity
}
