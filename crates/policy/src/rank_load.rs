//! Loads of the ranks under an expert map, kept up to date while moves are tried on it.

use jj_utils::{common_derives, ids::ExpertId};

use crate::expert_map::ExpertMap;

common_derives! {copy:
    /// One change of a map.
    enum Move {
        /// Two slots on different ranks exchange their experts.
        Swap { a: usize, b: usize },
        /// A slot whose expert has other replicas takes a replica of another expert.
        Replace { slot: usize, expert: ExpertId },
    }
}

/// A map under change, with the load of each rank.
#[derive(Debug, Clone)]
pub struct RankLoads<'a> {
    map: ExpertMap,
    popularity: &'a [f64],
    replicas: Vec<u32>,
    /// Rank of each replica of each expert.
    places: Vec<Vec<usize>>,
    /// For each rank and expert, whether the rank holds a replica.
    held: Vec<bool>,
    loads: Vec<f64>,
    /// Penalty of each rank's load.
    penalties: Vec<f64>,
    mean: f64,
    highest: f64,
}

impl<'a> RankLoads<'a> {
    /// Loads of a map under a popularity.
    pub fn new(map: &ExpertMap, popularity: &'a [f64]) -> Self {
        let loads = map.rank_loads(popularity);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let mut loads = Self {
            map: map.clone(),
            popularity,
            replicas: map.replicas(),
            places: Vec::new(),
            held: Vec::new(),
            penalties: Vec::new(),
            loads,
            mean,
            highest: 0.0,
        };
        loads.refresh();
        loads
    }

    /// The map as changed so far.
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Highest load of a rank over the mean.
    pub fn imbalance(&self) -> f64 {
        if self.mean <= 0.0 {
            return 1.0;
        }
        self.highest / self.mean
    }

    /// Makes the move that helps the most loaded rank best for its bytes; false when none helps.
    pub fn apply_best_move(&mut self) -> bool {
        let Some(hottest) =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))
        else {
            return false;
        };
        let slots = self.map.shape().slots as usize;
        let mut best: Option<(f64, Move)> = None;
        for slot in hottest * slots..(hottest + 1) * slots {
            self.candidates(slot, hottest, |gain, change| {
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

    /// Every move that takes load of the slot's expert from its rank, with the gain for one load.
    fn candidates(&self, slot: usize, rank: usize, mut offer: impl FnMut(f64, Move)) {
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

    fn replace_gain(&self, slot: usize, rank: usize, expert: ExpertId) -> Option<f64> {
        let old = self.map.slots()[slot];
        if old == expert || self.replicas[old as usize] < 2 || self.holds(rank, expert) {
            return None;
        }
        let fewer = self.popularity[old as usize] / f64::from(self.replicas[old as usize] - 1);
        let more = self.popularity[expert as usize] / f64::from(self.replicas[expert as usize] + 1);
        if self.loads[rank] + more - self.share(old) >= self.highest {
            return None;
        }
        let rise = fewer - self.share(old);
        let fall = self.share(expert) - more;

        let mut gain = self.change(rank, more - self.share(old));
        for place in &self.places[old as usize] {
            let other = *place;
            if other == rank {
                continue;
            }
            let drop = if self.holds(other, expert) { fall } else { 0.0 };
            gain += self.change(other, rise - drop);
        }
        for place in &self.places[expert as usize] {
            let other = *place;
            if !self.holds(other, old) {
                gain += self.change(other, -fall);
            }
        }
        Some(gain)
    }

    /// What the penalty falls by when the load of a rank changes.
    fn change(&self, rank: usize, delta: f64) -> f64 {
        self.penalties[rank] - self.penalty(self.loads[rank] + delta)
    }

    /// Grows steeply above the mean, so that the sum over all ranks stands for the highest load.
    fn penalty(&self, load: f64) -> f64 {
        let squared = (load / self.mean).powi(2);
        squared.powi(2).powi(4)
    }

    fn share(&self, expert: ExpertId) -> f64 {
        self.popularity[expert as usize] / f64::from(self.replicas[expert as usize])
    }

    fn holds(&self, rank: usize, expert: ExpertId) -> bool {
        self.held[rank * self.popularity.len() + expert as usize]
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

    fn refresh(&mut self) {
        self.replicas = self.map.replicas();
        self.loads = self.map.rank_loads(self.popularity);
        self.highest = self.loads.iter().copied().fold(0.0, f64::max);
        self.penalties = self.loads.iter().map(|load| self.penalty(*load)).collect();
        let experts = self.popularity.len();
        self.places = vec![Vec::new(); experts];
        self.held = vec![false; self.loads.len() * experts];
        for (slot, expert) in self.map.slots().iter().enumerate() {
            let rank = slot / self.map.shape().slots as usize;
            self.places[*expert as usize].push(rank);
            self.held[rank * experts + *expert as usize] = true;
        }
    }
}
