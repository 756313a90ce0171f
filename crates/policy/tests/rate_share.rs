//! Servers with a shared rate get no more than it from all entries together, and not much less.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use googletest::prelude::*;
use jj_policy::rate_share::{
    EntryShare, RateAllowances, RequestTimes, SharedRate, entry_share, time_of_request,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVER: &str = "s1";

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which an entry that has fallen silent is known to the others.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

const STEP: Duration = Duration::from_millis(5);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ip(entry: usize) -> IpAddr {
    Ipv4Addr::from_bits(0x0a00_0000 + entry as u32).into()
}

/// Returns the most requests that a server with a limit may get in a window.
fn max_allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the share of an entry in a fleet.
fn share(shared: SharedRate, server: &str, own: usize, known: &[usize]) -> EntryShare {
    let others: Vec<IpAddr> = known
        .iter()
        .filter(|it| **it != own)
        .map(|it| ip(*it))
        .collect();
    entry_share(shared, server, ip(own), others.into_iter())
}

/// Returns an equal share for each entry, which saves up one request.
fn equal_share(shared: SharedRate, _: &str, _: usize, known: &[usize]) -> EntryShare {
    EntryShare {
        rate: shared.rate / known.len() as f64,
        burst: 1.0,
    }
}

type ShareOf = fn(SharedRate, &str, usize, &[usize]) -> EntryShare;

/// Requests a second that an entry would send to the limited server at a time, were there no limit.
type Demand = fn(Duration, usize) -> f64;

/// A fleet of entries that all prefer one limited server.
struct Replay {
    entries: usize,
    limit: f64,
    share_of: ShareOf,
    demand: Demand,
    /// Entries that an entry knows at a time.
    known: fn(Duration, usize, usize) -> Vec<usize>,
    length: Duration,
}

impl Replay {
    fn new(entries: usize, limit: f64) -> Self {
        Self {
            entries,
            limit,
            share_of: share,
            demand: |_, _| 3.0,
            known: |_, _, entries| (0..entries).collect(),
            length: Duration::from_secs(40),
        }
    }

    /// Returns when requests were sent to the limited server.
    fn sent(&self, seed: u64) -> Vec<Duration> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let shared = SharedRate::of_limit(self.limit);
        let mut allowances: Vec<RateAllowances> = Vec::new();
        allowances.resize_with(self.entries, RateAllowances::default);
        let mut sent = Vec::new();
        let mut now = Duration::ZERO;
        while now < self.length {
            for (entry, allowance) in allowances.iter_mut().enumerate() {
                if !random.random_bool((self.demand)(now, entry) * STEP.as_secs_f64()) {
                    continue;
                }
                let share_of = |rate| {
                    let known = (self.known)(now, entry, self.entries);
                    (self.share_of)(rate, SERVER, entry, &known)
                };
                if allowance.available(now, SERVER, shared, random.random(), share_of) > 0 {
                    allowance.consume(SERVER);
                    sent.push(now);
                }
            }
            now += STEP;
        }
        sent
    }

    /// Returns the highest number of requests in any window, over some seeds.
    fn max_in_window(&self) -> usize {
        let of_seed = |seed| {
            let sent = self.sent(seed);
            let in_window = |first: &Duration| {
                let within = |it: &&Duration| first <= *it && **it < *first + WINDOW;
                sent.iter().filter(within).count()
            };
            sent.iter().map(in_window).max().unwrap_or_default()
        };
        (1..=10).map(of_seed).max().unwrap_or_default()
    }

    /// Returns the part of the limit that was used, over some seeds.
    fn used_part(&self) -> f64 {
        let sent: usize = (1..=10).map(|seed| self.sent(seed).len()).sum();
        sent as f64 / 10.0 / self.length.as_secs_f64() / self.limit
    }
}

const FLEETS: [usize; 6] = [1, 3, 6, 9, 40, 149];
const LIMITS: [f64; 6] = [0.0, 0.5, 1.0, 2.4, 3.5, 8.0];

/// Nothing for a while, then many requests at once.
fn bursts(now: Duration, _: usize) -> f64 {
    match now.as_secs() % 12 {
        11 => 20.0,
        _ => 0.0,
    }
}

#[gtest]
fn limited_server_gets_no_more_than_its_limit_from_fleets_of_any_size() {
    for entries in FLEETS {
        for limit in LIMITS {
            for demand in [bursts as Demand, |_, _| 3.0, |_, _| 0.1, |_, _| 40.0] {
                let replay = Replay {
                    demand,
                    ..Replay::new(entries, limit)
                };
                let most = replay.max_in_window();
                expect_that!(
                    most,
                    le(max_allowed(limit)),
                    "{entries} entries, limit {limit}"
                );
            }
        }
    }
}

#[gtest]
fn equal_shares_of_a_large_fleet_are_a_burst_after_a_quiet_time() {
    for entries in [40, 149] {
        let replay = Replay {
            demand: bursts,
            share_of: equal_share,
            ..Replay::new(entries, 1.0)
        };
        let most = replay.max_in_window();
        println!(
            "{entries} entries: {most} in a window, allowed {}",
            max_allowed(1.0)
        );
        expect_that!(most, gt(max_allowed(1.0)));
    }
}

#[gtest]
fn most_of_a_limit_is_used_where_there_are_enough_requests() {
    for entries in FLEETS {
        for limit in [1.0, 2.4, 3.5, 8.0] {
            let used = Replay::new(entries, limit).used_part();
            println!("{entries} entries, limit {limit}: {used:.2} used");
            let enough = entries as f64 * 3.0 > 2.0 * limit;
            if enough {
                expect_that!(used, gt(0.7), "{entries} entries, limit {limit}");
            }
        }
    }
}

/// Returns when an entry joins the fleet: six at the beginning, then one each second.
fn joining(entry: usize) -> Duration {
    Duration::from_secs(entry.saturating_sub(6) as u64)
}

#[gtest]
fn limit_holds_while_entries_join_and_learn_of_each_other_late() {
    let replay = Replay {
        demand: |now, entry| if now < joining(entry) { 0.0 } else { 3.0 },
        known: |now, own, entries| {
            let late = at(own as u64 * 370 % 1_000);
            let is_known = |it: &usize| *it == own || joining(*it) + late <= now;
            (0..entries).filter(is_known).collect()
        },
        ..Replay::new(40, 2.0)
    };

    expect_that!(replay.max_in_window(), le(max_allowed(2.0)));
}

/// When the two halves of a fleet are cut off from each other.
const CUT: Duration = Duration::from_secs(5);

/// Returns the entries that an entry has heard from within a time.
fn heard(now: Duration, own: usize, entries: usize, timeout: Duration) -> Vec<usize> {
    let is_heard = |it: &usize| now < CUT + timeout || *it % 2 == own % 2;
    (0..entries).filter(is_heard).collect()
}

#[gtest]
fn limit_holds_while_the_halves_of_a_fleet_are_cut_off_from_each_other() {
    let cut = Replay {
        length: CUT + REMOVAL_TIMEOUT,
        ..Replay::new(9, 2.4)
    };
    let known = Replay {
        known: |now, own, entries| heard(now, own, entries, REMOVAL_TIMEOUT),
        ..cut
    };
    let alive_only = Replay {
        known: |now, own, entries| heard(now, own, entries, Duration::from_secs(1)),
        ..cut
    };

    let most = [known.max_in_window(), alive_only.max_in_window()];
    println!("in a window: {most:?}, allowed {}", max_allowed(2.4));
    expect_that!(most[0], le(max_allowed(2.4)));
    expect_that!(most[1], gt(max_allowed(2.4)));
}

#[gtest]
fn entries_that_know_the_same_others_agree_on_who_shares_a_rate() {
    let shared = SharedRate {
        rate: 10.0,
        burst: 4.9,
    };
    let known: Vec<usize> = (0..149).collect();
    for server in ["a", "b", "c", "d"] {
        let shares: Vec<EntryShare> = known
            .iter()
            .map(|own| share(shared, server, *own, &known))
            .collect();
        let holders = shares.iter().filter(|it| it.rate > 0.0).count();
        let rate: f64 = shares.iter().map(|it| it.rate).sum();
        let burst: f64 = shares.iter().map(|it| it.burst).sum();
        expect_that!(holders, eq(4));
        expect_that!(rate, approx_eq(10.0));
        expect_that!(burst, le(4.9 + 1e-9));
    }
}

#[gtest]
fn servers_are_shared_by_different_entries() {
    let shared = SharedRate::of_limit(1.0);
    let known: Vec<usize> = (0..149).collect();
    let holds = |entry: usize| {
        let holds = |server: usize| share(shared, &server.to_string(), entry, &known).rate > 0.0;
        (0..134).filter(|it| holds(*it)).count()
    };

    let held: Vec<usize> = known.iter().map(|it| holds(*it)).collect();

    // 134 servers with 4 entries each.
    expect_that!(held.iter().sum::<usize>(), eq(536));
    expect_that!(held, each(lt(&14)));
}

fn available(allowances: &mut RateAllowances, ms: u64, shared: SharedRate) -> u32 {
    let share_of = |shared: SharedRate| EntryShare {
        rate: shared.rate,
        burst: 1.0,
    };
    allowances.available(at(ms), SERVER, shared, 0, share_of)
}

#[gtest]
fn unused_allowance_does_not_accumulate() {
    let mut allowances = RateAllowances::default();
    let rate = SharedRate {
        rate: 2.0,
        burst: 1.0,
    };

    expect_that!(available(&mut allowances, 0, rate), eq(0));
    expect_that!(available(&mut allowances, 400, rate), eq(0));
    expect_that!(available(&mut allowances, 500, rate), eq(1));
    expect_that!(available(&mut allowances, 60_000, rate), eq(1));
    allowances.consume(SERVER);
    expect_that!(available(&mut allowances, 60_400, rate), eq(0));
}

#[gtest]
fn lower_rate_holds_at_once() {
    let mut allowances = RateAllowances::default();
    let [high, low] = [10.0, 1.0].map(|rate| SharedRate { rate, burst: 1.0 });
    available(&mut allowances, 0, high);
    available(&mut allowances, 1_000, high);
    allowances.consume(SERVER);

    expect_that!(available(&mut allowances, 1_050, low), eq(0));
    expect_that!(available(&mut allowances, 1_400, low), eq(0));
    expect_that!(available(&mut allowances, 1_600, low), eq(1));
}

#[gtest]
fn cold_server_shares_leave_half_of_the_slack() {
    let shared = SharedRate::of_cold_server(36.0, 1.5, 5.0);

    expect_that!(shared.rate, approx_eq(36.0));
    expect_that!(shared.burst, approx_eq(11.5));
    let without_slack = SharedRate::of_cold_server(4.0, 1.0, 0.0);
    expect_that!(without_slack.burst, approx_eq(1.0));
}

#[gtest]
fn request_behind_others_is_sent_when_its_turn_has_come_at_any_server() {
    let times = |first: u64, interval: u64| RequestTimes {
        first: at(first),
        interval: at(interval),
    };
    let servers = [times(100, 400), times(50, 1_000)];

    let sent: Vec<_> = (0..5).map(|it| time_of_request(&servers, it)).collect();

    let expected = [50, 100, 500, 900, 1_050].map(|it| Some(at(it)));
    expect_that!(sent, eq(&expected));
    expect_that!(time_of_request(&[], 0), none());
}
