//! Request traces of the two deployments.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Client accounts of a deployment; the first two are large.
pub const ACCOUNTS: usize = 10;

/// Prompt prefixes that one account shares between its requests.
const PREFIXES: u64 = 12;

/// Which service a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// The model service.
    Model,
    /// The desk application.
    Desk,
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it reaches its entry.
    pub at: Duration,
    /// Client account, from 0.
    pub account: usize,
    /// Service.
    pub service: Service,
    /// Hash of the shared prefix; zero for the desk.
    pub prefix: u64,
    /// Time that the engine takes for the prefix, if it is not cached.
    pub prefill: Duration,
    /// Time from the first token to the last at an idle server.
    pub decode: Duration,
    /// Time to the whole answer after which it is late.
    pub timeout: Duration,
    /// Whether it may run twice.
    pub idempotent: bool,
}

/// What a deployment's load looks like.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// Name in tables.
    pub name: &'static str,
    /// One-way time to callers.
    pub client: Duration,
    /// Model requests a second.
    pub model_rate: f64,
    /// Desk requests a second.
    pub desk_rate: f64,
    /// Mean time of an uncached prefix.
    pub prefill: Duration,
    /// Mean time of the tokens after the first.
    pub decode: Duration,
    /// Time to the whole model answer.
    pub timeout: Duration,
    /// Factor on the model rate between the two moments.
    pub surge: Option<Surge>,
    /// Factor on the rate of account 0 between the two moments.
    pub flood: Option<Surge>,
    /// Length of the trace.
    pub length: Duration,
}

/// A time of higher load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Surge {
    /// Begin.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// Factor on the rate.
    pub factor: f64,
}

impl Surge {
    fn factor_at(surge: Option<Self>, at: Duration) -> f64 {
        match surge {
            Some(surge) if (surge.from..surge.until).contains(&at) => surge.factor,
            _ => 1.0,
        }
    }
}

/// The runners' cooperative: short prompts with few prefixes, callers 3 ms away.
pub fn hangang() -> Workload {
    Workload {
        name: "Hangang",
        client: Duration::from_millis(3),
        model_rate: 95.0,
        desk_rate: 60.0,
        prefill: Duration::from_millis(160),
        decode: Duration::from_millis(900),
        timeout: Duration::from_secs(6),
        surge: None,
        flood: None,
        length: Duration::from_secs(120),
    }
}

/// The trade insurer: long documents, callers 1 ms away.
pub fn kalahari() -> Workload {
    Workload {
        name: "Kalahari",
        client: Duration::from_millis(1),
        model_rate: 62.0,
        desk_rate: 40.0,
        prefill: Duration::from_millis(420),
        decode: Duration::from_millis(1_200),
        timeout: Duration::from_secs(8),
        surge: None,
        flood: None,
        length: Duration::from_secs(120),
    }
}

/// The arrivals of a workload, in the order of time.
pub fn generate(workload: &Workload, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for account in 0..ACCOUNTS {
        for service in [Service::Model, Service::Desk] {
            account_arrivals(workload, account, service, &mut rng, &mut arrivals);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Share of the load: the two large accounts have three tenths each.
fn share(account: usize) -> f64 {
    if account < 2 {
        0.3
    } else {
        0.4 / (ACCOUNTS - 2) as f64
    }
}

fn account_arrivals(
    workload: &Workload,
    account: usize,
    service: Service,
    rng: &mut Pcg64Mcg,
    arrivals: &mut Vec<Arrival>,
) {
    let mut at = Duration::ZERO;
    loop {
        let rate = share(account) * rate_at(workload, account, service, at);
        at += exponential(rng, 1.0 / rate);
        if at >= workload.length {
            return;
        }
        arrivals.push(arrival(workload, account, service, at, rng));
    }
}

fn rate_at(workload: &Workload, account: usize, service: Service, at: Duration) -> f64 {
    if service == Service::Desk {
        return workload.desk_rate;
    }
    let flood = workload.flood.filter(|_| account == 0);
    workload.model_rate * Surge::factor_at(workload.surge, at) * Surge::factor_at(flood, at)
}

fn arrival(
    workload: &Workload,
    account: usize,
    service: Service,
    at: Duration,
    rng: &mut Pcg64Mcg,
) -> Arrival {
    if service == Service::Desk {
        return Arrival {
            at,
            account,
            service,
            prefix: 0,
            prefill: Duration::ZERO,
            decode: exponential(rng, 0.012) + Duration::from_millis(4),
            timeout: Duration::from_secs(2),
            idempotent: rng.random_bool(0.8),
        };
    }
    // The square makes low numbers, the popular prefixes, more likely.
    let skewed: f64 = rng.random::<f64>().powi(2);
    let number = (skewed * PREFIXES as f64) as u64;
    let prefix = 1 + account as u64 * PREFIXES + number;
    let length = 0.5 + (prefix % 5) as f64 / 4.0;
    Arrival {
        at,
        account,
        service,
        prefix,
        prefill: workload.prefill.mul_f64(length),
        decode: exponential(rng, workload.decode.as_secs_f64()).min(workload.decode * 4),
        timeout: workload.timeout,
        idempotent: true,
    }
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() * mean)
}
