//! Estimates the demand for each expert from running counts of the ranks.
//!
//! Load pattern: demand is stable for some seconds and then shifts at once, for running requests as
//! well as new ones. Between shifts a long window is better, since a short one follows the few
//! prompts that happen to be processed; after a shift all older counts are misleading. So counts
//! decay slowly, and are dropped when the newest ones differ too much from them.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::expert_plan::ExpertShares;

/// Time in which the weight of a count falls to one half.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Total variation distance between recent and older counts above which the demand has shifted.
const SHIFT_DISTANCE: f64 = 0.12;

/// Minimum time over which recent counts are collected before a comparison.
const MIN_COMPARE_WINDOW: Duration = Duration::from_millis(90);

/// Maximum number of ranks that report their counts: some ranks of a large group are enough to
/// estimate the demand.
const MAX_SAMPLED_RANKS: u32 = 16;

/// Minimum interval between two reports of a rank.
const MIN_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum rate at which the leader's agent receives counts: its link is narrow, and other messages
/// need it as well.
const MAX_COUNTS_PER_SECOND: f64 = 300_000.0;

common_derives! {copy:
    /// Which ranks of a group report their counts, and how often.
    pub struct CountSampling {
        /// Ranks that are multiples of this number report.
        pub stride: u32,
        /// Interval between two reports of a rank.
        pub interval: Duration,
    }
}

impl CountSampling {
    /// Returns the sampling for a group of `ranks` ranks with `counts` counts each.
    pub fn new(ranks: u32, counts: usize) -> Self {
        let stride = ranks.div_ceil(MAX_SAMPLED_RANKS).max(1);
        let reporting = ranks.div_ceil(stride);
        let min_seconds = f64::from(reporting) * counts as f64 / MAX_COUNTS_PER_SECOND;
        Self {
            stride,
            interval: Duration::from_secs_f64(min_seconds).max(MIN_INTERVAL),
        }
    }

    /// Returns whether a rank reports its counts.
    pub fn is_sampled(&self, rank: u32) -> bool {
        rank.is_multiple_of(self.stride)
    }
}

/// Computes increments from running counts.
#[derive(Debug, Clone, Default)]
pub struct CounterDeltas {
    epoch: u64,
    counts: Vec<u64>,
}

impl CounterDeltas {
    /// Returns the increments since the last call; `None` in the first call, the first one of an
    /// epoch and where the number of counts differs. The increment of a count that has fallen is 0.
    pub fn since(&mut self, epoch: u64, counts: Vec<u64>) -> Option<Vec<u32>> {
        let is_known = self.epoch == epoch && self.counts.len() == counts.len();
        let increments = is_known.then(|| {
            let pairs = counts.iter().zip(&self.counts);
            // The counts restart from 0 when the rank restarts.
            let increments = pairs.map(|(new, old)| new.saturating_sub(*old));
            increments
                .map(|it| u32::try_from(it).unwrap_or(u32::MAX))
                .collect()
        });
        self.epoch = epoch;
        self.counts = counts;
        increments
    }
}

/// Estimate of the demand for each expert of each set.
#[derive(Debug, Clone, Default)]
pub struct ExpertDemand {
    /// Counts up to the last comparison, weighted by age.
    decayed: Vec<f64>,
    /// Counts since the last comparison.
    recent: Vec<f64>,
    /// When the recent counts were last compared.
    compared_at: Timestamp,
    /// Total variation distance in the last comparison, averaged over the sets.
    pub distance: f64,
    /// Interval in which each sampled rank reports its counts once.
    pub report_interval: Duration,
}

impl ExpertDemand {
    /// Adds the increments of a rank's counts.
    pub fn observe(&mut self, increments: &[u32]) {
        if self.decayed.len() != increments.len() {
            self.decayed = vec![0.0; increments.len()];
            self.recent = vec![0.0; increments.len()];
        }
        for (recent, increments) in self.recent.iter_mut().zip(increments) {
            *recent += f64::from(*increments);
        }
    }

    /// Returns the shares of the experts for each set; `None` if a set has no counts.
    pub fn shares(&mut self, now: Timestamp, sets: usize) -> Option<Vec<ExpertShares>> {
        if now >= self.compared_at + MIN_COMPARE_WINDOW.max(self.report_interval) {
            self.compare(now, sets);
        }
        shares(&self.decayed, sets)
    }

    /// Adds the recent counts to the decayed ones, or replaces these after a shift.
    fn compare(&mut self, now: Timestamp, sets: usize) {
        let elapsed = now.saturating_sub(self.compared_at).as_secs_f64();
        self.compared_at = now;
        let recent = shares(&self.recent, sets);
        let decayed = shares(&self.decayed, sets);
        self.distance = match (&recent, &decayed) {
            (Some(recent), Some(decayed)) => distance(recent, decayed),
            _ => 0.0,
        };
        let weight = match self.distance > SHIFT_DISTANCE {
            true => 0.0,
            false => 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64()),
        };
        for (decayed, recent) in self.decayed.iter_mut().zip(&mut self.recent) {
            *decayed = *decayed * weight + std::mem::take(recent);
        }
    }
}

/// Returns the shares of the experts of each set; `None` if a set has no counts.
fn shares(counts: &[f64], sets: usize) -> Option<Vec<ExpertShares>> {
    if counts.is_empty() || sets == 0 {
        return None;
    }
    let experts = counts.len() / sets;
    let sets = counts.chunks(experts.max(1)).map(|set| {
        let total: f64 = set.iter().sum();
        (total >= 1.0).then(|| set.iter().map(|it| it / total).collect())
    });
    sets.collect()
}

/// Returns the total variation distance between two demands, averaged over the sets.
fn distance(a: &[ExpertShares], b: &[ExpertShares]) -> f64 {
    let sets = a.iter().zip(b);
    let differing = sets.map(|(a, b)| {
        let experts = a.iter().zip(b);
        experts.map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
    });
    differing.sum::<f64>() / a.len().max(1) as f64
}
