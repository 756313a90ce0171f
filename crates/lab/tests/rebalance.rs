//! Rebalancing on seeded traces: skew and bytes within the target, and where the recorded traces of
//! the policy package come from.

use std::path::PathBuf;

use googletest::prelude::*;
use jj_policy::{expert_map::GroupShape, rebalance_replay::MapPolicy};
use jujube_lab::experiments::{
    popularity_traces::{Drift, generate, window},
    rebalance::{self, PERIODS, SHAPES, outcome},
};

/// Highest p99 of the highest-over-mean rank load.
const SKEW_TARGET: f64 = 1.10;

/// Highest share of the bytes that a full repack in each period moves.
const BYTES_TARGET: f64 = 0.25;

fn expect_target(shape: GroupShape, seed: u64) {
    for drift in Drift::ALL {
        let trace = generate(drift, shape, PERIODS, seed);

        let repacked = outcome(&trace, MapPolicy::Repack);
        let improved = outcome(&trace, MapPolicy::Incremental);

        let p99 = improved.imbalance_quantile(0.99);
        let share = improved.loaded_bytes as f64 / repacked.loaded_bytes as f64;
        println!(
            "{shape:?} {} seed {seed}: p99 {p99:.3}, bytes {share:.3}",
            trace.name
        );
        expect_that!(p99, le(SKEW_TARGET));
        expect_that!(share, lt(BYTES_TARGET));
    }
}

#[gtest]
fn eight_ranks_meet_the_target() {
    (1..=5).for_each(|seed| expect_target(SHAPES[0], seed));
}

#[gtest]
fn sixteen_ranks_meet_the_target() {
    (1..=5).for_each(|seed| expect_target(SHAPES[1], seed));
}

#[gtest]
fn sixty_four_ranks_meet_the_target() {
    (1..=5).for_each(|seed| expect_target(SHAPES[2], seed));
}

#[gtest]
fn plot_is_an_svg() {
    expect_that!(rebalance::plot(1), starts_with("<svg"));
}

/// Set `JUJUBE_RECORD_TRACES` to write the files anew.
#[gtest]
fn recorded_traces_come_from_the_generator() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../policy/tests/traces");
    for (drift, from, file) in [
        (Drift::Slow, 0, "popularity_slow.json"),
        (Drift::Surge, 510, "popularity_surge.json"),
        (Drift::HotSet, 200, "popularity_hot_set.json"),
        (Drift::Gaps, 0, "popularity_gaps.json"),
    ] {
        let trace = window(&generate(drift, SHAPES[0], PERIODS, 11), from, 64);
        let text = serde_json::to_string(&trace).unwrap();
        let path = directory.join(file);
        if std::env::var_os("JUJUBE_RECORD_TRACES").is_some() {
            std::fs::write(&path, &text).unwrap();
        }

        let recorded = std::fs::read_to_string(&path).unwrap();

        expect_that!(recorded == text, eq(true), "{file}");
    }
}
