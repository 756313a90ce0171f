//! Cache events forwarded to an entry through an agent's log.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    cache_log::{CacheLog, MAX_BATCH_EVENTS},
    prefix::{CacheChange, CacheEvent, PrefixConfig, PrefixIndex},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CACHE_CAPACITY: usize = 20;
const PREFIXES: u64 = 60;
const STEPS: u64 = 600;

/// Steps between two answers with which the entry receives events.
const ANSWER_INTERVAL: u64 = 5;

/// How an agent forwards events.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Relay {
    /// With the gaps in the engine's sequence numbers.
    Log,
    /// Renumbered without gaps.
    Renumbered,
}

/// Returns the mean squared error of an entry's hit probabilities if 30% of the events are lost
/// before the agent and the engine restarts halfway.
fn mean_squared_error(relay: Relay) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(17);
    let mut log = CacheLog::new(1_000);
    let mut index = PrefixIndex::new(PrefixConfig::default());
    let mut held: Vec<u64> = Vec::new();
    let (mut engine_seq, mut received) = (0, 0);
    let mut total = 0.0;
    for step in 0..STEPS {
        let now = Duration::from_millis(100 * step);
        if step == STEPS / 2 {
            held.clear();
            engine_seq = 0;
        }
        if relay == Relay::Log {
            log.record_boot(if step < STEPS / 2 { "first" } else { "second" });
        }
        for change in store(&mut held, rng.random_range(1..=PREFIXES)) {
            engine_seq += 1;
            if rng.random_bool(0.3) {
                continue;
            }
            received += 1;
            let seq = if relay == Relay::Log {
                engine_seq
            } else {
                received
            };
            log.record_event(CacheEvent { seq, change });
        }
        if step % ANSWER_INTERVAL == 0 {
            let seen = index.last_seq("server").unwrap_or_default();
            for event in log.events_after(seen) {
                index.record_event("server", event, now);
            }
        }
        for prefix in 1..=PREFIXES {
            let truth = if held.contains(&prefix) { 1.0 } else { 0.0 };
            total += (index.hit_probability("server", prefix, now) - truth).powi(2);
        }
    }
    total / (STEPS * PREFIXES) as f64
}

/// Stores a prefix in a cache that evicts its oldest one, and returns the changes.
fn store(held: &mut Vec<u64>, prefix: u64) -> Vec<CacheChange> {
    if held.contains(&prefix) {
        return Vec::new();
    }
    held.push(prefix);
    let mut changes = vec![CacheChange::Stored(prefix)];
    if held.len() > CACHE_CAPACITY {
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
fn preserved_gaps_give_a_lower_error_than_renumbering() {
    let log = mean_squared_error(Relay::Log);
    let renumbered = mean_squared_error(Relay::Renumbered);

    println!("mean squared error: {log:.3}, renumbered {renumbered:.3}");
    expect_that!(log, lt(renumbered));
}

#[gtest]
fn reader_catches_up_in_bounded_batches() {
    let mut log = CacheLog::new(0);
    (1..=40).for_each(|seq| log.record_event(stored(seq)));
    let (mut seen, mut batches) = (0, Vec::new());

    while let Some(last) = log.events_after(seen).last() {
        batches.push(log.events_after(seen).len());
        seen = last.seq;
    }

    expect_that!(batches, each(le(&MAX_BATCH_EVENTS)));
    expect_that!(batches.iter().sum::<usize>(), eq(40));
}

#[gtest]
fn sequence_numbers_increase_across_restarts_and_duplicates_are_ignored() {
    let mut log = CacheLog::new(100);
    log.record_boot("first");
    log.record_event(stored(1));
    log.record_event(stored(4));
    log.record_event(stored(4));
    log.record_boot("second");
    log.record_event(stored(1));

    let numbers: Vec<u64> = log.events_after(0).iter().map(|event| event.seq).collect();

    expect_that!(
        numbers,
        elements_are![eq(&101), eq(&104), eq(&105), eq(&106)]
    );
    expect_that!(log.last_server_seq(), eq(1));
}
