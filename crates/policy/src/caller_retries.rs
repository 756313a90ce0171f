//! Tells requests whose callers come back with them from those that come for the first time.
//!
//! Callers wait for different times, and come back with what is left of theirs. So how long first ones
//! wait is learned while nobody is rejected; a request with less time than nearly all of them has come
//! before.
//!
//! Load pattern: in an overload or an outage, half of what arrives has been rejected once and won't come
//! a third time.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

common_derives! {value:
    /// Tunables of telling them apart.
    pub struct CallerRetryConfig {
        /// Time after a rejection in which arrivals say nothing of first ones.
        pub learning_pause: Duration,
        /// Part of the first ones that may be taken for returned ones.
        pub max_false_positive_part: f64,
        /// Fewest first ones from which something is learned.
        pub min_samples: u32,
        /// Part of the longest time under which a request has come back, before that.
        pub default_threshold_part: f64,
    }
}

impl Default for CallerRetryConfig {
    fn default() -> Self {
        Self {
            learning_pause: Duration::from_secs(8),
            max_false_positive_part: 0.02,
            min_samples: 30,
            default_threshold_part: 0.6,
        }
    }
}

/// Parts into which the longest time is divided.
const BINS: usize = 40;

/// First ones from which the weight of older ones is halved.
const MOST: u32 = 2_000;

/// Part by which the longest time has to grow for what was learned to be dropped.
const GROWN: f64 = 1.02;

/// How long callers of one route wait who come for the first time.
#[derive(Debug, Clone, Default)]
pub struct CallerRetryDetector {
    longest: Duration,
    counts: Vec<u32>,
}

impl CallerRetryDetector {
    /// Takes in a request with so much time left; `rejected` is when one was last rejected. True where
    /// its caller has come back with it.
    pub fn observe(
        &mut self,
        config: &CallerRetryConfig,
        now: Timestamp,
        rejected: Option<Timestamp>,
        left: Duration,
    ) -> bool {
        if left > self.longest.mul_f64(GROWN) || self.counts.is_empty() {
            self.counts = vec![0; BINS];
        }
        self.longest = self.longest.max(left);
        if rejected.is_none_or(|at| now > at + config.learning_pause) {
            self.learn(left);
        }
        left < self.least(config)
    }

    fn learn(&mut self, left: Duration) {
        let part = left.as_secs_f64() / self.longest.as_secs_f64().max(1e-9);
        let bin = ((part * BINS as f64) as usize).min(BINS - 1);
        self.counts[bin] += 1;
        if self.counts.iter().sum::<u32>() > MOST {
            self.counts.iter_mut().for_each(|it| *it /= 2);
        }
    }

    /// The least time with which callers come for the first time, but for a few.
    fn least(&self, config: &CallerRetryConfig) -> Duration {
        let total: u32 = self.counts.iter().sum();
        if total < config.min_samples {
            return self.longest.mul_f64(config.default_threshold_part);
        }
        let wrong = f64::from(total) * config.max_false_positive_part;
        let mut below = 0;
        let shorter = self.counts.iter().take_while(|it| {
            below += **it;
            f64::from(below) <= wrong
        });
        self.longest.mul_f64(shorter.count() as f64 / BINS as f64)
    }
}
