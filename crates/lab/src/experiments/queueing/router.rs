//! The ways to choose a server that are compared, as one entry knows the fleet.

use std::time::Duration;

use jj_policy::{
    membership::MemberState,
    prefix::{CacheEvent, PrefixConfig, PrefixIndex},
    routing::{Candidate, LoadReport, RequestFacts, RoutingConfig, choose_backend},
};
use jj_utils::clock::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Probes that the hot-cold rule sends with each request, and those that it keeps.
const PROBES: usize = 3;
const PROBE_POOL: usize = 16;

/// Age at which a probe's answer is dropped.
const PROBE_LIFE: Duration = Duration::from_secs(1);

/// Quantile of requests in flight from which a server counts as hot.
const HOT_QUANTILE: f64 = 0.84;

/// Names of the failure domains.
const DOMAIN_NAMES: [&str; 3] = ["a", "b", "c"];

/// A way to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Uniformly at random.
    Random,
    /// In turn.
    RoundRobin,
    /// The lowest load in the last heartbeat.
    LeastLoaded,
    /// Prequal's hot-cold rule on asynchronous probes.
    HotCold,
    /// `policy::routing`.
    Policy,
}

/// Every method, the policy last.
pub const METHODS: [Method; 5] = [
    Method::Random,
    Method::RoundRobin,
    Method::LeastLoaded,
    Method::HotCold,
    Method::Policy,
];

impl Method {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded, stale",
            Self::HotCold => "hot-cold (Prequal)",
            Self::Policy => "this policy",
        }
    }
}

/// A server that may take the request, as membership sees it.
#[derive(Debug, Clone, Copy)]
pub struct Reachable {
    /// Position of the server.
    pub server: usize,
    /// What membership believes.
    pub state: MemberState,
    /// Its failure domain.
    pub domain: usize,
    /// One-way time to it.
    pub distance: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    server: usize,
    in_flight: u32,
    latency: Duration,
    usable: Timestamp,
}

/// What a probe of a server answers now.
#[derive(Debug, Clone, Copy)]
pub struct ProbeAnswer {
    /// Requests running and waiting.
    pub in_flight: u32,
    /// Recent time to an answer.
    pub latency: Duration,
}

/// The choice of one entry.
#[derive(Debug)]
pub struct Router {
    method: Method,
    config: RoutingConfig,
    names: Vec<String>,
    beats: Vec<Option<LoadReport>>,
    reports: Vec<Option<LoadReport>>,
    sent_since: Vec<u32>,
    not_before: Vec<Timestamp>,
    prefixes: PrefixIndex,
    turn: usize,
    pool: Vec<Probe>,
    rng: Pcg64Mcg,
}

impl Router {
    /// A router over `names` that knows no load yet.
    pub fn new(method: Method, config: RoutingConfig, names: &[String], seed: u64) -> Self {
        let count = names.len();
        Self {
            method,
            config,
            names: names.to_vec(),
            beats: vec![None; count],
            reports: vec![None; count],
            sent_since: vec![0; count],
            not_before: vec![Duration::ZERO; count],
            prefixes: PrefixIndex::new(PrefixConfig::default()),
            turn: seed as usize,
            pool: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes in a heartbeat's load.
    pub fn observe_beat(&mut self, server: usize, report: LoadReport) {
        self.beats[server] = Some(report);
        self.observe_report(server, report);
    }

    /// Takes in the load that rode on an answer.
    pub fn observe_report(&mut self, server: usize, report: LoadReport) {
        self.reports[server] = Some(report);
        self.sent_since[server] = 0;
    }

    /// Takes in a cache event.
    pub fn observe_cache(&mut self, server: usize, event: CacheEvent, now: Timestamp) {
        self.prefixes.record_event(&self.names[server], event, now);
    }

    /// Takes in that a request with the prefix was answered.
    pub fn observe_answer(&mut self, server: usize, prefix: u64, now: Timestamp) {
        self.prefixes
            .record_answer(&self.names[server], prefix, now);
    }

    /// Takes in that the server refused a request and when to come back.
    pub fn observe_refusal(&mut self, server: usize, until: Timestamp) {
        self.not_before[server] = until;
    }

    /// Forgets a server's load and cache when its life ended.
    pub fn forget(&mut self, server: usize) {
        self.beats[server] = None;
        self.reports[server] = None;
        self.sent_since[server] = 0;
        self.prefixes.remove_server(&self.names[server]);
    }

    /// Chooses one of `options`.
    ///
    /// # Errors
    /// The time to come back, when none takes the request.
    pub fn choose(
        &mut self,
        options: &[Reachable],
        request: &RequestFacts<'_>,
        now: Timestamp,
        probe: impl Fn(usize) -> ProbeAnswer,
    ) -> Result<usize, Duration> {
        if self.method == Method::Policy {
            return self.choose_by_policy(options, request, now);
        }
        let open = self.open(options, request);
        if open.is_empty() {
            return Err(self.config.default_retry_after);
        }
        Ok(match self.method {
            Method::RoundRobin => {
                self.turn += 1;
                open[self.turn % open.len()].server
            }
            Method::LeastLoaded => self.least_loaded(&open),
            Method::HotCold => self.hot_cold(&open, now, probe),
            Method::Random | Method::Policy => open[self.rng.random_range(0..open.len())].server,
        })
    }

    fn open(&self, options: &[Reachable], request: &RequestFacts<'_>) -> Vec<Reachable> {
        let in_state = |state: MemberState| -> Vec<Reachable> {
            let fits = |o: &&Reachable| {
                o.state == state
                    && !request
                        .tried_servers
                        .contains(&self.names[o.server].as_str())
            };
            options.iter().filter(fits).copied().collect()
        };
        let live = in_state(MemberState::Live);
        if live.is_empty() {
            in_state(MemberState::Suspect)
        } else {
            live
        }
    }

    fn choose_by_policy(
        &mut self,
        options: &[Reachable],
        request: &RequestFacts<'_>,
        now: Timestamp,
    ) -> Result<usize, Duration> {
        let hit = |server: usize| match request.prefix {
            Some(prefix) => self
                .prefixes
                .hit_probability(&self.names[server], prefix, now),
            None => 0.0,
        };
        let candidate = |o: &Reachable| Candidate {
            id: &self.names[o.server],
            domain: DOMAIN_NAMES[o.domain],
            state: o.state,
            one_way_delay: o.distance,
            report: self.reports[o.server],
            local_requests_since_report: self.sent_since[o.server],
            prefix_hit_probability: hit(o.server),
            closed_until: self.not_before[o.server],
        };
        let candidates: Vec<Candidate<'_>> = options.iter().map(candidate).collect();
        let draws = [self.rng.random(), self.rng.random()];
        let choice = choose_backend(&self.config, &candidates, request, now, draws);
        let server = choice
            .map(|c| options[c.index].server)
            .map_err(|none| none.retry_after)?;
        self.sent_since[server] += 1;
        Ok(server)
    }

    fn least_loaded(&mut self, open: &[Reachable]) -> usize {
        let load = |o: &Reachable| self.beats[o.server].map_or(0, |b| b.in_flight + b.queued);
        let least = open.iter().map(load).min().unwrap_or(0);
        let ties: Vec<usize> = open
            .iter()
            .filter(|o| load(o) == least)
            .map(|o| o.server)
            .collect();
        ties[self.rng.random_range(0..ties.len())]
    }

    fn hot_cold(
        &mut self,
        open: &[Reachable],
        now: Timestamp,
        probe: impl Fn(usize) -> ProbeAnswer,
    ) -> usize {
        for _ in 0..PROBES {
            let target = open[self.rng.random_range(0..open.len())];
            let answer = probe(target.server);
            self.pool.push(Probe {
                server: target.server,
                in_flight: answer.in_flight,
                latency: answer.latency,
                usable: now + target.distance * 2,
            });
        }
        let excess = self.pool.len().saturating_sub(PROBE_POOL);
        self.pool.drain(..excess);
        let is_open = |server: usize| open.iter().any(|o| o.server == server);
        self.pool
            .retain(|p| p.usable + PROBE_LIFE > now && is_open(p.server));
        let usable: Vec<usize> = (0..self.pool.len())
            .filter(|&i| self.pool[i].usable <= now)
            .collect();
        if usable.len() < 2 {
            return open[self.rng.random_range(0..open.len())].server;
        }
        let mut loads: Vec<u32> = usable.iter().map(|&i| self.pool[i].in_flight).collect();
        loads.sort_unstable();
        let hot = loads[((loads.len() as f64 * HOT_QUANTILE) as usize).min(loads.len() - 1)];
        let cold = usable
            .iter()
            .copied()
            .filter(|&i| self.pool[i].in_flight < hot);
        let coldest = cold.min_by_key(|&i| self.pool[i].latency);
        let lightest = usable
            .iter()
            .copied()
            .min_by_key(|&i| self.pool[i].in_flight);
        let chosen = coldest.or(lightest).unwrap_or(usable[0]);
        let server = self.pool[chosen].server;
        for probe in self.pool.iter_mut().filter(|p| p.server == server) {
            probe.in_flight += 1;
        }
        server
    }
}
