//! The aims of routing and of a failure domain's leaving, on the queue model.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jujube_lab::experiments::{
    domain::{failures, overload_attempts, seconds_to_goodput},
    queueing::router::Method,
    routing::{flood_ratios, missed, small_missed},
};

const SEED: u64 = 1;

#[gtest]
fn the_policy_misses_fewer_deadlines_than_every_baseline_on_every_trace() {
    let mut by_trace: BTreeMap<&str, Vec<(Method, f64)>> = BTreeMap::new();
    for missed in missed(SEED) {
        let row = by_trace.entry(missed.trace).or_default();
        row.push((missed.method, missed.percent));
    }

    for (trace, row) in by_trace {
        let (policy, baselines): (Vec<_>, Vec<_>) = row
            .into_iter()
            .partition(|(method, _)| *method == Method::Policy);
        for (method, percent) in baselines {
            expect_that!(policy[0].1, lt(percent), "{trace}: {method:?}");
        }
    }
}

#[gtest]
fn a_flood_leaves_small_accounts_their_latency() {
    for ratio in flood_ratios(SEED) {
        expect_that!(ratio, le(1.5));
    }
}

#[gtest]
fn a_failure_domain_leaves_and_returns_without_harm() {
    for failures in failures(SEED) {
        let name = &failures.name;
        if name.ends_with("announced") {
            expect_that!(failures.all, eq(0), "{name}");
        }
        expect_that!(failures.after_detection, eq(0), "{name}");
        expect_that!(failures.strain, le(1.0), "{name}");
        expect_that!(failures.attempts, le(1.1), "{name}");
    }
}

#[gtest]
fn retries_stay_bounded_with_half_the_servers_gone() {
    for attempts in overload_attempts(SEED) {
        expect_that!(attempts, le(1.1));
    }
}

#[gtest]
fn goodput_is_back_within_seconds_of_the_servers_warmth() {
    for seconds in seconds_to_goodput(SEED) {
        expect_that!(seconds, some(le(3)));
    }
}

#[gtest]
fn the_fair_queue_halves_what_small_accounts_miss_where_servers_are_short() {
    for missed in small_missed(SEED) {
        expect_that!(missed.fair, le(missed.single / 2.0), "{missed:?}");
    }
}
