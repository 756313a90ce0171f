//! Estimates the popularity of experts from token counts that lag and are partly missing.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

/// How counts are smoothed.
#[derive(Debug, Clone, Copy)]
pub struct PopularityConfig {
    /// Weight of the newest counts in the level, from 0 to 1.
    pub level_gain: f64,
    /// Weight of the newest change in the trend, from 0 to 1.
    pub trend_gain: f64,
    /// Longest time over which a trend is carried forward.
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
    /// Tokens routed to each expert over one interval; `None` where the count is missing.
    #[derive(Eq)]
    pub struct ExpertCounts {
        /// End of the interval.
        pub until: Timestamp,
        /// One count for each expert.
        pub counts: Vec<Option<u32>>,
    }
}

/// Level and trend of each expert's share of the tokens.
#[derive(Debug, Clone)]
pub struct Popularity {
    config: PopularityConfig,
    level: Vec<f64>,
    /// Change of the share in a second.
    trend: Vec<f64>,
    /// Whether the expert has been counted once.
    counted: Vec<bool>,
    until: Option<Timestamp>,
}

impl Popularity {
    /// Starts with equal shares.
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

    /// Takes one report; a report no newer than the last one is ignored.
    pub fn observe(&mut self, report: &ExpertCounts) {
        let stale = self.until.is_some_and(|until| report.until <= until);
        if stale || report.counts.len() != self.level.len() {
            return;
        }
        let elapsed = report
            .until
            .saturating_sub(self.until.unwrap_or(report.until));
        let seconds = elapsed.as_secs_f64();
        let expected = normalised(self.expected(seconds));
        let Some(scale) = scale(report, &expected) else {
            return;
        };
        for (expert, count) in report.counts.iter().enumerate() {
            match count {
                Some(count) => {
                    let share = f64::from(*count) * scale;
                    self.take(expert, share, expected[expert], seconds);
                }
                None => self.level[expert] = expected[expert],
            }
        }
        self.level = normalised(std::mem::take(&mut self.level));
        self.until = Some(report.until);
    }

    /// Predicted shares at a time, normalised to 1; `None` until every expert
    /// has been counted once.
    pub fn predict(&self, at: Timestamp) -> Option<Vec<f64>> {
        let until = self.until.filter(|_| !self.counted.contains(&false))?;
        let ahead = at.saturating_sub(until).min(self.config.max_extrapolation);
        Some(normalised(self.expected(ahead.as_secs_f64())))
    }

    fn expected(&self, seconds: f64) -> Vec<f64> {
        let shares = self.level.iter().zip(&self.trend);
        let shares = shares.map(|(level, trend)| (level + trend * seconds).max(0.0));
        shares.collect()
    }

    fn take(&mut self, expert: usize, share: f64, expected: f64, seconds: f64) {
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

/// What a count has to be multiplied with, so that the counts present have together the share
/// that is expected of them; `None` when nothing was counted.
fn scale(report: &ExpertCounts, expected: &[f64]) -> Option<f64> {
    let counted = report.counts.iter().zip(expected);
    let counted = counted.filter_map(|(count, share)| Some((f64::from((*count)?), *share)));
    let (tokens, share) = counted.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    (tokens > 0.0).then(|| share / tokens)
}

fn normalised(mut shares: Vec<f64>) -> Vec<f64> {
    let total: f64 = shares.iter().sum();
    if total > 0.0 {
        shares.iter_mut().for_each(|share| *share /= total);
    }
    shares
}
