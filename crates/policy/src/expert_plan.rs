//! Plans the next expert map of a group whose layers form several sets, each with its own experts.
//!
//! A pass takes as long as, set by set, its most loaded rank. In one switch each rank can load only
//! a few experts of a set, so a plan is the best map within reach of the one in force, and several
//! switches in a row may follow a large shift of demand.
//!
//! Load pattern: every few seconds other experts come into demand, a single one with up to a fifth
//! of all tokens of its set.

use std::time::Duration;

use jj_utils::common_derives;

use crate::map_switch::SetMap;

/// Part of all tokens of a set that chose each expert.
pub type ExpertShares = Vec<f64>;

common_derives! {value:
    /// Size of a group.
    #[derive(Default)]
    pub struct PlanShape {
        /// Ranks.
        pub ranks: usize,
        /// Experts of a set.
        pub experts: usize,
        /// Experts of a set that a rank holds at most.
        pub slots: usize,
        /// Experts of a set that a rank can load in one switch.
        pub loads_per_set: usize,
        /// Experts of all sets that a rank may load in one switch, so that the load is short.
        pub loads_per_rank: usize,
        /// How much slower than usual each rank works; 1 for ranks that are not named.
        pub slowdowns: Vec<f64>,
    }
}

impl PlanShape {
    fn pace(&self, rank: usize) -> f64 {
        self.slowdowns.get(rank).copied().unwrap_or(1.0).max(1.0)
    }

    /// Ranks of the usual speed that work as fast as all ranks together.
    fn usual_ranks(&self) -> f64 {
        (0..self.ranks).map(|rank| 1.0 / self.pace(rank)).sum()
    }
}

/// Imbalance from which a switch has to be as short as it can.
const URGENT: f64 = 1.8;

/// Time that ranks may load for a switch; longer where the imbalance is not urgent.
const LOAD_TIMES: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(240));

/// Experts that all ranks together load in a switch at most: the agents are told of each.
const MOST_LOADS: usize = 600;

/// Experts that a rank loads in one switch at most, each of which takes so long: a short switch follows a
/// shift at once, and the next one refines it.
pub fn max_loads_per_rank(ranks: usize, load_time: Duration, imbalance: f64) -> usize {
    let (urgent, usual) = LOAD_TIMES;
    let time = if imbalance >= URGENT { urgent } else { usual };
    let most = (time.as_secs_f64() / load_time.as_secs_f64().max(1e-3)) as usize;
    most.min(MOST_LOADS / ranks.max(1)).max(1)
}

common_derives! {copy:
    /// How long the passes of a group are.
    pub struct PassTimes {
        /// Time that a pass takes without any work for tokens.
        pub idle: Duration,
        /// Time that a pass takes now.
        pub current: Duration,
        /// Time that a pass may take.
        pub target: Duration,
    }
}

/// Bounds on the imbalance that a plan aims at: less isn't worth its copies, more is too near to
/// what the next shift adds.
const TARGETS: (f64, f64) = (1.06, 1.7);

/// The imbalance at which passes are as long as they may be.
pub fn target_imbalance(times: PassTimes, imbalance: f64) -> f64 {
    let work = times.current.saturating_sub(times.idle).as_secs_f64();
    let room = times.target.saturating_sub(times.idle).as_secs_f64();
    if work <= 0.0 {
        return TARGETS.1;
    }
    (imbalance * room / work).clamp(TARGETS.0, TARGETS.1)
}

common_derives! {value:
    /// A map, and what it would change.
    pub struct Plan {
        /// Experts by set and rank.
        pub map: Vec<SetMap>,
        /// Highest load of a rank over the mean, as a mean over the sets, before.
        pub imbalance_before: f64,
        /// The same after.
        pub imbalance_after: f64,
        /// Experts that ranks have to load.
        pub loads: usize,
        /// Most experts that one rank has to load.
        pub max_rank_loads: usize,
    }
}

/// Most moves in one set.
const MOST_MOVES: usize = 100;

/// Ranks that are tried as takers of an expert, the least loaded first.
const MOST_TAKERS: usize = 24;

/// What a copy counts in the choice between moves, beside one: moves without a copy go first.
const COPY_COST: f64 = 0.25;

/// How steeply the penalty of a rank's load grows, so that the sum over all ranks stands for the
/// highest load.
const PENALTY_POWER: i32 = 12;

/// The map without knowledge of demand: experts in turn.
pub fn default_map(shape: &PlanShape, sets: usize) -> Vec<SetMap> {
    let rank = |rank: usize| (rank..shape.experts).step_by(shape.ranks.max(1));
    let set: SetMap = (0..shape.ranks)
        .map(|it| rank(it).map(|expert| expert as u32).collect())
        .collect();
    vec![set; sets]
}

/// Whether a map and what is known of the demand are of the shape that is planned for.
pub fn dimensions_match(shape: &PlanShape, map: &[SetMap], shares: &[ExpertShares]) -> bool {
    let is_known = |expert: &u32| (*expert as usize) < shape.experts;
    let is_set = |set: &SetMap| set.len() == shape.ranks && set.iter().flatten().all(is_known);
    let is_counted = |it: &ExpertShares| it.len() == shape.experts;
    map.len() == shares.len() && map.iter().all(is_set) && shares.iter().all(is_counted)
}

/// Highest load of a rank over what it would be if all had an equal part, as a mean over the sets.
/// Slow ranks count as more loaded.
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
        loads.sum::<f64>() * shape.pace(rank)
    };
    let highest = set.iter().enumerate().map(load).fold(0.0, f64::max);
    let total: f64 = shares.iter().sum();
    match total > 0.0 {
        true => highest * shape.usual_ranks() / total,
        false => 1.0,
    }
}

/// A map within reach of the one in force whose highest load over the mean is at most `target` in
/// each set, with few copies. The most uneven set goes first, since ranks load only a few experts.
pub fn plan(shape: &PlanShape, map: &[SetMap], shares: &[ExpertShares], target: f64) -> Plan {
    let mut budget = vec![shape.loads_per_rank; shape.ranks];
    let sets = map.iter().zip(shares);
    let mut searches: Vec<Search> = sets.map(|(set, it)| Search::new(shape, set, it)).collect();
    let mut open: Vec<usize> = (0..searches.len()).collect();
    for _ in 0..MOST_MOVES * searches.len() {
        let uneven = |it: &usize| searches[*it].imbalance();
        let Some(worst) = open
            .iter()
            .copied()
            .max_by(|a, b| uneven(a).total_cmp(&uneven(b)))
        else {
            break;
        };
        if uneven(&worst) <= target || !searches[worst].improve(&mut budget) {
            open.retain(|it| *it != worst);
        }
    }
    let planned: Vec<SetMap> = searches.into_iter().map(Search::into_map).collect();
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
    /// One change of a set's map.
    enum Move {
        /// A rank takes a replica of an expert, in place of another one if it has no free slot.
        Take { rank: usize, expert: u32, out: Option<u32> },
        /// A rank drops an expert that others hold too.
        Drop { rank: usize, expert: u32 },
        /// Two ranks exchange experts.
        Swap { rank: usize, expert: u32, other: usize, theirs: u32 },
    }
}

/// The experts that ranks take up in a move.
fn taken(change: &Move) -> impl Iterator<Item = (usize, u32)> {
    let (first, second) = match *change {
        Move::Take { rank, expert, .. } => (Some((rank, expert)), None),
        Move::Drop { .. } => (None, None),
        Move::Swap {
            rank,
            expert,
            other,
            theirs,
        } => (Some((rank, theirs)), Some((other, expert))),
    };
    first.into_iter().chain(second)
}

/// A set's map under change.
struct Search<'a> {
    shape: &'a PlanShape,
    base: &'a SetMap,
    shares: &'a ExpertShares,
    lists: SetMap,
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    mean: f64,
}

impl<'a> Search<'a> {
    fn new(shape: &'a PlanShape, base: &'a SetMap, shares: &'a ExpertShares) -> Self {
        let mut search = Self {
            shape,
            base,
            shares,
            lists: base.clone(),
            holders: Vec::new(),
            loads: Vec::new(),
            mean: shares.iter().sum::<f64>() / shape.usual_ranks().max(1.0),
        };
        search.count_holders();
        search
    }

    /// The map, each rank's experts in ascending order.
    fn into_map(mut self) -> SetMap {
        for experts in &mut self.lists {
            experts.sort_unstable();
        }
        self.lists
    }

    fn count_holders(&mut self) {
        self.holders = vec![Vec::new(); self.shape.experts];
        for (rank, list) in self.lists.iter().enumerate() {
            for expert in list {
                self.holders[*expert as usize].push(rank);
            }
        }
        self.loads = (0..self.lists.len()).map(|rank| self.load(rank)).collect();
    }

    /// Load of a rank.
    fn load(&self, rank: usize) -> f64 {
        let shares = self.lists[rank].iter().map(|it| self.share(*it, 0));
        shares.sum::<f64>() * self.shape.pace(rank)
    }

    /// Highest load over the mean.
    fn imbalance(&self) -> f64 {
        let highest = self.loads.iter().copied().fold(0.0, f64::max);
        match self.mean > 0.0 {
            true => highest / self.mean,
            false => 1.0,
        }
    }

    /// Load of one replica of an expert, with so many more replicas than now.
    fn share(&self, expert: u32, more: i32) -> f64 {
        let holders = self.holders[expert as usize].len() as i32 + more;
        self.shares[expert as usize] / f64::from(holders.max(1))
    }

    /// Makes the move that helps the most loaded rank best, within what ranks may still load; false
    /// when none helps.
    fn improve(&mut self, budget: &mut [usize]) -> bool {
        let ranks = 0..self.loads.len();
        let Some(hottest) = ranks.max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b])) else {
            return false;
        };
        let takers = self.takers(hottest);
        let mut deltas = Deltas::new(self.loads.len());
        let mut best: Option<(f64, Move)> = None;
        for change in self.candidates(hottest, &takers) {
            if !self.is_within(&change, budget) {
                continue;
            }
            let gain = self.gain(&change, &mut deltas) / (COPY_COST + self.copies(&change));
            if gain > best.map_or(1e-9, |(best, _)| best) {
                best = Some((gain, change));
            }
        }
        let Some((_, change)) = best else {
            return false;
        };
        for (rank, expert) in taken(&change) {
            if !self.is_loaded(rank, expert) {
                budget[rank] -= 1;
            }
        }
        self.apply(&change);
        true
    }

    /// Whether a rank holds an expert under the map in force.
    fn is_loaded(&self, rank: usize, expert: u32) -> bool {
        self.base[rank].contains(&expert)
    }

    fn is_within(&self, change: &Move, budget: &[usize]) -> bool {
        let mut taken = taken(change);
        taken.all(|(rank, expert)| self.is_loaded(rank, expert) || budget[rank] > 0)
    }

    /// The least loaded of the other ranks.
    fn takers(&self, hottest: usize) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.loads.len()).filter(|it| *it != hottest).collect();
        if ranks.len() > MOST_TAKERS {
            let by_load =
                |a: &usize, b: &usize| self.loads[*a].total_cmp(&self.loads[*b]).then(a.cmp(b));
            ranks.select_nth_unstable_by(MOST_TAKERS, by_load);
            ranks.truncate(MOST_TAKERS);
            ranks.sort_unstable();
        }
        ranks
    }

    fn candidates(&self, hottest: usize, takers: &[usize]) -> Vec<Move> {
        let mut moves = Vec::new();
        for expert in &self.lists[hottest] {
            self.add_spreads(*expert, takers, &mut moves);
            self.add_swaps(hottest, *expert, takers, &mut moves);
            if self.holders[*expert as usize].len() > 1 {
                moves.push(Move::Drop {
                    rank: hottest,
                    expert: *expert,
                });
            }
        }
        moves
    }

    /// Moves that give an expert one more replica.
    fn add_spreads(&self, expert: u32, takers: &[usize], moves: &mut Vec<Move>) {
        for rank in takers.iter().copied() {
            if self.lists[rank].contains(&expert) {
                continue;
            }
            if self.lists[rank].len() < self.shape.slots && self.may_take(rank, expert, None) {
                moves.push(Move::Take {
                    rank,
                    expert,
                    out: None,
                });
            }
            for out in &self.lists[rank] {
                let is_spare = self.holders[*out as usize].len() > 1;
                if is_spare && self.may_take(rank, expert, Some(*out)) {
                    moves.push(Move::Take {
                        rank,
                        expert,
                        out: Some(*out),
                    });
                }
            }
        }
    }

    fn add_swaps(&self, rank: usize, expert: u32, takers: &[usize], moves: &mut Vec<Move>) {
        for other in takers.iter().copied() {
            if self.lists[other].contains(&expert) {
                continue;
            }
            for theirs in &self.lists[other] {
                let is_lighter = self.share(*theirs, 0) < self.share(expert, 0);
                if is_lighter
                    && !self.lists[rank].contains(theirs)
                    && self.may_take(other, expert, Some(*theirs))
                    && self.may_take(rank, *theirs, Some(expert))
                {
                    moves.push(Move::Swap {
                        rank,
                        expert,
                        other,
                        theirs: *theirs,
                    });
                }
            }
        }
    }

    /// Whether a rank can load an expert in this switch, without one that it gives up.
    fn may_take(&self, rank: usize, expert: u32, out: Option<u32>) -> bool {
        let base = &self.base[rank];
        if base.contains(&expert) {
            return true;
        }
        let kept = self.lists[rank].iter().filter(|it| Some(**it) != out);
        let new = kept.filter(|it| !base.contains(it)).count();
        new < self.shape.loads_per_set
    }

    /// Experts that ranks have to load for a move.
    fn copies(&self, change: &Move) -> f64 {
        let copies = taken(change).filter(|(rank, expert)| !self.is_loaded(*rank, *expert));
        copies.count() as f64
    }

    /// What the sum of all penalties falls by.
    fn gain(&self, change: &Move, deltas: &mut Deltas) -> f64 {
        match *change {
            Move::Take { rank, expert, out } => {
                self.add_replica(rank, expert, deltas);
                if let Some(out) = out {
                    self.drop_replica(rank, out, deltas);
                }
            }
            Move::Drop { rank, expert } => self.drop_replica(rank, expert, deltas),
            Move::Swap {
                rank,
                expert,
                other,
                theirs,
            } => {
                let shift = self.share(expert, 0) - self.share(theirs, 0);
                deltas.add(rank, -shift);
                deltas.add(other, shift);
            }
        }
        let gains = deltas.drain().map(|(rank, delta)| {
            let after = self.loads[rank] + delta * self.shape.pace(rank);
            self.penalty(self.loads[rank]) - self.penalty(after)
        });
        gains.sum()
    }

    fn add_replica(&self, rank: usize, expert: u32, deltas: &mut Deltas) {
        let (now, then) = (self.share(expert, 0), self.share(expert, 1));
        for holder in &self.holders[expert as usize] {
            deltas.add(*holder, then - now);
        }
        deltas.add(rank, then);
    }

    fn drop_replica(&self, rank: usize, expert: u32, deltas: &mut Deltas) {
        let (now, then) = (self.share(expert, 0), self.share(expert, -1));
        for holder in self.holders[expert as usize]
            .iter()
            .filter(|it| **it != rank)
        {
            deltas.add(*holder, then - now);
        }
        deltas.add(rank, -now);
    }

    fn penalty(&self, load: f64) -> f64 {
        (load / self.mean).powi(PENALTY_POWER)
    }

    fn apply(&mut self, change: &Move) {
        match *change {
            Move::Take { rank, expert, out } => {
                if let Some(out) = out {
                    self.remove(rank, out);
                }
                self.add(rank, expert);
            }
            Move::Drop { rank, expert } => self.remove(rank, expert),
            Move::Swap {
                rank,
                expert,
                other,
                theirs,
            } => {
                self.remove(rank, expert);
                self.add(rank, theirs);
                self.remove(other, theirs);
                self.add(other, expert);
            }
        }
    }

    fn add(&mut self, rank: usize, expert: u32) {
        self.lists[rank].push(expert);
        self.holders[expert as usize].push(rank);
        self.update_holders(expert);
    }

    fn remove(&mut self, rank: usize, expert: u32) {
        self.lists[rank].retain(|it| *it != expert);
        self.holders[expert as usize].retain(|it| *it != rank);
        self.loads[rank] = self.load(rank);
        self.update_holders(expert);
    }

    /// Works out the loads of the ranks that hold an expert.
    fn update_holders(&mut self, expert: u32) {
        for index in 0..self.holders[expert as usize].len() {
            let rank = self.holders[expert as usize][index];
            self.loads[rank] = self.load(rank);
        }
    }
}

/// Changes of the ranks' loads.
struct Deltas {
    by_rank: Vec<f64>,
    changed: Vec<usize>,
}

impl Deltas {
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

    /// Takes all changes out.
    fn drain(&mut self) -> impl Iterator<Item = (usize, f64)> {
        let by_rank = &mut self.by_rank;
        let changed = self.changed.drain(..);
        changed.map(|rank| (rank, std::mem::take(&mut by_rank[rank])))
    }
}
