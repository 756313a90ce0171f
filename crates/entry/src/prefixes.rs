//! What this entry believes of the prefix caches, shared by its traffic threads.

use std::sync::{Mutex, MutexGuard, PoisonError};

use jj_peer::cache_events::CacheEventWire;
use jj_policy::{prefix::PrefixIndex, routing::PrefixHash};
use jj_utils::clock::Timestamp;

/// Beliefs in the prefixes of every backend server, by the name of its agent's instance.
#[derive(Debug, Default)]
pub struct SharedPrefixIndex(Mutex<PrefixIndex>);

impl SharedPrefixIndex {
    /// Probability from 0 to 1 that an agent's backend server holds a prefix.
    pub fn hit_probability(&self, agent: &str, prefix: PrefixHash, now: Timestamp) -> f64 {
        self.lock().hit_probability(agent, prefix, now)
    }

    /// Notes that an agent's backend server answered a request with a prefix.
    pub fn record_answer(&self, agent: &str, prefix: PrefixHash, now: Timestamp) {
        self.lock().record_answer(agent, prefix, now);
    }

    /// Takes in cache events that an agent sent along with an answer.
    pub fn record_events(&self, agent: &str, events: Vec<CacheEventWire>, now: Timestamp) {
        let mut index = self.lock();
        for event in events {
            index.record_event(agent, event.into(), now);
        }
    }

    /// Number of the last cache event known of an agent's backend server; 0 when none is.
    pub fn last_seq(&self, agent: &str) -> u64 {
        self.lock().last_seq(agent).unwrap_or_default()
    }

    /// SharedPrefixIndex that an agent's backend server is believed to hold.
    pub fn prefix_count(&self, agent: &str) -> usize {
        self.lock().prefix_count(agent)
    }

    fn lock(&self) -> MutexGuard<'_, PrefixIndex> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
