//! Decides which process reads the platform's store, and when.
//!
//! Each call has a cost, and one read serves all, since processes forward what they read to each
//! other. The first process in the order of names reads when its copy reaches a certain age, and
//! each further process at a higher age. So another one takes over when the first is stopped,
//! partitioned or refused.

use std::time::Duration;

/// Ages, delays and backoff of reads.
#[derive(Debug, Clone, PartialEq)]
pub struct ReaderConfig {
    /// Age of its copy at which the first process reads.
    pub first_reader_age: Duration,
    /// Additional age at which the second process reads.
    pub second_reader_delay: Duration,
    /// Additional age for each further process.
    pub further_reader_delay: Duration,
    /// Time for which a process that has just started waits for copies from others before it reads.
    pub startup_wait: Duration,
    /// Maximum additional wait, so that processes that start together don't all read.
    pub startup_jitter: Duration,
    /// Backoff after the first failure; doubles with each further one.
    pub first_backoff: Duration,
    /// Maximum backoff.
    pub max_backoff: Duration,
    /// Age of the copy from which failed reads count as an outage of the store.
    pub outage_age: Duration,
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
            outage_age: Duration::from_millis(1_500),
        }
    }
}

/// Returns the age of the copy at which a process reads, given the number of processes before it.
pub fn read_age(config: &ReaderConfig, before: usize) -> Duration {
    if before == 0 {
        return config.first_reader_age;
    }
    let steps = u32::try_from(before - 1).unwrap_or(u32::MAX);
    config.first_reader_age + config.second_reader_delay + config.further_reader_delay * steps
}

/// Returns the time after its start at which a process without a copy reads. A seed, which all
/// others ask first, reads at once. `draw` is a random number.
pub fn startup_delay(config: &ReaderConfig, is_seed: bool, draw: u64) -> Duration {
    match is_seed {
        true => Duration::ZERO,
        false => config.startup_wait + config.startup_jitter.mul_f64((draw % 1_000) as f64 / 1e3),
    }
}

/// Returns the backoff after failures in a row; `draw` is a random number that spreads the
/// processes.
pub fn backoff(config: &ReaderConfig, failures: u32, draw: u64) -> Duration {
    let exponential =
        config.first_backoff * 2_u32.saturating_pow(failures.saturating_sub(1).min(10));
    let capped = exponential.min(config.max_backoff);
    let part = 0.5 + (draw % 1_000) as f64 / 2_000.0;
    capped.mul_f64(part)
}
