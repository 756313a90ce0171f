//! Limits new requests to a server that has just started and is slow for some seconds.
//!
//! Load pattern: the servers of a failure domain return together and idle. They have the lowest
//! load of all, so every entry sends them its next requests as fast as they respond. A declared
//! rate limits the requests to one of them over all entries. Each entry has an equal share of it,
//! since none knows what the others send at that moment.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Time for which unused allowance accumulates; a server that gets no requests for longer gains
/// nothing.
const ACCUMULATION_TIME: Duration = Duration::from_millis(100);

/// Returns an entry's share of the request rate of a cold server, in requests per second.
pub fn entry_rate(rate: f64, processes: usize) -> f64 {
    rate / processes.max(1) as f64
}

/// Requests that one entry may still send to one cold server.
#[derive(Debug, Clone)]
pub struct ColdAllowance {
    remaining: f64,
    updated: Timestamp,
}

impl ColdAllowance {
    /// Returns an allowance with a random part of one request, so that entries don't all send their
    /// first one at the same moment.
    pub fn new(now: Timestamp, draw: u64) -> Self {
        Self {
            remaining: draw as f64 / u64::MAX as f64,
            updated: now,
        }
    }

    /// Returns the number of requests that may be sent now at `rate` requests per second.
    pub fn available(&mut self, rate: f64, now: Timestamp) -> u32 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let max_remaining = (rate * ACCUMULATION_TIME.as_secs_f64()).max(1.0);
        self.remaining = (self.remaining + passed * rate).min(max_remaining);
        self.updated = now;
        self.remaining as u32
    }

    /// Deducts a request that is sent.
    pub fn consume(&mut self) {
        self.remaining -= 1.0;
    }
}
