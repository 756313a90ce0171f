//! Estimates which experts are in demand from running counts of all ranks.
//!
//! Load pattern: demand shifts at once and stays for some seconds. A window that is too short
//! follows the requests that happen to run, one that is too long follows a shift late, so old
//! counts fade over a short time.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, ids::Rank};

use crate::expert_plan::Shares;

/// Time in which the weight of a count falls to a half, for what requests at work choose.
const SLOW_HALF_LIFE: Duration = Duration::from_millis(600);

/// The same for what new requests choose: their prompts are counted before they produce output.
const FAST_HALF_LIFE: Duration = Duration::from_millis(150);

/// Part of the estimate that new requests make up.
const FAST_PART: f64 = 0.5;

/// Shortest time between two counts of a rank, so that a doubled message has no weight.
const SHORTEST: Duration = Duration::from_millis(20);

/// Counts of one rank since it started.
#[derive(Debug, Clone)]
struct RankCounts {
    epoch: u64,
    counts: Vec<u64>,
    at: Timestamp,
}

/// Counts that fade.
#[derive(Debug, Clone, Default)]
struct Fading {
    weights: Vec<f64>,
    at: Timestamp,
}

/// Demand for each expert of each set.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    ranks: FastMap<Rank, RankCounts>,
    slow: Fading,
    fast: Fading,
}

impl Demand {
    /// Takes in the counts of a rank.
    pub fn observe(&mut self, now: Timestamp, rank: Rank, epoch: u64, counts: Vec<u64>) {
        if self.slow.weights.len() != counts.len() {
            self.slow.weights = vec![0.0; counts.len()];
            self.fast.weights = vec![0.0; counts.len()];
            self.ranks.clear();
        }
        let before = self.ranks.get(&rank);
        let before = before.filter(|it| it.epoch == epoch && it.counts.len() == counts.len());
        if before.is_some_and(|it| now < it.at + SHORTEST) {
            return;
        }
        self.slow.fade(now, SLOW_HALF_LIFE);
        self.fast.fade(now, FAST_HALF_LIFE);
        if let Some(before) = before {
            for (index, (new, old)) in counts.iter().zip(&before.counts).enumerate() {
                // Counts start anew with the rank.
                let delta = new.saturating_sub(*old) as f64;
                self.slow.weights[index] += delta;
                self.fast.weights[index] += delta;
            }
        }
        let at = now;
        self.ranks.insert(rank, RankCounts { epoch, counts, at });
    }

    /// Shares of the experts, set by set; none where nothing was counted lately.
    pub fn shares(&self, sets: usize) -> Option<Vec<Shares>> {
        let slow = self.slow.shares(sets)?;
        let Some(fast) = self.fast.shares(sets) else {
            return Some(slow);
        };
        let mixed = slow.into_iter().zip(fast).map(|(slow, fast)| {
            let experts = slow.into_iter().zip(fast);
            let mixed = experts.map(|(slow, fast)| slow + FAST_PART * (fast - slow));
            mixed.collect()
        });
        Some(mixed.collect())
    }
}

impl Fading {
    fn fade(&mut self, now: Timestamp, half_life: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let part = 0.5_f64.powf(passed / half_life.as_secs_f64());
        self.weights.iter_mut().for_each(|it| *it *= part);
    }

    fn shares(&self, sets: usize) -> Option<Vec<Shares>> {
        if self.weights.is_empty() || sets == 0 {
            return None;
        }
        let experts = self.weights.len() / sets;
        let sets = self.weights.chunks(experts.max(1)).map(|set| {
            let total: f64 = set.iter().sum();
            (total >= 1.0).then(|| set.iter().map(|it| it / total).collect())
        });
        sets.collect()
    }
}
