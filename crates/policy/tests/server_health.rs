//! Servers that fail a part of their requests are kept away from, and tried again.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::server_health::{HealthConfig, ServerHealth, Sign};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn a_few_failures_among_good_answers_change_nothing() {
    let config = HealthConfig::default();
    let mut health = ServerHealth::default();

    for number in 0..200 {
        let sign = if number % 7 == 0 {
            Sign::Failed
        } else {
            Sign::Good
        };
        health.observe(&config, at(number * 50), sign);
        expect_that!(health.is_avoided(at(number * 50)), eq(false));
    }
}

#[gtest]
fn a_refusal_or_an_unreachable_server_is_avoided_at_once_and_tried_again() {
    let config = HealthConfig::default();

    for sign in [Sign::Refused, Sign::Unreachable] {
        let mut health = ServerHealth::default();
        health.observe(&config, at(0), sign);
        expect_that!(health.is_avoided(at(10)), eq(true));
        expect_that!(health.is_avoided(config.pause), eq(false));
    }
}

#[gtest]
fn the_pause_doubles_while_a_server_goes_on_failing_and_ends_with_its_recovery() {
    let config = HealthConfig::default();
    let mut health = ServerHealth::default();
    let mut now = Duration::ZERO;
    let mut pauses = Vec::new();

    for _ in 0..5 {
        health.observe(&config, now, Sign::Unreachable);
        let begun = now;
        while health.is_avoided(now) {
            now += at(50);
        }
        pauses.push(now - begun);
    }
    for _ in 0..20 {
        health.observe(&config, now, Sign::Good);
    }
    health.observe(&config, now, Sign::Unreachable);

    expect_that!(
        pauses,
        elements_are![
            eq(&at(400)),
            eq(&at(800)),
            eq(&at(1_600)),
            eq(&config.longest),
            eq(&config.longest)
        ]
    );
    expect_that!(health.is_avoided(now + config.pause), eq(false));
}

/// Replays a server that fails 0.45 of its requests, for some seconds, beside two sound ones that
/// take turns with it; counts the requests that it gets.
fn sent_to_the_grey_server(judge: bool) -> (u32, u32) {
    let config = HealthConfig::default();
    let mut random = Pcg64Mcg::seed_from_u64(20261204);
    let mut health = ServerHealth::default();
    let (mut sent, mut failed) = (0, 0);
    for number in 0..300_u64 {
        let now = at(number * 20);
        let is_its_turn = number % 3 == 0;
        if !is_its_turn || (judge && health.is_avoided(now)) {
            continue;
        }
        let fails = random.random_bool(0.45);
        sent += 1;
        failed += u32::from(fails);
        health.observe(&config, now, if fails { Sign::Failed } else { Sign::Good });
    }
    (sent, failed)
}

#[gtest]
fn a_grey_server_gets_a_third_of_the_requests_that_it_gets_without_judgement() {
    let (all, all_failed) = sent_to_the_grey_server(false);
    let (sent, failed) = sent_to_the_grey_server(true);

    expect_that!(sent * 3, lt(all));
    expect_that!(failed * 2, lt(all_failed));
}
