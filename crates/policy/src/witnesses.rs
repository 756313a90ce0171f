//! Which entries a process asks only to learn of configuration and partitions.
//!
//! A few are asked always. They stand in different failure domains, but not in all of them, so
//! where a partition cuts them all off, others on this process's side may still answer. One more in
//! each failure domain left is asked while one of the few is silent.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastSet, common_derives};

use crate::{
    rendezvous::key_hash,
    subset::{self, Node},
};

common_derives! {key:
    /// Positions of the entries to ask.
    #[derive(Default)]
    pub struct Witnesses {
        /// Those asked always.
        pub chosen: Vec<usize>,
        /// Those asked while one of the others is silent.
        pub spare: Vec<usize>,
    }
}

/// Chooses among all other entries.
pub fn choose(own: &str, entries: &[Node<'_>], count: usize) -> Witnesses {
    let domains: FastSet<&str> = entries.iter().map(|entry| entry.domain).collect();
    let mut chosen = subset::pick(key_hash(own), entries, count.max(domains.len()));
    let spare = chosen.split_off(count.min(chosen.len()));
    Witnesses { chosen, spare }
}

/// Whether spares are asked now: a question to one of those chosen, asked each `interval`, has had
/// no answer. `answered` are the dates of the last questions that had one.
pub fn needs_spares(
    answered: impl IntoIterator<Item = Option<Timestamp>>,
    interval: Duration,
    now: Timestamp,
) -> bool {
    let is_silent = |at: Timestamp| now.saturating_sub(at) >= interval * 3 / 2;
    answered.into_iter().any(|at| at.is_none_or(is_silent))
}
