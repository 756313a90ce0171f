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
    pub first_reader_age: Duration,
    /// Age beyond it at which the second one reads.
    pub second_reader_delay: Duration,
    /// What each further process adds.
    pub further_reader_delay: Duration,
    /// Time for which a process that has just started waits to hear from others, before it reads.
    pub startup_wait: Duration,
    /// Longest time that it waits beyond that, so that many that start at once don't all read.
    pub startup_jitter: Duration,
    /// Pause after the first failure; doubles with each further one.
    pub first_backoff: Duration,
    /// Longest pause.
    pub max_backoff: Duration,
    /// Age of the knowledge from which the store counts as disturbed.
    pub disturbed_age: Duration,
}

impl Default for ReaderConfig {
    fn default() -> Self {
        Self {
            first_reader_age: Duration::from_millis(300),
            second_reader_delay: Duration::from_millis(500),
            further_reader_delay: Duration::from_millis(100),
            startup_wait: Duration::from_millis(300),
            startup_jitter: Duration::from_millis(500),
            first_backoff: Duration::from_millis(150),
            max_backoff: Duration::from_millis(1_200),
            disturbed_age: Duration::from_millis(1_500),
        }
    }
}

/// Age of the knowledge at which a process reads that has so many others before it.
pub fn read_age(config: &ReaderConfig, before: usize) -> Duration {
    if before == 0 {
        return config.first_reader_age;
    }
    let steps = u32::try_from(before - 1).unwrap_or(u32::MAX);
    config.first_reader_age + config.second_reader_delay + config.further_reader_delay * steps
}

/// Time after its start at which a process that knows nothing reads; one of those that all others ask
/// first does so at once. `draw` is a random number.
pub fn startup_delay(config: &ReaderConfig, is_seed: bool, draw: u64) -> Duration {
    match is_seed {
        true => Duration::ZERO,
        false => config.startup_wait + config.startup_jitter.mul_f64((draw % 1_000) as f64 / 1e3),
    }
}

/// Pause after failures in a row; `draw` is a random number that spreads the processes.
pub fn backoff(config: &ReaderConfig, failures: u32, draw: u64) -> Duration {
    let doubled = config.first_backoff * 2_u32.saturating_pow(failures.saturating_sub(1).min(10));
    let longest = doubled.min(config.max_backoff);
    let part = 0.5 + (draw % 1_000) as f64 / 2_000.0;
    longest.mul_f64(part)
}
