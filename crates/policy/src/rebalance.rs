//! Decides when and how to move experts so that the ranks of a group stay in step.
//!
//! From the map in force and the predicted popularity, moves are chosen one by one: a swap of two
//! experts, or a replica in place of a spare replica. Each takes load from the most loaded rank.
//! The plan ends where the next move no longer pays for its bytes, and is dropped unless it pays
//! for the stall of the switch as well.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::ExpertId};

use crate::{expert_map::ExpertMap, rank_load::RankLoads};

/// What moving costs and when it is considered.
#[derive(Debug, Clone, Copy)]
pub struct RebalanceConfig {
    /// Skew from which a plan is considered.
    pub trigger_imbalance: f64,
    /// Skew at which a plan stops adding moves.
    pub target_imbalance: f64,
    /// Time over which a plan has to pay.
    pub horizon: Duration,
    /// Shortest time between two switches.
    pub min_interval: Duration,
    /// Weights of one expert, in bytes.
    pub expert_bytes: u64,
    /// What the weight store delivers to the group, in bytes a second.
    pub store_bytes_per_second: f64,
    /// Share of the group's speed that loading weights takes while it goes on.
    pub load_slowdown: f64,
    /// Time that all ranks hold at a switch.
    pub stall: Duration,
    /// Most moves in one plan.
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
    /// Time to load this many experts from the weight store.
    pub fn load_time(&self, loads: u32) -> Duration {
        let bytes = self.expert_bytes as f64 * f64::from(loads);
        Duration::from_secs_f64(bytes / self.store_bytes_per_second)
    }

    /// Time of the group that a switch with this many loads costs, in seconds.
    fn cost(&self, loads: u32) -> f64 {
        self.load_time(loads).as_secs_f64() * self.load_slowdown + self.stall.as_secs_f64()
    }

    /// Time of the group that a lower skew saves over what is left of the horizon once the
    /// weights are loaded, in seconds.
    fn gain(&self, plan: &RebalancePlan) -> f64 {
        let left = self
            .horizon
            .saturating_sub(self.load_time(plan.experts_to_load));
        (plan.imbalance_before - plan.imbalance_after) / plan.imbalance_before * left.as_secs_f64()
    }
}

common_derives! {value:
    /// A switch that pays.
    pub struct RebalancePlan {
        /// The new map.
        pub map: ExpertMap,
        /// Experts that ranks have to load.
        pub experts_to_load: u32,
        /// Predicted skew of the map in force.
        pub imbalance_before: f64,
        /// Predicted skew of the new map.
        pub imbalance_after: f64,
    }
}

/// Plans switches of one group.
#[derive(Debug, Clone)]
pub struct Rebalancer {
    config: RebalanceConfig,
    switched_at: Option<Timestamp>,
}

impl Rebalancer {
    /// A planner that has made no plan yet.
    pub fn new(config: RebalanceConfig) -> Self {
        Self {
            config,
            switched_at: None,
        }
    }

    /// The switch to make now, if one pays. `popularity` is predicted for the time when the new
    /// map would be in force.
    pub fn plan(
        &mut self,
        now: Timestamp,
        map: &ExpertMap,
        popularity: &[f64],
    ) -> Option<RebalancePlan> {
        let rested = self
            .switched_at
            .is_none_or(|at| now >= at + self.config.min_interval);
        let before = map.imbalance(popularity);
        if !rested || before < self.config.trigger_imbalance {
            return None;
        }
        let plan = best_plan(&self.config, map, popularity, before)?;
        self.switched_at = Some(now);
        Some(plan)
    }
}

/// The best improvement of the map in force; where no run of single moves gets below the trigger,
/// the best improvement of a map built anew counts as well.
fn best_plan(
    config: &RebalanceConfig,
    map: &ExpertMap,
    popularity: &[f64],
    before: f64,
) -> Option<RebalancePlan> {
    let search = Search {
        config,
        map,
        popularity,
        before,
    };
    let moved = search.improve(map);
    let good_enough = |plan: &RebalancePlan| plan.imbalance_after < config.trigger_imbalance;
    if moved.as_ref().is_some_and(good_enough) {
        return moved;
    }
    let rebuilt = search.improve(&aligned(map, &repack(map, popularity)));
    let net = |plan: &Option<RebalancePlan>| plan.as_ref().map_or(0.0, |plan| search.net(plan));
    if net(&rebuilt) > net(&moved) {
        rebuilt
    } else {
        moved
    }
}

/// Looks for a plan that starts from one map.
struct Search<'a> {
    config: &'a RebalanceConfig,
    map: &'a ExpertMap,
    popularity: &'a [f64],
    before: f64,
}

impl Search<'_> {
    /// Adds moves to a map one by one and keeps the point at which the net gain was highest.
    fn improve(&self, from: &ExpertMap) -> Option<RebalancePlan> {
        let mut loads = RankLoads::new(from, self.popularity);
        let mut best: Option<RebalancePlan> = None;
        let mut best_net = 0.0;
        for _ in 0..self.config.max_moves {
            let plan = RebalancePlan {
                map: loads.map().clone(),
                experts_to_load: self.map.experts_to_load(loads.map()),
                imbalance_before: self.before,
                imbalance_after: loads.imbalance(),
            };
            let net = self.net(&plan);
            let done = plan.imbalance_after <= self.config.target_imbalance;
            if net > best_net {
                best_net = net;
                best = Some(plan);
            }
            if done || !loads.apply_best_move() {
                break;
            }
        }
        best
    }

    /// Time of the group that a plan saves, less what it costs, in seconds.
    fn net(&self, plan: &RebalancePlan) -> f64 {
        self.config.gain(plan) - self.config.cost(plan.experts_to_load)
    }
}

/// The new map with its ranks renumbered so that each rank keeps many of its experts.
fn aligned(old: &ExpertMap, new: &ExpertMap) -> ExpertMap {
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

/// A map built anew for a popularity: replicas go to the experts with the highest load for each
/// replica, and the heaviest replicas are placed first, on the least loaded rank with room.
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

/// The least loaded rank with room, if possible one without a replica of the expert.
fn least_loaded(ranks: &[Vec<ExpertId>], loads: &[f64], expert: ExpertId, slots: usize) -> usize {
    let with_room = || (0..ranks.len()).filter(|rank| ranks[*rank].len() < slots);
    let by_load = |a: &usize, b: &usize| loads[*a].total_cmp(&loads[*b]);
    let fresh = with_room().filter(|rank| !ranks[*rank].contains(&expert));
    let rank = fresh
        .min_by(by_load)
        .or_else(|| with_room().min_by(by_load));
    rank.unwrap_or(0)
}
