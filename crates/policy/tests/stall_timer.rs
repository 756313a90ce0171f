//! Checks of a stalled group: soon after it stops, and rarely while it has no work.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::stall_timer::StallTimer;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the seconds at which a group that stops after `steps` seconds is checked.
fn check_seconds(steps: u32, seconds: u32) -> Vec<u32> {
    let mut timer = StallTimer::default();
    let is_check_due = |second: &u32| timer.update(SECOND * *second, *second < steps);
    (0..seconds).filter(is_check_due).collect()
}

#[gtest]
fn stalled_group_is_checked_after_2_and_6_seconds() {
    expect_that!(check_seconds(10, 20), elements_are![eq(&12), eq(&16)]);
}

#[gtest]
fn idle_group_is_checked_at_most_62_times_an_hour() {
    let naive = 3_600;

    let checks = check_seconds(0, 3_600).len();

    println!("{checks} checks in an hour, {naive} with one per second");
    expect_that!(checks, le(3_600 / 64 + 6));
}

#[gtest]
fn running_group_is_never_checked() {
    expect_that!(check_seconds(100, 100), is_empty());
}
