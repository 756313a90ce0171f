//! The events of a run: arrivals, attempts, answers, heartbeats and faults.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use jj_policy::{
    admission::{
        Admission, AdmissionConfig, ColdConfig, Finish, LimitConfig, Offer, Refusal, RefusalReason,
        Released, ServerReport, Ticket, Waiting,
    },
    membership::{Heartbeat, Membership, MembershipConfig},
    rendezvous::key_hash,
    retry::{Attempts, RetryBudget, RetryConfig, RetryDecision, RetryFacts, decide},
    routing::{LoadReport, RequestFacts, RoutingConfig},
    verdict::Verdict,
};
use jj_utils::{clock::Timestamp, collections::FastMap};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    engine::{Engine, EngineConfig},
    outcome::{Ended, LoadSample, Outcome},
    router::{Method, ProbeAnswer, Reachable, Router},
    traffic::{ACCOUNTS, Arrival, Service, Workload},
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

/// First tokens within this time are no sign of a cold server: a missing prefix alone takes long.
const PLAUSIBLE_LATENCY: Duration = Duration::from_secs(3);

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

struct Server {
    name: String,
    service: Service,
    domain: usize,
    engine: Engine,
    gate: Admission,
    life: u64,
    alive: bool,
    draining: bool,
    /// Recent time from arrival at the agent to the end, in seconds.
    latency: f64,
    tickets: FastMap<Ticket, Held>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    request: usize,
    attempt: u32,
    arrived: Timestamp,
    hit: bool,
}

struct Entry {
    domain: usize,
    alive: bool,
    /// Started, but has not heard from any agent yet: callers are not sent there.
    starting: bool,
    router: Router,
    membership: Membership,
    budget: RetryBudget,
    cursors: Vec<usize>,
    lives: Vec<u64>,
    withdrawn: Vec<usize>,
    /// Requests in flight of each account, for the model service.
    open: [u32; ACCOUNTS],
}

impl Entry {
    fn used(&self, arrival: &Arrival) -> f64 {
        let all: u32 = self.open.iter().sum();
        f64::from(self.open[arrival.account]) / f64::from(all.max(1))
    }
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

    fn arrive(&mut self, request: usize) {
        let entry = self.dial();
        self.requests[request].entry = entry;
        if !self.entries[entry].alive {
            self.after(SILENCE / 2, Event::Redial { request });
            return;
        }
        self.take_in(request);
        self.attempt(request);
    }

    fn take_in(&mut self, request: usize) {
        let entry = &mut self.entries[self.requests[request].entry];
        entry.budget.take_in(&RetryConfig::default(), self.now);
        if self.arrivals[request].service == Service::Model {
            entry.open[self.arrivals[request].account] += 1;
        }
        self.requests[request].counted = true;
    }

    fn let_go(&mut self, request: usize) {
        let is_counted = std::mem::take(&mut self.requests[request].counted);
        if is_counted && self.arrivals[request].service == Service::Model {
            let entry = &mut self.entries[self.requests[request].entry];
            entry.open[self.arrivals[request].account] -= 1;
        }
    }

    /// The entry whose address a caller holds.
    fn dial(&mut self) -> usize {
        let entry = self.rng.random_range(0..ENTRIES);
        let kept = Duration::from_millis(self.rng.random_range(0..ADDRESS_LIFE_MS));
        match self.withdrawn_at[self.entries[entry].domain] {
            Some(at) if self.now > at + kept => self.next_alive(entry),
            _ => entry,
        }
    }

    fn next_alive(&self, entry: usize) -> usize {
        let others = (1..ENTRIES).map(|step| (entry + step) % ENTRIES);
        let takes = |e: &usize| {
            let entry = &self.entries[*e];
            entry.alive && self.withdrawn_at[entry.domain].is_none()
        };
        others.into_iter().find(takes).unwrap_or(entry)
    }

    /// A caller that lost its entry goes to the next one.
    fn redial(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        self.let_go(request);
        let entry = self.next_alive(self.requests[request].entry);
        self.requests[request].entry = entry;
        self.requests[request].number += 1;
        self.requests[request].attempts = Attempts::default();
        self.take_in(request);
        self.attempt(request);
    }

    fn attempt(&mut self, request: usize) {
        let arrival = &self.arrivals[request];
        let state = &self.requests[request];
        if state.done || !self.entries[state.entry].alive {
            return;
        }
        let entry = state.entry;
        let options = self.reachable(entry, arrival.service);
        let tried: Vec<String> = state.attempts.tried.clone();
        let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
        let facts = RequestFacts {
            prefix: (arrival.prefix != 0).then_some(arrival.prefix),
            account: key_hash(&format!("account-{}", arrival.account)),
            share: 1.0 / ACCOUNTS as f64,
            used: self.entries[entry].used(arrival),
            prefill: arrival.prefill,
            deadline: arrival.at + arrival.timeout,
            tried: &tried,
        };
        let (servers, now) = (&self.servers, self.now);
        let probe = |server: usize| probe(&servers[server], now);
        let choice = self.entries[entry]
            .router
            .choose(&options, &facts, now, probe);
        let Ok(server) = choice else {
            return self.end(request, None);
        };
        let state = &mut self.requests[request];
        state.number += 1;
        state.made += 1;
        let attempt = state.number;
        let distance = self.distance(entry, server);
        self.after(
            distance,
            Event::Reach {
                request,
                attempt,
                server,
            },
        );
    }

    fn reachable(&self, entry: usize, service: Service) -> Vec<Reachable> {
        let membership = &self.entries[entry].membership;
        let of_service = (0..self.servers.len()).filter(|&s| self.servers[s].service == service);
        of_service
            .map(|server| Reachable {
                server,
                state: membership.state(&self.servers[server].name, self.now),
                domain: self.servers[server].domain,
                distance: self.distance(entry, server),
            })
            .collect()
    }

    fn distance(&self, entry: usize, server: usize) -> Duration {
        if self.entries[entry].domain == self.servers[server].domain {
            NEAR
        } else {
            FAR
        }
    }

    fn reach(&mut self, request: usize, attempt: u32, server: usize) {
        if !self.servers[server].alive {
            return self.after(
                SILENCE,
                Event::Lost {
                    request,
                    attempt,
                    server,
                },
            );
        }
        self.tickets += 1;
        let ticket = self.tickets;
        let arrival = &self.arrivals[request];
        let account = if self.config.single_queue {
            0
        } else {
            arrival.account
        };
        let held = Held {
            request,
            attempt,
            arrived: self.now,
            hit: false,
        };
        self.servers[server].tickets.insert(ticket, held);
        let offer = self.servers[server].gate.offer(
            self.now,
            Waiting {
                ticket,
                account: account.to_string(),
                weight: 1,
                deadline: arrival.at + arrival.timeout,
                cost: 1,
            },
        );
        match offer {
            Offer::Start => self.begin(server, ticket),
            Offer::Queued(None) => {}
            Offer::Queued(Some(refusal)) | Offer::Refused(refusal) => self.refuse(server, refusal),
        }
    }

    fn begin(&mut self, server: usize, ticket: Ticket) {
        let now = self.now;
        let target = &mut self.servers[server];
        let Some(held) = target.tickets.get_mut(&ticket) else {
            return;
        };
        let times = target.engine.begin(&self.arrivals[held.request], now);
        held.hit = times.hit;
        let life = target.life;
        self.after(
            times.first,
            Event::FirstToken {
                server,
                life,
                ticket,
            },
        );
        self.after(
            times.total,
            Event::Finish {
                server,
                life,
                ticket,
            },
        );
    }

    fn refuse(&mut self, server: usize, refusal: Refusal) {
        let Some(held) = self.servers[server].tickets.remove(&refusal.ticket) else {
            return;
        };
        let Held {
            request, attempt, ..
        } = held;
        let refusal = Refused {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        };
        let distance = self.distance(self.requests[request].entry, server);
        self.after(
            distance,
            Event::Refused {
                request,
                attempt,
                server,
                refusal,
            },
        );
    }

    fn release(&mut self, server: usize, released: Released) {
        for ticket in released.started {
            self.begin(server, ticket);
        }
        for refusal in released.refused {
            self.refuse(server, refusal);
        }
    }

    fn first_token(&mut self, server: usize, life: u64, ticket: Ticket) {
        let now = self.now;
        let target = &mut self.servers[server];
        if target.life != life {
            return;
        }
        target.gate.answered(now, ticket);
        let Some(held) = target.tickets.get(&ticket).copied() else {
            return;
        };
        let distance = self.distance(self.requests[held.request].entry, server);
        let request = &mut self.requests[held.request];
        if request.number == held.attempt && request.first.is_none() {
            let client = self.config.workload.client * 2;
            request.first = Some(now + distance + client - self.arrivals[held.request].at);
            request.hit = held.hit;
        }
    }

    fn finish(&mut self, server: usize, life: u64, ticket: Ticket) {
        let now = self.now;
        let target = &mut self.servers[server];
        if target.life != life {
            return;
        }
        target.engine.running -= 1;
        let released = target.gate.finished(now, ticket, Finish::Ok);
        if let Some(held) = target.tickets.remove(&ticket) {
            let took = (now - held.arrived).as_secs_f64();
            target.latency += 0.1 * (took - target.latency);
            let Held {
                request, attempt, ..
            } = held;
            let distance = self.distance(self.requests[request].entry, server);
            self.after(
                distance,
                Event::Answered {
                    request,
                    attempt,
                    server,
                },
            );
        }
        self.release(server, released);
    }

    fn answered(&mut self, request: usize, attempt: u32, server: usize) {
        let report = report(&self.servers[server], self.now);
        let state = &self.requests[request];
        let entry = &mut self.entries[state.entry];
        if state.done || state.number != attempt || !entry.alive {
            return;
        }
        entry.router.observe_report(server, report);
        let arrival = &self.arrivals[request];
        if arrival.prefix != 0 {
            entry
                .router
                .observe_answer(server, arrival.prefix, self.now);
        }
        let took = self.now + self.config.workload.client * 2 - arrival.at;
        self.end(request, Some(took <= arrival.timeout));
    }

    fn refused(&mut self, request: usize, attempt: u32, server: usize, refusal: Refused) {
        if self.requests[request].number != attempt || self.requests[request].done {
            return;
        }
        let until = self.now + refusal.retry_after;
        let entry = &mut self.entries[self.requests[request].entry];
        match refusal.reason {
            RefusalReason::Draining => {
                let life = entry.lives[server];
                entry
                    .membership
                    .observe_leaving(&self.servers[server].name, life);
            }
            _ => entry.router.observe_refusal(server, until),
        }
        let retry_after = refusal.retry_after;
        self.failed(request, server, Verdict::NotRun { retry_after });
    }

    fn lost(&mut self, request: usize, attempt: u32, server: usize) {
        if self.requests[request].number != attempt || self.requests[request].done {
            return;
        }
        let entry = &mut self.entries[self.requests[request].entry];
        let life = entry.lives[server];
        entry
            .membership
            .observe_failure(&self.servers[server].name, life, self.now);
        self.failed(request, server, Verdict::MayHaveRun);
    }

    fn failed(&mut self, request: usize, server: usize, verdict: Verdict) {
        let arrival = &self.arrivals[request];
        let name = self.servers[server].name.clone();
        let state = &mut self.requests[request];
        state.attempts.record(&name, verdict);
        let entry = state.entry;
        let tried = state.attempts.tried.clone();
        let options = self.reachable(entry, arrival.service);
        let is_open = |o: &Reachable| {
            o.state.may_take_work() && !tried.contains(&self.servers[o.server].name)
        };
        let facts = RetryFacts {
            idempotent: arrival.idempotent,
            deadline: arrival.at + arrival.timeout,
            has_untried: options.iter().any(is_open),
        };
        let draw = self.rng.random();
        let budget = &mut self.entries[entry].budget;
        let attempts = &self.requests[request].attempts;
        match decide(
            &RetryConfig::default(),
            budget,
            attempts,
            &facts,
            self.now,
            draw,
        ) {
            RetryDecision::Retry { after } => self.after(after, Event::Attempt { request }),
            RetryDecision::GiveUp(_) => self.end(request, None),
        }
    }

    /// Ends a request; `answer` says whether its whole answer was in time, if there is one.
    fn end(&mut self, request: usize, answer: Option<bool>) {
        self.let_go(request);
        let arrival = &self.arrivals[request];
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.done, true) {
            return;
        }
        self.outcome.ended.push(Ended {
            at: arrival.at,
            account: arrival.account,
            service: arrival.service,
            idempotent: arrival.idempotent,
            first: state.first,
            whole: answer.is_some(),
            in_time: answer == Some(true),
            hit: state.hit,
            attempts: state.made,
        });
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
            entry.membership.observe_heartbeat(&Heartbeat {
                id: server.name.clone(),
                domain: server.domain.to_string(),
                incarnation: server.life,
                leaving: server.draining,
                asked: now,
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
            let seen = server.gate.observe(now, &self_report(server, now));
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

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Withdraw(domain) => self.withdraw(domain),
            Fault::Cut(domain) => self.cut(domain),
            Fault::Return(domain) => self.come_back(domain),
            Fault::Lose(count) => (0..count).for_each(|server| self.vanish(server)),
            Fault::Restore(count) => (0..count).for_each(|server| self.restart(server)),
            Fault::Slow(server, factor) => self.servers[server].engine.slowing = factor,
        }
    }

    fn config_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..CONFIG_DELAY_MS))
    }

    fn publish(&mut self, domain: usize, withdrawn: bool) {
        for entry in 0..ENTRIES {
            let delay = self.config_delay();
            self.after(
                delay,
                Event::EntryConfig {
                    entry,
                    domain,
                    withdrawn,
                },
            );
        }
    }

    fn withdraw(&mut self, domain: usize) {
        self.withdrawn_at[domain] = Some(self.now);
        self.publish(domain, true);
        for server in self.servers_in(domain) {
            let delay = self.config_delay();
            let life = self.servers[server].life;
            self.after(delay, Event::AgentConfig { server, life });
        }
    }

    fn entry_config(&mut self, entry: usize, domain: usize, withdrawn: bool) {
        let entry = &mut self.entries[entry];
        entry.withdrawn.retain(|d| *d != domain);
        if withdrawn {
            entry.withdrawn.push(domain);
        }
        let domains = entry.withdrawn.iter().map(ToString::to_string);
        entry.membership.set_withdrawn(domains);
    }

    fn drain(&mut self, server: usize, life: u64) {
        let target = &mut self.servers[server];
        if target.life != life {
            return;
        }
        target.draining = true;
        for refusal in target.gate.drain() {
            self.refuse(server, refusal);
        }
    }

    fn cut(&mut self, domain: usize) {
        for server in self.servers_in(domain) {
            self.vanish(server);
        }
        for index in 0..ENTRIES {
            if self.entries[index].domain == domain {
                self.entries[index].alive = false;
            }
        }
        for request in 0..self.requests.len() {
            let is_open = self.arrivals[request].at <= self.now && !self.requests[request].done;
            if is_open && self.entries[self.requests[request].entry].domain == domain {
                self.orphan(request);
            }
        }
    }

    /// The caller of a request whose entry vanished: repeats it elsewhere if that does no harm.
    fn orphan(&mut self, request: usize) {
        if !self.arrivals[request].idempotent && self.requests[request].made > 0 {
            return self.end(request, None);
        }
        self.after(SILENCE, Event::Redial { request });
    }

    fn vanish(&mut self, server: usize) {
        let target = &mut self.servers[server];
        target.alive = false;
        target.life += 1;
        let mut lost: Vec<Held> = target.tickets.drain().map(|(_, held)| held).collect();
        lost.sort_by_key(|held| held.request);
        for Held {
            request, attempt, ..
        } in lost
        {
            self.after(
                SILENCE,
                Event::Lost {
                    request,
                    attempt,
                    server,
                },
            );
        }
    }

    fn come_back(&mut self, domain: usize) {
        self.withdrawn_at[domain] = None;
        self.publish(domain, false);
        for server in self.servers_in(domain) {
            self.vanish(server);
            self.restart(server);
        }
        for index in (0..ENTRIES).filter(|e| e % DOMAINS == domain) {
            if !self.entries[index].alive {
                self.entries[index] = Entry {
                    alive: false,
                    starting: true,
                    ..entry(self.config, &self.servers, index)
                };
            }
        }
    }

    fn restart(&mut self, server: usize) {
        let now = self.now;
        let target = &mut self.servers[server];
        target.life += 1;
        target.alive = true;
        target.draining = false;
        target.engine.restart(now);
        target.gate = gate(&target.engine.config, now);
    }

    fn servers_in(&self, domain: usize) -> Vec<usize> {
        let is_in = |s: &usize| self.servers[*s].domain == domain;
        (0..self.servers.len()).filter(is_in).collect()
    }
}

/// An entry that has just started.
fn entry(config: &RunConfig, servers: &[Server], index: usize) -> Entry {
    let names: Vec<String> = servers.iter().map(|s| s.name.clone()).collect();
    let seed = config.seed + index as u64;
    Entry {
        domain: index % DOMAINS,
        alive: true,
        starting: false,
        router: Router::new(config.method, config.routing.clone(), &names, seed),
        membership: Membership::new(MembershipConfig::default()),
        budget: RetryBudget::new(&RetryConfig::default()),
        cursors: vec![0; servers.len()],
        lives: vec![0; servers.len()],
        withdrawn: Vec::new(),
        open: [0; ACCOUNTS],
    }
}

fn server(index: usize) -> Server {
    let is_model = index < MODEL_SERVERS;
    let config = EngineConfig {
        concurrency: if is_model { 16 } else { 8 },
        cold_floor: 2,
        warm_up: Duration::from_secs(15),
        cache: 24,
    };
    Server {
        name: format!("server-{index}"),
        service: if is_model {
            Service::Model
        } else {
            Service::Desk
        },
        domain: index % DOMAINS,
        gate: gate(&config, Duration::ZERO),
        engine: Engine::new(config, Duration::ZERO),
        life: 1,
        alive: true,
        draining: false,
        latency: 1.0,
        tickets: FastMap::default(),
    }
}

fn gate(config: &EngineConfig, now: Timestamp) -> Admission {
    let limit = LimitConfig {
        cold_floor: config.cold_floor,
        concurrency: config.concurrency,
        cold: ColdConfig {
            least_latency: PLAUSIBLE_LATENCY,
            ..ColdConfig::default()
        },
        ..LimitConfig::default()
    };
    Admission::new(
        AdmissionConfig {
            limit,
            ..AdmissionConfig::default()
        },
        now,
    )
}

/// What the engine reports to its agent.
fn self_report(server: &Server, now: Timestamp) -> ServerReport {
    ServerReport {
        measured: now,
        boot_id: Some(server.life.to_string()),
        uptime: Some(now - server.engine.started),
        warm: Some(server.engine.is_warm(now)),
        in_flight: Some(server.engine.running),
    }
}

/// What the agent reports to entries.
fn report(server: &Server, now: Timestamp) -> LoadReport {
    let seen = server.gate.snapshot(now);
    LoadReport {
        in_flight: seen.in_flight,
        queued: seen.queued,
        limit: seen.limit,
        service: seen.service_time,
        at: now,
    }
}

fn probe(server: &Server, now: Timestamp) -> ProbeAnswer {
    let seen = server.gate.snapshot(now);
    ProbeAnswer {
        in_flight: seen.in_flight + seen.queued,
        latency: Duration::from_secs_f64(server.latency),
    }
}
