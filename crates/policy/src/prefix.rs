//! Estimates which prompt prefixes each backend server has cached.
//!
//! Cache events of engines arrive late and with gaps. Events have sequence numbers; a gap may hide
//! evictions, so it lowers the confidence in all prefixes of that server until new events or
//! answers to this process's requests restore it. Such an answer counts as weaker evidence.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::BackendServerId};

use crate::{rendezvous::key_hash, routing::PrefixHash};

/// Length in characters of the prefix that engines hash in their cache events.
const PREFIX_CHARS: usize = 64;

/// Returns the hash of a prompt's prefix, as in the engines' cache events.
pub fn prefix_hash(prompt: &str) -> PrefixHash {
    let end = prompt.char_indices().nth(PREFIX_CHARS);
    let end = end.map_or(prompt.len(), |(at, _)| at);
    key_hash(&prompt[..end])
}

/// Configuration of the prefix index.
#[derive(Debug, Clone, PartialEq)]
pub struct PrefixConfig {
    /// Maximum number of prefixes kept per backend server; the oldest is removed first.
    pub max_prefixes_per_server: usize,
    /// Evictions assumed for each missed event; any prefix of the server is equally likely to be
    /// evicted.
    pub evictions_per_missed_event: f64,
    /// Time in which the probability that a prefix is cached halves without new evidence.
    pub half_life: Duration,
    /// Probability that a prefix is cached after an answer to a request with it, unless events
    /// give a higher one.
    pub answer_confidence: f64,
}

impl Default for PrefixConfig {
    fn default() -> Self {
        Self {
            max_prefixes_per_server: 1_024,
            evictions_per_missed_event: 1.0,
            half_life: Duration::from_secs(60),
            answer_confidence: 0.8,
        }
    }
}

common_derives! {copy:
    /// What changed in a prefix cache.
    pub enum CacheChange {
        /// The prefix was stored.
        Stored(PrefixHash),
        /// The prefix was evicted.
        Evicted(PrefixHash),
        /// The whole cache was cleared, as after a restart.
        Cleared,
    }
}

common_derives! {copy:
    /// One event of a backend server's prefix cache.
    pub struct CacheEvent {
        /// Sequence number of the event.
        pub seq: u64,
        /// What changed.
        pub change: CacheChange,
    }
}

/// Probability that one server has one prefix cached, and the time of the evidence.
#[derive(Debug, Clone, Copy)]
struct CachedPrefix {
    probability: f64,
    updated_at: Timestamp,
}

#[derive(Debug, Default)]
struct ServerCache {
    next_seq: Option<u64>,
    prefixes: FastMap<PrefixHash, CachedPrefix>,
}

/// Estimated content of the prefix caches of all servers.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    config: PrefixConfig,
    servers: FastMap<BackendServerId, ServerCache>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(config: PrefixConfig) -> Self {
        Self {
            config,
            servers: FastMap::default(),
        }
    }

    /// Records one event; a repeated or reordered one is ignored.
    pub fn record_event(&mut self, server: &str, event: CacheEvent, now: Timestamp) {
        let config = &self.config;
        let cache = self.servers.entry(server.to_owned()).or_default();
        let expected = cache.next_seq.unwrap_or(event.seq);
        if event.seq < expected {
            return;
        }
        cache.apply_gap(config, event.seq - expected);
        cache.next_seq = Some(event.seq + 1);
        match event.change {
            CacheChange::Stored(prefix) => cache.insert(
                config,
                prefix,
                CachedPrefix {
                    probability: 1.0,
                    updated_at: now,
                },
            ),
            CacheChange::Evicted(prefix) => {
                cache.prefixes.remove(&prefix);
            }
            CacheChange::Cleared => cache.prefixes.clear(),
        }
    }

    /// Records that the server answered a request with this prefix.
    pub fn record_answer(&mut self, server: &str, prefix: PrefixHash, now: Timestamp) {
        let config = &self.config;
        let cache = self.servers.entry(server.to_owned()).or_default();
        let current = cache
            .prefixes
            .get(&prefix)
            .map_or(0.0, |cached| cached.probability);
        let probability = current.max(config.answer_confidence);
        cache.insert(
            config,
            prefix,
            CachedPrefix {
                probability,
                updated_at: now,
            },
        );
    }

    /// Returns the sequence number of the last event recorded for a server.
    pub fn last_seq(&self, server: &str) -> Option<u64> {
        let next = self.servers.get(server)?.next_seq?;
        Some(next - 1)
    }

    /// Returns the number of prefixes that a server probably has cached.
    pub fn prefix_count(&self, server: &str) -> usize {
        self.servers
            .get(server)
            .map_or(0, |cache| cache.prefixes.len())
    }

    /// Removes a server, for example after it restarted with a new boot id or was removed.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Returns the probability from 0 to 1 that the server has the prefix cached.
    pub fn hit_probability(&self, server: &str, prefix: PrefixHash, now: Timestamp) -> f64 {
        let cached = self
            .servers
            .get(server)
            .and_then(|cache| cache.prefixes.get(&prefix));
        let Some(cached) = cached else { return 0.0 };
        let age = now.saturating_sub(cached.updated_at).as_secs_f64();
        cached.probability * 0.5_f64.powf(age / self.config.half_life.as_secs_f64())
    }
}

impl ServerCache {
    /// Lowers the probabilities of all prefixes for `missed` events.
    fn apply_gap(&mut self, config: &PrefixConfig, missed: u64) {
        if missed == 0 || self.prefixes.is_empty() {
            return;
        }
        let evicted = config.evictions_per_missed_event / self.prefixes.len() as f64;
        let kept = (1.0 - evicted).max(0.0);
        let factor = kept.powi(i32::try_from(missed).unwrap_or(i32::MAX));
        for cached in self.prefixes.values_mut() {
            cached.probability *= factor;
        }
    }

    fn insert(&mut self, config: &PrefixConfig, prefix: PrefixHash, cached: CachedPrefix) {
        self.prefixes.insert(prefix, cached);
        if self.prefixes.len() <= config.max_prefixes_per_server {
            return;
        }
        let oldest = self
            .prefixes
            .iter()
            .min_by_key(|(prefix, cached)| (cached.updated_at, **prefix))
            .map(|(prefix, _)| *prefix);
        if let Some(oldest) = oldest {
            self.prefixes.remove(&oldest);
        }
    }
}
