//! Bounds the new requests at a server that has just started and is slow for some seconds.
//!
//! Load pattern: the servers of a failure domain return together, empty. Their load is the least of
//! all, so every entry sends them what arrives next, as fast as they answer. A declared rate bounds
//! what one of them bears over all entries; each entry has an equal part of it, since none knows what
//! the others send at that moment.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Time over which an entry saves up its part; a server that draws nothing for longer gains nothing.
const SAVED: Duration = Duration::from_millis(100);

/// An entry's part of the rate of requests that a cold server bears, in requests a second.
pub fn entry_rate(rate: f64, processes: usize) -> f64 {
    rate / processes.max(1) as f64
}

/// Requests that one entry may still send to one cold server.
#[derive(Debug, Clone)]
pub struct ColdAllowance {
    left: f64,
    updated: Timestamp,
}

impl ColdAllowance {
    /// Begins with a random part of one request, so that entries don't all send their first one at
    /// the same moment.
    pub fn new(now: Timestamp, draw: u64) -> Self {
        Self {
            left: draw as f64 / u64::MAX as f64,
            updated: now,
        }
    }

    /// Requests that may be sent now, at so many a second.
    pub fn available(&mut self, rate: f64, now: Timestamp) -> u32 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let most = (rate * SAVED.as_secs_f64()).max(1.0);
        self.left = (self.left + passed * rate).min(most);
        self.updated = now;
        self.left as u32
    }

    /// Counts a request that is sent.
    pub fn consume(&mut self) {
        self.left -= 1.0;
    }
}
