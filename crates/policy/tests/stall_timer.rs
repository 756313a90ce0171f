//! Looks at a group that stands still: soon after it stops, and rarely while it has no work.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::stall_timer::StallTimer;

const SECOND: Duration = Duration::from_secs(1);

/// Seconds at which a group is looked at that stops after `steps` seconds.
fn looks(steps: u32, seconds: u32) -> Vec<u32> {
    let mut standstill = StallTimer::default();
    let look = |second: &u32| standstill.update(SECOND * *second, *second < steps);
    (0..seconds).filter(look).collect()
}

#[gtest]
fn stalled_group_is_checked_after_2_and_6_seconds() {
    expect_that!(looks(10, 20), elements_are![eq(&12), eq(&16)]);
}

#[gtest]
fn idle_group_is_checked_at_most_every_64_seconds() {
    let naive = 3_600;

    let looks = looks(0, 3_600).len();

    println!("{looks} looks in an hour, {naive} by looking each second");
    expect_that!(looks, le(3_600 / 64 + 6));
}

#[gtest]
fn running_group_is_never_checked() {
    expect_that!(looks(100, 100), is_empty());
}
