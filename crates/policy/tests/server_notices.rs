//! What servers ask of those who send to them, and what it is worth to pass a pause on.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::server_notices::{
    NoticeConfig, PauseAction, ServerAccess, ServerNotices, decide_while_paused,
};
use jj_utils::clock::Timestamp;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const DRAIN: Duration = Duration::from_secs(2);
const LIFE: Option<u64> = Some(500);

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn access(notices: &ServerNotices, now: u64) -> ServerAccess {
    notices.access(at(now), "s1", LIFE, DRAIN)
}

#[gtest]
fn a_leaving_server_is_the_last_choice_and_then_none() {
    let mut notices = ServerNotices::default();

    let is_new = notices.record_leave(at(1_000), "s1", LIFE);
    let again = notices.record_leave(at(2_400), "s1", LIFE);

    expect_that!([is_new, again], eq([true, false]));
    expect_that!(access(&notices, 1_000), eq(ServerAccess::LastResort));
    expect_that!(access(&notices, 2_499), eq(ServerAccess::LastResort));
    // Counted from the first time that it said so, with time for a request to get there.
    expect_that!(access(&notices, 2_500), eq(ServerAccess::Closed));
    expect_that!(access(&notices, 9_000_000), eq(ServerAccess::Closed));
    expect_that!(
        notices.access(at(2_500), "s2", LIFE, DRAIN),
        eq(ServerAccess::Open)
    );
}

#[gtest]
fn only_a_later_life_ends_what_a_server_has_said() {
    let mut notices = ServerNotices::default();
    notices.record_leave(at(0), "s1", LIFE);
    notices.record_pause(at(0), "s1", LIFE, ms(50_000));

    for (life, expected) in [
        (Some(499), ServerAccess::Closed),
        (Some(500), ServerAccess::Closed),
        (None, ServerAccess::Closed),
        (Some(501), ServerAccess::Open),
    ] {
        let found = notices.access(at(5_000), "s1", life, DRAIN);
        expect_that!(found, eq(expected), "{life:?}");
    }
}

/// News of other entries may be older than what is known here.
#[gtest]
fn news_of_an_earlier_life_changes_nothing() {
    let mut notices = ServerNotices::default();
    notices.record_pause(at(0), "s1", Some(600), ms(100));

    let is_new = notices.record_leave(at(0), "s1", Some(500));

    expect_that!(is_new, eq(false));
    let later = notices.access(at(5_000), "s1", Some(600), DRAIN);
    expect_that!(later, eq(ServerAccess::Open));
}

#[gtest]
fn a_later_life_begins_without_the_notices_of_the_one_before() {
    let mut notices = ServerNotices::default();
    notices.record_leave(at(0), "s1", Some(500));

    notices.record_pause(at(9_000), "s1", Some(600), ms(100));

    let later = notices.access(at(9_100), "s1", Some(600), DRAIN);
    expect_that!(later, eq(ServerAccess::Open));
}

#[gtest]
fn a_pause_lasts_as_long_as_was_said_but_no_longer_than_is_believed() {
    let mut notices = ServerNotices::default();
    let longest = NoticeConfig::default().max_pause;

    notices.record_pause(at(0), "s1", LIFE, ms(700));
    notices.record_pause(at(100), "s1", LIFE, ms(200));
    let until = notices.record_pause(at(0), "s2", LIFE, Duration::MAX);

    let paused = ServerAccess::Paused { until: at(700) };
    expect_that!(access(&notices, 699), eq(paused));
    expect_that!(access(&notices, 700), eq(ServerAccess::Open));
    expect_that!(until, eq(Timestamp::ZERO + longest));
}

#[gtest]
fn notices_of_any_number_of_servers_take_a_bounded_space() {
    let mut notices = ServerNotices::default();
    let most = NoticeConfig::default().max_servers as u64;

    for server in 0..most + 10 {
        notices.record_leave(at(server), &format!("s{server}"), LIFE);
    }

    let last = format!("s{}", most + 9);
    let kept = notices.access(at(most + 100), &last, LIFE, DRAIN);
    expect_that!(kept, eq(ServerAccess::LastResort));
    let oldest = notices.access(at(most + 100), "s0", LIFE, DRAIN);
    expect_that!(oldest, eq(ServerAccess::Open));
}

#[gtest]
fn a_request_waits_for_a_server_that_opens_in_time_and_else_learns_when_it_does() {
    let waits = decide_while_paused(at(100), at(140), at(167), 0);
    let told: Vec<Duration> = (0..50)
        .filter_map(
            |draw| match decide_while_paused(at(100), at(900), at(167), draw << 58) {
                PauseAction::Reject(after) => Some(after),
                PauseAction::Wait => None,
            },
        )
        .collect();

    expect_that!(waits, eq(PauseAction::Wait));
    expect_that!(told.len(), eq(50));
    expect_that!(told, each(all![ge(&ms(800)), le(&ms(1_200))]));
    let spread = told.iter().max().copied().unwrap_or_default() - ms(800);
    expect_that!(spread, gt(ms(200)));
}

/// Whether an entry that a server has turned away tells the others.
#[derive(Clone, Copy, PartialEq)]
enum Sharing {
    /// Nobody heeds the pause.
    Ignored,
    /// It binds the entry that was turned away.
    Own,
    /// It binds all entries.
    All,
}

/// What became of the requests of a burst.
#[derive(Debug, Default)]
struct Burst {
    served: u32,
    /// Arrivals that servers turned away.
    turned_away: u32,
    /// Those within a pause that their server had asked of their entry.
    broken: u32,
    /// Requests rejected by entries.
    rejected: u32,
}

const SERVERS: usize = 3;
const ENTRIES: usize = 9;
const SLOTS: usize = 6;
const QUEUE: usize = 6;
const WORK: u64 = 15;
const PAUSE: Duration = Duration::from_millis(400);

/// A service near twice its capacity for four seconds: servers with a short queue that turn away what is
/// over it, and entries that know of each other's requests 10 ms late.
fn burst(sharing: Sharing, seed: u64) -> Burst {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut notices: Vec<ServerNotices> = (0..ENTRIES).map(|_| ServerNotices::default()).collect();
    let mut at_server: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
    let mut told: Vec<Vec<usize>> = Vec::new();
    let mut found = Burst::default();
    for now in 0..4_000 {
        for ends in &mut at_server {
            let before = ends.len();
            ends.retain(|end| *end > now);
            found.served += (before - ends.len()) as u32;
        }
        told.push(at_server.iter().map(Vec::len).collect());
        let known = &told[told.len().saturating_sub(10)];
        // 2.2 arrivals a millisecond where 1.2 are borne.
        let arrivals = 2 + u32::from(random.random_bool(0.2));
        for _ in 0..arrivals {
            let entry = random.next_u64() as usize % ENTRIES;
            let is_open = |server: usize| {
                let name = server.to_string();
                let access = notices[entry].access(at(now), &name, LIFE, DRAIN);
                sharing == Sharing::Ignored || access.is_allowed()
            };
            let least = (0..SERVERS)
                .filter(|server| is_open(*server))
                .min_by_key(|it| (known[*it], random.next_u64()));
            let Some(server) = least else {
                found.rejected += 1;
                continue;
            };
            let name = server.to_string();
            let asked = notices[entry].access(at(now), &name, LIFE, DRAIN);
            found.broken += u32::from(!asked.is_allowed());
            let ends = &mut at_server[server];
            if ends.len() >= SLOTS + QUEUE {
                found.turned_away += 1;
                let bound = match sharing {
                    Sharing::All => 0..ENTRIES,
                    Sharing::Own | Sharing::Ignored => entry..entry + 1,
                };
                for entry in bound {
                    notices[entry].record_pause(at(now), &name, LIFE, PAUSE);
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
fn pauses_that_bind_one_entry_are_kept_and_cost_less_than_shared_ones() {
    for seed in 1..=5 {
        let ignored = burst(Sharing::Ignored, seed);
        let own = burst(Sharing::Own, seed);
        let all = burst(Sharing::All, seed);

        println!("seed {seed}: ignored {ignored:?}, own {own:?}, shared {all:?}");
        expect_that!(ignored.broken, gt(1_000));
        expect_that!(own.broken, eq(0));
        // Where all heed the pause of one, the servers run empty before it is over.
        expect_that!(own.served, gt(all.served));
    }
}
