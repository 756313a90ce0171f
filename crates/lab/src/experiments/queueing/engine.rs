//! Times of one backend server: batches, a prefix cache, cold starts.

use std::{collections::VecDeque, time::Duration};

use jj_policy::{
    prefix::{CacheChange, CacheEvent},
    routing::PrefixHash,
};
use jj_utils::clock::Timestamp;

use super::traffic::{Arrival, Service};

/// Part of the prefill that is left when the prefix is cached.
const CACHED_SHARE: f64 = 0.1;

/// Slowing by a full batch, as a share of the time alone.
const BATCH_SLOWING: f64 = 1.0;

/// Slowing of a cold server within its floor, and once it has more than it bears.
const COLD_SLOWING: f64 = 2.0;
const COLLAPSE_SLOWING: f64 = 20.0;

/// How a backend server is built.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineConfig {
    /// Concurrent requests that it bears when warm.
    pub concurrency: u32,
    /// Concurrent requests that it bears when cold.
    pub cold_floor: u32,
    /// Time from its start to warm.
    pub warm_up: Duration,
    /// Prefixes that its cache holds.
    pub cache: usize,
}

/// Times of one request at the server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// From its start to the first token.
    pub first: Duration,
    /// From its start to the end.
    pub total: Duration,
    /// Whether the prefix was cached.
    pub hit: bool,
}

/// One backend server.
#[derive(Debug)]
pub struct Engine {
    /// How it is built.
    pub config: EngineConfig,
    /// When it started.
    pub started: Timestamp,
    /// Requests that it works on.
    pub running: u32,
    /// Factor on all its times, for a stall.
    pub slowing: f64,
    cache: VecDeque<PrefixHash>,
    events: Vec<(Timestamp, CacheEvent)>,
}

impl Engine {
    /// A server that started at `started`, with an empty cache.
    pub fn new(config: EngineConfig, started: Timestamp) -> Self {
        Self {
            config,
            started,
            running: 0,
            slowing: 1.0,
            cache: VecDeque::new(),
            events: Vec::new(),
        }
    }

    /// Starts over cold; its events go on with the next sequence number.
    pub fn restart(&mut self, now: Timestamp) {
        self.started = now;
        self.running = 0;
        self.cache.clear();
        self.publish(now, CacheChange::Cleared);
    }

    /// Whether it bears its full load.
    pub fn is_warm(&self, now: Timestamp) -> bool {
        now >= self.started + self.config.warm_up
    }

    /// Events published since the one at position `from`.
    pub fn events_since(&self, from: usize) -> &[(Timestamp, CacheEvent)] {
        &self.events[from.min(self.events.len())..]
    }

    /// Takes in a request and says how long it takes.
    pub fn begin(&mut self, request: &Arrival, now: Timestamp) -> ServiceTime {
        self.running += 1;
        let hit = request.service == Service::Model && self.touch(request.prefix, now);
        let batch = f64::from(self.running) / f64::from(self.config.concurrency);
        let slowing = self.slowing * (1.0 + BATCH_SLOWING * batch) * self.cold_slowing(now);
        let prefill = if hit {
            request.prefill.mul_f64(CACHED_SHARE)
        } else {
            request.prefill
        };
        let first = match request.service {
            Service::Model => prefill.mul_f64(slowing) + Duration::from_millis(10),
            Service::Desk => request.decode.mul_f64(slowing),
        };
        let rest = match request.service {
            Service::Model => request.decode.mul_f64(slowing),
            Service::Desk => Duration::ZERO,
        };
        ServiceTime {
            first,
            total: first + rest,
            hit,
        }
    }

    fn cold_slowing(&self, now: Timestamp) -> f64 {
        if self.is_warm(now) {
            return 1.0;
        }
        if self.running <= self.config.cold_floor {
            return COLD_SLOWING;
        }
        COLLAPSE_SLOWING
    }

    /// Looks up and refreshes a prefix; a missing one takes the place of the oldest.
    fn touch(&mut self, prefix: PrefixHash, now: Timestamp) -> bool {
        if let Some(position) = self.cache.iter().position(|held| *held == prefix) {
            self.cache.remove(position);
            self.cache.push_back(prefix);
            return true;
        }
        self.cache.push_back(prefix);
        self.publish(now, CacheChange::Stored(prefix));
        if self.cache.len() > self.config.cache
            && let Some(evicted) = self.cache.pop_front()
        {
            self.publish(now, CacheChange::Evicted(evicted));
        }
        false
    }

    fn publish(&mut self, now: Timestamp, change: CacheChange) {
        let seq = self.events.len() as u64;
        self.events.push((now, CacheEvent { seq, change }));
    }
}
