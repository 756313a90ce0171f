//! Repeats of all processes together stay within the declared bound.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::windowed_retry_budget::{WindowedRetryBudget, WindowedRetryConfig};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 88.0;

/// Replays a failure of every attempt at `processes` entries, each with `rate` requests a second for
/// 30 s: the most repeats of all of them in any window, and the bound on them.
fn repeats(processes: usize, rate: u64, believed: usize) -> (usize, f64) {
    let config = WindowedRetryConfig::for_process(WINDOW, RATIO, SLACK, believed);
    let mut budgets = vec![WindowedRetryBudget::default(); processes];
    let mut paid: Vec<Duration> = Vec::new();
    let pause = 1_000 / rate;
    for number in 0..30 * rate {
        let now = Duration::from_millis(number * pause);
        for budget in &mut budgets {
            budget.record_request(&config, now);
            if budget.try_retry(&config, now) {
                paid.push(now);
            }
        }
    }
    let in_window = |end: &Duration| {
        paid.iter()
            .filter(|it| **it <= *end && **it + WINDOW > *end)
            .count()
    };
    let most = paid.iter().map(in_window).max().unwrap_or_default();
    let requests = processes as f64 * rate as f64 * WINDOW.as_secs_f64();
    (most, requests * RATIO + SLACK)
}

#[gtest]
fn repeats_stay_within_the_bound_while_every_attempt_fails() {
    for (processes, rate) in [(1, 10), (6, 15), (9, 10), (33, 10)] {
        let (most, bound) = repeats(processes, rate, processes);

        expect_that!(most as f64, le(bound), "{processes} processes at {rate}/s");
        expect_that!(most, gt(0));
    }
}

#[gtest]
fn repeats_stay_within_the_bound_while_a_third_of_the_processes_is_not_heard() {
    let (most, bound) = repeats(9, 10, 6);

    expect_that!(most as f64, le(bound));
}

#[gtest]
fn the_budget_comes_back_when_the_window_has_passed() {
    let config = WindowedRetryConfig::for_process(WINDOW, RATIO, 10.0, 1);
    let mut budget = WindowedRetryBudget::default();
    let spend = |budget: &mut WindowedRetryBudget, now| {
        (0..100).filter(|_| budget.try_retry(&config, now)).count()
    };

    let first = spend(&mut budget, Duration::ZERO);
    let none = spend(&mut budget, Duration::from_secs(9));
    let again = spend(&mut budget, Duration::from_millis(10_001));

    expect_that!(first, eq(7));
    expect_that!(none, eq(0));
    expect_that!(again, eq(7));
}
