//! Detection of caller retries while callers have different time limits.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::caller_retries::{CallerRetryConfig, CallerRetryDetector};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Maximum time limit of callers, and the minimum as a part of it.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(8);
const MIN_TIME_LIMIT_PART: f64 = 0.85;

/// Maximum part of the time left after which a rejected caller retries.
const RETRY_AFTER_PART: f64 = 1.0 / 3.0;

fn first_request(draws: &mut Pcg64Mcg) -> Duration {
    MAX_TIME_LIMIT.mul_f64(draws.random_range(MIN_TIME_LIMIT_PART..1.0))
}

#[gtest]
fn first_requests_with_different_time_limits_are_rarely_taken_for_retries() {
    let mut draws = Pcg64Mcg::seed_from_u64(1);
    let config = CallerRetryConfig::default();
    let mut detector = CallerRetryDetector::default();

    let mut false_positives = 0;
    for request in 0..2_000_u64 {
        let left = first_request(&mut draws);
        let now = Duration::from_millis(request * 20);
        false_positives += u32::from(detector.observe(&config, now, None, left));
    }

    expect_that!(false_positives, le(60));
}

#[gtest]
fn retries_after_a_long_delay_are_detected() {
    let mut draws = Pcg64Mcg::seed_from_u64(2);
    let config = CallerRetryConfig::default();
    let mut detector = CallerRetryDetector::default();
    for request in 0..500_u64 {
        let left = first_request(&mut draws);
        detector.observe(&config, Duration::from_millis(request * 20), None, left);
    }
    let rejected = Duration::from_secs(10);

    let (mut detected, mut false_positives) = (0, 0);
    for request in 0..500_u64 {
        let now = rejected + Duration::from_millis(request * 20);
        let left = first_request(&mut draws);
        false_positives += u32::from(detector.observe(&config, now, Some(now), left));
        let retry_left = left.mul_f64(1.0 - RETRY_AFTER_PART);
        detected += u32::from(detector.observe(&config, now, Some(now), retry_left));
    }

    expect_that!(detected, eq(500));
    expect_that!(false_positives, le(25));
}

#[gtest]
fn longer_time_limits_reset_the_samples() {
    let config = CallerRetryConfig::default();
    let mut detector = CallerRetryDetector::default();
    for request in 0..200_u64 {
        let now = Duration::from_millis(request * 20);
        detector.observe(&config, now, None, Duration::from_secs(4));
    }

    let mut false_positives = 0;
    for request in 0..200_u64 {
        let now = Duration::from_secs(5) + Duration::from_millis(request * 20);
        false_positives += u32::from(detector.observe(&config, now, None, Duration::from_secs(8)));
    }

    expect_that!(false_positives, eq(0));
}
