//! Looks at a group that stands still: soon after it stops, and rarely while it has no work.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::standstill::Standstill;

const SECOND: Duration = Duration::from_secs(1);

/// Seconds at which a group is looked at that stops after `steps` seconds.
fn looks(steps: u32, seconds: u32) -> Vec<u32> {
    let mut standstill = Standstill::default();
    let look = |second: &u32| standstill.observe(SECOND * *second, *second < steps);
    (0..seconds).filter(look).collect()
}

#[gtest]
fn a_group_that_stops_is_looked_at_soon() {
    expect_that!(looks(10, 20), elements_are![eq(&12), eq(&16)]);
}

#[gtest]
fn a_group_without_work_is_looked_at_rarely() {
    let naive = 3_600;

    let looks = looks(0, 3_600).len();

    println!("{looks} looks in an hour, {naive} by looking each second");
    expect_that!(looks, le(3_600 / 64 + 6));
}

#[gtest]
fn a_group_that_steps_is_never_looked_at() {
    expect_that!(looks(100, 100), is_empty());
}
