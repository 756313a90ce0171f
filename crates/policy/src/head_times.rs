//! Whether the servers of a service send the head of a stream before they begin to run its request.
//!
//! A protocol that doesn't say when a head is sent promises nothing. Where heads have come well before
//! the first event, a stream without a head waits at its server; elsewhere it may be running.

use std::{collections::VecDeque, time::Duration};

/// Streams that are remembered.
const MAX_STREAMS: usize = 32;

/// Streams from which on something is concluded.
const MIN_STREAMS: usize = 8;

/// Time by which an early head precedes the first event.
const MIN_LEAD: Duration = Duration::from_millis(5);

/// Part of the streams whose head has to be early.
const EARLY_FRACTION: f64 = 0.9;

/// The last streams of a service.
#[derive(Debug, Clone, Default)]
pub struct HeadTimes {
    /// Whether the head of each was early.
    is_early: VecDeque<bool>,
}

impl HeadTimes {
    /// Records the time from the head of a stream to its first event.
    pub fn record(&mut self, lead: Duration) {
        if self.is_early.len() == MAX_STREAMS {
            self.is_early.pop_front();
        }
        self.is_early.push_back(lead >= MIN_LEAD);
    }

    /// Returns whether the head of a stream is known to precede the run of its request.
    pub fn precedes_run(&self) -> bool {
        let early = self.is_early.iter().filter(|it| **it).count();
        let needed = self.is_early.len() as f64 * EARLY_FRACTION;
        self.is_early.len() >= MIN_STREAMS && early as f64 >= needed
    }
}
