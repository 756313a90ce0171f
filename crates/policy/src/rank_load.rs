//! Local search on an expert map: evaluates single moves by the load of each rank and applies them.

use jj_utils::{common_derives, ids::ExpertId};

use crate::expert_map::ExpertMap;

common_derives! {copy:
    /// Elementary change of a map.
    enum Move {
        /// Exchanges the experts of two slots on different ranks.
        Swap { a: usize, b: usize },
        /// Replaces the expert in a slot, which has other replicas, by a replica of another expert.
        Replace { slot: usize, expert: ExpertId },
    }
}

/// Map under change, with the load of each rank.
#[derive(Debug, Clone)]
pub struct RankLoads<'a> {
    map: ExpertMap,
    popularity: &'a [f64],
    replicas: Vec<u32>,
    /// Rank of each replica of each expert.
    replica_ranks: Vec<Vec<usize>>,
    /// Whether a rank holds a replica of an expert, at `rank * experts + expert`.
    is_held: Vec<bool>,
    /// Load of each rank.
    loads: Vec<f64>,
    /// Penalty of each rank's load; see [`Self::penalty`].
    penalties: Vec<f64>,
    mean_load: f64,
    highest_load: f64,
}

impl<'a> RankLoads<'a> {
    /// Computes the loads of a map under the given popularity.
    pub fn new(map: &ExpertMap, popularity: &'a [f64]) -> Self {
        let loads = map.rank_loads(popularity);
        let mean_load = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let mut loads = Self {
            map: map.clone(),
            popularity,
            replicas: map.replicas(),
            replica_ranks: Vec::new(),
            is_held: Vec::new(),
            penalties: Vec::new(),
            loads,
            mean_load,
            highest_load: 0.0,
        };
        loads.refresh();
        loads
    }

    /// Returns the map after the moves applied so far.
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Returns the highest rank load divided by the mean rank load; 1 without load.
    pub fn imbalance(&self) -> f64 {
        if self.mean_load <= 0.0 {
            return 1.0;
        }
        self.highest_load / self.mean_load
    }

    /// Applies the move that relieves the most loaded rank and lowers the penalty most for each
    /// expert to load. Returns false if no move lowers the penalty.
    pub fn apply_best_move(&mut self) -> bool {
        let Some(hottest) =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))
        else {
            return false;
        };
        let slots = self.map.shape().slots as usize;
        let mut best: Option<(f64, Move)> = None;
        for slot in hottest * slots..(hottest + 1) * slots {
            self.for_each_move(slot, hottest, |gain, change| {
                if gain > best.map_or(f64::EPSILON, |(best, _)| best) {
                    best = Some((gain, change));
                }
            });
        }
        let Some((_, change)) = best else {
            return false;
        };
        self.apply(change);
        true
    }

    /// Passes to `offer` every move that takes load of the slot's expert off its rank, with the
    /// gain per expert to load; a swap loads two.
    fn for_each_move(&self, slot: usize, rank: usize, mut offer: impl FnMut(f64, Move)) {
        let expert = self.map.slots()[slot];
        let slots = self.map.shape().slots as usize;
        for other_rank in (0..self.loads.len()).filter(|other| *other != rank) {
            for other in other_rank * slots..(other_rank + 1) * slots {
                if let Some(gain) = self.swap_gain((slot, rank), (other, other_rank)) {
                    offer(gain / 2.0, Move::Swap { a: slot, b: other });
                }
                if let Some(gain) = self.replace_gain(other, other_rank, expert) {
                    let change = Move::Replace {
                        slot: other,
                        expert,
                    };
                    offer(gain, change);
                }
            }
        }
        for expert in 0..self.map.shape().experts {
            if let Some(gain) = self.replace_gain(slot, rank, expert) {
                offer(gain, Move::Replace { slot, expert });
            }
        }
    }

    /// Returns what the penalty falls by when slots `a` and `b` exchange their experts; `None` if
    /// that does not relieve `rank_a`, raises `rank_b` to the load of `rank_a` or puts two replicas
    /// of an expert on one rank.
    fn swap_gain(&self, (a, rank_a): (usize, usize), (b, rank_b): (usize, usize)) -> Option<f64> {
        let (x, y) = (self.map.slots()[a], self.map.slots()[b]);
        let shift = self.share(x) - self.share(y);
        if shift <= 0.0 || self.loads[rank_b] + shift >= self.loads[rank_a] {
            return None;
        }
        if self.holds(rank_a, y) || self.holds(rank_b, x) {
            return None;
        }
        let before = self.penalties[rank_a] + self.penalties[rank_b];
        let after =
            self.penalty(self.loads[rank_a] - shift) + self.penalty(self.loads[rank_b] + shift);
        Some(before - after)
    }

    /// Returns what the penalty falls by when a slot gets a replica of `expert`; `None` if the old
    /// expert has no other replica, the rank already holds `expert` or its load would reach the
    /// highest load.
    fn replace_gain(&self, slot: usize, rank: usize, expert: ExpertId) -> Option<f64> {
        let old = self.map.slots()[slot];
        if old == expert || self.replicas[old as usize] < 2 || self.holds(rank, expert) {
            return None;
        }
        let old_share_after =
            self.popularity[old as usize] / f64::from(self.replicas[old as usize] - 1);
        let new_share_after =
            self.popularity[expert as usize] / f64::from(self.replicas[expert as usize] + 1);
        if self.loads[rank] + new_share_after - self.share(old) >= self.highest_load {
            return None;
        }
        let rise = old_share_after - self.share(old);
        let fall = self.share(expert) - new_share_after;

        let mut gain = self.penalty_drop(rank, new_share_after - self.share(old));
        for replica_rank in &self.replica_ranks[old as usize] {
            let other = *replica_rank;
            if other == rank {
                continue;
            }
            let drop = if self.holds(other, expert) { fall } else { 0.0 };
            gain += self.penalty_drop(other, rise - drop);
        }
        for replica_rank in &self.replica_ranks[expert as usize] {
            let other = *replica_rank;
            if !self.holds(other, old) {
                gain += self.penalty_drop(other, -fall);
            }
        }
        Some(gain)
    }

    /// Returns what the penalty of a rank falls by when its load changes by `delta`.
    fn penalty_drop(&self, rank: usize, delta: f64) -> f64 {
        self.penalties[rank] - self.penalty(self.loads[rank] + delta)
    }

    /// Returns the penalty of a rank's load. It grows with the 16th power, so that the sum over all
    /// ranks approximates the highest load.
    fn penalty(&self, load: f64) -> f64 {
        let squared = (load / self.mean_load).powi(2);
        squared.powi(2).powi(4)
    }

    /// Returns the load of one replica of an expert.
    fn share(&self, expert: ExpertId) -> f64 {
        self.popularity[expert as usize] / f64::from(self.replicas[expert as usize])
    }

    fn holds(&self, rank: usize, expert: ExpertId) -> bool {
        self.is_held[rank * self.popularity.len() + expert as usize]
    }

    fn apply(&mut self, change: Move) {
        match change {
            Move::Swap { a, b } => {
                let (x, y) = (self.map.slots()[a], self.map.slots()[b]);
                self.map.set_slot(a, y);
                self.map.set_slot(b, x);
            }
            Move::Replace { slot, expert } => self.map.set_slot(slot, expert),
        }
        self.refresh();
    }

    /// Recomputes everything derived from the map.
    fn refresh(&mut self) {
        self.replicas = self.map.replicas();
        self.loads = self.map.rank_loads(self.popularity);
        self.highest_load = self.loads.iter().copied().fold(0.0, f64::max);
        self.penalties = self.loads.iter().map(|load| self.penalty(*load)).collect();
        let experts = self.popularity.len();
        self.replica_ranks = vec![Vec::new(); experts];
        self.is_held = vec![false; self.loads.len() * experts];
        for (slot, expert) in self.map.slots().iter().enumerate() {
            let rank = slot / self.map.shape().slots as usize;
            self.replica_ranks[*expert as usize].push(rank);
            self.is_held[rank * experts + *expert as usize] = true;
        }
    }
}
