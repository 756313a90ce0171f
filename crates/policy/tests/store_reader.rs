//! Processes that read the platform's store, and the number of their calls.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::store_reader::{ReaderConfig, backoff, read_age, startup_delay};

/// Replays processes that all receive at once what one of them has read. Returns the calls of each
/// in 60 s; `can_read` returns whether the store serves a process.
fn calls(processes: usize, can_read: impl Fn(usize) -> bool) -> Vec<u32> {
    let config = ReaderConfig::default();
    let mut calls = vec![0; processes];
    let mut not_before = vec![Duration::ZERO; processes];
    let mut failures = vec![0; processes];
    let mut last_read = Duration::ZERO;
    for step in 0..6_000_u64 {
        let now = Duration::from_millis(step * 10);
        for process in 0..processes {
            if now < not_before[process] || now < last_read + read_age(&config, process) {
                continue;
            }
            calls[process] += 1;
            if can_read(process) {
                last_read = now;
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
fn only_the_first_process_reads_while_it_succeeds() {
    let calls = calls(22, |_| true);

    expect_that!(calls[0], ge(190));
    expect_that!(calls[1..].iter().sum::<u32>(), eq(0));
}

#[gtest]
fn next_process_reads_if_those_before_it_are_refused() {
    let calls = calls(22, |process| process >= 2);

    // One call each time that its copy reaches the age, but for the step size of the replay.
    let due = read_age(&ReaderConfig::default(), 2);
    let turns = Duration::from_secs(60).as_millis() / (due + Duration::from_millis(10)).as_millis();
    expect_that!(u128::from(calls[2]), ge(turns));
    expect_that!(calls[3..].iter().sum::<u32>(), eq(0));
}

#[gtest]
fn each_process_makes_at_most_two_calls_per_second_in_an_outage() {
    let calls = calls(22, |_| false);

    expect_that!(calls, each(le(&120)));
}

#[gtest]
fn backoff_is_randomized_and_at_most_the_maximum() {
    let config = ReaderConfig::default();

    let backoffs: Vec<Duration> = (0..1_000).map(|draw| backoff(&config, 30, draw)).collect();

    expect_that!(backoffs.iter().max(), some(le(&config.max_backoff)));
    expect_that!(backoffs.iter().min(), some(ge(&(config.max_backoff / 2))));
    expect_that!(backoffs[0] == backoffs[700], eq(false));
}

/// Returns the calls of all processes in an outage of `seconds` that begins right after a read.
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
fn large_fleet_makes_no_more_calls_in_an_outage_than_a_medium_one() {
    let medium = calls_in_outage(40, 5);
    let large = calls_in_outage(390, 5);

    expect_that!(large, le(medium + medium / 10), "{medium} {large}");
}

#[gtest]
fn most_processes_that_start_together_receive_a_copy_before_they_read() {
    /// Time by which all have received what the first one has read.
    const RECEIVED_BY: Duration = Duration::from_millis(500);
    let config = ReaderConfig::default();

    let reads = (0..149_u64).map(|it| startup_delay(&config, it < 3, it * 7_919));
    let reads: Vec<Duration> = reads.collect();

    expect_that!(reads[..3], each(eq(&Duration::ZERO)));
    expect_that!(reads.iter().filter(|it| **it < RECEIVED_BY).count(), lt(70));
    expect_that!(reads, each(lt(&Duration::from_secs(1))));
}
