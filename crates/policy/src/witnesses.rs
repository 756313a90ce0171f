//! Chooses witnesses: entries that a process polls only to learn of new configurations and
//! partitions.
//!
//! A few are always polled. They are in different failure domains, but not in all of them, so a
//! partition may cut all of them off while entries on this process's side still answer. So one
//! spare witness in each remaining failure domain is polled while one of the few does not answer.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastSet, common_derives};

use crate::{
    rendezvous::key_hash,
    subset::{self, Node},
};

common_derives! {key:
    /// Positions of the entries to poll.
    #[derive(Default)]
    pub struct Witnesses {
        /// Entries that are always polled.
        pub chosen: Vec<usize>,
        /// Entries polled while one of those in `chosen` does not answer.
        pub spare: Vec<usize>,
    }
}

/// Chooses `count` witnesses and the spares among `entries`, which are all entries but `own`.
pub fn choose(own: &str, entries: &[Node<'_>], count: usize) -> Witnesses {
    let domains: FastSet<&str> = entries.iter().map(|entry| entry.domain).collect();
    let mut chosen = subset::pick(key_hash(own), entries, count.max(domains.len()));
    let spare = chosen.split_off(count.min(chosen.len()));
    Witnesses { chosen, spare }
}

/// Returns whether the spares are to be polled, as one of the chosen witnesses has not answered a
/// request. Requests are sent each `interval`; `answered` holds, for each chosen witness, the time
/// of the last request that was answered.
pub fn needs_spares(
    answered: impl IntoIterator<Item = Option<Timestamp>>,
    interval: Duration,
    now: Timestamp,
) -> bool {
    let is_silent = |at: Timestamp| now.saturating_sub(at) >= interval * 3 / 2;
    answered.into_iter().any(|at| at.is_none_or(is_silent))
}
