//! Estimates which experts are in demand from running counts of all ranks.
//!
//! Load pattern: demand stays for some seconds and then shifts at once, for requests at work as for
//! new ones. Between shifts a long window is better, since a short one follows the few prompts that
//! happen to be read; after a shift all older counts mislead. So counts fade slowly, and are dropped
//! when the newest ones differ too much from them.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::expert_plan::ExpertShares;

/// Time in which the weight of a count falls to a half.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Part of the choices that have to differ from before for a shift.
const SHIFT: f64 = 0.12;

/// Shortest time over which the newest counts are compared.
const WINDOW: Duration = Duration::from_millis(90);

/// Ranks that tell their counts at most, or a few more: some ranks of a large group are enough to know
/// the demand.
const SAMPLED_RANKS: u32 = 16;

/// Shortest time between two messages of a rank.
const SHORTEST_PAUSE: Duration = Duration::from_millis(80);

/// Numbers that one agent takes in a second: its link is narrow, and other messages need it as well.
const NUMBERS_A_SECOND: f64 = 300_000.0;

common_derives! {copy:
    /// Which ranks of a group tell their counts, and how often.
    pub struct CountSampling {
        /// Each rank that is a multiple of it does.
        pub stride: u32,
        /// Time between two messages of a rank.
        pub interval: Duration,
    }
}

impl CountSampling {
    /// For a group of so many ranks with so many counts each.
    pub fn new(ranks: u32, counts: usize) -> Self {
        let stride = ranks.div_ceil(SAMPLED_RANKS).max(1);
        let telling = ranks.div_ceil(stride);
        let least = f64::from(telling) * counts as f64 / NUMBERS_A_SECOND;
        Self {
            stride,
            interval: Duration::from_secs_f64(least).max(SHORTEST_PAUSE),
        }
    }

    /// Whether a rank tells its counts.
    pub fn is_sampled(&self, rank: u32) -> bool {
        rank.is_multiple_of(self.stride)
    }
}

/// Reads how much running counts have grown.
#[derive(Debug, Clone, Default)]
pub struct CounterDeltas {
    epoch: u64,
    counts: Vec<u64>,
}

impl CounterDeltas {
    /// What the counts have grown by since the last call; none at first, and after the group has
    /// formed anew.
    pub fn since(&mut self, epoch: u64, counts: Vec<u64>) -> Option<Vec<u32>> {
        let is_known = self.epoch == epoch && self.counts.len() == counts.len();
        let grown = is_known.then(|| {
            let pairs = counts.iter().zip(&self.counts);
            // Counts start anew with the rank.
            let grown = pairs.map(|(new, old)| new.saturating_sub(*old));
            grown
                .map(|it| u32::try_from(it).unwrap_or(u32::MAX))
                .collect()
        });
        self.epoch = epoch;
        self.counts = counts;
        grown
    }
}

/// Demand for each expert of each set.
#[derive(Debug, Clone, Default)]
pub struct ExpertDemand {
    /// Counts that fade.
    kept: Vec<f64>,
    /// Counts since the last comparison.
    newest: Vec<f64>,
    compared: Timestamp,
    /// Part of the choices that differed in the last comparison.
    pub distance: f64,
    /// Time in which each rank that is asked tells its counts once.
    pub report_interval: Duration,
}

impl ExpertDemand {
    /// Takes in what the counts of a rank have grown by.
    pub fn observe(&mut self, grown: &[u32]) {
        if self.kept.len() != grown.len() {
            self.kept = vec![0.0; grown.len()];
            self.newest = vec![0.0; grown.len()];
        }
        for (newest, grown) in self.newest.iter_mut().zip(grown) {
            *newest += f64::from(*grown);
        }
    }

    /// ExpertShares of the experts, set by set; none where nothing was counted lately.
    pub fn shares(&mut self, now: Timestamp, sets: usize) -> Option<Vec<ExpertShares>> {
        if now >= self.compared + WINDOW.max(self.report_interval) {
            self.compare(now, sets);
        }
        shares(&self.kept, sets)
    }

    /// Adds the newest counts to those before, or puts them in their place after a shift.
    fn compare(&mut self, now: Timestamp, sets: usize) {
        let passed = now.saturating_sub(self.compared).as_secs_f64();
        self.compared = now;
        let newest = shares(&self.newest, sets);
        let kept = shares(&self.kept, sets);
        self.distance = match (&newest, &kept) {
            (Some(newest), Some(kept)) => distance(newest, kept),
            _ => 0.0,
        };
        let part = match self.distance > SHIFT {
            true => 0.0,
            false => 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64()),
        };
        for (kept, newest) in self.kept.iter_mut().zip(&mut self.newest) {
            *kept = *kept * part + std::mem::take(newest);
        }
    }
}

/// ExpertShares of the experts of each set; none where a set has no counts.
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

/// Part of the choices that differ, in the mean over the sets.
fn distance(a: &[ExpertShares], b: &[ExpertShares]) -> f64 {
    let sets = a.iter().zip(b);
    let differing = sets.map(|(a, b)| {
        let experts = a.iter().zip(b);
        experts.map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
    });
    differing.sum::<f64>() / a.len().max(1) as f64
}
