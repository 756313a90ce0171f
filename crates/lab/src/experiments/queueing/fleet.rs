//! The events of a run: arrivals, attempts, answers, heartbeats and faults.

mod agents;
mod entries;
mod faults;
mod parts;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use jj_policy::{
    admission::{RefusalReason, Ticket},
    membership::Heartbeat,
    retry::Attempts,
    routing::RoutingConfig,
};
use jj_utils::clock::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::parts::{Entry, Server, entry, report, self_report, server};
use super::{
    outcome::{LoadSample, Outcome},
    router::Method,
    traffic::{Arrival, Service, Workload},
};

/// Failure domains of the region.
pub const DOMAINS: usize = 3;

const ENTRIES: usize = 6;
const MODEL_SERVERS: usize = 16;
const DESK_SERVERS: usize = 3;

/// One-way time between failure domains, and within one.
const FAR: Duration = Duration::from_micros(1_500);
const NEAR: Duration = Duration::from_micros(100);

const HEARTBEAT: Duration = Duration::from_millis(500);
const TICK: Duration = Duration::from_millis(100);

/// Two periods of progress frames, after which a silent attempt is taken for lost.
const SILENCE: Duration = Duration::from_secs(1);

/// Longest time from publication to force, and for which callers keep addresses.
const CONFIG_DELAY_MS: u64 = 2_000;
const ADDRESS_LIFE_MS: u64 = 10_000;

/// Longest time for which an entry passes over a server that refused a request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

/// Lag and loss of cache events.
const CACHE_LAG: Duration = Duration::from_millis(400);
const CACHE_LOSS: f64 = 0.1;

/// What happens to the fleet, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Operators withdraw the failure domain.
    Withdraw(usize),
    /// The failure domain vanishes without notice.
    Cut(usize),
    /// The failure domain is back, all its processes new and cold.
    Return(usize),
    /// These many model servers vanish without notice.
    Lose(usize),
    /// The lost model servers are back cold.
    Restore(usize),
    /// A model server's times are multiplied.
    Slow(usize, f64),
}

/// One run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// How entries choose.
    pub method: Method,
    /// Tunables of the policy's choice.
    pub routing: RoutingConfig,
    /// Load.
    pub workload: Workload,
    /// Faults in the order of time.
    pub faults: Vec<(Timestamp, Fault)>,
    /// Seed of all that is not in the trace.
    pub seed: u64,
    /// Agents queue in order of arrival for one account, in place of fairly for each.
    pub single_queue: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive(usize),
    Attempt {
        request: usize,
    },
    Reach {
        request: usize,
        attempt: u32,
        server: usize,
    },
    FirstToken {
        server: usize,
        life: u64,
        ticket: Ticket,
    },
    Finish {
        server: usize,
        life: u64,
        ticket: Ticket,
    },
    Answered {
        request: usize,
        attempt: u32,
        server: usize,
    },
    Refused {
        request: usize,
        attempt: u32,
        server: usize,
        refusal: Refused,
    },
    Lost {
        request: usize,
        attempt: u32,
        server: usize,
    },
    Redial {
        request: usize,
    },
    Beat {
        entry: usize,
    },
    Tick,
    Fault(usize),
    EntryConfig {
        entry: usize,
        domain: usize,
        withdrawn: bool,
    },
    AgentConfig {
        server: usize,
        life: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Refused {
    reason: RefusalReason,
    retry_after: Duration,
}

#[derive(Default)]
struct Request {
    entry: usize,
    attempts: Attempts,
    number: u32,
    made: u32,
    first: Option<Duration>,
    hit: bool,
    counted: bool,
    done: bool,
}

/// Runs a trace against a fleet.
pub fn run(config: &RunConfig, arrivals: &[Arrival]) -> Outcome {
    let mut fleet = Fleet::new(config, arrivals);
    while let Some(Reverse((at, _, index))) = fleet.queue.pop() {
        fleet.now = at;
        let event = fleet.events[index];
        fleet.handle(event);
    }
    fleet.outcome
}

struct Fleet<'a> {
    config: &'a RunConfig,
    arrivals: &'a [Arrival],
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64, usize)>>,
    events: Vec<Event>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    tickets: Ticket,
    /// Since when callers may drop each domain's entries.
    withdrawn_at: [Option<Timestamp>; DOMAINS],
    rng: Pcg64Mcg,
    outcome: Outcome,
}

impl<'a> Fleet<'a> {
    fn new(config: &'a RunConfig, arrivals: &'a [Arrival]) -> Self {
        let servers: Vec<Server> = (0..MODEL_SERVERS + DESK_SERVERS).map(server).collect();
        let entry = |index: usize| entry(config, &servers, index);
        let mut fleet = Self {
            config,
            arrivals,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            entries: (0..ENTRIES).map(entry).collect(),
            servers,
            requests: arrivals.iter().map(|_| Request::default()).collect(),
            tickets: 0,
            withdrawn_at: [None; DOMAINS],
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            outcome: Outcome::default(),
        };
        for (index, arrival) in arrivals.iter().enumerate() {
            fleet.at(arrival.at, Event::Arrive(index));
        }
        for entry in 0..ENTRIES {
            let phase = HEARTBEAT * entry as u32 / ENTRIES as u32;
            fleet.at(phase, Event::Beat { entry });
        }
        for (index, (at, _)) in config.faults.iter().enumerate() {
            fleet.at(*at, Event::Fault(index));
        }
        fleet.at(Duration::ZERO, Event::Tick);
        fleet
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        let index = self.events.len();
        self.events.push(event);
        self.queue.push(Reverse((at, index as u64, index)));
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Attempt { request } => self.attempt(request),
            Event::Reach {
                request,
                attempt,
                server,
            } => self.reach(request, attempt, server),
            Event::FirstToken {
                server,
                life,
                ticket,
            } => self.first_token(server, life, ticket),
            Event::Finish {
                server,
                life,
                ticket,
            } => self.finish(server, life, ticket),
            Event::Answered {
                request,
                attempt,
                server,
            } => self.answered(request, attempt, server),
            Event::Refused {
                request,
                attempt,
                server,
                refusal,
            } => {
                self.refused(request, attempt, server, refusal);
            }
            Event::Lost {
                request,
                attempt,
                server,
            } => self.lost(request, attempt, server),
            Event::Redial { request } => self.redial(request),
            Event::Beat { entry } => self.beat(entry),
            Event::Tick => self.tick(),
            Event::Fault(index) => self.fault(self.config.faults[index].1),
            Event::EntryConfig {
                entry,
                domain,
                withdrawn,
            } => {
                self.entry_config(entry, domain, withdrawn);
            }
            Event::AgentConfig { server, life } => self.drain(server, life),
        }
    }

    fn beat(&mut self, index: usize) {
        if self.now < self.config.workload.length {
            self.after(HEARTBEAT, Event::Beat { entry: index });
        }
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.alive |= std::mem::take(&mut entry.starting);
        if !entry.alive {
            return;
        }
        for (position, server) in self.servers.iter().enumerate().filter(|(_, s)| s.alive) {
            if entry.lives[position] != server.life {
                entry.router.forget(position);
                entry.lives[position] = server.life;
            }
            entry.membership.record_heartbeat(&Heartbeat {
                id: server.name.clone(),
                domain: server.domain.to_string(),
                incarnation: server.life,
                leaving: server.draining,
                requested_at: now,
            });
            entry.router.observe_beat(position, report(server, now));
            let events = server.engine.events_since(entry.cursors[position]);
            let ripe = events.iter().take_while(|(at, _)| *at + CACHE_LAG <= now);
            for (_, event) in ripe {
                entry.cursors[position] += 1;
                if !self.rng.random_bool(CACHE_LOSS) {
                    entry.router.observe_cache(position, *event, now);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        if now < self.config.workload.length + Duration::from_secs(30) {
            self.after(TICK, Event::Tick);
        }
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            if !server.alive {
                continue;
            }
            let seen = server.gate.record_report(now, &self_report(server, now));
            self.release(index, seen);
            let released = self.servers[index].gate.advance(now);
            self.release(index, released);
        }
        self.sample();
    }

    fn sample(&mut self) {
        let now = self.now;
        let is_taking = |s: &&Server| s.service == Service::Model && s.alive && !s.draining;
        let taking: Vec<&Server> = self.servers.iter().filter(is_taking).collect();
        let load = |s: &Server| f64::from(s.tickets.len() as u32);
        let mean = taking.iter().map(|s| load(s)).sum::<f64>() / taking.len().max(1) as f64;
        let most = taking.iter().map(|s| load(s)).fold(0.0, f64::max);
        let strain = |s: &&Server| {
            let bears = if s.engine.is_warm(now) {
                s.engine.config.concurrency
            } else {
                s.engine.config.cold_floor
            };
            f64::from(s.engine.running) / f64::from(bears)
        };
        let sample = LoadSample {
            at: now,
            skew: if mean > 0.0 { most / mean } else { 1.0 },
            strain: taking.iter().map(strain).fold(0.0, f64::max),
        };
        self.outcome.samples.push(sample);
    }
}
