//! Estimates which experts are in demand from running counts of all ranks.
//!
//! Load pattern: demand stays for some seconds and then shifts at once, for requests at work as for
//! new ones. Between shifts a long window is better, since a short one follows the few prompts that
//! happen to be read; after a shift all older counts mislead. So counts fade slowly, and are dropped
//! when the newest ones differ too much from them.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, ids::Rank};

use crate::expert_plan::Shares;

/// Time in which the weight of a count falls to a half.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Part of the choices that have to differ from before for a shift.
const SHIFT: f64 = 0.2;

/// Shortest time over which the newest counts are compared.
const WINDOW: Duration = Duration::from_millis(90);

/// Shortest time between two counts of a rank, so that a doubled message has no weight.
const SHORTEST: Duration = Duration::from_millis(10);

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
    /// Counts that fade.
    kept: Vec<f64>,
    /// Counts since the last comparison.
    newest: Vec<f64>,
    compared: Timestamp,
    /// Part of the choices that differed in the last comparison.
    pub distance: f64,
}

impl Demand {
    /// Takes in the counts of a rank.
    pub fn observe(&mut self, now: Timestamp, rank: Rank, epoch: u64, counts: Vec<u64>) {
        if self.kept.len() != counts.len() {
            self.kept = vec![0.0; counts.len()];
            self.newest = vec![0.0; counts.len()];
            self.ranks.clear();
        }
        let before = self.ranks.get(&rank);
        let before = before.filter(|it| it.epoch == epoch && it.counts.len() == counts.len());
        if before.is_some_and(|it| now < it.at + SHORTEST) {
            return;
        }
        if let Some(before) = before {
            let grown = counts.iter().zip(&before.counts);
            for (newest, (new, old)) in self.newest.iter_mut().zip(grown) {
                // Counts start anew with the rank.
                *newest += new.saturating_sub(*old) as f64;
            }
        }
        let at = now;
        self.ranks.insert(rank, RankCounts { epoch, counts, at });
    }

    /// Shares of the experts, set by set; none where nothing was counted lately.
    pub fn shares(&mut self, now: Timestamp, sets: usize) -> Option<Vec<Shares>> {
        if now >= self.compared + WINDOW {
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

/// Shares of the experts of each set; none where a set has no counts.
fn shares(counts: &[f64], sets: usize) -> Option<Vec<Shares>> {
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
fn distance(a: &[Shares], b: &[Shares]) -> f64 {
    let sets = a.iter().zip(b);
    let differing = sets.map(|(a, b)| {
        let experts = a.iter().zip(b);
        experts.map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0
    });
    differing.sum::<f64>() / a.len().max(1) as f64
}
