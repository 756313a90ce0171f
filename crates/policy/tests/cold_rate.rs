//! Cold servers that return together get what they bear, over all entries.

use std::{collections::VecDeque, time::Duration};

use googletest::prelude::*;
use jj_policy::{
    cold_rate::{ColdAllowance, entry_rate},
    placement::{PlacementConfig, ServerCandidate, choose_server},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENTRIES: usize = 32;
const SERVERS: usize = 72;
/// Servers that return cold at the beginning.
const COLD: usize = 18;
const SLOTS: u32 = 10;
/// Declared rate of one cold server, in requests a second.
const RATE: f64 = 14.0;
/// Bound of the users on the requests of any second: half more, and five.
const BOUND: usize = 26;
const ANSWER: Duration = Duration::from_millis(250);
/// Age of what an entry knows of the others.
const NEWS: Duration = Duration::from_millis(10);
const STEP: Duration = Duration::from_millis(1);
const END: Duration = Duration::from_secs(3);

/// Requests over all servers that were there all the time, at the beginning of the replay.
const AT_WORK: u32 = 5;

struct Sent {
    at: Duration,
    entry: usize,
    server: usize,
}

struct World {
    sent: VecDeque<Sent>,
    allowances: Vec<Vec<ColdAllowance>>,
    starts: Vec<Vec<Duration>>,
    waited: usize,
    is_gated: bool,
}

fn world(is_gated: bool, draws: &mut Pcg64Mcg) -> World {
    let allowances = (0..ENTRIES).map(|_| {
        let draw = |_| ColdAllowance::new(Duration::ZERO, draws.random());
        (0..COLD).map(draw).collect()
    });
    World {
        sent: VecDeque::new(),
        allowances: allowances.collect(),
        starts: vec![Vec::new(); COLD],
        waited: 0,
        is_gated,
    }
}

impl World {
    fn candidate(&mut self, now: Duration, entry: usize, server: usize) -> ServerCandidate {
        let here = self.sent.iter().filter(|it| it.server == server);
        let (own, others): (Vec<&Sent>, Vec<&Sent>) = here.partition(|it| it.entry == entry);
        let known = others.iter().filter(|it| it.at + NEWS <= now).count() as u32;
        let is_cold = server < COLD;
        let rate = entry_rate(RATE, ENTRIES);
        let room = || self.allowances[entry][server].available(rate, now);
        ServerCandidate {
            id: server.to_string(),
            is_same_domain: false,
            slots: SLOTS,
            local_requests: own.len() as u32,
            remote_requests: if is_cold { known } else { known.max(AT_WORK) },
            is_avoided: false,
            cold_allowance: (is_cold && self.is_gated).then(room),
            was_tried: false,
        }
    }

    fn arrive(&mut self, now: Duration, entry: usize, draw: u64) {
        let candidates: Vec<ServerCandidate> = (0..SERVERS)
            .map(|server| self.candidate(now, entry, server))
            .collect();
        let Some(chosen) = choose_server(&PlacementConfig::default(), &candidates, draw) else {
            self.waited += 1;
            return;
        };
        let server: usize = chosen.id.parse().unwrap();
        if server < COLD {
            self.starts[server].push(now);
            self.allowances[entry][server].consume();
        }
        let at = now;
        self.sent.push_back(Sent { at, entry, server });
    }

    /// Most requests of any second at one cold server.
    fn most(&self) -> usize {
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

/// A failure domain's servers return cold at a rate of 1,500 requests a second over all entries.
fn replay(is_gated: bool) -> World {
    let mut draws = Pcg64Mcg::seed_from_u64(20_261_204);
    let mut world = world(is_gated, &mut draws);
    let mut now = Duration::ZERO;
    while now < END {
        while world.sent.front().is_some_and(|it| it.at + ANSWER <= now) {
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
fn cold_servers_of_a_returned_failure_domain_get_no_more_than_they_bear() {
    let naive = replay(false);
    let gated = replay(true);

    println!(
        "most in a second: {} without a bound, {} with",
        naive.most(),
        gated.most()
    );
    expect_that!(naive.most(), gt(BOUND));
    expect_that!(gated.most(), le(BOUND));
    expect_that!(gated.waited, eq(0));
}

#[gtest]
fn an_allowance_that_is_not_used_does_not_pile_up() {
    let mut allowance = ColdAllowance::new(Duration::ZERO, 0);

    expect_that!(allowance.available(2.0, Duration::from_millis(400)), eq(0));
    expect_that!(allowance.available(2.0, Duration::from_millis(500)), eq(1));
    expect_that!(allowance.available(2.0, Duration::from_secs(60)), eq(1));
    allowance.consume();
    expect_that!(
        allowance.available(2.0, Duration::from_millis(60_400)),
        eq(0)
    );
}
