//! Decides when and how to move experts between the ranks of a group to balance their load.
//!
//! Starts from the map in force and the predicted popularity, and applies moves one by one: a swap
//! of two experts, or the replacement of a surplus replica. Each move relieves the most loaded
//! rank. The result is the plan with the highest net gain: the time saved by the lower imbalance,
//! less the cost of loading the weights and of the stall at the switch. Without a net gain there is
//! no plan.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::ExpertId};

use crate::{expert_map::ExpertMap, rank_load::RankLoads};

/// Costs and limits of rebalancing.
#[derive(Debug, Clone, Copy)]
pub struct RebalanceConfig {
    /// Lowest imbalance at which a plan is considered.
    pub trigger_imbalance: f64,
    /// Imbalance at which no further moves are added to a plan.
    pub target_imbalance: f64,
    /// Time over which a plan has to recover its cost.
    pub horizon: Duration,
    /// Minimum time between two switches.
    pub min_interval: Duration,
    /// Size of the weights of one expert, in bytes.
    pub expert_bytes: u64,
    /// Throughput of the weight store to the whole group, in bytes per second.
    pub store_bytes_per_second: f64,
    /// Fraction of the group's speed that is lost while weights are loaded.
    pub load_slowdown: f64,
    /// Time for which all ranks hold at a switch.
    pub stall: Duration,
    /// Maximum number of moves in one plan.
    pub max_moves: u32,
}

impl Default for RebalanceConfig {
    fn default() -> Self {
        Self {
            trigger_imbalance: 1.05,
            target_imbalance: 1.02,
            horizon: Duration::from_secs(75),
            min_interval: Duration::from_secs(10),
            expert_bytes: 1 << 30,
            store_bytes_per_second: 8e9,
            load_slowdown: 0.05,
            stall: Duration::from_millis(150),
            max_moves: 64,
        }
    }
}

impl RebalanceConfig {
    /// Returns the time to load this many experts from the weight store.
    pub fn load_time(&self, experts_to_load: u32) -> Duration {
        let bytes = self.expert_bytes as f64 * f64::from(experts_to_load);
        Duration::from_secs_f64(bytes / self.store_bytes_per_second)
    }

    /// Returns the time that a switch costs the group when it loads this many experts, in seconds.
    fn cost_seconds(&self, experts_to_load: u32) -> f64 {
        self.load_time(experts_to_load).as_secs_f64() * self.load_slowdown
            + self.stall.as_secs_f64()
    }

    /// Returns the time that the lower imbalance saves the group from the end of loading to the end
    /// of the horizon, in seconds.
    fn gain_seconds(&self, plan: &RebalancePlan) -> f64 {
        let remaining = self
            .horizon
            .saturating_sub(self.load_time(plan.experts_to_load));
        (plan.imbalance_before - plan.imbalance_after) / plan.imbalance_before
            * remaining.as_secs_f64()
    }
}

common_derives! {value:
    /// Switch to another map that saves more time than it costs.
    pub struct RebalancePlan {
        /// Map to switch to.
        pub map: ExpertMap,
        /// Number of experts that the ranks have to load.
        pub experts_to_load: u32,
        /// Predicted imbalance of the map in force.
        pub imbalance_before: f64,
        /// Predicted imbalance of the new map.
        pub imbalance_after: f64,
    }
}

/// Planner of the map switches of one group.
#[derive(Debug, Clone)]
pub struct Rebalancer {
    config: RebalanceConfig,
    /// Time of the last plan.
    planned_at: Option<Timestamp>,
}

impl Rebalancer {
    /// Creates a planner without an earlier plan.
    pub fn new(config: RebalanceConfig) -> Self {
        Self {
            config,
            planned_at: None,
        }
    }

    /// Returns the switch to make now; `None` within the minimum interval, below the trigger
    /// imbalance or without a net gain. `popularity` is the prediction for the time at which the
    /// new map would come into force.
    pub fn plan(
        &mut self,
        now: Timestamp,
        map: &ExpertMap,
        popularity: &[f64],
    ) -> Option<RebalancePlan> {
        let interval_elapsed = self
            .planned_at
            .is_none_or(|at| now >= at + self.config.min_interval);
        let imbalance_before = map.imbalance(popularity);
        if !interval_elapsed || imbalance_before < self.config.trigger_imbalance {
            return None;
        }
        let plan = best_plan(&self.config, map, popularity, imbalance_before)?;
        self.planned_at = Some(now);
        Some(plan)
    }
}

/// Returns the best plan found by moves from the map in force. If its imbalance is not below the
/// trigger, the best plan from a repacked map is considered too.
fn best_plan(
    config: &RebalanceConfig,
    map: &ExpertMap,
    popularity: &[f64],
    imbalance_before: f64,
) -> Option<RebalancePlan> {
    let search = PlanSearch {
        config,
        map,
        popularity,
        imbalance_before,
    };
    let moved = search.improve(map);
    let good_enough = |plan: &RebalancePlan| plan.imbalance_after < config.trigger_imbalance;
    if moved.as_ref().is_some_and(good_enough) {
        return moved;
    }
    let rebuilt = search.improve(&align_ranks(map, &repack(map, popularity)));
    let net_gain = |plan: &Option<RebalancePlan>| {
        plan.as_ref()
            .map_or(0.0, |plan| search.net_gain_seconds(plan))
    };
    if net_gain(&rebuilt) > net_gain(&moved) {
        rebuilt
    } else {
        moved
    }
}

/// Search for a plan.
struct PlanSearch<'a> {
    config: &'a RebalanceConfig,
    /// Map in force.
    map: &'a ExpertMap,
    popularity: &'a [f64],
    /// Imbalance of the map in force.
    imbalance_before: f64,
}

impl PlanSearch<'_> {
    /// Applies moves to `from` one by one and returns the plan with the highest net gain.
    fn improve(&self, from: &ExpertMap) -> Option<RebalancePlan> {
        let mut loads = RankLoads::new(from, self.popularity);
        let mut best: Option<RebalancePlan> = None;
        let mut best_net_gain = 0.0;
        for _ in 0..self.config.max_moves {
            let plan = RebalancePlan {
                map: loads.map().clone(),
                experts_to_load: self.map.experts_to_load(loads.map()),
                imbalance_before: self.imbalance_before,
                imbalance_after: loads.imbalance(),
            };
            let net_gain = self.net_gain_seconds(&plan);
            let done = plan.imbalance_after <= self.config.target_imbalance;
            if net_gain > best_net_gain {
                best_net_gain = net_gain;
                best = Some(plan);
            }
            if done || !loads.apply_best_move() {
                break;
            }
        }
        best
    }

    /// Returns the time that a plan saves the group, less its cost, in seconds.
    fn net_gain_seconds(&self, plan: &RebalancePlan) -> f64 {
        self.config.gain_seconds(plan) - self.config.cost_seconds(plan.experts_to_load)
    }
}

/// Returns the new map with its ranks renumbered, greedily, so that each rank keeps many of its
/// experts.
fn align_ranks(old: &ExpertMap, new: &ExpertMap) -> ExpertMap {
    let ranks = old.shape().ranks;
    let mut free: Vec<u32> = (0..ranks).collect();
    let mut slots = Vec::with_capacity(old.slots().len());
    for rank in 0..ranks {
        let kept = |candidate: u32| {
            let experts = new.experts_on_rank(candidate).iter();
            let held = old.experts_on_rank(rank);
            experts.filter(|expert| held.contains(expert)).count()
        };
        let best = (0..free.len()).max_by_key(|index| kept(free[*index]));
        if let Some(index) = best {
            slots.extend_from_slice(new.experts_on_rank(free.swap_remove(index)));
        }
    }
    ExpertMap::from_slots(old.shape(), slots).unwrap_or_else(|| new.clone())
}

/// Builds a new map for a popularity. Gives further replicas to the experts with the highest load
/// per replica, and places the replicas in order of falling load, each on the least loaded rank
/// with a free slot. Returns `map` unchanged if that leaves an invalid map.
pub fn repack(map: &ExpertMap, popularity: &[f64]) -> ExpertMap {
    let shape = map.shape();
    let replicas = allot_replicas(popularity, shape.total_slots(), shape.ranks);
    let mut order: Vec<ExpertId> = (0..shape.experts).collect();
    let share =
        |expert: ExpertId| popularity[expert as usize] / f64::from(replicas[expert as usize]);
    order.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));

    let mut ranks: Vec<Vec<ExpertId>> = vec![Vec::new(); shape.ranks as usize];
    let mut loads = vec![0.0; shape.ranks as usize];
    for expert in order {
        for _ in 0..replicas[expert as usize] {
            let rank = least_loaded(&ranks, &loads, expert, shape.slots as usize);
            ranks[rank].push(expert);
            loads[rank] += share(expert);
        }
    }
    ExpertMap::from_slots(shape, ranks.concat()).unwrap_or_else(|| map.clone())
}

/// Returns the number of replicas of each expert.
fn allot_replicas(popularity: &[f64], slots: usize, ranks: u32) -> Vec<u32> {
    let mut replicas = vec![1_u32; popularity.len()];
    for _ in popularity.len()..slots {
        let share = |expert: usize| popularity[expert] / f64::from(replicas[expert]);
        let candidates = (0..popularity.len()).filter(|expert| replicas[*expert] < ranks);
        let Some(hottest) = candidates.max_by(|a, b| share(*a).total_cmp(&share(*b))) else {
            break;
        };
        replicas[hottest] += 1;
    }
    replicas
}

/// Returns the least loaded rank with a free slot, if possible one without a replica of the expert.
fn least_loaded(ranks: &[Vec<ExpertId>], loads: &[f64], expert: ExpertId, slots: usize) -> usize {
    let with_free_slot = || (0..ranks.len()).filter(|rank| ranks[*rank].len() < slots);
    let by_load = |a: &usize, b: &usize| loads[*a].total_cmp(&loads[*b]);
    let without_replica = with_free_slot().filter(|rank| !ranks[*rank].contains(&expert));
    let rank = without_replica
        .min_by(by_load)
        .or_else(|| with_free_slot().min_by(by_load));
    rank.unwrap_or(0)
}
