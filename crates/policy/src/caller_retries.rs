//! Detects requests that are retries by their callers, from the time that is left until their
//! deadline.
//!
//! Callers have different time limits, and retry with what is left of theirs. So the time left
//! of requests is sampled, except for some time after a rejection, when they may be retries. A
//! request with less time left than nearly all sampled ones counts as a retry.
//!
//! Load pattern: in an overload or an outage, half of the requests are retries after a
//! rejection, and their callers won't retry again.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

common_derives! {value:
    /// Thresholds for telling retries from first requests.
    pub struct CallerRetryConfig {
        /// Time after a rejection during which requests are not sampled, since they may be retries.
        pub sampling_pause: Duration,
        /// Maximum part of first requests that may be taken for retries.
        pub max_false_positive_part: f64,
        /// Number of samples from which the sampled times are used.
        pub min_samples: u32,
        /// With fewer samples: part of the longest time left so far, below which a request counts
        /// as a retry.
        pub default_threshold_part: f64,
    }
}

impl Default for CallerRetryConfig {
    fn default() -> Self {
        Self {
            sampling_pause: Duration::from_secs(8),
            max_false_positive_part: 0.02,
            min_samples: 30,
            default_threshold_part: 0.6,
        }
    }
}

/// Number of equal histogram bins between zero and the longest time left.
const HISTOGRAM_BINS: usize = 40;

/// Number of samples above which all counts are halved, so that older ones lose weight.
const MAX_SAMPLES: u32 = 2_000;

/// Factor by which a time left must exceed the longest one so far to reset the histogram.
const RESET_GROWTH: f64 = 1.02;

/// Histogram of the time left of first requests of one route.
#[derive(Debug, Clone, Default)]
pub struct CallerRetryDetector {
    /// Longest time left so far.
    longest_left: Duration,
    counts: Vec<u32>,
}

impl CallerRetryDetector {
    /// Records a request with `left` until its deadline; `last_rejection` is the time at which a
    /// request was last rejected. Returns whether the request counts as a retry.
    pub fn observe(
        &mut self,
        config: &CallerRetryConfig,
        now: Timestamp,
        last_rejection: Option<Timestamp>,
        left: Duration,
    ) -> bool {
        if left > self.longest_left.mul_f64(RESET_GROWTH) || self.counts.is_empty() {
            self.counts = vec![0; HISTOGRAM_BINS];
        }
        self.longest_left = self.longest_left.max(left);
        if last_rejection.is_none_or(|at| now > at + config.sampling_pause) {
            self.record_sample(left);
        }
        left < self.retry_threshold(config)
    }

    /// Adds the time left of a first request to the histogram.
    fn record_sample(&mut self, left: Duration) {
        let part = left.as_secs_f64() / self.longest_left.as_secs_f64().max(1e-9);
        let bin = ((part * HISTOGRAM_BINS as f64) as usize).min(HISTOGRAM_BINS - 1);
        self.counts[bin] += 1;
        if self.counts.iter().sum::<u32>() > MAX_SAMPLES {
            self.counts.iter_mut().for_each(|it| *it /= 2);
        }
    }

    /// Returns the time left below which a request is a retry: that of nearly all first requests is
    /// longer.
    fn retry_threshold(&self, config: &CallerRetryConfig) -> Duration {
        let total: u32 = self.counts.iter().sum();
        if total < config.min_samples {
            return self.longest_left.mul_f64(config.default_threshold_part);
        }
        let max_false_positives = f64::from(total) * config.max_false_positive_part;
        let mut below = 0;
        let bins_below = self.counts.iter().take_while(|it| {
            below += **it;
            f64::from(below) <= max_false_positives
        });
        self.longest_left
            .mul_f64(bins_below.count() as f64 / HISTOGRAM_BINS as f64)
    }
}
