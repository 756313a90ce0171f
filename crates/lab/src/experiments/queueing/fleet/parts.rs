//! Entries and servers of the model.

use std::time::Duration;

use jj_policy::{
    admission::{Admission, AdmissionConfig, LimitConfig, ServerReport, Ticket},
    membership::{Membership, MembershipConfig},
    retry::{RetryBudget, RetryConfig},
    routing::LoadReport,
};
use jj_utils::{clock::Timestamp, collections::FastMap};

use super::{DOMAINS, MODEL_SERVERS, RunConfig};
use crate::experiments::queueing::{
    engine::{Engine, EngineConfig},
    router::{ProbeAnswer, Router},
    traffic::{ACCOUNTS, Arrival, Service},
};

pub struct Server {
    pub name: String,
    pub service: Service,
    pub domain: usize,
    pub engine: Engine,
    pub gate: Admission,
    pub life: u64,
    pub alive: bool,
    pub draining: bool,
    /// Recent time from arrival at the agent to the end, in seconds.
    pub latency: f64,
    pub tickets: FastMap<Ticket, Held>,
}

#[derive(Debug, Clone, Copy)]
pub struct Held {
    pub request: usize,
    pub attempt: u32,
    pub arrived: Timestamp,
    pub hit: bool,
}

pub struct Entry {
    pub domain: usize,
    pub alive: bool,
    /// Started, but has not heard from any agent yet: callers are not sent there.
    pub starting: bool,
    pub router: Router,
    pub membership: Membership,
    pub budget: RetryBudget,
    pub cursors: Vec<usize>,
    pub lives: Vec<u64>,
    pub withdrawn: Vec<usize>,
    /// Requests in flight of each account, for the model service.
    pub open: [u32; ACCOUNTS],
}

impl Entry {
    pub fn used(&self, arrival: &Arrival) -> f64 {
        let all: u32 = self.open.iter().sum();
        f64::from(self.open[arrival.account]) / f64::from(all.max(1))
    }
}

/// An entry that has just started.
pub fn entry(config: &RunConfig, servers: &[Server], index: usize) -> Entry {
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

pub fn server(index: usize) -> Server {
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

pub fn gate(config: &EngineConfig, now: Timestamp) -> Admission {
    let limit = LimitConfig {
        cold_floor: config.cold_floor,
        concurrency: config.concurrency,
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
pub fn self_report(server: &Server, now: Timestamp) -> ServerReport {
    ServerReport {
        measured_at: now,
        boot_id: Some(server.life.to_string()),
        uptime: Some(now - server.engine.started),
        warm: Some(server.engine.is_warm(now)),
        in_flight: Some(server.engine.running),
    }
}

/// What the agent reports to entries.
pub fn report(server: &Server, now: Timestamp) -> LoadReport {
    let seen = server.gate.snapshot(now);
    LoadReport {
        in_flight: seen.in_flight,
        queued: seen.queued,
        limit: seen.limit,
        service: seen.service_time,
        at: now,
    }
}

pub fn probe(server: &Server, now: Timestamp) -> ProbeAnswer {
    let seen = server.gate.snapshot(now);
    ProbeAnswer {
        in_flight: seen.in_flight + seen.queued,
        latency: Duration::from_secs_f64(server.latency),
    }
}
