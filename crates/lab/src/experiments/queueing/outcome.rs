//! What a run measured.

use std::time::Duration;

use jj_utils::clock::Timestamp;

use super::traffic::Service;

/// How one request ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// When it was sent.
    pub at: Timestamp,
    /// Client account.
    pub account: usize,
    /// Service.
    pub service: Service,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Time to the first token; none for a request without an answer.
    pub first: Option<Duration>,
    /// Whether the whole answer came.
    pub whole: bool,
    /// Whether the whole answer came in time.
    pub in_time: bool,
    /// Whether the prefix was cached where it ran.
    pub hit: bool,
    /// Attempts made.
    pub attempts: u32,
}

/// Load of the model servers at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSample {
    /// When.
    pub at: Timestamp,
    /// Highest number of requests at a server over the mean.
    pub skew: f64,
    /// Highest number of requests running at a server over what it bears now.
    pub strain: f64,
}

/// Everything that a run measured.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Every request.
    pub ended: Vec<Ended>,
    /// Load, sampled at a fixed interval.
    pub samples: Vec<LoadSample>,
}

impl Outcome {
    /// Requests sent within the range that match.
    pub fn within<'a>(
        &'a self,
        range: std::ops::Range<Timestamp>,
        matches: impl Fn(&Ended) -> bool + 'a,
    ) -> Vec<&'a Ended> {
        let inside = self.ended.iter().filter(move |e| range.contains(&e.at));
        inside.filter(|e| matches(e)).collect()
    }

    /// Mean of the skew within the range.
    pub fn skew(&self, range: std::ops::Range<Timestamp>) -> f64 {
        let inside = self.samples.iter().filter(|s| range.contains(&s.at));
        let values: Vec<f64> = inside.map(|s| s.skew).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }

    /// Highest strain within the range; above 1 a server had more than it bears.
    pub fn strain(&self, range: std::ops::Range<Timestamp>) -> f64 {
        let inside = self.samples.iter().filter(|s| range.contains(&s.at));
        inside.map(|s| s.strain).fold(0.0, f64::max)
    }
}

/// Quantile of the time to the first token in milliseconds; requests without an answer count as
/// slower than all others.
pub fn first_token(ended: &[&Ended], quantile: f64) -> f64 {
    let mut times: Vec<f64> = ended
        .iter()
        .map(|e| {
            e.first
                .map_or(f64::INFINITY, |first| first.as_secs_f64() * 1e3)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    let rank = (quantile * times.len() as f64).ceil() as usize;
    times.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Share in percent of the requests that match.
pub fn percent(ended: &[&Ended], matches: impl Fn(&Ended) -> bool) -> f64 {
    let count = ended.iter().filter(|e| matches(e)).count();
    100.0 * count as f64 / ended.len().max(1) as f64
}

/// Attempts per request.
pub fn attempts(ended: &[&Ended]) -> f64 {
    let total: u32 = ended.iter().map(|e| e.attempts).sum();
    f64::from(total) / ended.len().max(1) as f64
}
