//! Simulates a rebalancing policy on a trace of expert popularity.

use std::time::Duration;

use jj_utils::common_derives;

use crate::{
    expert_map::{ExpertMap, GroupShape},
    popularity::{ExpertCounts, Popularity, PopularityConfig},
    rebalance::{RebalanceConfig, Rebalancer, repack},
};

common_derives! {wire:
    /// Popularity over time: the true counts, and the reports that the group received.
    pub struct PopularityTrace {
        /// Name of the trace.
        pub name: String,
        /// Seed of the generator.
        pub seed: u64,
        /// Dimensions of the group.
        pub shape: GroupShape,
        /// Length of one period, in seconds.
        pub period: u64,
        /// Tokens routed to each expert in each period.
        pub truth: Vec<Vec<u32>>,
        /// Report received at the end of each period; may be missing or cover an earlier period.
        pub reports: Vec<Option<ExpertCounts>>,
    }
}

common_derives! {copy:
    /// Rebalancing policy.
    pub enum MapPolicy {
        /// Never changes the map.
        Static,
        /// Repacks the map in every period.
        Repack,
        /// Switches to the plans of [`Rebalancer`].
        Incremental,
    }
}

common_derives! {value:
    /// Result of a replay.
    #[derive(Default)]
    pub struct ReplayOutcome {
        /// Highest rank load divided by the mean rank load, for each period.
        pub imbalances: Vec<f64>,
        /// Bytes loaded from the weight store.
        pub loaded_bytes: u64,
        /// Number of map switches.
        pub switches: u32,
        /// Total time for which the ranks held at switches.
        pub stall_time: Duration,
    }
}

impl ReplayOutcome {
    /// Returns the mean imbalance over all periods.
    pub fn mean_imbalance(&self) -> f64 {
        self.imbalances.iter().sum::<f64>() / self.imbalances.len().max(1) as f64
    }

    /// Returns the imbalance that this fraction of the periods does not exceed.
    pub fn imbalance_quantile(&self, fraction: f64) -> f64 {
        let mut sorted = self.imbalances.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (fraction * sorted.len() as f64).ceil() as usize;
        sorted.get(index.max(1) - 1).copied().unwrap_or(1.0)
    }
}

/// Map whose weights are being loaded.
struct Loading {
    map: ExpertMap,
    /// Time at which all weights are loaded.
    ready_at: Duration,
}

/// Replays a trace from the map `start`. A new map comes into force once its weights are loaded; no
/// other map is planned until then.
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
            popularity.record_counts(report);
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
                    ready_at: now + config.load_time(loads),
                }
            });
        }
        if let Some(loaded) = loading.take_if(|loading| loading.ready_at < now + period) {
            map = loaded.map;
        }
    }
    outcome
}

/// Returns the map that the policy switches to now, if it differs from the map in force.
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
