//! Deterministic subsets: which entries an agent connects to, and which agents connect to an entry.
//!
//! Every process computes them from the same names by rendezvous hashing, so no process assigns
//! them. The size is fixed, whatever the fleet's, and the picks alternate between the failure
//! domains.

use jj_utils::{common_derives, ids::FailureDomainId};

use crate::rendezvous::{key_hash, ranking, score};

common_derives! {copy:
    /// Process that can be picked.
    pub struct Node<'a> {
        /// Name of the instance.
        pub id: &'a str,
        /// Failure domain of the instance.
        pub domain: &'a str,
    }
}

/// Returns the positions in `nodes` of up to `count` picks for the key `hash`, the best first.
///
/// Each round takes the best remaining node of each failure domain, so that the picks of any two
/// domains differ by one at most while both have nodes left.
pub fn pick(hash: u64, nodes: &[Node<'_>], count: usize) -> Vec<usize> {
    let mut queues: Vec<(FailureDomainId, Vec<usize>)> = Vec::new();
    for index in ranking(hash, nodes.iter().map(|node| node.id)) {
        let domain = nodes[index].domain;
        match queues.iter_mut().find(|(name, _)| name == domain) {
            Some((_, queue)) => queue.push(index),
            None => queues.push((domain.to_owned(), vec![index])),
        }
    }
    // The order of the domains depends only on their names: a new node must not reorder them.
    queues.sort_by_cached_key(|(domain, _)| std::cmp::Reverse(score(hash, domain)));
    let rounds = queues.iter().map(|(_, queue)| queue.len()).max();
    (0..rounds.unwrap_or(0))
        .flat_map(|round| queues.iter().filter_map(move |(_, queue)| queue.get(round)))
        .copied()
        .take(count)
        .collect()
}

/// Returns the positions of the entries that `agent` connects to.
pub fn entries_of(agent: &str, entries: &[Node<'_>], count: usize) -> Vec<usize> {
    pick(key_hash(agent), entries, count)
}

/// Returns the positions of the agents that connect to `entry`; the inverse of [`entries_of`].
pub fn agents_of(
    entry: &str,
    agents: &[Node<'_>],
    entries: &[Node<'_>],
    count: usize,
) -> Vec<usize> {
    let connects = |agent: &Node<'_>| {
        entries_of(agent.id, entries, count)
            .into_iter()
            .any(|index| entries[index].id == entry)
    };
    (0..agents.len())
        .filter(|&index| connects(&agents[index]))
        .collect()
}
