//! Servers that fail a part of their requests, or all at once, are kept away from and tried again.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    placement::{Candidate, PlacementConfig, choose},
    server_health::{HealthConfig, ServerHealth, Sign},
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

    for sign in [Sign::Refused, Sign::Unreachable, Sign::Broken] {
        let mut health = ServerHealth::default();
        health.observe(&config, at(0), sign);
        expect_that!(health.is_avoided(at(10)), eq(true));
        expect_that!(health.is_avoided(config.pause), eq(false));
    }
}

#[gtest]
fn a_server_is_unreachable_until_it_has_answered() {
    let config = HealthConfig::default();
    let mut health = ServerHealth::default();

    health.observe(&config, Duration::from_secs(1), Sign::Unreachable);
    expect_that!(health.is_unreachable(), eq(true));
    health.observe(&config, Duration::from_secs(2), Sign::Good);

    expect_that!(health.is_unreachable(), eq(false));
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

/// One entry of a replay.
struct Entry {
    health: Vec<ServerHealth>,
    /// When its requests at each server end.
    ends: Vec<Vec<Duration>>,
}

/// Replays 8 of 72 servers that break each request at once, while 32 entries send 235 requests a
/// second for 5 s that take 1.6 s: how many requests meet such a server.
fn broken(sign: Sign, is_told: bool) -> (u32, u32) {
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
        let candidates: Vec<Candidate> = (0..SERVERS)
            .map(|server| {
                let all: u32 = entries.iter().map(|it| requests(it, server)).sum();
                let word = |it: &Entry| it.health[server].is_avoided(now);
                let is_told = is_told && entries.iter().any(word);
                Candidate {
                    id: server.to_string(),
                    is_near: true,
                    slots: 10,
                    own: requests(&entries[own], server),
                    others: all - requests(&entries[own], server),
                    avoid: word(&entries[own]) || is_told,
                    cold_room: None,
                    tried: false,
                }
            })
            .collect();
        let draw = random.random();
        let chosen = choose(&PlacementConfig::default(), &candidates, draw).unwrap();
        let server: usize = chosen.id.parse().unwrap();
        sent += 1;
        let pauses = entries.iter().map(|it| it.health[server].pauses()).max();
        let entry = &mut entries[own];
        if server < BROKEN {
            failed += 1;
            if is_told {
                entry.health[server].learn(pauses.unwrap_or_default());
            }
            entry.health[server].observe(&config, now, sign);
        } else {
            entry.ends[server].push(now + at(1_600));
        }
    }
    (sent, failed)
}

#[gtest]
fn servers_that_break_every_request_at_once_draw_few_once_entries_tell_each_other() {
    // Without judgement of broken answers they have no load at all, and draw nearly everything.
    let (all, unjudged) = broken(Sign::Good, false);
    let (_, alone) = broken(Sign::Failed, false);
    let (_, told) = broken(Sign::Broken, true);

    expect_that!(unjudged * 10, gt(all * 8));
    expect_that!(alone * 10, gt(all * 3));
    expect_that!(told * 20, lt(all));
}
