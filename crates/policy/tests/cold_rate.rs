//! Cold servers that return together get no more requests than their declared rate, over all
//! entries.

use std::{
    collections::VecDeque,
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use googletest::prelude::*;
use jj_policy::{
    placement::{PlacementConfig, ServerCandidate, choose_server},
    rate_share::{EntryShare, RateAllowances, SharedRate, entry_share},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENTRIES: usize = 32;
const SERVERS: usize = 72;
/// Servers that return cold at the beginning.
const COLD: usize = 18;
const SLOTS: u32 = 10;
/// Declared rate of one cold server, in requests per second.
const RATE: f64 = 14.0;
/// Accepted maximum of requests in any second, as a multiple of the rate and an addition.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const MAX_PER_SECOND: usize = (OVERAGE * RATE + SLACK) as usize;
const RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Age of what an entry knows of the others' requests.
const UPDATE_AGE: Duration = Duration::from_millis(10);
const STEP: Duration = Duration::from_millis(1);
const END: Duration = Duration::from_secs(3);

/// Requests at each of the other servers at the beginning of the replay.
const WARM_REQUESTS: u32 = 5;

struct Sent {
    at: Duration,
    entry: usize,
    server: usize,
}

struct World {
    sent: VecDeque<Sent>,
    allowances: Vec<RateAllowances>,
    starts: Vec<Vec<Duration>>,
    without_server: usize,
    is_limited: bool,
}

fn ip(entry: usize) -> IpAddr {
    Ipv4Addr::from_bits(0x0a00_0000 + entry as u32).into()
}

fn world(is_limited: bool) -> World {
    let allowances = (0..ENTRIES).map(|_| RateAllowances::default());
    World {
        sent: VecDeque::new(),
        allowances: allowances.collect(),
        starts: vec![Vec::new(); COLD],
        without_server: 0,
        is_limited,
    }
}

impl World {
    fn candidate(
        &mut self,
        now: Duration,
        entry: usize,
        server: usize,
        draw: u64,
    ) -> ServerCandidate {
        let here = self.sent.iter().filter(|it| it.server == server);
        let (own, others): (Vec<&Sent>, Vec<&Sent>) = here.partition(|it| it.entry == entry);
        let known = others.iter().filter(|it| it.at + UPDATE_AGE <= now).count() as u32;
        let is_cold = server < COLD;
        let id = server.to_string();
        let rate = SharedRate::of_cold_server(RATE, OVERAGE, SLACK);
        let share_of = |rate| {
            let others: Vec<IpAddr> = (0..ENTRIES).filter(|it| *it != entry).map(ip).collect();
            entry_share(rate, &id, ip(entry), others.into_iter())
        };
        let room = || self.allowances[entry].available(now, &id, rate, draw, share_of);
        ServerCandidate {
            id: server.to_string(),
            is_same_domain: false,
            slots: SLOTS,
            local_requests: own.len() as u32,
            remote_requests: if is_cold {
                known
            } else {
                known.max(WARM_REQUESTS)
            },
            is_avoided: false,
            failed_part: 0.0,
            allowance: (is_cold && self.is_limited).then(room),
            was_tried: false,
        }
    }

    fn arrive(&mut self, now: Duration, entry: usize, draw: u64) {
        let candidates: Vec<ServerCandidate> = (0..SERVERS)
            .map(|server| self.candidate(now, entry, server, draw))
            .collect();
        let Some(chosen) = choose_server(&PlacementConfig::default(), &candidates, draw) else {
            self.without_server += 1;
            return;
        };
        let server: usize = chosen.id.parse().unwrap();
        if server < COLD {
            self.starts[server].push(now);
            self.allowances[entry].consume(&chosen.id);
        }
        let at = now;
        self.sent.push_back(Sent { at, entry, server });
    }

    /// Returns the maximum number of requests in any second at one cold server.
    fn max_per_second(&self) -> usize {
        let windows = self.starts.iter().flat_map(|starts| {
            starts.iter().map(|first| {
                let within =
                    |it: &&Duration| *it >= first && **it < *first + Duration::from_secs(1);
                starts.iter().filter(within).count()
            })
        });
        windows.max().unwrap_or_default()
    }
}

/// Replays a failure domain whose servers return cold, at 1,500 requests per second over all
/// entries.
fn replay(is_limited: bool) -> World {
    let mut draws = Pcg64Mcg::seed_from_u64(20_261_204);
    let mut world = world(is_limited);
    let mut now = Duration::ZERO;
    while now < END {
        while world
            .sent
            .front()
            .is_some_and(|it| it.at + RESPONSE_TIME <= now)
        {
            world.sent.pop_front();
        }
        let arrivals = if draws.random_bool(0.5) { 2 } else { 1 };
        for _ in 0..arrivals {
            let entry = draws.random_range(0..ENTRIES);
            let draw = draws.random();
            world.arrive(now, entry, draw);
        }
        now += STEP;
    }
    world
}

#[gtest]
fn cold_servers_of_a_returned_failure_domain_stay_within_their_rate() {
    let naive = replay(false);
    let limited = replay(true);

    println!(
        "requests in the busiest second: {} without a limit, {} with",
        naive.max_per_second(),
        limited.max_per_second()
    );
    expect_that!(naive.max_per_second(), gt(MAX_PER_SECOND));
    expect_that!(limited.max_per_second(), le(MAX_PER_SECOND));
    expect_that!(limited.without_server, eq(0));
}

/// Entries of a large fleet, each with a request for the only cold server at the same moment, after
/// a time without any.
const LARGE_FLEET: usize = 149;

/// Returns how many requests reach a cold server in the second after a quiet time.
fn burst_after_quiet_time(share_of: impl Fn(SharedRate, usize) -> EntryShare) -> usize {
    let rate = SharedRate::of_cold_server(RATE, OVERAGE, SLACK);
    let mut sent = 0;
    for entry in 0..LARGE_FLEET {
        let mut allowances = RateAllowances::default();
        let mut available = |ms: u64| {
            let now = Duration::from_millis(ms);
            allowances.available(now, "cold", rate, 0, |rate| share_of(rate, entry))
        };
        available(0);
        sent += available(20_000) as usize;
    }
    sent
}

#[gtest]
fn large_fleet_sends_no_burst_to_a_cold_server_after_a_quiet_time() {
    let equal_shares = burst_after_quiet_time(|rate, _| EntryShare {
        rate: rate.rate / LARGE_FLEET as f64,
        burst: 1.0,
    });
    let shares_of_few = burst_after_quiet_time(|rate, entry| {
        let others: Vec<IpAddr> = (0..LARGE_FLEET).filter(|it| *it != entry).map(ip).collect();
        entry_share(rate, "cold", ip(entry), others.into_iter())
    });

    println!("requests at once: {equal_shares} with equal shares, {shares_of_few} with few");
    expect_that!(equal_shares, gt(MAX_PER_SECOND));
    expect_that!(shares_of_few + RATE as usize, le(MAX_PER_SECOND));
}
