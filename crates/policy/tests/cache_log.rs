//! Cache events on their way through an agent's log to an entry.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    cache_log::{BATCH, CacheLog},
    prefix::{CacheChange, CacheEvent, PrefixConfig, PrefixIndex},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CACHE: usize = 20;
const PREFIXES: u64 = 60;
const STEPS: u64 = 600;

/// Steps between two answers on which the entry hears news.
const ANSWER_EACH: u64 = 5;

/// How an agent passes events on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Relay {
    /// With the gaps in the engine's own numbers.
    Log,
    /// As a list of what arrived, numbered anew without gaps.
    Blind,
}

/// Mean squared error of an entry's beliefs, when three events of ten are lost before the agent and
/// the engine starts anew half way.
fn error(relay: Relay) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(17);
    let mut log = CacheLog::new(1_000);
    let mut index = PrefixIndex::new(PrefixConfig::default());
    let mut held: Vec<u64> = Vec::new();
    let (mut own, mut arrived) = (0, 0);
    let mut total = 0.0;
    for step in 0..STEPS {
        let now = Duration::from_millis(100 * step);
        if step == STEPS / 2 {
            held.clear();
            own = 0;
        }
        if relay == Relay::Log {
            log.note_boot(if step < STEPS / 2 { "first" } else { "second" });
        }
        for change in touch(&mut held, rng.random_range(1..=PREFIXES)) {
            own += 1;
            if rng.random_bool(0.3) {
                continue;
            }
            arrived += 1;
            let seq = if relay == Relay::Log { own } else { arrived };
            log.take_in(CacheEvent { seq, change });
        }
        if step % ANSWER_EACH == 0 {
            let seen = index.last_seq("server").unwrap_or_default();
            for event in log.after(seen) {
                index.observe("server", event, now);
            }
        }
        for prefix in 1..=PREFIXES {
            let truth = if held.contains(&prefix) { 1.0 } else { 0.0 };
            total += (index.hit("server", prefix, now) - truth).powi(2);
        }
    }
    total / (STEPS * PREFIXES) as f64
}

/// Changes of a cache that drops its oldest prefix.
fn touch(held: &mut Vec<u64>, prefix: u64) -> Vec<CacheChange> {
    if held.contains(&prefix) {
        return Vec::new();
    }
    held.push(prefix);
    let mut changes = vec![CacheChange::Stored(prefix)];
    if held.len() > CACHE {
        changes.push(CacheChange::Evicted(held.remove(0)));
    }
    changes
}

fn stored(seq: u64) -> CacheEvent {
    CacheEvent {
        seq,
        change: CacheChange::Stored(seq),
    }
}

#[gtest]
fn kept_gaps_make_better_beliefs_than_a_blind_relay() {
    let log = error(Relay::Log);
    let blind = error(Relay::Blind);

    println!("mean squared error: {log:.3}, blind relay {blind:.3}");
    expect_that!(log, lt(blind));
}

#[gtest]
fn a_reader_catches_up_in_bounded_batches() {
    let mut log = CacheLog::new(0);
    (1..=40).for_each(|seq| log.take_in(stored(seq)));
    let (mut seen, mut batches) = (0, Vec::new());

    while let Some(last) = log.after(seen).last() {
        batches.push(log.after(seen).len());
        seen = last.seq;
    }

    expect_that!(batches, each(le(&BATCH)));
    expect_that!(batches.iter().sum::<usize>(), eq(40));
}

#[gtest]
fn numbers_rise_over_starts_of_the_server_and_repeats_are_ignored() {
    let mut log = CacheLog::new(100);
    log.note_boot("first");
    log.take_in(stored(1));
    log.take_in(stored(4));
    log.take_in(stored(4));
    log.note_boot("second");
    log.take_in(stored(1));

    let numbers: Vec<u64> = log.after(0).iter().map(|event| event.seq).collect();

    expect_that!(
        numbers,
        elements_are![eq(&101), eq(&104), eq(&105), eq(&106)]
    );
    expect_that!(log.last_own(), eq(1));
}
