//! Detection of group outages, their predicted length, and the decision for requests meanwhile.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::outage::{Outage, OutageAction, OutageConfig, OutageForecast, decide_during_outage};

const STREAMS: u32 = 20;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the state of a group whose streams had events until a time.
fn working_until(ms: u64) -> Outage {
    let mut outage = Outage::default();
    outage.record_event(at(ms));
    outage
}

fn is_down(outage: &mut Outage, ms: u64, streams: u32) -> bool {
    outage.is_down(&OutageConfig::default(), at(ms), streams)
}

fn forecast(outage: &Outage, ms: u64) -> OutageForecast {
    outage.forecast(&OutageConfig::default(), at(ms))
}

#[gtest]
fn group_is_down_after_the_stall_timeout_without_events() {
    let mut outage = working_until(1_000);

    expect_that!(is_down(&mut outage, 1_300, STREAMS), eq(false));
    expect_that!(is_down(&mut outage, 1_400, STREAMS), eq(true));
    outage.record_event(at(1_500));
    expect_that!(is_down(&mut outage, 1_510, STREAMS), eq(false));
}

#[gtest]
fn few_streams_without_events_are_not_an_outage() {
    let mut outage = working_until(1_000);

    expect_that!(is_down(&mut outage, 5_000, 3), eq(false));
}

#[gtest]
fn agent_report_of_an_outage_expires_and_is_cleared_by_an_event() {
    let mut reported_down = working_until(1_000);
    reported_down.record_agent_report(at(1_100), false);
    let mut cleared = reported_down.clone();
    cleared.record_event(at(1_150));

    expect_that!(is_down(&mut reported_down, 1_200, 0), eq(true));
    expect_that!(is_down(&mut reported_down, 2_400, 0), eq(false));
    expect_that!(is_down(&mut cleared, 1_200, 0), eq(false));
}

#[gtest]
fn refusal_means_down_unless_an_agent_has_reported_since_that_the_group_works() {
    let mut refused = working_until(1_000);
    refused.record_refusal(at(1_100));
    let mut contradicted = working_until(1_000);
    contradicted.record_agent_report(at(1_050), true);
    contradicted.record_refusal(at(1_100));

    expect_that!(is_down(&mut refused, 1_200, 0), eq(true));
    expect_that!(is_down(&mut refused, 1_400, 0), eq(false));
    expect_that!(is_down(&mut contradicted, 1_200, 0), eq(false));
}

#[gtest]
fn expected_length_is_the_mean_of_past_outages() {
    let config = OutageConfig::default();
    let mut outage = working_until(1_000);
    is_down(&mut outage, 2_000, STREAMS);
    let first = forecast(&outage, 2_500);
    outage.record_event(at(4_000));
    is_down(&mut outage, 10_000, STREAMS);

    let second = forecast(&outage, 10_500);

    expect_that!(first.age, eq(at(500)));
    expect_that!(first.remaining, eq(config.default_length - at(500)));
    expect_that!(second.remaining, eq(at(1_500)));
    expect_that!(
        forecast(&outage, 20_000).remaining,
        eq(config.min_remaining)
    );
}

#[gtest]
fn short_pause_does_not_change_the_expected_length() {
    let mut outage = working_until(1_000);
    is_down(&mut outage, 1_500, STREAMS);
    outage.record_event(at(1_900));
    is_down(&mut outage, 10_000, STREAMS);

    expect_that!(
        forecast(&outage, 10_000).remaining,
        eq(OutageConfig::default().default_length)
    );
}

#[gtest]
fn retries_wait_in_an_outage_old_enough_to_end_and_others_are_rejected() {
    let young = OutageForecast {
        age: at(100),
        remaining: at(1_200),
    };
    let ripe = OutageForecast {
        age: at(900),
        remaining: at(1_200),
    };
    let long = OutageForecast {
        age: at(900),
        remaining: at(9_000),
    };
    let left = at(6_000);

    expect_that!(
        decide_during_outage(ripe, left, false),
        eq(OutageAction::Reject(at(1_200)))
    );
    expect_that!(
        decide_during_outage(long, left, false),
        eq(OutageAction::Reject(at(2_000)))
    );
    expect_that!(
        decide_during_outage(young, left, true),
        eq(OutageAction::Reject(at(1_200)))
    );
    expect_that!(
        decide_during_outage(ripe, left, true),
        eq(OutageAction::Wait(at(1_700)))
    );
    expect_that!(
        decide_during_outage(ripe, at(800), true),
        eq(OutageAction::Wait(at(800)))
    );
}

#[gtest]
fn group_with_long_passes_is_not_down() {
    // Recorded: one rank of 63 is twelve times slower, so that passes take 430 ms.
    let passes = [430, 425, 440, 431, 428, 436];
    let mut outage = working_until(1_000);
    let mut now = 1_000;
    let mut reported_down = Vec::new();
    for pass in passes {
        for part in 1..=4 {
            reported_down.push(is_down(&mut outage, now + pass * part / 4 - 1, STREAMS));
        }
        now += pass;
        for stream in 0..5 {
            outage.record_event(at(now + stream));
        }
        now += 4;
    }

    // The first two long passes can't be distinguished from an outage.
    expect_that!(reported_down[8..], each(eq(&false)));
    expect_that!(is_down(&mut outage, now + 800, STREAMS), eq(false));
    expect_that!(is_down(&mut outage, now + 950, STREAMS), eq(true));
}

#[gtest]
fn single_long_pause_does_not_raise_the_stall_timeout() {
    let mut outage = working_until(1_000);
    for ms in [1_060, 1_120, 1_620, 1_680, 1_740] {
        outage.record_event(at(ms));
    }

    expect_that!(is_down(&mut outage, 2_100, STREAMS), eq(true));
}
