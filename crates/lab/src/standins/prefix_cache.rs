//! Prefix cache of a stand-in engine, with a log of cache events that may lag and have gaps.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use jj_utils::common_derives;

use crate::tokens::prompt_hash;

/// Events kept for readers; older ones are dropped.
const MAX_EVENTS: usize = 4096;

/// Size of a prefix cache, and faults of its event log.
#[derive(Debug, Clone)]
pub struct CacheConfig {
    /// Maximum number of cached prefixes.
    pub entries: usize,
    /// Length of a prefix, in characters.
    pub prefix_len: usize,
    /// Delay after which an event becomes visible to readers.
    pub event_lag: Duration,
    /// Drops each nth event; 0 drops none.
    pub lose_each: u64,
}

impl Default for CacheConfig {
    fn default() -> Self {
        Self {
            entries: 64,
            prefix_len: 64,
            event_lag: Duration::ZERO,
            lose_each: 0,
        }
    }
}

common_derives! {wire:
    /// Addition or eviction of a prefix.
    pub struct CacheEvent {
        /// Sequence number of the event; a gap means lost events.
        pub seq: u64,
        /// Hash of the prefix, in hex.
        pub prefix: String,
        /// True if the prefix was added, false if it was evicted.
        pub added: bool,
    }
}

common_derives! {wire:
    /// Answer of `GET /cache-events`.
    pub struct CacheEvents {
        /// Visible events after the requested sequence number.
        pub events: Vec<CacheEvent>,
    }
}

/// The prefix cache of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    config: CacheConfig,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    seq: u64,
    hits: u64,
    prefixes: VecDeque<u64>,
    events: VecDeque<LoggedEvent>,
}

#[derive(Debug)]
struct LoggedEvent {
    at: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(config: CacheConfig) -> Self {
        Self {
            config,
            state: Mutex::default(),
        }
    }

    /// Looks up the prefix of `prompt` and marks it as most recently used; adds it, and evicts the
    /// least recently used, if it was missing. Returns whether it was cached.
    pub fn touch(&self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(self.config.prefix_len).collect();
        let hash = prompt_hash(&prefix);
        let mut state = self.lock();
        let index = state.prefixes.iter().position(|known| *known == hash);
        if let Some(index) = index {
            state.prefixes.remove(index);
            state.prefixes.push_back(hash);
            state.hits += 1;
            return true;
        }
        state.prefixes.push_back(hash);
        self.record(&mut state, hash, true);
        if state.prefixes.len() > self.config.entries
            && let Some(evicted) = state.prefixes.pop_front()
        {
            self.record(&mut state, evicted, false);
        }
        false
    }

    /// Removes all prefixes, as a restart does; no events are logged.
    pub fn clear(&self) {
        self.lock().prefixes.clear();
    }

    /// Returns the number of lookups that found their prefix.
    pub fn hits(&self) -> u64 {
        self.lock().hits
    }

    /// Returns the number of cached prefixes.
    pub fn used(&self) -> usize {
        self.lock().prefixes.len()
    }

    /// Returns the visible events with a sequence number above `after`.
    pub fn events_after(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let state = self.lock();
        let visible = state
            .events
            .iter()
            .filter(|logged| now.duration_since(logged.at) >= self.config.event_lag)
            .filter(|logged| logged.event.seq > after);
        CacheEvents {
            events: visible.map(|logged| logged.event.clone()).collect(),
        }
    }

    fn record(&self, state: &mut State, hash: u64, added: bool) {
        state.seq += 1;
        if self.config.lose_each > 0 && state.seq.is_multiple_of(self.config.lose_each) {
            return;
        }
        let event = CacheEvent {
            seq: state.seq,
            prefix: format!("{hash:016x}"),
            added,
        };
        state.events.push_back(LoggedEvent {
            at: Instant::now(),
            event,
        });
        if state.events.len() > MAX_EVENTS {
            state.events.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
