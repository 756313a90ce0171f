//! Rebalancing on recorded traces, and the rules for plans and popularity estimates.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    expert_map::{ExpertMap, GroupShape},
    popularity::{ExpertCounts, Popularity, PopularityConfig},
    rebalance::{RebalanceConfig, Rebalancer, repack},
    rebalance_replay::{MapPolicy, PopularityTrace, ReplayOutcome, replay},
};

const SHAPE: GroupShape = GroupShape {
    ranks: 4,
    experts: 8,
    slots: 3,
};

fn recorded(text: &str) -> PopularityTrace {
    serde_json::from_str(text).unwrap()
}

fn shares(counts: &[u32]) -> Vec<f64> {
    counts.iter().map(|count| f64::from(*count)).collect()
}

fn run(trace: &PopularityTrace, policy: MapPolicy) -> ReplayOutcome {
    let start = repack(&ExpertMap::uniform(trace.shape), &shares(&trace.truth[0]));
    replay(trace, policy, RebalanceConfig::default(), start)
}

/// Checks the bounds for a trace: a p99 imbalance of at most 1.10, even if that of the static map
/// is higher, and less than a quarter of the bytes that a repack in every period loads.
fn expect_bounds(text: &str) {
    let trace = recorded(text);

    let [fixed, repacked, improved] =
        [MapPolicy::Static, MapPolicy::Repack, MapPolicy::Incremental].map(|it| run(&trace, it));

    let p99 = improved.imbalance_quantile(0.99);
    println!(
        "{}: p99 static {:.3}, repack {:.3}, incremental {p99:.3}; bytes {} of {}",
        trace.name,
        fixed.imbalance_quantile(0.99),
        repacked.imbalance_quantile(0.99),
        improved.loaded_bytes,
        repacked.loaded_bytes
    );
    expect_that!(p99, le(1.10));
    expect_that!(p99, le(fixed.imbalance_quantile(0.99).max(1.10)));
    expect_that!(improved.loaded_bytes * 4, lt(repacked.loaded_bytes));
    expect_that!(run(&trace, MapPolicy::Incremental), eq(&improved));
}

#[gtest]
fn imbalance_and_bytes_stay_in_bounds_with_slow_drift() {
    expect_bounds(include_str!("traces/popularity_slow.json"));
}

#[gtest]
fn imbalance_and_bytes_stay_in_bounds_with_fall_after_a_surge() {
    expect_bounds(include_str!("traces/popularity_surge.json"));
}

#[gtest]
fn imbalance_and_bytes_stay_in_bounds_with_moving_hot_set() {
    expect_bounds(include_str!("traces/popularity_hot_set.json"));
}

#[gtest]
fn imbalance_and_bytes_stay_in_bounds_with_lagging_and_missing_counts() {
    expect_bounds(include_str!("traces/popularity_gaps.json"));
}

/// Returns a popularity in which one expert has most of the tokens; it starts with replicas on two
/// ranks only.
fn skewed_popularity() -> Vec<f64> {
    vec![8.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]
}

#[gtest]
fn plan_lowers_the_imbalance_and_keeps_every_expert() {
    let map = ExpertMap::uniform(SHAPE);
    let mut rebalancer = Rebalancer::new(RebalanceConfig::default());

    let plan = rebalancer
        .plan(Duration::ZERO, &map, &skewed_popularity())
        .unwrap();

    expect_that!(plan.imbalance_after, lt(plan.imbalance_before));
    expect_that!(
        plan.map.imbalance(&skewed_popularity()),
        approx_eq(plan.imbalance_after)
    );
    expect_that!(plan.map.replicas(), each(ge(&1)));
    expect_that!(plan.experts_to_load, eq(map.experts_to_load(&plan.map)));
}

#[gtest]
fn no_plan_when_loading_costs_more_than_it_saves() {
    let slow_store = RebalanceConfig {
        store_bytes_per_second: 1e6,
        ..RebalanceConfig::default()
    };
    let mut rebalancer = Rebalancer::new(slow_store);

    let plan = rebalancer.plan(
        Duration::ZERO,
        &ExpertMap::uniform(SHAPE),
        &skewed_popularity(),
    );

    expect_that!(plan, none());
}

#[gtest]
fn second_plan_waits_for_the_minimum_interval() {
    let config = RebalanceConfig::default();
    let map = ExpertMap::uniform(SHAPE);
    let mut rebalancer = Rebalancer::new(config);

    let first = rebalancer.plan(Duration::ZERO, &map, &skewed_popularity());
    let early = rebalancer.plan(config.min_interval / 2, &map, &skewed_popularity());
    let later = rebalancer.plan(config.min_interval, &map, &skewed_popularity());

    expect_that!(first, some(anything()));
    expect_that!(early, none());
    expect_that!(later, some(anything()));
}

#[gtest]
fn missing_count_keeps_the_last_estimate() {
    let mut popularity = Popularity::new(2, PopularityConfig::default());
    let report = |seconds, counts| ExpertCounts {
        until: Duration::from_secs(seconds),
        counts,
    };
    popularity.record_counts(&report(5, vec![Some(30), Some(10)]));

    popularity.record_counts(&report(10, vec![Some(70), None]));
    popularity.record_counts(&report(4, vec![Some(0), Some(50)]));

    let predicted = popularity.predict(Duration::from_secs(10)).unwrap();
    expect_that!(predicted[0], approx_eq(0.75));
}

/// Guards against an estimate that diverges from drifting shares when the experts' counts are
/// missing in turn.
#[gtest]
fn estimate_follows_drifting_shares_when_counts_are_missing() {
    let mut popularity = Popularity::new(8, PopularityConfig::default());
    let truth = |number: u64, expert: u64| {
        let phase = (number + 37 * expert) % 200;
        100 + phase.min(200 - phase) as u32
    };
    let mut worst_error = 0.0_f64;

    for number in 1..4000_u64 {
        let missing = number * number % 11;
        let counted = |expert| (expert != missing).then_some(truth(number, expert));
        popularity.record_counts(&ExpertCounts {
            until: Duration::from_secs(number * 5),
            counts: (0..8).map(counted).collect(),
        });
        let total: u32 = (0..8).map(|expert| truth(number, expert)).sum();
        let predicted = popularity.predict(Duration::from_secs(number * 5));
        for (expert, share) in predicted.unwrap_or_default().into_iter().enumerate() {
            let share_now = f64::from(truth(number, expert as u64)) / f64::from(total);
            worst_error = worst_error.max((share / share_now - 1.0).abs());
        }
    }

    expect_that!(worst_error, lt(0.2));
}
