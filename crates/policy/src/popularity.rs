//! Estimates the popularity of experts from delayed and incomplete token counts, by exponential
//! smoothing of level and trend (Holt's method).

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

/// Parameters of the smoothing.
#[derive(Debug, Clone, Copy)]
pub struct PopularityConfig {
    /// Smoothing factor of the level, from 0 to 1: the weight of the newest counts.
    pub level_gain: f64,
    /// Smoothing factor of the trend, from 0 to 1: the weight of the newest change.
    pub trend_gain: f64,
    /// Longest time over which the trend is extrapolated.
    pub max_extrapolation: Duration,
}

impl Default for PopularityConfig {
    fn default() -> Self {
        Self {
            level_gain: 0.9,
            trend_gain: 0.1,
            max_extrapolation: Duration::from_secs(40),
        }
    }
}

common_derives! {wire:
    /// Numbers of tokens routed to the experts over one interval.
    #[derive(Eq)]
    pub struct ExpertCounts {
        /// End of the interval.
        pub until: Timestamp,
        /// Tokens of each expert; `None` where the count is missing.
        pub counts: Vec<Option<u32>>,
    }
}

/// Estimator of each expert's share of the tokens.
#[derive(Debug, Clone)]
pub struct Popularity {
    config: PopularityConfig,
    /// Share of each expert at the end of the last interval.
    level: Vec<f64>,
    /// Change of each expert's share per second.
    trend: Vec<f64>,
    /// Whether each expert has had a count.
    counted: Vec<bool>,
    /// End of the last interval.
    until: Option<Timestamp>,
}

impl Popularity {
    /// Creates an estimator that starts with equal shares.
    pub fn new(experts: u32, config: PopularityConfig) -> Self {
        let experts = experts as usize;
        Self {
            config,
            level: vec![1.0 / experts.max(1) as f64; experts],
            trend: vec![0.0; experts],
            counted: vec![false; experts],
            until: None,
        }
    }

    /// Updates the estimate from a report. Ignores a report that is no newer than the last one, has
    /// the wrong number of experts or counts no tokens.
    pub fn record_counts(&mut self, report: &ExpertCounts) {
        let stale = self.until.is_some_and(|until| report.until <= until);
        if stale || report.counts.len() != self.level.len() {
            return;
        }
        let elapsed = report
            .until
            .saturating_sub(self.until.unwrap_or(report.until));
        let seconds = elapsed.as_secs_f64();
        let expected = normalise(self.extrapolate(seconds));
        let Some(share_per_token) = share_per_token(report, &expected) else {
            return;
        };
        for (expert, count) in report.counts.iter().enumerate() {
            match count {
                Some(count) => {
                    let share = f64::from(*count) * share_per_token;
                    self.update_expert(expert, share, expected[expert], seconds);
                }
                None => self.level[expert] = expected[expert],
            }
        }
        self.level = normalise(std::mem::take(&mut self.level));
        self.until = Some(report.until);
    }

    /// Returns the shares predicted for the given time, normalised to a sum of 1; `None` until
    /// every expert has had a count.
    pub fn predict(&self, at: Timestamp) -> Option<Vec<f64>> {
        let until = self.until.filter(|_| !self.counted.contains(&false))?;
        let ahead = at.saturating_sub(until).min(self.config.max_extrapolation);
        Some(normalise(self.extrapolate(ahead.as_secs_f64())))
    }

    /// Returns the shares extrapolated by this many seconds, not normalised.
    fn extrapolate(&self, seconds: f64) -> Vec<f64> {
        let shares = self.level.iter().zip(&self.trend);
        let shares = shares.map(|(level, trend)| (level + trend * seconds).max(0.0));
        shares.collect()
    }

    /// Updates the level and the trend of one expert.
    fn update_expert(&mut self, expert: usize, share: f64, expected: f64, seconds: f64) {
        let before = self.level[expert];
        if !self.counted[expert] {
            self.counted[expert] = true;
            self.level[expert] = share;
            return;
        }
        if seconds <= 0.0 {
            return;
        }
        let level = expected + self.config.level_gain * (share - expected);
        let change = (level - before) / seconds;
        self.level[expert] = level;
        self.trend[expert] += self.config.trend_gain * (change - self.trend[expert]);
    }
}

/// Returns the factor from tokens to shares at which the counted experts together have the share
/// expected of them; `None` if no tokens were counted.
fn share_per_token(report: &ExpertCounts, expected: &[f64]) -> Option<f64> {
    let counted = report.counts.iter().zip(expected);
    let counted = counted.filter_map(|(count, share)| Some((f64::from((*count)?), *share)));
    let (tokens, share) = counted.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    (tokens > 0.0).then(|| share / tokens)
}

/// Scales shares to a sum of 1.
fn normalise(mut shares: Vec<f64>) -> Vec<f64> {
    let total: f64 = shares.iter().sum();
    if total > 0.0 {
        shares.iter_mut().for_each(|share| *share /= total);
    }
    shares
}
