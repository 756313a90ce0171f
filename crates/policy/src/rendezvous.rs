//! Rendezvous hashing (highest random weight): all processes with the same set of names rank them
//! alike, and adding or removing a name moves only the keys of that name.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash of a key, such as an instance name.
pub fn key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Returns the score of `name` for a key with this hash; the highest score wins.
pub fn score(hash: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), hash)
}

/// Returns the indices of `names` by falling score; equal scores are ordered by name.
pub fn ranking<'a>(hash: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut scored: Vec<(u64, &str, usize)> = names
        .enumerate()
        .map(|(index, name)| (score(hash, name), name, index))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, _, index)| index).collect()
}
