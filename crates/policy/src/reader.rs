//! Which process reads the platform's store, and when.
//!
//! Each call is paid for, and one read serves all, since processes tell each other what they read.
//! All are ready to read; the first in the order of names reads when its knowledge is a little old,
//! each further one when it has become older than that, so that another one steps in where the
//! first is stopped, cut off or turned away.

use std::time::Duration;

/// Tunables of reading.
#[derive(Debug, Clone, PartialEq)]
pub struct ReaderConfig {
    /// Age of the knowledge at which the first process reads.
    pub first: Duration,
    /// Age beyond it at which the second one reads.
    pub second: Duration,
    /// What each further process adds.
    pub step: Duration,
    /// Time for which a process that has just started waits to hear from others, before it reads.
    pub hearing: Duration,
    /// Longest time that it waits beyond that, so that many that start at once don't all read.
    pub spread: Duration,
    /// Pause after the first failure; doubles with each further one.
    pub pause: Duration,
    /// Longest pause.
    pub longest: Duration,
    /// Age of the knowledge from which the store counts as disturbed.
    pub stale: Duration,
}

impl Default for ReaderConfig {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(300),
            second: Duration::from_millis(500),
            step: Duration::from_millis(100),
            hearing: Duration::from_millis(300),
            spread: Duration::from_millis(500),
            pause: Duration::from_millis(150),
            longest: Duration::from_millis(1_200),
            stale: Duration::from_millis(1_500),
        }
    }
}

/// Age of the knowledge at which a process reads that has so many others before it.
pub fn due_age(config: &ReaderConfig, before: usize) -> Duration {
    if before == 0 {
        return config.first;
    }
    let steps = u32::try_from(before - 1).unwrap_or(u32::MAX);
    config.first + config.second + config.step * steps
}

/// Time after its start at which a process that knows nothing reads; one of those that all others ask
/// first does so at once. `draw` is a random number.
pub fn first_read(config: &ReaderConfig, is_seed: bool, draw: u64) -> Duration {
    match is_seed {
        true => Duration::ZERO,
        false => config.hearing + config.spread.mul_f64((draw % 1_000) as f64 / 1e3),
    }
}

/// Pause after failures in a row; `draw` is a random number that spreads the processes.
pub fn pause(config: &ReaderConfig, failures: u32, draw: u64) -> Duration {
    let doubled = config.pause * 2_u32.saturating_pow(failures.saturating_sub(1).min(10));
    let longest = doubled.min(config.longest);
    let part = 0.5 + (draw % 1_000) as f64 / 2_000.0;
    longest.mul_f64(part)
}
