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
    pub trend_limit: Duration,
}

impl Default for PopularityConfig {
    fn default() -> Self {
        Self {
            level_gain: 0.6,
            trend_gain: 0.3,
            trend_limit: Duration::from_secs(40),
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
            until: None,
        }
    }

    /// Takes one report; a report no newer than the last one is ignored.
    pub fn observe(&mut self, report: &ExpertCounts) {
        let stale = self.until.is_some_and(|until| report.until <= until);
        if stale || report.counts.len() != self.level.len() {
            return;
        }
        let Some(shares) = self.shares(report) else {
            return;
        };
        match self.until {
            None => self.level = shares,
            Some(until) => self.smooth(&shares, (report.until - until).as_secs_f64()),
        }
        self.until = Some(report.until);
    }

    /// Predicted shares at a time, normalised to 1; `None` before the first report.
    pub fn predict(&self, at: Timestamp) -> Option<Vec<f64>> {
        let until = self.until?;
        let ahead = at.saturating_sub(until).min(self.config.trend_limit);
        let ahead = ahead.as_secs_f64();
        let shares = self.level.iter().zip(&self.trend);
        let shares = shares.map(|(level, trend)| (level + trend * ahead).max(0.0));
        Some(normalised(shares.collect()))
    }

    /// Shares of the report, with the missing ones as last estimated. The counts are scaled so
    /// that those present have together the share that they had before.
    fn shares(&self, report: &ExpertCounts) -> Option<Vec<f64>> {
        let pairs = || report.counts.iter().zip(&self.level);
        let total: f64 = pairs().filter_map(|(count, _)| count.map(f64::from)).sum();
        let present: f64 = pairs()
            .filter(|(count, _)| count.is_some())
            .map(|(_, level)| level)
            .sum();
        if total <= 0.0 {
            return None;
        }
        let share = |(count, level): (&Option<u32>, &f64)| match count {
            Some(count) => f64::from(*count) / total * present,
            None => *level,
        };
        Some(normalised(pairs().map(share).collect()))
    }

    fn smooth(&mut self, shares: &[f64], seconds: f64) {
        let PopularityConfig {
            level_gain,
            trend_gain,
            ..
        } = self.config;
        for (expert, share) in shares.iter().enumerate() {
            let before = self.level[expert];
            let expected = before + self.trend[expert] * seconds;
            let level = expected + level_gain * (share - expected);
            let change = (level - before) / seconds;
            self.level[expert] = level;
            self.trend[expert] += trend_gain * (change - self.trend[expert]);
        }
    }
}

fn normalised(mut shares: Vec<f64>) -> Vec<f64> {
    let total: f64 = shares.iter().sum();
    if total > 0.0 {
        shares.iter_mut().for_each(|share| *share /= total);
    }
    shares
}
