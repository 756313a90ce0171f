//! The mean length of passes, from readings of their numbers.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::pass_length::PassLengthEstimator;

fn observe_all(readings: &[(u64, u64)]) -> PassLengthEstimator {
    let mut estimator = PassLengthEstimator::default();
    for (ms, pass) in readings {
        estimator.observe(Duration::from_millis(*ms), *pass);
    }
    estimator
}

#[gtest]
fn no_mean_before_a_pass_begins() {
    expect_that!(observe_all(&[]).mean(), none());
    expect_that!(observe_all(&[(0, 7), (100, 7)]).mean(), none());
}

#[gtest]
fn mean_covers_all_observed_passes() {
    let estimator = observe_all(&[(0, 10), (100, 12), (200, 14)]);

    expect_that!(estimator.mean(), some(eq(Duration::from_millis(50))));
}

#[gtest]
fn readings_older_than_the_window_are_dropped() {
    let estimator = observe_all(&[(0, 0), (1_000, 10), (1_800, 14), (2_600, 18)]);

    expect_that!(estimator.mean(), some(eq(Duration::from_millis(200))));
}

#[gtest]
fn lower_pass_number_resets_the_mean() {
    let estimator = observe_all(&[(0, 500), (100, 502), (200, 1), (300, 3)]);

    expect_that!(estimator.mean(), some(eq(Duration::from_millis(50))));
}
