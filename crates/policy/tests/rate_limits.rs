//! Rates that servers state, and what entries tell each other of them.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::rate_limits::{NewsEffect, RateLimits, RateStatement};

const INCARNATION: Option<u64> = Some(500);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records a response received at a time to a request sent 20 ms before.
fn record(limits: &mut RateLimits, received: u64, limit: Option<f64>) -> bool {
    limits.record(at(received), at(received - 20), "s1", INCARNATION, limit)
}

fn told(limit: Option<f64>, age_ms: u32) -> RateStatement {
    RateStatement {
        server: "s1".to_owned(),
        incarnation: INCARNATION,
        limit,
        age_ms,
    }
}

#[gtest]
fn limit_holds_until_a_response_without_one() {
    let mut limits = RateLimits::default();

    let changes = [
        record(&mut limits, 100, None),
        record(&mut limits, 200, Some(2.0)),
        record(&mut limits, 300, Some(2.0)),
        record(&mut limits, 400, Some(1.5)),
    ];
    let limit = limits.limit("s1", INCARNATION);
    let end = record(&mut limits, 500, None);

    expect_that!(changes, eq([false, true, false, true]));
    expect_that!(limit, some(eq(1.5)));
    expect_that!(end, eq(true));
    expect_that!(limits.limit("s1", INCARNATION), none());
    expect_that!(limits.limit("s2", INCARNATION), none());
}

#[gtest]
fn response_that_may_be_older_than_the_last_statement_does_not_raise_the_limit() {
    let mut limits = RateLimits::default();
    record(&mut limits, 1_000, Some(2.0));

    let is_ended = limits.record(at(1_010), at(900), "s1", INCARNATION, None);
    let is_raised = limits.record(at(1_020), at(999), "s1", INCARNATION, Some(3.0));
    let is_lowered = limits.record(at(1_030), at(999), "s1", INCARNATION, Some(1.0));

    expect_that!([is_ended, is_raised, is_lowered], eq([false, false, true]));
    expect_that!(limits.limit("s1", INCARNATION), some(eq(1.0)));
}

#[gtest]
fn limit_ends_with_a_later_incarnation_of_the_server() {
    let mut limits = RateLimits::default();
    record(&mut limits, 100, Some(2.0));

    let earlier = limits.record(at(200), at(190), "s1", Some(400), None);

    expect_that!(earlier, eq(false));
    expect_that!(limits.limit("s1", INCARNATION), some(eq(2.0)));
    expect_that!(limits.limit("s1", None), some(eq(2.0)));
    expect_that!(limits.limit("s1", Some(600)), none());
    let of_later = limits.record(at(300), at(290), "s1", Some(600), None);
    expect_that!(of_later, eq(false));
    expect_that!(limits.count(), eq(0));
}

#[gtest]
fn latest_statement_counts_whichever_way_it_came() {
    let mut limits = RateLimits::default();
    record(&mut limits, 1_000, Some(2.0));

    let older = limits.apply(at(1_100), &told(None, 500));
    let newer = limits.apply(at(1_200), &told(Some(1.0), 100));
    let repeated = limits.apply(at(1_300), &told(Some(1.0), 50));

    expect_that!(older, eq(NewsEffect::Outdated));
    expect_that!(newer, eq(NewsEffect::Changed));
    expect_that!(repeated, eq(NewsEffect::Known));
    expect_that!(limits.limit("s1", INCARNATION), some(eq(1.0)));
}

#[gtest]
fn end_of_a_limit_is_told_for_a_while_and_remembered_longer() {
    let mut limits = RateLimits::default();
    record(&mut limits, 1_000, Some(2.0));
    record(&mut limits, 2_000, None);
    let soon = limits.news(at(3_000));
    record(&mut limits, 31_000, None);

    expect_that!(soon, elements_are![eq(&told(None, 1_000))]);
    expect_that!(limits.news(at(40_000)), is_empty());
    // An entry that was cut off still believes in the limit.
    let late = limits.apply(at(40_000), &told(Some(2.0), 38_500));
    expect_that!(late, eq(NewsEffect::Outdated));
    expect_that!(
        limits.statement(at(40_000), "s1"),
        some(eq(&told(None, 9_000)))
    );
}

#[gtest]
fn news_of_servers_without_limits_are_not_kept() {
    let mut limits = RateLimits::default();

    for server in 0..10_000 {
        let server = format!("s{server}");
        limits.record(at(100), at(90), &server, INCARNATION, None);
    }

    expect_that!(limits.news(at(100)), is_empty());
}

#[gtest]
fn number_of_statements_is_bounded_and_the_oldest_go_first() {
    let mut limits = RateLimits::default();

    for server in 0..5_000 {
        let name = format!("s{server}");
        limits.record(at(server), at(server), &name, INCARNATION, Some(1.0));
    }

    expect_that!(limits.count(), eq(4_096));
    expect_that!(limits.limit("s0", INCARNATION), none());
    expect_that!(limits.limit("s4999", INCARNATION), some(eq(1.0)));
}

#[gtest]
fn statement_that_nothing_confirms_expires() {
    let mut limits = RateLimits::default();
    record(&mut limits, 1_000, Some(2.0));

    limits.record(at(700_000), at(699_990), "s2", INCARNATION, Some(1.0));

    expect_that!(limits.limit("s1", INCARNATION), none());
    expect_that!(limits.count(), eq(1));
}

/// Entries that exchange what they know in any order, with losses, agree in the end.
#[gtest]
fn entries_agree_after_any_exchange() {
    use rand::{RngExt, SeedableRng};
    for seed in 0..200 {
        let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut entries: Vec<RateLimits> = Vec::new();
        entries.resize_with(5, RateLimits::default);
        let mut now = at(1_000);
        for _ in 0..60 {
            now += at(random.random_range(1..200));
            let entry = random.random_range(0..5);
            match random.random_range(0..3) {
                0 => {
                    let limit = random
                        .random_bool(0.7)
                        .then(|| f64::from(random.random_range(1..4)));
                    entries[entry].record(now, now - at(1), "s1", INCARNATION, limit);
                }
                _ => tell(&mut entries, now, entry, random.random_range(0..5)),
            }
        }
        for _ in 0..2 {
            for from in 0..5 {
                for to in 0..5 {
                    tell(&mut entries, now, from, to);
                }
            }
        }
        let limits: Vec<_> = entries
            .iter()
            .map(|it| it.limit("s1", INCARNATION))
            .collect();
        expect_that!(limits, each(eq(&limits[0])), "seed {seed}");
    }
}

/// One entry tells another what it knows, and is told in return where it knows less.
fn tell(entries: &mut [RateLimits], now: Duration, from: usize, to: usize) {
    for statement in entries[from].news(now) {
        if entries[to].apply(now, &statement) == NewsEffect::Outdated {
            let reply = entries[to].statement(now, "s1").unwrap();
            entries[from].apply(now, &reply);
        }
    }
}

#[gtest]
fn statements_that_hold_no_number_are_invalid() {
    for limit in [f64::NAN, f64::INFINITY, -1.0] {
        expect_that!(told(Some(limit), 0).is_valid(), eq(false));
    }
    for limit in [None, Some(0.0), Some(2.5)] {
        expect_that!(told(limit, 0).is_valid(), eq(true));
    }
}
