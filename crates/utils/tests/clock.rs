//! System clock.

use googletest::prelude::*;
use jj_utils::clock::{Clock, SystemClock};

#[gtest]
fn system_clock_starts_near_zero_and_is_monotonic() {
    let clock = SystemClock::new();

    let times: Vec<_> = (0..1_000).map(|_| clock.now()).collect();

    expect_that!(times.is_sorted(), eq(true));
    expect_that!(times[0].as_secs(), lt(60));
}
