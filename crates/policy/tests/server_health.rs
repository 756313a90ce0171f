//! Servers that fail a part of their requests, or all at once, are kept away from and tried again.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    placement::{PlacementConfig, ServerCandidate, choose_server},
    server_health::{AttemptOutcome, HealthConfig, ServerHealth},
};
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
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        health.record_attempt(&config, at(number * 50), sign);
        expect_that!(health.is_avoided(at(number * 50)), eq(false));
    }
}

#[gtest]
fn a_refusal_or_an_unreachable_server_is_avoided_at_once_and_tried_again() {
    let config = HealthConfig::default();

    for sign in [
        AttemptOutcome::Refused,
        AttemptOutcome::Unreachable,
        AttemptOutcome::Broken,
    ] {
        let mut health = ServerHealth::default();
        health.record_attempt(&config, at(0), sign);
        expect_that!(health.is_avoided(at(10)), eq(true));
        expect_that!(health.is_avoided(config.first_pause), eq(false));
    }
}

#[gtest]
fn a_server_is_unreachable_until_it_has_answered() {
    let config = HealthConfig::default();
    let mut health = ServerHealth::default();

    health.record_attempt(&config, Duration::from_secs(1), AttemptOutcome::Unreachable);
    expect_that!(health.is_unreachable(), eq(true));
    health.record_attempt(&config, Duration::from_secs(2), AttemptOutcome::Succeeded);

    expect_that!(health.is_unreachable(), eq(false));
}

#[gtest]
fn the_pause_doubles_while_a_server_goes_on_failing_and_ends_with_its_recovery() {
    let config = HealthConfig::default();
    let mut health = ServerHealth::default();
    let mut now = Duration::ZERO;
    let mut pauses = Vec::new();

    for _ in 0..5 {
        health.record_attempt(&config, now, AttemptOutcome::Unreachable);
        let begun = now;
        while health.is_avoided(now) {
            now += at(50);
        }
        pauses.push(now - begun);
    }
    for _ in 0..20 {
        health.record_attempt(&config, now, AttemptOutcome::Succeeded);
    }
    health.record_attempt(&config, now, AttemptOutcome::Unreachable);

    expect_that!(
        pauses,
        elements_are![
            eq(&at(400)),
            eq(&at(800)),
            eq(&at(1_600)),
            eq(&config.max_pause),
            eq(&config.max_pause)
        ]
    );
    expect_that!(health.is_avoided(now + config.first_pause), eq(false));
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
        health.record_attempt(
            &config,
            now,
            if fails {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            },
        );
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

/// One entry of a replay.
struct Entry {
    health: Vec<ServerHealth>,
    /// When its requests at each server end.
    ends: Vec<Vec<Duration>>,
}

/// Replays 8 of 72 servers that break each request at once, while 32 entries send 235 requests a
/// second for 5 s that take 1.6 s: how many requests meet such a server.
fn broken(sign: AttemptOutcome, is_told: bool) -> (u32, u32) {
    const SERVERS: usize = 72;
    const BROKEN: usize = 8;
    let config = HealthConfig::default();
    let mut random = Pcg64Mcg::seed_from_u64(20261204);
    let entry = || Entry {
        health: vec![ServerHealth::default(); SERVERS],
        ends: vec![Vec::new(); SERVERS],
    };
    let mut entries: Vec<Entry> = (0..32).map(|_| entry()).collect();
    let (mut sent, mut failed) = (0, 0);
    for number in 0..1_175_u64 {
        let now = at(number * 1_000 / 235);
        let own = random.random_range(0..entries.len());
        for entry in &mut entries {
            entry
                .ends
                .iter_mut()
                .for_each(|ends| ends.retain(|end| *end > now));
        }
        let requests = |entry: &Entry, server: usize| entry.ends[server].len() as u32;
        let candidates: Vec<ServerCandidate> = (0..SERVERS)
            .map(|server| {
                let all: u32 = entries.iter().map(|it| requests(it, server)).sum();
                let word = |it: &Entry| it.health[server].is_avoided(now);
                let is_told = is_told && entries.iter().any(word);
                ServerCandidate {
                    id: server.to_string(),
                    is_same_domain: true,
                    slots: 10,
                    local_requests: requests(&entries[own], server),
                    remote_requests: all - requests(&entries[own], server),
                    is_avoided: word(&entries[own]) || is_told,
                    cold_allowance: None,
                    was_tried: false,
                }
            })
            .collect();
        let draw = random.random();
        let chosen = choose_server(&PlacementConfig::default(), &candidates, draw).unwrap();
        let server: usize = chosen.id.parse().unwrap();
        sent += 1;
        let pauses = entries
            .iter()
            .map(|it| it.health[server].consecutive_pauses())
            .max();
        let entry = &mut entries[own];
        if server < BROKEN {
            failed += 1;
            if is_told {
                entry.health[server].raise_consecutive_pauses(pauses.unwrap_or_default());
            }
            entry.health[server].record_attempt(&config, now, sign);
        } else {
            entry.ends[server].push(now + at(1_600));
        }
    }
    (sent, failed)
}

#[gtest]
fn servers_that_break_every_request_at_once_draw_few_once_entries_tell_each_other() {
    // Without judgement of broken answers they have no load at all, and draw nearly everything.
    let (all, unjudged) = broken(AttemptOutcome::Succeeded, false);
    let (_, alone) = broken(AttemptOutcome::Failed, false);
    let (_, told) = broken(AttemptOutcome::Broken, true);

    expect_that!(unjudged * 10, gt(all * 8));
    expect_that!(alone * 10, gt(all * 3));
    expect_that!(told * 20, lt(all));
}
