//! Rendezvous (highest random weight) hashing: every process that knows the same names ranks them
//! alike, and a name that joins or leaves moves only its own share.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a text key, such as an instance name.
pub fn key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Score of `name` for the key `hash`; the highest score wins.
pub fn score(hash: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), hash)
}

/// Indices of `names` from the highest score to the lowest; equal scores go by name.
pub fn ranking<'a>(hash: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut scored: Vec<(u64, &str, usize)> = names
        .enumerate()
        .map(|(index, name)| (score(hash, name), name, index))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, _, index)| index).collect()
}
