//! Replays a trace of expert popularity against a rebalancing policy.

use std::time::Duration;

use jj_utils::common_derives;

use crate::{
    expert_map::{ExpertMap, GroupShape},
    popularity::{ExpertCounts, Popularity, PopularityConfig},
    rebalance::{RebalanceConfig, Rebalancer, repack},
};

common_derives! {wire:
    /// Popularity over time: what was, and what the group was told.
    pub struct PopularityTrace {
        /// Name of the trace.
        pub name: String,
        /// Seed of the generator.
        pub seed: u64,
        /// The group.
        pub shape: GroupShape,
        /// Length of one period, in seconds.
        pub period: u64,
        /// Tokens routed to each expert in each period.
        pub truth: Vec<Vec<u32>>,
        /// Report that arrives at the end of each period; it may be missing or about an earlier one.
        pub reports: Vec<Option<ExpertCounts>>,
    }
}

common_derives! {copy:
    /// How the map is kept.
    pub enum MapPolicy {
        /// Never changed.
        Static,
        /// Built anew in every period.
        Repack,
        /// Improved where it pays.
        Incremental,
    }
}

common_derives! {value:
    /// What a replay came to.
    #[derive(Default)]
    pub struct ReplayOutcome {
        /// Highest over mean rank load in each period.
        pub imbalances: Vec<f64>,
        /// Bytes loaded from the weight store.
        pub loaded_bytes: u64,
        /// Maps put in force.
        pub switches: u32,
        /// Time that the ranks held at switches.
        pub stall_time: Duration,
    }
}

impl ReplayOutcome {
    /// Mean skew over all periods.
    pub fn mean_imbalance(&self) -> f64 {
        self.imbalances.iter().sum::<f64>() / self.imbalances.len().max(1) as f64
    }

    /// Skew that this share of the periods does not exceed.
    pub fn imbalance_quantile(&self, share: f64) -> f64 {
        let mut sorted = self.imbalances.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (share * sorted.len() as f64).ceil() as usize;
        sorted.get(index.max(1) - 1).copied().unwrap_or(1.0)
    }
}

/// A map whose weights are being loaded.
struct Loading {
    map: ExpertMap,
    ready: Duration,
}

/// Replays a trace. A new map comes into force when its weights are loaded; until then no other
/// is planned.
pub fn replay(
    trace: &PopularityTrace,
    policy: MapPolicy,
    config: RebalanceConfig,
    start: ExpertMap,
) -> ReplayOutcome {
    let period = Duration::from_secs(trace.period);
    let mut popularity = Popularity::new(trace.shape.experts, PopularityConfig::default());
    let mut rebalancer = Rebalancer::new(config);
    let mut map = start;
    let mut loading: Option<Loading> = None;
    let mut outcome = ReplayOutcome::default();

    for (index, truth) in trace.truth.iter().enumerate() {
        let now = period * (index as u32 + 1);
        let truth: Vec<f64> = truth.iter().map(|count| f64::from(*count)).collect();
        outcome.imbalances.push(map.imbalance(&truth));
        if let Some(report) = trace.reports.get(index).and_then(Option::as_ref) {
            popularity.observe(report);
        }
        if loading.is_none()
            && let Some(predicted) = popularity.predict(now + config.min_interval)
        {
            loading = next_map(policy, &mut rebalancer, now, &map, &predicted).map(|next| {
                let loads = map.experts_to_load(&next);
                outcome.loaded_bytes += config.expert_bytes * u64::from(loads);
                outcome.switches += 1;
                outcome.stall_time += config.stall;
                Loading {
                    map: next,
                    ready: now + config.load_time(loads),
                }
            });
        }
        if let Some(loaded) = loading.take_if(|loading| loading.ready < now + period) {
            map = loaded.map;
        }
    }
    outcome
}

fn next_map(
    policy: MapPolicy,
    rebalancer: &mut Rebalancer,
    now: Duration,
    map: &ExpertMap,
    predicted: &[f64],
) -> Option<ExpertMap> {
    let next = match policy {
        MapPolicy::Static => None,
        MapPolicy::Repack => Some(repack(map, predicted)),
        MapPolicy::Incremental => rebalancer.plan(now, map, predicted).map(|plan| plan.map),
    };
    next.filter(|next| next != map)
}
