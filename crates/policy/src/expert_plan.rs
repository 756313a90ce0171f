//! Plans the next expert map of a group whose layers form several sets, each with its own experts.
//!
//! In each set, a pass takes as long as the most loaded rank. A switch lets each rank load only a
//! few experts of a set, so a plan is the best map that one switch can reach from the one in force,
//! and several switches in a row may follow a large shift of demand.
//!
//! Load pattern: demand shifts to other experts every few seconds; a single expert gets up to a
//! fifth of all tokens of its set.

use std::time::Duration;

use jj_utils::common_derives;

use crate::map_switch::SetMap;

/// Fraction of the token choices of a set that went to each expert.
pub type ExpertShares = Vec<f64>;

common_derives! {value:
    /// Size of a group, and what its ranks can hold and load.
    #[derive(Default)]
    pub struct PlanShape {
        /// Number of ranks.
        pub ranks: usize,
        /// Number of experts in a set.
        pub experts: usize,
        /// Maximum number of experts of one set on a rank.
        pub slots: usize,
        /// Maximum number of experts of one set that a rank can load in one switch.
        pub loads_per_set: usize,
        /// Maximum number of experts of all sets that a rank may load in one switch, which keeps
        /// the load short.
        pub loads_per_rank: usize,
        /// Factor by which each rank is slower than usual; 1 for ranks without an entry.
        pub slowdowns: Vec<f64>,
    }
}

impl PlanShape {
    fn slowdown(&self, rank: usize) -> f64 {
        self.slowdowns.get(rank).copied().unwrap_or(1.0).max(1.0)
    }

    /// Returns the number of ranks of usual speed that would equal all ranks together.
    fn effective_ranks(&self) -> f64 {
        (0..self.ranks).map(|rank| 1.0 / self.slowdown(rank)).sum()
    }
}

/// Imbalance from which a switch has to be as short as possible.
const URGENT_IMBALANCE: f64 = 1.8;

/// Time for which ranks may load experts in one switch, at an urgent imbalance and at a lower one.
const LOAD_TIMES: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(240));

/// Maximum number of experts that all ranks together load in a switch, since each of them is sent
/// to the agents.
const MAX_LOADS_PER_SWITCH: usize = 600;

/// Returns the maximum number of experts that a rank loads in one switch, if one takes `load_time`.
/// A short switch follows a shift at once, and the next one refines it.
pub fn max_loads_per_rank(ranks: usize, load_time: Duration, imbalance: f64) -> usize {
    let (urgent, usual) = LOAD_TIMES;
    let time = if imbalance >= URGENT_IMBALANCE {
        urgent
    } else {
        usual
    };
    let max_loads = (time.as_secs_f64() / load_time.as_secs_f64().max(1e-3)) as usize;
    max_loads.min(MAX_LOADS_PER_SWITCH / ranks.max(1)).max(1)
}

common_derives! {copy:
    /// Length of the passes of a group.
    pub struct PassTimes {
        /// Length of a pass without any tokens.
        pub idle: Duration,
        /// Current length of a pass.
        pub current: Duration,
        /// Length that a pass may have.
        pub target: Duration,
    }
}

/// Lower and upper bound of the imbalance that a plan aims at: a lower one isn't worth its copies,
/// a higher one leaves too little room for what the next shift adds.
const TARGET_BOUNDS: (f64, f64) = (1.06, 1.7);

/// Returns the imbalance at which passes have their target length, clamped to `TARGET_BOUNDS`.
pub fn target_imbalance(times: PassTimes, imbalance: f64) -> f64 {
    let work = times.current.saturating_sub(times.idle).as_secs_f64();
    let available = times.target.saturating_sub(times.idle).as_secs_f64();
    if work <= 0.0 {
        return TARGET_BOUNDS.1;
    }
    (imbalance * available / work).clamp(TARGET_BOUNDS.0, TARGET_BOUNDS.1)
}

common_derives! {value:
    /// Planned map, with its effect on the load.
    pub struct Plan {
        /// Experts by set and rank.
        pub map: Vec<SetMap>,
        /// Imbalance of the map in force: highest load of a rank over the mean, averaged over the
        /// sets.
        pub imbalance_before: f64,
        /// Imbalance of the planned map.
        pub imbalance_after: f64,
        /// Number of experts that all ranks together have to load.
        pub loads: usize,
        /// Largest number of experts that one rank has to load.
        pub max_rank_loads: usize,
    }
}

/// Maximum moves per set, as an average over the sets of a plan.
const MAX_MOVES_PER_SET: usize = 100;

/// Maximum number of ranks that are tried as new holders of an expert: the least loaded ones.
const MAX_TARGET_RANKS: usize = 24;

/// Cost of a move without copies; each copy costs 1 more, so that moves without copies are
/// preferred.
const BASE_MOVE_COST: f64 = 0.25;

/// Exponent of the penalty on a rank's load; it is so high that the sum over all ranks approximates
/// the highest load.
const PENALTY_EXPONENT: i32 = 12;

/// Returns the map of a group whose demand is unknown: experts are dealt to the ranks in turn.
pub fn default_map(shape: &PlanShape, sets: usize) -> Vec<SetMap> {
    let rank = |rank: usize| (rank..shape.experts).step_by(shape.ranks.max(1));
    let set: SetMap = (0..shape.ranks)
        .map(|it| rank(it).map(|expert| expert as u32).collect())
        .collect();
    vec![set; sets]
}

/// Returns whether a map and the shares of its experts have the dimensions of `shape`.
pub fn dimensions_match(shape: &PlanShape, map: &[SetMap], shares: &[ExpertShares]) -> bool {
    let is_known = |expert: &u32| (*expert as usize) < shape.experts;
    let is_set = |set: &SetMap| set.len() == shape.ranks && set.iter().flatten().all(is_known);
    let is_counted = |it: &ExpertShares| it.len() == shape.experts;
    map.len() == shares.len() && map.iter().all(is_set) && shares.iter().all(is_counted)
}

/// Returns the highest load of a rank over its load in an even distribution, averaged over the
/// sets. The load of a slow rank counts by its slowdown.
pub fn imbalance(shape: &PlanShape, map: &[SetMap], shares: &[ExpertShares]) -> f64 {
    let sets = map.iter().zip(shares);
    let each = sets.map(|(set, shares)| set_imbalance(shape, set, shares));
    each.sum::<f64>() / map.len().max(1) as f64
}

fn set_imbalance(shape: &PlanShape, set: &SetMap, shares: &ExpertShares) -> f64 {
    let mut holders = vec![0_u32; shares.len()];
    for expert in set.iter().flatten() {
        holders[*expert as usize] += 1;
    }
    let load = |(rank, experts): (usize, &Vec<u32>)| -> f64 {
        let loads = experts
            .iter()
            .map(|it| shares[*it as usize] / f64::from(holders[*it as usize].max(1)));
        loads.sum::<f64>() * shape.slowdown(rank)
    };
    let highest = set.iter().enumerate().map(load).fold(0.0, f64::max);
    let total: f64 = shares.iter().sum();
    match total > 0.0 {
        true => highest * shape.effective_ranks() / total,
        false => 1.0,
    }
}

/// Plans a map that one switch can reach from `map`, with an imbalance of at most `target` in each
/// set where possible, and with few copies. The most uneven set is improved first, since the
/// experts that ranks may load are limited over all sets.
pub fn plan(shape: &PlanShape, map: &[SetMap], shares: &[ExpertShares], target: f64) -> Plan {
    let mut budget = vec![shape.loads_per_rank; shape.ranks];
    let sets = map.iter().zip(shares);
    let mut searches: Vec<SetSearch> = sets
        .map(|(set, it)| SetSearch::new(shape, set, it))
        .collect();
    let mut open: Vec<usize> = (0..searches.len()).collect();
    for _ in 0..MAX_MOVES_PER_SET * searches.len() {
        let imbalance_of = |it: &usize| searches[*it].imbalance();
        let Some(worst) = open
            .iter()
            .copied()
            .max_by(|a, b| imbalance_of(a).total_cmp(&imbalance_of(b)))
        else {
            break;
        };
        if imbalance_of(&worst) <= target || !searches[worst].apply_best_move(&mut budget) {
            open.retain(|it| *it != worst);
        }
    }
    let planned: Vec<SetMap> = searches.into_iter().map(SetSearch::into_map).collect();
    let loads = |rank: usize| -> usize {
        let sets = planned.iter().zip(map);
        sets.map(|(new, old)| count_new(&new[rank], &old[rank]))
            .sum()
    };
    let by_rank: Vec<usize> = (0..shape.ranks).map(loads).collect();
    Plan {
        imbalance_before: imbalance(shape, map, shares),
        imbalance_after: imbalance(shape, &planned, shares),
        loads: by_rank.iter().sum(),
        max_rank_loads: by_rank.into_iter().max().unwrap_or_default(),
        map: planned,
    }
}

fn count_new(new: &[u32], old: &[u32]) -> usize {
    new.iter().filter(|expert| !old.contains(expert)).count()
}

common_derives! {copy:
    /// One change to the map of a set.
    enum Move {
        /// Adds a replica of an expert to a rank, in place of the evicted expert if there is one.
        AddReplica { rank: usize, expert: u32, evicted: Option<u32> },
        /// Removes an expert from a rank; other ranks hold it as well.
        DropReplica { rank: usize, expert: u32 },
        /// Exchanges experts of two ranks.
        Swap { rank: usize, expert: u32, other_rank: usize, other_expert: u32 },
    }
}

/// Returns the experts that ranks get by a move, as pairs of rank and expert.
fn added_experts(change: &Move) -> impl Iterator<Item = (usize, u32)> {
    let (first, second) = match *change {
        Move::AddReplica { rank, expert, .. } => (Some((rank, expert)), None),
        Move::DropReplica { .. } => (None, None),
        Move::Swap {
            rank,
            expert,
            other_rank,
            other_expert,
        } => (Some((rank, other_expert)), Some((other_rank, expert))),
    };
    first.into_iter().chain(second)
}

/// Local search for a better map of one set.
struct SetSearch<'a> {
    shape: &'a PlanShape,
    /// Map in force.
    base: &'a SetMap,
    shares: &'a ExpertShares,
    experts_by_rank: SetMap,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    mean_load: f64,
}

impl<'a> SetSearch<'a> {
    fn new(shape: &'a PlanShape, base: &'a SetMap, shares: &'a ExpertShares) -> Self {
        let mut search = Self {
            shape,
            base,
            shares,
            experts_by_rank: base.clone(),
            holders: Vec::new(),
            rank_loads: Vec::new(),
            mean_load: shares.iter().sum::<f64>() / shape.effective_ranks().max(1.0),
        };
        search.index_holders();
        search
    }

    /// Returns the map with each rank's experts in ascending order.
    fn into_map(mut self) -> SetMap {
        for experts in &mut self.experts_by_rank {
            experts.sort_unstable();
        }
        self.experts_by_rank
    }

    fn index_holders(&mut self) {
        self.holders = vec![Vec::new(); self.shape.experts];
        for (rank, list) in self.experts_by_rank.iter().enumerate() {
            for expert in list {
                self.holders[*expert as usize].push(rank);
            }
        }
        self.rank_loads = (0..self.experts_by_rank.len())
            .map(|rank| self.load(rank))
            .collect();
    }

    /// Computes the load of a rank from its experts.
    fn load(&self, rank: usize) -> f64 {
        let shares = self.experts_by_rank[rank]
            .iter()
            .map(|it| self.replica_load(*it, 0));
        shares.sum::<f64>() * self.shape.slowdown(rank)
    }

    /// Returns the highest load of a rank over the mean.
    fn imbalance(&self) -> f64 {
        let highest = self.rank_loads.iter().copied().fold(0.0, f64::max);
        match self.mean_load > 0.0 {
            true => highest / self.mean_load,
            false => 1.0,
        }
    }

    /// Returns the load of one replica of an expert if it had `extra` more replicas than now.
    fn replica_load(&self, expert: u32, extra: i32) -> f64 {
        let holders = self.holders[expert as usize].len() as i32 + extra;
        self.shares[expert as usize] / f64::from(holders.max(1))
    }

    /// Applies the best move that relieves the most loaded rank, within the experts that ranks may
    /// still load (`budget`); returns false if no move helps.
    fn apply_best_move(&mut self, budget: &mut [usize]) -> bool {
        let ranks = 0..self.rank_loads.len();
        let Some(most_loaded) =
            ranks.max_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]))
        else {
            return false;
        };
        let targets = self.target_ranks(most_loaded);
        let mut deltas = LoadDeltas::new(self.rank_loads.len());
        let mut best: Option<(f64, Move)> = None;
        for change in self.candidate_moves(most_loaded, &targets) {
            if !self.fits_budget(&change, budget) {
                continue;
            }
            let gain =
                self.gain(&change, &mut deltas) / (BASE_MOVE_COST + self.loads_needed(&change));
            if gain > best.map_or(1e-9, |(best, _)| best) {
                best = Some((gain, change));
            }
        }
        let Some((_, change)) = best else {
            return false;
        };
        for (rank, expert) in added_experts(&change) {
            if !self.is_in_base(rank, expert) {
                budget[rank] -= 1;
            }
        }
        self.apply(&change);
        true
    }

    /// Returns whether a rank holds an expert under the map in force.
    fn is_in_base(&self, rank: usize, expert: u32) -> bool {
        self.base[rank].contains(&expert)
    }

    fn fits_budget(&self, change: &Move, budget: &[usize]) -> bool {
        let mut loads = added_experts(change);
        loads.all(|(rank, expert)| self.is_in_base(rank, expert) || budget[rank] > 0)
    }

    /// Returns the least loaded of the other ranks.
    fn target_ranks(&self, most_loaded: usize) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.rank_loads.len())
            .filter(|it| *it != most_loaded)
            .collect();
        if ranks.len() > MAX_TARGET_RANKS {
            let by_load = |a: &usize, b: &usize| {
                self.rank_loads[*a]
                    .total_cmp(&self.rank_loads[*b])
                    .then(a.cmp(b))
            };
            ranks.select_nth_unstable_by(MAX_TARGET_RANKS, by_load);
            ranks.truncate(MAX_TARGET_RANKS);
            ranks.sort_unstable();
        }
        ranks
    }

    fn candidate_moves(&self, most_loaded: usize, targets: &[usize]) -> Vec<Move> {
        let mut moves = Vec::new();
        for expert in &self.experts_by_rank[most_loaded] {
            self.push_replications(*expert, targets, &mut moves);
            self.push_swaps(most_loaded, *expert, targets, &mut moves);
            if self.holders[*expert as usize].len() > 1 {
                moves.push(Move::DropReplica {
                    rank: most_loaded,
                    expert: *expert,
                });
            }
        }
        moves
    }

    /// Adds the moves that give an expert one more replica.
    fn push_replications(&self, expert: u32, targets: &[usize], moves: &mut Vec<Move>) {
        for rank in targets.iter().copied() {
            if self.experts_by_rank[rank].contains(&expert) {
                continue;
            }
            if self.experts_by_rank[rank].len() < self.shape.slots
                && self.can_load(rank, expert, None)
            {
                moves.push(Move::AddReplica {
                    rank,
                    expert,
                    evicted: None,
                });
            }
            for evicted in &self.experts_by_rank[rank] {
                let is_spare = self.holders[*evicted as usize].len() > 1;
                if is_spare && self.can_load(rank, expert, Some(*evicted)) {
                    moves.push(Move::AddReplica {
                        rank,
                        expert,
                        evicted: Some(*evicted),
                    });
                }
            }
        }
    }

    fn push_swaps(&self, rank: usize, expert: u32, targets: &[usize], moves: &mut Vec<Move>) {
        for other_rank in targets.iter().copied() {
            if self.experts_by_rank[other_rank].contains(&expert) {
                continue;
            }
            for other_expert in &self.experts_by_rank[other_rank] {
                let is_lighter = self.replica_load(*other_expert, 0) < self.replica_load(expert, 0);
                if is_lighter
                    && !self.experts_by_rank[rank].contains(other_expert)
                    && self.can_load(other_rank, expert, Some(*other_expert))
                    && self.can_load(rank, *other_expert, Some(expert))
                {
                    moves.push(Move::Swap {
                        rank,
                        expert,
                        other_rank,
                        other_expert: *other_expert,
                    });
                }
            }
        }
    }

    /// Returns whether a rank can get an expert in this switch if it gives `evicted` up.
    fn can_load(&self, rank: usize, expert: u32, evicted: Option<u32>) -> bool {
        let base = &self.base[rank];
        if base.contains(&expert) {
            return true;
        }
        let kept = self.experts_by_rank[rank]
            .iter()
            .filter(|it| Some(**it) != evicted);
        let new = kept.filter(|it| !base.contains(it)).count();
        new < self.shape.loads_per_set
    }

    /// Returns the number of experts that ranks have to load for a move.
    fn loads_needed(&self, change: &Move) -> f64 {
        let loads = added_experts(change).filter(|(rank, expert)| !self.is_in_base(*rank, *expert));
        loads.count() as f64
    }

    /// Returns the reduction of the sum of all penalties by a move.
    fn gain(&self, change: &Move, deltas: &mut LoadDeltas) -> f64 {
        match *change {
            Move::AddReplica {
                rank,
                expert,
                evicted,
            } => {
                self.add_replica(rank, expert, deltas);
                if let Some(evicted) = evicted {
                    self.drop_replica(rank, evicted, deltas);
                }
            }
            Move::DropReplica { rank, expert } => self.drop_replica(rank, expert, deltas),
            Move::Swap {
                rank,
                expert,
                other_rank,
                other_expert,
            } => {
                let shift = self.replica_load(expert, 0) - self.replica_load(other_expert, 0);
                deltas.add(rank, -shift);
                deltas.add(other_rank, shift);
            }
        }
        let gains = deltas.drain().map(|(rank, delta)| {
            let after = self.rank_loads[rank] + delta * self.shape.slowdown(rank);
            self.penalty(self.rank_loads[rank]) - self.penalty(after)
        });
        gains.sum()
    }

    fn add_replica(&self, rank: usize, expert: u32, deltas: &mut LoadDeltas) {
        let (now, then) = (self.replica_load(expert, 0), self.replica_load(expert, 1));
        for holder in &self.holders[expert as usize] {
            deltas.add(*holder, then - now);
        }
        deltas.add(rank, then);
    }

    fn drop_replica(&self, rank: usize, expert: u32, deltas: &mut LoadDeltas) {
        let (now, then) = (self.replica_load(expert, 0), self.replica_load(expert, -1));
        for holder in self.holders[expert as usize]
            .iter()
            .filter(|it| **it != rank)
        {
            deltas.add(*holder, then - now);
        }
        deltas.add(rank, -now);
    }

    fn penalty(&self, load: f64) -> f64 {
        (load / self.mean_load).powi(PENALTY_EXPONENT)
    }

    fn apply(&mut self, change: &Move) {
        match *change {
            Move::AddReplica {
                rank,
                expert,
                evicted,
            } => {
                if let Some(evicted) = evicted {
                    self.remove(rank, evicted);
                }
                self.add(rank, expert);
            }
            Move::DropReplica { rank, expert } => self.remove(rank, expert),
            Move::Swap {
                rank,
                expert,
                other_rank,
                other_expert,
            } => {
                self.remove(rank, expert);
                self.add(rank, other_expert);
                self.remove(other_rank, other_expert);
                self.add(other_rank, expert);
            }
        }
    }

    fn add(&mut self, rank: usize, expert: u32) {
        self.experts_by_rank[rank].push(expert);
        self.holders[expert as usize].push(rank);
        self.update_holder_loads(expert);
    }

    fn remove(&mut self, rank: usize, expert: u32) {
        self.experts_by_rank[rank].retain(|it| *it != expert);
        self.holders[expert as usize].retain(|it| *it != rank);
        self.rank_loads[rank] = self.load(rank);
        self.update_holder_loads(expert);
    }

    /// Recomputes the loads of the ranks that hold an expert.
    fn update_holder_loads(&mut self, expert: u32) {
        for index in 0..self.holders[expert as usize].len() {
            let rank = self.holders[expert as usize][index];
            self.rank_loads[rank] = self.load(rank);
        }
    }
}

/// Changes of the ranks' loads by a move.
struct LoadDeltas {
    by_rank: Vec<f64>,
    changed: Vec<usize>,
}

impl LoadDeltas {
    fn new(ranks: usize) -> Self {
        Self {
            by_rank: vec![0.0; ranks],
            changed: Vec::new(),
        }
    }

    fn add(&mut self, rank: usize, delta: f64) {
        if self.by_rank[rank] == 0.0 {
            self.changed.push(rank);
        }
        self.by_rank[rank] += delta;
    }

    /// Returns and clears all changes.
    fn drain(&mut self) -> impl Iterator<Item = (usize, f64)> {
        let by_rank = &mut self.by_rank;
        let changed = self.changed.drain(..);
        changed.map(|rank| (rank, std::mem::take(&mut by_rank[rank])))
    }
}
