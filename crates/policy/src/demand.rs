//! Estimates which experts are in demand from running counts of all ranks.
//!
//! Load pattern: demand shifts at once and stays for some seconds. A window that is too short
//! follows the requests that happen to run, one that is too long follows a shift late, so old
//! counts fade over a short time.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, ids::Rank};

use crate::expert_plan::Shares;

/// Time in which the weight of a count falls to a half.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Shortest time between two counts of a rank, so that a doubled message has no weight.
const SHORTEST: Duration = Duration::from_millis(20);

/// Counts of one rank since it started.
#[derive(Debug, Clone)]
struct RankCounts {
    epoch: u64,
    counts: Vec<u64>,
    at: Timestamp,
}

/// Demand for each expert of each set.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    ranks: FastMap<Rank, RankCounts>,
    weights: Vec<f64>,
    at: Timestamp,
    /// Tokens counted, with the weight that is left of them.
    total: f64,
}

impl Demand {
    /// Takes in the counts of a rank.
    pub fn observe(&mut self, now: Timestamp, rank: Rank, epoch: u64, counts: Vec<u64>) {
        if self.weights.len() != counts.len() {
            self.weights = vec![0.0; counts.len()];
            self.ranks.clear();
        }
        self.fade(now);
        let before = self.ranks.get(&rank);
        let before = before.filter(|it| it.epoch == epoch && it.counts.len() == counts.len());
        if before.is_some_and(|it| now < it.at + SHORTEST) {
            return;
        }
        if let Some(before) = before {
            let grown = counts.iter().zip(&before.counts);
            for (weight, (new, old)) in self.weights.iter_mut().zip(grown) {
                // Counts start anew with the rank.
                let delta = new.saturating_sub(*old) as f64;
                *weight += delta;
                self.total += delta;
            }
        }
        let at = now;
        self.ranks.insert(rank, RankCounts { epoch, counts, at });
    }

    /// Shares of the experts, set by set; none where nothing was counted lately.
    pub fn shares(&self, sets: usize) -> Option<Vec<Shares>> {
        if self.weights.is_empty() || sets == 0 || self.total <= 1.0 {
            return None;
        }
        let experts = self.weights.len() / sets;
        let sets = self.weights.chunks(experts.max(1)).map(|set| {
            let total: f64 = set.iter().sum();
            set.iter().map(|it| it / total.max(1.0)).collect()
        });
        Some(sets.collect())
    }

    fn fade(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let part = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        self.weights.iter_mut().for_each(|it| *it *= part);
        self.total *= part;
    }
}
