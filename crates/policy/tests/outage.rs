//! Whether a group that stands still is known to, and what its callers are told.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::outage::{Outage, OutageAction, OutageConfig, OutageForecast, decide_during_outage};

const STREAMS: u32 = 20;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A group whose streams have had events up to a moment.
fn working_until(ms: u64) -> Outage {
    let mut outage = Outage::default();
    outage.record_event(at(ms));
    outage
}

fn is_out(outage: &mut Outage, ms: u64, streams: u32) -> bool {
    outage.is_down(&OutageConfig::default(), at(ms), streams)
}

fn outlook(outage: &Outage, ms: u64) -> OutageForecast {
    outage.forecast(&OutageConfig::default(), at(ms))
}

#[gtest]
fn a_group_is_out_once_no_stream_has_had_an_event_for_a_while() {
    let mut outage = working_until(1_000);

    expect_that!(is_out(&mut outage, 1_300, STREAMS), eq(false));
    expect_that!(is_out(&mut outage, 1_400, STREAMS), eq(true));
    outage.record_event(at(1_500));
    expect_that!(is_out(&mut outage, 1_510, STREAMS), eq(false));
}

#[gtest]
fn silence_of_a_few_streams_says_nothing() {
    let mut outage = working_until(1_000);

    expect_that!(is_out(&mut outage, 5_000, 3), eq(false));
}

#[gtest]
fn the_word_of_an_agent_counts_for_a_while_and_an_event_refutes_it() {
    let mut said = working_until(1_000);
    said.record_agent_report(at(1_100), false);
    let mut refuted = said.clone();
    refuted.record_event(at(1_150));

    expect_that!(is_out(&mut said, 1_200, 0), eq(true));
    expect_that!(is_out(&mut said, 2_400, 0), eq(false));
    expect_that!(is_out(&mut refuted, 1_200, 0), eq(false));
}

#[gtest]
fn a_refusal_of_a_server_counts_unless_an_agent_has_said_since_that_the_group_works() {
    let mut refused = working_until(1_000);
    refused.record_refusal(at(1_100));
    let mut contradicted = working_until(1_000);
    contradicted.record_agent_report(at(1_050), true);
    contradicted.record_refusal(at(1_100));

    expect_that!(is_out(&mut refused, 1_200, 0), eq(true));
    expect_that!(is_out(&mut refused, 1_400, 0), eq(false));
    expect_that!(is_out(&mut contradicted, 1_200, 0), eq(false));
}

#[gtest]
fn the_expected_length_follows_the_outages_that_were_seen() {
    let config = OutageConfig::default();
    let mut outage = working_until(1_000);
    is_out(&mut outage, 2_000, STREAMS);
    let first = outlook(&outage, 2_500);
    outage.record_event(at(4_000));
    is_out(&mut outage, 10_000, STREAMS);

    let second = outlook(&outage, 10_500);

    expect_that!(first.age, eq(at(500)));
    expect_that!(first.remaining, eq(config.default_length - at(500)));
    expect_that!(second.remaining, eq(at(1_500)));
    expect_that!(outlook(&outage, 20_000).remaining, eq(config.min_remaining));
}

#[gtest]
fn a_short_pause_leaves_the_expected_length_as_it_is() {
    let mut outage = working_until(1_000);
    is_out(&mut outage, 1_500, STREAMS);
    outage.record_event(at(1_900));
    is_out(&mut outage, 10_000, STREAMS);

    expect_that!(
        outlook(&outage, 10_000).remaining,
        eq(OutageConfig::default().default_length)
    );
}

#[gtest]
fn callers_are_sent_away_once_and_wait_the_second_time() {
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
fn a_group_whose_passes_are_long_is_slow_and_not_out() {
    // Recorded: one rank of 63 is twelve times slower, so that passes take 430 ms.
    let passes = [430, 425, 440, 431, 428, 436];
    let mut outage = working_until(1_000);
    let mut now = 1_000;
    let mut said = Vec::new();
    for pass in passes {
        for part in 1..=4 {
            said.push(is_out(&mut outage, now + pass * part / 4 - 1, STREAMS));
        }
        now += pass;
        for stream in 0..5 {
            outage.record_event(at(now + stream));
        }
        now += 4;
    }

    // The first two can't be told from an outage.
    expect_that!(said[8..], each(eq(&false)));
    expect_that!(is_out(&mut outage, now + 800, STREAMS), eq(false));
    expect_that!(is_out(&mut outage, now + 950, STREAMS), eq(true));
}

#[gtest]
fn a_single_long_pause_is_no_pass() {
    let mut outage = working_until(1_000);
    for ms in [1_060, 1_120, 1_620, 1_680, 1_740] {
        outage.record_event(at(ms));
    }

    expect_that!(is_out(&mut outage, 2_100, STREAMS), eq(true));
}
