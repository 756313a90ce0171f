//! Which processes read the platform's store, and how many calls they make together.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::store_reader::{ReaderConfig, backoff, read_age, startup_delay};

/// Replays processes that all hear at once what one of them has read: calls of each in 60 s, where
/// `can_read` says which processes the store serves.
fn calls(processes: usize, can_read: impl Fn(usize) -> bool) -> Vec<u32> {
    let config = ReaderConfig::default();
    let mut calls = vec![0; processes];
    let mut not_before = vec![Duration::ZERO; processes];
    let mut failures = vec![0; processes];
    let mut known = Duration::ZERO;
    for step in 0..6_000_u64 {
        let now = Duration::from_millis(step * 10);
        for process in 0..processes {
            if now < not_before[process] || now < known + read_age(&config, process) {
                continue;
            }
            calls[process] += 1;
            if can_read(process) {
                known = now;
                failures[process] = 0;
            } else {
                failures[process] += 1;
                not_before[process] = now + backoff(&config, failures[process], step);
            }
        }
    }
    calls
}

#[gtest]
fn only_the_first_process_reads_while_the_store_serves_it() {
    let calls = calls(22, |_| true);

    expect_that!(calls[0], ge(190));
    expect_that!(calls[1..].iter().sum::<u32>(), eq(0));
}

#[gtest]
fn the_next_process_reads_where_the_first_is_turned_away() {
    let calls = calls(22, |process| process >= 2);

    // One call each time that its turn comes, but for the steps of the replay.
    let due = read_age(&ReaderConfig::default(), 2);
    let turns = Duration::from_secs(60).as_millis() / (due + Duration::from_millis(10)).as_millis();
    expect_that!(u128::from(calls[2]), ge(turns));
    expect_that!(calls[3..].iter().sum::<u32>(), eq(0));
}

#[gtest]
fn an_outage_costs_each_process_less_than_two_calls_a_second() {
    let calls = calls(22, |_| false);

    expect_that!(calls, each(le(&120)));
}

#[gtest]
fn failed_calls_are_spread_and_never_further_apart_than_the_longest_pause() {
    let config = ReaderConfig::default();

    let pauses: Vec<Duration> = (0..1_000).map(|draw| backoff(&config, 30, draw)).collect();

    expect_that!(pauses.iter().max(), some(le(&config.max_backoff)));
    expect_that!(pauses.iter().min(), some(ge(&(config.max_backoff / 2))));
    expect_that!(pauses[0] == pauses[700], eq(false));
}

/// Calls of all processes together in an outage of so many seconds that begins after one of them has
/// read.
fn calls_in_outage(processes: usize, seconds: u64) -> u32 {
    let config = ReaderConfig::default();
    let mut not_before = vec![Duration::ZERO; processes];
    let mut failures = vec![0; processes];
    let mut calls = 0;
    for step in 0..seconds * 100 {
        let now = Duration::from_millis(step * 10);
        for process in 0..processes {
            if now < not_before[process] || now < read_age(&config, process) {
                continue;
            }
            calls += 1;
            failures[process] += 1;
            not_before[process] = now + backoff(&config, failures[process], step);
        }
    }
    calls
}

#[gtest]
fn an_outage_costs_a_large_fleet_no_more_calls_than_a_middling_one() {
    let middling = calls_in_outage(40, 5);
    let large = calls_in_outage(390, 5);

    expect_that!(large, le(middling + middling / 10), "{middling} {large}");
}

#[gtest]
fn most_of_those_that_start_at_once_hear_from_others_before_they_read() {
    /// Time by which all know what the first one has read.
    const TOLD: Duration = Duration::from_millis(500);
    let config = ReaderConfig::default();

    let reads = (0..149_u64).map(|it| startup_delay(&config, it < 3, it * 7_919));
    let reads: Vec<Duration> = reads.collect();

    expect_that!(reads[..3], each(eq(&Duration::ZERO)));
    expect_that!(reads.iter().filter(|it| **it < TOLD).count(), lt(70));
    expect_that!(reads, each(lt(&Duration::from_secs(1))));
}
