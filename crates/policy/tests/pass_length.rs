//! The length of passes, read off their numbers now and then.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::pass_length::PassLengthEstimator;

fn seen(readings: &[(u64, u64)]) -> PassLengthEstimator {
    let mut clock = PassLengthEstimator::default();
    for (ms, pass) in readings {
        clock.observe(Duration::from_millis(*ms), *pass);
    }
    clock
}

#[gtest]
fn no_mean_before_a_pass_begins() {
    expect_that!(seen(&[]).mean(), none());
    expect_that!(seen(&[(0, 7), (100, 7)]).mean(), none());
}

#[gtest]
fn mean_covers_all_observed_passes() {
    let clock = seen(&[(0, 10), (100, 12), (200, 14)]);

    expect_that!(clock.mean(), some(eq(Duration::from_millis(50))));
}

#[gtest]
fn readings_older_than_the_window_are_dropped() {
    let clock = seen(&[(0, 0), (1_000, 10), (1_800, 14), (2_600, 18)]);

    expect_that!(clock.mean(), some(eq(Duration::from_millis(200))));
}

#[gtest]
fn lower_pass_number_resets_the_mean() {
    let clock = seen(&[(0, 500), (100, 502), (200, 1), (300, 3)]);

    expect_that!(clock.mean(), some(eq(Duration::from_millis(50))));
}
