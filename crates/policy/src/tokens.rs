//! How much of an engine's KV cache requests take, in tokens.
//!
//! The engine batches requests whose prompts and answers share one memory. A count of requests does
//! not bound that memory: a few huge prompts fill it, and the engine then evicts what it holds.

/// Bytes of text for one token: fewer than usual, so that estimates err on the high side.
const BYTES_PER_TOKEN: u64 = 3;

/// Tokens of an answer whose caller names no bound.
const ANSWER_TOKENS: u32 = 256;

/// Tokens that a request takes at most by its prompt's bytes and by the bound on its answer.
pub fn estimate(prompt_bytes: usize, answer: Option<u32>) -> u32 {
    let prompt = (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN);
    let prompt = u32::try_from(prompt).unwrap_or(u32::MAX);
    prompt.saturating_add(answer.unwrap_or(ANSWER_TOKENS))
}

/// Whether a request of `next` tokens fits beside `used` others. One that is larger than the whole
/// capacity by the estimate runs alone: whether it really is, only the engine knows.
pub fn fits(capacity: u32, used: u32, next: u32) -> bool {
    used == 0 || used.saturating_add(next) <= capacity
}
