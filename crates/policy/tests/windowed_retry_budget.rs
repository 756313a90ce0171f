//! Retries of all processes together stay within the declared limit.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::windowed_retry_budget::{WindowedRetryBudget, WindowedRetryConfig};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 88.0;

/// Replays a failure of every attempt at `processes` entries, each with `rate` requests per second
/// for 30 s. Returns the maximum number of retries of all of them in any window, and the limit on
/// them.
fn max_retries_in_window(processes: usize, rate: u64, known_processes: usize) -> (usize, f64) {
    let config = WindowedRetryConfig::for_process(WINDOW, RATIO, SLACK, known_processes);
    let mut budgets = vec![WindowedRetryBudget::default(); processes];
    let mut retries: Vec<Duration> = Vec::new();
    let pause = 1_000 / rate;
    for number in 0..30 * rate {
        let now = Duration::from_millis(number * pause);
        for budget in &mut budgets {
            budget.record_request(&config, now);
            if budget.try_retry(&config, now) {
                retries.push(now);
            }
        }
    }
    let in_window = |end: &Duration| {
        retries
            .iter()
            .filter(|it| **it <= *end && **it + WINDOW > *end)
            .count()
    };
    let max_retries = retries.iter().map(in_window).max().unwrap_or_default();
    let requests = processes as f64 * rate as f64 * WINDOW.as_secs_f64();
    (max_retries, requests * RATIO + SLACK)
}

#[gtest]
fn retries_stay_within_the_limit_while_every_attempt_fails() {
    for (processes, rate) in [(1, 10), (6, 15), (9, 10), (33, 10)] {
        let (max_retries, limit) = max_retries_in_window(processes, rate, processes);

        expect_that!(
            max_retries as f64,
            le(limit),
            "{processes} processes at {rate}/s"
        );
        expect_that!(max_retries, gt(0));
    }
}

#[gtest]
fn retries_stay_within_the_limit_while_a_third_of_the_processes_is_not_known() {
    let (max_retries, limit) = max_retries_in_window(9, 10, 6);

    expect_that!(max_retries as f64, le(limit));
}

#[gtest]
fn budget_is_restored_after_the_window() {
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
