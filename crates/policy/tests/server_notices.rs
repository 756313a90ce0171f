//! Leave and pause notices of servers, and the cost of sharing pauses between entries.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::server_notices::{
    NoticeConfig, PauseAction, ServerAccess, ServerNotices, decide_while_paused,
};
use jj_utils::clock::Timestamp;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const DRAIN: Duration = Duration::from_secs(2);
const INCARNATION: Option<u64> = Some(500);

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn access(notices: &ServerNotices, now: u64) -> ServerAccess {
    notices.access(at(now), "s1", INCARNATION, DRAIN)
}

#[gtest]
fn leaving_server_is_the_last_resort_until_the_drain_margin_then_closed() {
    let mut notices = ServerNotices::default();

    let is_new = notices.record_leave(at(1_000), "s1", INCARNATION);
    let again = notices.record_leave(at(2_400), "s1", INCARNATION);

    expect_that!([is_new, again], eq([true, false]));
    expect_that!(access(&notices, 1_000), eq(ServerAccess::LastResort));
    expect_that!(access(&notices, 2_499), eq(ServerAccess::LastResort));
    // Counted from the first notice, less the time for a request to arrive.
    expect_that!(access(&notices, 2_500), eq(ServerAccess::Closed));
    expect_that!(access(&notices, 9_000_000), eq(ServerAccess::Closed));
    expect_that!(
        notices.access(at(2_500), "s2", INCARNATION, DRAIN),
        eq(ServerAccess::Open)
    );
}

#[gtest]
fn only_a_later_incarnation_ends_a_notice() {
    let mut notices = ServerNotices::default();
    notices.record_leave(at(0), "s1", INCARNATION);
    notices.record_pause(at(0), "s1", INCARNATION, ms(50_000));

    for (incarnation, expected) in [
        (Some(499), ServerAccess::Closed),
        (Some(500), ServerAccess::Closed),
        (None, ServerAccess::Closed),
        (Some(501), ServerAccess::Open),
    ] {
        let found = notices.access(at(5_000), "s1", incarnation, DRAIN);
        expect_that!(found, eq(expected), "{incarnation:?}");
    }
}

/// An update from another entry may be older than what is known here.
#[gtest]
fn notice_of_an_earlier_incarnation_is_ignored() {
    let mut notices = ServerNotices::default();
    notices.record_pause(at(0), "s1", Some(600), ms(100));

    let is_new = notices.record_leave(at(0), "s1", Some(500));

    expect_that!(is_new, eq(false));
    let later = notices.access(at(5_000), "s1", Some(600), DRAIN);
    expect_that!(later, eq(ServerAccess::Open));
}

#[gtest]
fn later_incarnation_starts_without_earlier_notices() {
    let mut notices = ServerNotices::default();
    notices.record_leave(at(0), "s1", Some(500));

    notices.record_pause(at(9_000), "s1", Some(600), ms(100));

    let later = notices.access(at(9_100), "s1", Some(600), DRAIN);
    expect_that!(later, eq(ServerAccess::Open));
}

#[gtest]
fn pause_lasts_as_long_as_asked_up_to_the_maximum() {
    let mut notices = ServerNotices::default();
    let longest = NoticeConfig::default().max_pause;

    notices.record_pause(at(0), "s1", INCARNATION, ms(700));
    notices.record_pause(at(100), "s1", INCARNATION, ms(200));
    let until = notices.record_pause(at(0), "s2", INCARNATION, Duration::MAX);

    let paused = ServerAccess::Paused { until: at(700) };
    expect_that!(access(&notices, 699), eq(paused));
    expect_that!(access(&notices, 700), eq(ServerAccess::Open));
    expect_that!(until, eq(Timestamp::ZERO + longest));
}

#[gtest]
fn oldest_notice_is_evicted_at_the_maximum_number_of_servers() {
    let mut notices = ServerNotices::default();
    let max_servers = NoticeConfig::default().max_servers as u64;

    for server in 0..max_servers + 10 {
        notices.record_leave(at(server), &format!("s{server}"), INCARNATION);
    }

    let last = format!("s{}", max_servers + 9);
    let kept = notices.access(at(max_servers + 100), &last, INCARNATION, DRAIN);
    expect_that!(kept, eq(ServerAccess::LastResort));
    let oldest = notices.access(at(max_servers + 100), "s0", INCARNATION, DRAIN);
    expect_that!(oldest, eq(ServerAccess::Open));
}

#[gtest]
fn request_that_no_server_will_accept_is_rejected_at_once_however_long_it_could_wait() {
    let rejected = decide_while_paused(at(100), None, at(60_000), 0);

    expect_that!(rejected, eq(PauseAction::Reject(ms(500))));
}

#[gtest]
fn request_waits_if_a_pause_ends_in_time_and_else_is_rejected_until_its_end() {
    let in_time = decide_while_paused(at(100), Some(at(140)), at(167), 0);
    let retry_delays: Vec<Duration> = (0..50)
        .filter_map(
            |draw| match decide_while_paused(at(100), Some(at(900)), at(167), draw << 58) {
                PauseAction::Reject(after) => Some(after),
                PauseAction::Wait => None,
            },
        )
        .collect();

    expect_that!(in_time, eq(PauseAction::Wait));
    expect_that!(retry_delays.len(), eq(50));
    expect_that!(retry_delays, each(all![ge(&ms(800)), le(&ms(1_200))]));
    let spread = retry_delays.iter().max().copied().unwrap_or_default() - ms(800);
    expect_that!(spread, gt(ms(200)));
}

/// Entries that respect a pause.
#[derive(Clone, Copy, PartialEq)]
enum PauseScope {
    /// No entry respects the pause.
    Ignored,
    /// Only the entry that was rejected respects it.
    Own,
    /// All entries respect it.
    All,
}

/// Results of a burst of requests.
#[derive(Debug, Default)]
struct Burst {
    served: u32,
    /// Requests that servers rejected.
    rejected_by_servers: u32,
    /// Requests sent during a pause that the server had asked of their entry.
    sent_in_pause: u32,
    /// Requests rejected by entries.
    rejected_by_entries: u32,
}

const SERVERS: usize = 3;
const ENTRIES: usize = 9;
const SLOTS: usize = 6;
const QUEUE: usize = 6;
const WORK: u64 = 15;
const PAUSE: Duration = Duration::from_millis(400);

/// Simulates a service near twice its capacity for four seconds. Servers have a short queue and
/// reject what exceeds it; entries know each other's requests 10 ms late.
fn burst(scope: PauseScope, seed: u64) -> Burst {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut notices: Vec<ServerNotices> = (0..ENTRIES).map(|_| ServerNotices::default()).collect();
    let mut at_server: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
    let mut load_history: Vec<Vec<usize>> = Vec::new();
    let mut found = Burst::default();
    for now in 0..4_000 {
        for ends in &mut at_server {
            let before = ends.len();
            ends.retain(|end| *end > now);
            found.served += (before - ends.len()) as u32;
        }
        load_history.push(at_server.iter().map(Vec::len).collect());
        let known = &load_history[load_history.len().saturating_sub(10)];
        // 2.2 arrivals per millisecond, where the capacity is 1.2.
        let arrivals = 2 + u32::from(random.random_bool(0.2));
        for _ in 0..arrivals {
            let entry = random.next_u64() as usize % ENTRIES;
            let is_open = |server: usize| {
                let name = server.to_string();
                let access = notices[entry].access(at(now), &name, INCARNATION, DRAIN);
                scope == PauseScope::Ignored || access.is_allowed()
            };
            let least = (0..SERVERS)
                .filter(|server| is_open(*server))
                .min_by_key(|it| (known[*it], random.next_u64()));
            let Some(server) = least else {
                found.rejected_by_entries += 1;
                continue;
            };
            let name = server.to_string();
            let access = notices[entry].access(at(now), &name, INCARNATION, DRAIN);
            found.sent_in_pause += u32::from(!access.is_allowed());
            let ends = &mut at_server[server];
            if ends.len() >= SLOTS + QUEUE {
                found.rejected_by_servers += 1;
                let respecting = match scope {
                    PauseScope::All => 0..ENTRIES,
                    PauseScope::Own | PauseScope::Ignored => entry..entry + 1,
                };
                for entry in respecting {
                    notices[entry].record_pause(at(now), &name, INCARNATION, PAUSE);
                }
                continue;
            }
            let first_free = match ends.len() < SLOTS {
                true => now,
                false => ends[ends.len() - SLOTS],
            };
            ends.push(first_free + WORK);
        }
    }
    found
}

#[gtest]
fn pauses_of_one_entry_are_respected_and_serve_more_than_shared_ones() {
    for seed in 1..=5 {
        let ignored = burst(PauseScope::Ignored, seed);
        let own = burst(PauseScope::Own, seed);
        let all = burst(PauseScope::All, seed);

        println!("seed {seed}: ignored {ignored:?}, own {own:?}, shared {all:?}");
        expect_that!(ignored.sent_in_pause, gt(1_000));
        expect_that!(own.sent_in_pause, eq(0));
        // If all entries respect the pause of one, the servers run empty before it ends.
        expect_that!(own.served, gt(all.served));
    }
}
