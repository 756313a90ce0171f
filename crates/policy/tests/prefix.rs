//! Estimates of prefix caches from late events with gaps.

mod common;

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use jj_policy::prefix::{CacheChange, CacheEvent, PrefixConfig, PrefixIndex};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CACHE_CAPACITY: usize = 20;
const PREFIXES: u64 = 60;
const EVENTS: usize = 600;

/// One line of a trace: an event that was received or lost.
#[derive(Debug, Clone, Copy)]
struct Line {
    event: CacheEvent,
    lost: bool,
}

/// Generates the events of a cache that evicts its oldest prefix; 30% of the events are lost.
fn generate() -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(13);
    let mut cache = VecDeque::new();
    let mut changes = Vec::new();
    while changes.len() < EVENTS {
        let prefix = rng.random_range(1..=PREFIXES);
        if cache.contains(&prefix) {
            continue;
        }
        cache.push_back(prefix);
        changes.push(format!("stored {prefix}"));
        if cache.len() > CACHE_CAPACITY {
            let evicted = cache.pop_front().unwrap_or_default();
            changes.push(format!("evicted {evicted}"));
        }
    }
    let lines = changes.iter().enumerate().map(|(seq, change)| {
        let fate = if rng.random_bool(0.3) {
            "lost"
        } else {
            "arrived"
        };
        format!("{seq} {change} {fate}\n")
    });
    lines.collect()
}

fn parse(text: &str) -> Vec<Line> {
    let line = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let prefix = words[2].parse().expect("a prefix");
        let change = match words[1] {
            "stored" => CacheChange::Stored(prefix),
            _ => CacheChange::Evicted(prefix),
        };
        let seq = words[0].parse().expect("a sequence number");
        Line {
            event: CacheEvent { seq, change },
            lost: words[3] == "lost",
        }
    };
    text.lines().map(line).collect()
}

/// Returns the mean squared error of the hit probabilities after each event, compared with the
/// true content of the cache.
fn mean_squared_error(lines: &[Line], config: PrefixConfig) -> f64 {
    let mut index = PrefixIndex::new(config);
    let mut held: Vec<u64> = Vec::new();
    let (mut total, mut count) = (0.0, 0.0);
    for (step, line) in lines.iter().enumerate() {
        let now = Duration::from_millis(100 * step as u64);
        match line.event.change {
            CacheChange::Stored(prefix) => held.push(prefix),
            CacheChange::Evicted(prefix) => held.retain(|other| *other != prefix),
            CacheChange::Cleared => held.clear(),
        }
        if !line.lost {
            index.record_event("server", line.event, now);
        }
        for prefix in 1..=PREFIXES {
            let truth = if held.contains(&prefix) { 1.0 } else { 0.0 };
            total += (index.hit_probability("server", prefix, now) - truth).powi(2);
            count += 1.0;
        }
    }
    total / count
}

#[gtest]
fn lowering_confidence_at_gaps_reduces_the_error() {
    let lines = parse(&common::recorded("prefix_events", generate()));
    let trusting = PrefixConfig {
        evictions_per_missed_event: 0.0,
        ..PrefixConfig::default()
    };

    let policy = mean_squared_error(&lines, PrefixConfig::default());
    let naive = mean_squared_error(&lines, trusting);

    println!("mean squared error: {policy:.3}, trusting every event {naive:.3}");
    expect_that!(policy, lt(naive));
}

#[gtest]
fn each_event_kind_updates_the_hit_probability() {
    let at = Duration::from_secs;
    let event = |seq, change| CacheEvent { seq, change };
    let mut index = PrefixIndex::new(PrefixConfig::default());

    index.record_event("s", event(4, CacheChange::Stored(1)), at(1));
    index.record_event("s", event(5, CacheChange::Stored(2)), at(1));
    expect_that!(index.hit_probability("s", 1, at(1)), near(1.0, 1e-9));

    index.record_event("s", event(3, CacheChange::Evicted(1)), at(1));
    expect_that!(index.hit_probability("s", 1, at(1)), near(1.0, 1e-9));

    index.record_event("s", event(6, CacheChange::Evicted(1)), at(1));
    expect_that!(index.hit_probability("s", 1, at(1)), eq(0.0));

    index.record_event("s", event(9, CacheChange::Stored(3)), at(1));
    expect_that!(index.hit_probability("s", 2, at(1)), lt(1.0));

    index.record_answer("s", 2, at(2));
    expect_that!(index.hit_probability("s", 2, at(2)), ge(0.8));

    index.record_event("s", event(10, CacheChange::Cleared), at(3));
    expect_that!(index.hit_probability("s", 2, at(3)), eq(0.0));
}
