//! Which requests come back, while callers wait for different times.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::caller_retries::{CallerRetryConfig, CallerRetryDetector};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Longest time that callers wait, and the least part of it.
const LONGEST: Duration = Duration::from_secs(8);
const LEAST_PART: f64 = 0.85;

/// Longest part of the time left after which a rejected caller comes back.
const RETURN_PART: f64 = 1.0 / 3.0;

fn first(draws: &mut Pcg64Mcg) -> Duration {
    LONGEST.mul_f64(draws.random_range(LEAST_PART..1.0))
}

#[gtest]
fn first_requests_are_not_taken_for_returned_ones_though_their_callers_wait_for_different_times() {
    let mut draws = Pcg64Mcg::seed_from_u64(1);
    let config = CallerRetryConfig::default();
    let mut it = CallerRetryDetector::default();

    let mut wrong = 0;
    for request in 0..2_000_u64 {
        let left = first(&mut draws);
        let now = Duration::from_millis(request * 20);
        wrong += u32::from(it.observe(&config, now, None, left));
    }

    expect_that!(wrong, le(60));
}

#[gtest]
fn callers_who_were_sent_away_for_long_are_known_when_they_return() {
    let mut draws = Pcg64Mcg::seed_from_u64(2);
    let config = CallerRetryConfig::default();
    let mut it = CallerRetryDetector::default();
    for request in 0..500_u64 {
        let left = first(&mut draws);
        it.observe(&config, Duration::from_millis(request * 20), None, left);
    }
    let rejected = Duration::from_secs(10);

    let (mut known, mut wrong) = (0, 0);
    for request in 0..500_u64 {
        let now = rejected + Duration::from_millis(request * 20);
        let left = first(&mut draws);
        wrong += u32::from(it.observe(&config, now, Some(now), left));
        let back = left.mul_f64(1.0 - RETURN_PART);
        known += u32::from(it.observe(&config, now, Some(now), back));
    }

    expect_that!(known, eq(500));
    expect_that!(wrong, le(25));
}

#[gtest]
fn callers_who_wait_for_ever_longer_are_learned_anew() {
    let config = CallerRetryConfig::default();
    let mut it = CallerRetryDetector::default();
    for request in 0..200_u64 {
        let now = Duration::from_millis(request * 20);
        it.observe(&config, now, None, Duration::from_secs(4));
    }

    let mut wrong = 0;
    for request in 0..200_u64 {
        let now = Duration::from_secs(5) + Duration::from_millis(request * 20);
        wrong += u32::from(it.observe(&config, now, None, Duration::from_secs(8)));
    }

    expect_that!(wrong, eq(0));
}
