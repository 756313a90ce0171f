//! Cold servers that return together get no more requests than their declared rate, over all
//! entries.

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use jj_policy::{
    placement::{PlacementConfig, ServerCandidate, choose_server},
    rate_share::{RateAllowances, SharedRate, equal_share},
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
        let rate = SharedRate::of_cold_server(RATE);
        let share_of = |rate| equal_share(rate, ENTRIES);
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
