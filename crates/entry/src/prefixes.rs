//! Estimated content of the backend servers' prefix caches, shared by the traffic threads.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jj_peer::cache_events::CacheEventWire;
use jj_policy::{prefix::PrefixIndex, routing::PrefixHash};
use jj_utils::clock::Timestamp;

/// Index of the prefixes cached by each backend server, keyed by its agent's instance name.
#[derive(Debug, Default)]
pub struct SharedPrefixIndex(Mutex<PrefixIndex>);

impl SharedPrefixIndex {
    /// Returns the probability, from 0 to 1, that an agent's backend server has cached a prefix.
    pub fn hit_probability(&self, agent: &str, prefix: PrefixHash, now: Timestamp) -> f64 {
        self.lock().hit_probability(agent, prefix, now)
    }

    /// Records that an agent's backend server answered a request with the prefix.
    pub fn record_answer(&self, agent: &str, prefix: PrefixHash, now: Timestamp) {
        self.lock().record_answer(agent, prefix, now);
    }

    /// Applies cache events that an agent sent with an answer.
    pub fn record_events(&self, agent: &str, events: Vec<CacheEventWire>, now: Timestamp) {
        let mut index = self.lock();
        for event in events {
            index.record_event(agent, event.into(), now);
        }
    }

    /// Returns the sequence number of the last cache event of an agent's backend server; 0 if none.
    pub fn last_seq(&self, agent: &str) -> u64 {
        self.lock().last_seq(agent).unwrap_or_default()
    }

    /// Returns the number of prefixes that an agent's backend server probably holds.
    pub fn prefix_count(&self, agent: &str) -> usize {
        self.lock().prefix_count(agent)
    }

    fn lock(&self) -> MutexGuard<'_, PrefixIndex> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
