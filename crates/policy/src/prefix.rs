//! Which prompt prefixes each backend server is believed to hold.
//!
//! Engines publish cache events late and with gaps. Events carry a sequence number; a gap may hide
//! evictions, so it lowers the confidence in everything believed of that server until fresh events
//! or own answers restore it. Own requests count as weak evidence too.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::BackendServerId};

use crate::{rendezvous::key_hash, routing::PrefixHash};

/// Characters of a prompt that engines name its prefix by.
const PREFIX_CHARS: usize = 64;

/// Hash of a prompt's prefix, as engines name it in their cache events.
pub fn prefix_hash(prompt: &str) -> PrefixHash {
    let end = prompt.char_indices().nth(PREFIX_CHARS);
    let end = end.map_or(prompt.len(), |(at, _)| at);
    key_hash(&prompt[..end])
}

/// Tunables of the prefix index.
#[derive(Debug, Clone, PartialEq)]
pub struct PrefixConfig {
    /// Prefixes remembered for each backend server; the oldest is forgotten first.
    pub max_prefixes_per_server: usize,
    /// Evictions assumed for each event that was missed; each hits any one belief alike.
    pub evictions_per_missed_event: f64,
    /// Age at which the belief that a prefix is cached counts half.
    pub half_life: Duration,
    /// Belief after an own request with the prefix, before any event tells.
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
        /// The prefix is cached now.
        Stored(PrefixHash),
        /// The prefix was evicted.
        Evicted(PrefixHash),
        /// The whole cache was dropped, as after a restart.
        Cleared,
    }
}

common_derives! {copy:
    /// One event of a backend server's prefix cache.
    pub struct CacheEvent {
        /// Position in the server's sequence of events.
        pub seq: u64,
        /// What changed.
        pub change: CacheChange,
    }
}

/// Belief in one prefix at one server.
#[derive(Debug, Clone, Copy)]
struct Belief {
    hit: f64,
    at: Timestamp,
}

#[derive(Debug, Default)]
struct ServerCache {
    next_seq: Option<u64>,
    beliefs: FastMap<PrefixHash, Belief>,
}

/// What this process believes of every server's prefix cache.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    config: PrefixConfig,
    servers: FastMap<BackendServerId, ServerCache>,
}

impl PrefixIndex {
    /// An index that believes nothing yet.
    pub fn new(config: PrefixConfig) -> Self {
        Self {
            config,
            servers: FastMap::default(),
        }
    }

    /// Takes in one event; a repeated or late one is ignored.
    pub fn record_event(&mut self, server: &str, event: CacheEvent, now: Timestamp) {
        let config = &self.config;
        let cache = self.servers.entry(server.to_owned()).or_default();
        let expected = cache.next_seq.unwrap_or(event.seq);
        if event.seq < expected {
            return;
        }
        cache.discount(config, event.seq - expected);
        cache.next_seq = Some(event.seq + 1);
        match event.change {
            CacheChange::Stored(prefix) => {
                cache.believe(config, prefix, Belief { hit: 1.0, at: now })
            }
            CacheChange::Evicted(prefix) => {
                cache.beliefs.remove(&prefix);
            }
            CacheChange::Cleared => cache.beliefs.clear(),
        }
    }

    /// Notes that a request with this prefix was answered by the server.
    pub fn record_answer(&mut self, server: &str, prefix: PrefixHash, now: Timestamp) {
        let config = &self.config;
        let cache = self.servers.entry(server.to_owned()).or_default();
        let held = cache.beliefs.get(&prefix).map_or(0.0, |belief| belief.hit);
        let hit = held.max(config.answer_confidence);
        cache.believe(config, prefix, Belief { hit, at: now });
    }

    /// Number of the last event taken in from a server.
    pub fn last_seq(&self, server: &str) -> Option<u64> {
        let next = self.servers.get(server)?.next_seq?;
        Some(next - 1)
    }

    /// Prefixes believed to be held by a server.
    pub fn prefix_count(&self, server: &str) -> usize {
        self.servers
            .get(server)
            .map_or(0, |cache| cache.beliefs.len())
    }

    /// Forgets a server, as when it restarted with a new boot id or is gone.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Probability from 0 to 1 that the server holds the prefix.
    pub fn hit_probability(&self, server: &str, prefix: PrefixHash, now: Timestamp) -> f64 {
        let belief = self
            .servers
            .get(server)
            .and_then(|cache| cache.beliefs.get(&prefix));
        let Some(belief) = belief else { return 0.0 };
        let age = now.saturating_sub(belief.at).as_secs_f64();
        belief.hit * 0.5_f64.powf(age / self.config.half_life.as_secs_f64())
    }
}

impl ServerCache {
    /// Lowers every belief by the number of events missed.
    fn discount(&mut self, config: &PrefixConfig, missed: u64) {
        if missed == 0 || self.beliefs.is_empty() {
            return;
        }
        let evicted = config.evictions_per_missed_event / self.beliefs.len() as f64;
        let kept = (1.0 - evicted).max(0.0);
        let factor = kept.powi(i32::try_from(missed).unwrap_or(i32::MAX));
        for belief in self.beliefs.values_mut() {
            belief.hit *= factor;
        }
    }

    fn believe(&mut self, config: &PrefixConfig, prefix: PrefixHash, belief: Belief) {
        self.beliefs.insert(prefix, belief);
        if self.beliefs.len() <= config.max_prefixes_per_server {
            return;
        }
        let oldest = self
            .beliefs
            .iter()
            .min_by_key(|(prefix, belief)| (belief.at, **prefix))
            .map(|(prefix, _)| *prefix);
        if let Some(oldest) = oldest {
            self.beliefs.remove(&oldest);
        }
    }
}
