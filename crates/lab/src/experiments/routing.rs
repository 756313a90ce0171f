//! Routing under load: the policy against random, round robin, least loaded on stale reports and
//! the hot-cold rule, on traces of both deployments; and accounts' service under a flood.

use std::{fmt::Write, time::Duration};

use jj_policy::routing::RoutingConfig;

use super::queueing::{
    fleet::{Fault, RunConfig, run as simulate},
    outcome::{Ended, Outcome, attempts, first_token, percent},
    router::{METHODS, Method},
    traffic::{Service, Surge, Workload, generate, hangang, kalahari},
};

/// Measured part of a trace; before it servers warm up and caches fill.
const MEASURED: std::ops::Range<Duration> = Duration::from_secs(50)..Duration::from_secs(120);

struct Case {
    name: &'static str,
    workload: Workload,
    faults: Vec<(Duration, Fault)>,
}

fn surge(workload: Workload, factor: f64) -> Workload {
    let surge = Surge {
        from: Duration::from_secs(70),
        until: Duration::from_secs(100),
        factor,
    };
    Workload {
        surge: Some(surge),
        ..workload
    }
}

fn flood(workload: Workload) -> Workload {
    let flood = Surge {
        from: Duration::from_secs(50),
        until: Duration::from_secs(120),
        factor: 8.0,
    };
    Workload {
        flood: Some(flood),
        ..workload
    }
}

fn cases() -> Vec<Case> {
    let stall = |server: usize| {
        let slow = |at: u64, factor: f64| (Duration::from_secs(at), Fault::Slow(server, factor));
        vec![slow(60, 3.0), slow(90, 1.0)]
    };
    let case = |name, workload, faults| Case {
        name,
        workload,
        faults,
    };
    vec![
        case("Hangang, steady", hangang(), Vec::new()),
        case(
            "Hangang, surge before the deadline",
            surge(hangang(), 1.5),
            Vec::new(),
        ),
        case("Hangang, a stalled server", hangang(), stall(4)),
        case("Kalahari, steady", kalahari(), Vec::new()),
        case(
            "Kalahari, surge before expiry dates",
            surge(kalahari(), 1.5),
            Vec::new(),
        ),
        case("Kalahari, a stalled server", kalahari(), stall(7)),
    ]
}

fn outcome(case: &Case, method: Method, seed: u64, single_queue: bool) -> Outcome {
    let config = RunConfig {
        method,
        routing: RoutingConfig::default(),
        workload: case.workload.clone(),
        faults: case.faults.clone(),
        seed,
        single_queue,
    };
    simulate(&config, &generate(&case.workload, seed))
}

/// Share of the model requests of one trace that were answered late or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct Missed {
    /// Trace.
    pub trace: &'static str,
    /// How servers were chosen.
    pub method: Method,
    /// Share in percent.
    pub percent: f64,
}

/// The deadline misses of every method on every trace.
pub fn missed(seed: u64) -> Vec<Missed> {
    let of_case = |case: &Case| METHODS.map(|method| missed_by(case, method, seed));
    cases().iter().flat_map(of_case).collect()
}

fn missed_by(case: &Case, method: Method, seed: u64) -> Missed {
    let outcome = outcome(case, method, seed, false);
    let model = outcome.within(MEASURED, |e| e.service == Service::Model);
    Missed {
        trace: case.name,
        method,
        percent: percent(&model, |e| !e.in_time),
    }
}

/// Small accounts' p99 to the first token under a flood over that without, for each deployment.
pub fn flood_ratios(seed: u64) -> Vec<f64> {
    let ratio = |workload: Workload| {
        let p99 = |workload: Workload| {
            let case = Case {
                name: "flood",
                workload,
                faults: Vec::new(),
            };
            let outcome = outcome(&case, Method::Policy, seed, false);
            first_token(&outcome.within(MEASURED, is_small), 0.99)
        };
        p99(flood(workload.clone())) / p99(workload)
    };
    vec![ratio(hangang()), ratio(kalahari())]
}

/// The small accounts' share of missed deadlines while one account floods half of the servers.
#[derive(Debug, Clone, PartialEq)]
pub struct SmallMissed {
    /// In percent, with one queue in each agent.
    pub single: f64,
    /// In percent, with a queue that is fair between accounts.
    pub fair: f64,
}

/// What the fair queue is worth where routing finds no server without a queue, for each deployment.
pub fn small_missed(seed: u64) -> Vec<SmallMissed> {
    let of = |workload: Workload| {
        let case = half_gone("half gone", flood(workload));
        let missed = |single_queue: bool| {
            let outcome = outcome(&case, Method::Policy, seed, single_queue);
            percent(&outcome.within(MEASURED, is_small), |e| !e.in_time)
        };
        SmallMissed {
            single: missed(true),
            fair: missed(false),
        }
    };
    vec![of(hangang()), of(kalahari())]
}

/// Half of the model servers vanish as the measured part begins.
fn half_gone(name: &'static str, workload: Workload) -> Case {
    Case {
        name,
        workload,
        faults: vec![(MEASURED.start, Fault::Lose(8))],
    }
}

fn is_small(ended: &Ended) -> bool {
    ended.account >= 2 && ended.service == Service::Model
}

/// Tables of both experiments, in Markdown.
pub fn run(seed: u64) -> String {
    let mut text = String::new();
    for case in cases() {
        let _ = writeln!(text, "### {}\n", case.name);
        text.push_str("| method | prefix hits % | first token p95 ms | p99 ms | missed % | load max/mean | attempts |\n");
        text.push_str("|---|---|---|---|---|---|---|\n");
        for method in METHODS {
            text.push_str(&row(&case, method, seed));
        }
        text.push('\n');
    }
    text.push_str(&floods(seed));
    text
}

fn row(case: &Case, method: Method, seed: u64) -> String {
    let outcome = outcome(case, method, seed, false);
    let model = outcome.within(MEASURED, |e| e.service == Service::Model);
    format!(
        "| {} | {:.1} | {:.0} | {:.0} | {:.2} | {:.2} | {:.3} |\n",
        method.name(),
        percent(&model, |e| e.hit),
        first_token(&model, 0.95),
        first_token(&model, 0.99),
        percent(&model, |e| !e.in_time),
        outcome.skew(MEASURED),
        attempts(&model),
    )
}

fn floods(seed: u64) -> String {
    let mut text = String::from(
        "### Account 0 floods with eight times its load\n\n\
         | deployment | way | small p99 ms | over no flood | small missed % | account 0 missed % \
         | account 0 answered/s | smallest small account answered % |\n|---|---|---|---|---|---|---|---|\n",
    );
    for workload in [hangang(), kalahari()] {
        let name = workload.name;
        let calm = Case {
            name,
            workload: workload.clone(),
            faults: Vec::new(),
        };
        let flooded = Case {
            name,
            workload: flood(workload),
            faults: Vec::new(),
        };
        let short = half_gone(name, flooded.workload.clone());
        let runs = [
            ("no flood, fair", &calm, Method::Policy, false),
            ("flood, one queue", &flooded, Method::Policy, true),
            ("flood, fair, random", &flooded, Method::Random, false),
            ("flood, fair", &flooded, Method::Policy, false),
            ("flood, half gone, one queue", &short, Method::Policy, true),
            ("flood, half gone, fair", &short, Method::Policy, false),
        ];
        let base = outcome(&calm, Method::Policy, seed, false);
        let base = first_token(&base.within(MEASURED, is_small), 0.99);
        for (way, case, method, single) in runs {
            let outcome = outcome(case, method, seed, single);
            let rest = outcome.within(MEASURED, is_small);
            let large = outcome.within(MEASURED, |e| e.account == 0 && e.service == Service::Model);
            let answered = large.iter().filter(|e| e.in_time).count() as f64;
            let span = (MEASURED.end - MEASURED.start).as_secs_f64();
            let p99 = first_token(&rest, 0.99);
            let _ = writeln!(
                text,
                "| {name} | {way} | {p99:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} |",
                p99 / base,
                percent(&rest, |e| !e.in_time),
                percent(&large, |e| !e.in_time),
                answered / span,
                least_answered(&outcome),
            );
        }
    }
    text
}

/// Lowest share of requests answered in time over the small accounts.
fn least_answered(outcome: &Outcome) -> f64 {
    let share = |account: usize| {
        let own = outcome.within(MEASURED, move |e| {
            e.account == account && e.service == Service::Model
        });
        percent(&own, |e| e.in_time)
    };
    (2..super::queueing::traffic::ACCOUNTS)
        .map(share)
        .fold(100.0, f64::min)
}
