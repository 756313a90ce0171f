//! The length of passes, read off their numbers now and then.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::pass_clock::PassClock;

fn seen(readings: &[(u64, u64)]) -> PassClock {
    let mut clock = PassClock::default();
    for (ms, pass) in readings {
        clock.observe(Duration::from_millis(*ms), *pass);
    }
    clock
}

#[gtest]
fn nothing_is_known_before_a_pass_was_seen_to_begin() {
    expect_that!(seen(&[]).length(), none());
    expect_that!(seen(&[(0, 7), (100, 7)]).length(), none());
}

#[gtest]
fn the_length_is_the_mean_over_the_passes_seen() {
    let clock = seen(&[(0, 10), (100, 12), (200, 14)]);

    expect_that!(clock.length(), some(eq(Duration::from_millis(50))));
}

#[gtest]
fn old_readings_are_left_out_once_newer_ones_span_long_enough() {
    let clock = seen(&[(0, 0), (1_000, 10), (1_800, 14), (2_600, 18)]);

    expect_that!(clock.length(), some(eq(Duration::from_millis(200))));
}

#[gtest]
fn a_group_that_formed_anew_is_measured_anew() {
    let clock = seen(&[(0, 500), (100, 502), (200, 1), (300, 3)]);

    expect_that!(clock.length(), some(eq(Duration::from_millis(50))));
}
