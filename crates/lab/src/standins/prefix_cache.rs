//! Prompt prefixes in limited memory, with a log of events that may lag and have gaps.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use jj_utils::common_derives;

use crate::tokens::prompt_hash;

/// Events kept for readers.
const EVENT_LIMIT: usize = 4096;

/// How a cache behaves.
#[derive(Debug, Clone)]
pub struct CacheConfig {
    /// Prefixes that fit.
    pub entries: usize,
    /// Characters of a prompt that make its prefix.
    pub prefix_len: usize,
    /// Age at which an event becomes visible.
    pub event_lag: Duration,
    /// Each nth event is lost; 0 loses none.
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
    /// A prefix was added or evicted.
    pub struct CacheEvent {
        /// Number of the event; a gap means lost events.
        pub seq: u64,
        /// Hash of the prefix, in hex.
        pub prefix: String,
        /// Added, or else evicted.
        pub added: bool,
    }
}

common_derives! {wire:
    /// Answer of `GET /cache-events`.
    pub struct CacheEvents {
        /// Events after the number that was asked for.
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
    events: VecDeque<Logged>,
}

#[derive(Debug)]
struct Logged {
    at: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(config: CacheConfig) -> Self {
        Self {
            config,
            state: Mutex::default(),
        }
    }

    /// Uses the prefix of `prompt`; true when it was in the cache.
    pub fn touch(&self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(self.config.prefix_len).collect();
        let hash = prompt_hash(&prefix);
        let mut state = self.lock();
        let place = state.prefixes.iter().position(|known| *known == hash);
        if let Some(place) = place {
            state.prefixes.remove(place);
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

    /// Forgets everything, as a restart does.
    pub fn clear(&self) {
        self.lock().prefixes.clear();
    }

    /// Prompts whose prefix was held.
    pub fn hits(&self) -> u64 {
        self.lock().hits
    }

    /// Prefixes held.
    pub fn used(&self) -> usize {
        self.lock().prefixes.len()
    }

    /// Visible events with a number above `after`.
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
        state.events.push_back(Logged {
            at: Instant::now(),
            event,
        });
        if state.events.len() > EVENT_LIMIT {
            state.events.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
