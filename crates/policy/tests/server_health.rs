//! Servers that fail some or all requests are avoided, and tried again after a pause.

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
fn few_failures_among_successes_do_not_pause_a_server() {
    let config = HealthConfig::default();
    let mut health = ServerHealth::default();

    for number in 0..200 {
        let outcome = if number % 7 == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        health.record_attempt(&config, at(number * 50), outcome);
        expect_that!(health.is_avoided(at(number * 50)), eq(false));
    }
}

#[gtest]
fn refused_unreachable_or_broken_attempt_pauses_the_server_at_once() {
    let config = HealthConfig::default();

    for outcome in [
        AttemptOutcome::Refused,
        AttemptOutcome::Unreachable,
        AttemptOutcome::Broken,
    ] {
        let mut health = ServerHealth::default();
        health.record_attempt(&config, at(0), outcome);
        expect_that!(health.is_avoided(at(10)), eq(true));
        expect_that!(health.is_avoided(config.first_pause), eq(false));
    }
}

#[gtest]
fn server_is_unreachable_until_its_next_success() {
    let config = HealthConfig::default();
    let mut health = ServerHealth::default();

    health.record_attempt(&config, Duration::from_secs(1), AttemptOutcome::Unreachable);
    expect_that!(health.is_unreachable(), eq(true));
    health.record_attempt(&config, Duration::from_secs(2), AttemptOutcome::Succeeded);

    expect_that!(health.is_unreachable(), eq(false));
}

#[gtest]
fn pause_doubles_with_each_failure_and_resets_on_recovery() {
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

/// Replays a server that fails 0.45 of its requests beside two healthy ones that take turns with
/// it; returns how many requests it gets and how many of them fail.
fn sent_to_partially_failing_server(use_health: bool) -> (u32, u32) {
    let config = HealthConfig::default();
    let mut random = Pcg64Mcg::seed_from_u64(20261204);
    let mut health = ServerHealth::default();
    let (mut sent, mut failed) = (0, 0);
    for number in 0..300_u64 {
        let now = at(number * 20);
        let is_its_turn = number % 3 == 0;
        if !is_its_turn || (use_health && health.is_avoided(now)) {
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
fn partially_failing_server_gets_less_than_a_third_of_the_requests() {
    let (all, all_failed) = sent_to_partially_failing_server(false);
    let (sent, failed) = sent_to_partially_failing_server(true);

    expect_that!(sent * 3, lt(all));
    expect_that!(failed * 2, lt(all_failed));
}

/// Entry of a replay.
struct Entry {
    health: Vec<ServerHealth>,
    /// End times of its requests at each server.
    ends: Vec<Vec<Duration>>,
}

/// Replays 8 of 72 servers that break off each request at once, while 32 entries send 235 requests
/// per second for 5 s that take 1.6 s. Returns the number of requests, and of those sent to a
/// broken server.
fn requests_to_broken_servers(outcome: AttemptOutcome, is_shared: bool) -> (u32, u32) {
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
                let avoids = |it: &Entry| it.health[server].is_avoided(now);
                let is_shared = is_shared && entries.iter().any(avoids);
                ServerCandidate {
                    id: server.to_string(),
                    is_same_domain: true,
                    slots: 10,
                    local_requests: requests(&entries[own], server),
                    remote_requests: all - requests(&entries[own], server),
                    is_avoided: avoids(&entries[own]) || is_shared,
                    failed_part: 0.0,
                    allowance: None,
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
            if is_shared {
                entry.health[server].raise_consecutive_pauses(pauses.unwrap_or_default());
            }
            entry.health[server].record_attempt(&config, now, outcome);
        } else {
            entry.ends[server].push(now + at(1_600));
        }
    }
    (sent, failed)
}

#[gtest]
fn servers_that_break_every_request_get_few_once_entries_share_pauses() {
    // Without counting broken attempts these servers have no load at all, and attract nearly
    // everything.
    let (all, ignored) = requests_to_broken_servers(AttemptOutcome::Succeeded, false);
    let (_, alone) = requests_to_broken_servers(AttemptOutcome::Failed, false);
    let (_, shared) = requests_to_broken_servers(AttemptOutcome::Broken, true);

    expect_that!(ignored * 10, gt(all * 8));
    expect_that!(alone * 10, gt(all * 3));
    expect_that!(shared * 20, lt(all));
}

/// Replays lookups, one after the other, at 33 servers of which 30 hang for 1.6 s; all have been
/// tried twice before, and the pauses of that are over. Returns how many of 60 lookups hang.
fn lookups_that_hang(failure_penalty: f64) -> u32 {
    const HANGING: usize = 30;
    let config = HealthConfig::default();
    let placement = PlacementConfig {
        failure_penalty,
        ..PlacementConfig::default()
    };
    let mut random = Pcg64Mcg::seed_from_u64(20261204);
    let mut health = vec![ServerHealth::default(); HANGING + 3];
    for server in health.iter_mut().take(HANGING) {
        for _ in 0..2 {
            server.record_attempt(&config, at(0), AttemptOutcome::Failed);
        }
    }
    let mut now = config.max_pause;
    let mut hanging = 0;
    for _ in 0..60 {
        let candidates = health
            .iter()
            .enumerate()
            .map(|(server, it)| ServerCandidate {
                id: server.to_string(),
                is_same_domain: true,
                slots: 6,
                local_requests: 0,
                remote_requests: 0,
                is_avoided: it.is_avoided(now),
                failed_part: it.failed_part(&config, now),
                allowance: None,
                was_tried: false,
            });
        let candidates: Vec<ServerCandidate> = candidates.collect();
        let chosen = choose_server(&placement, &candidates, random.random()).unwrap();
        let server: usize = chosen.id.parse().unwrap();
        let hangs = server < HANGING;
        hanging += u32::from(hangs);
        now += at(if hangs { 1_600 } else { 5 });
        let outcome = match hangs {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Succeeded,
        };
        health[server].record_attempt(&config, now, outcome);
    }
    hanging
}

#[gtest]
fn sound_servers_are_used_though_most_hang_and_their_pauses_are_over() {
    let without = lookups_that_hang(0.0);
    let with = lookups_that_hang(PlacementConfig::default().failure_penalty);

    expect_that!(without, gt(30));
    expect_that!(with, le(6));
}
