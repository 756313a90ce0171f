//! Cold start: one gate beside the server compared with a slow start in each entry.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, CompletionStatus, LimitConfig,
    ServerReport,
};
use jj_utils::clock::Timestamp;

const COLD_FLOOR: u32 = 2;
const WARM_LIMIT: u32 = 32;
const STEP: Duration = Duration::from_millis(10);
const COLD_TIME: Duration = Duration::from_secs(5);
const FAULT_AT: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(40);
const REPORT_EVERY: Duration = Duration::from_millis(250);
const RAMP: Duration = Duration::from_secs(10);
/// Requests that each entry tries to keep open.
const DEMAND: usize = 8;
/// Refusals in one step after which callers wait for the next step; in the first step all are
/// offered.
const REFUSALS: u32 = 4;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    AgentRestart,
    ColdAgentRestart,
    ServerRestart,
    BothRestart,
    SilentCold,
}

const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::AgentRestart,
    Fault::ColdAgentRestart,
    Fault::ServerRestart,
    Fault::BothRestart,
    Fault::SilentCold,
];

/// Backend server that is slow and has little capacity while cold.
#[derive(Default)]
struct Server {
    boot: u32,
    booted: Timestamp,
    cold_from: Timestamp,
    work: Vec<(u64, Timestamp)>,
    peak_cold: u32,
    excess_starts: u32,
    /// Whether its reports contain the warm flag, and how long before it is warm they set it.
    warm_report_lead: Option<Duration>,
}

impl Server {
    fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_from + COLD_TIME
    }

    fn start(&mut self, now: Timestamp, ticket: u64) {
        let cold = self.is_cold(now);
        let time = if cold { 400 } else { 50 };
        self.work.push((ticket, now + Duration::from_millis(time)));
        let busy = self.work.len() as u32;
        if cold && busy > COLD_FLOOR {
            self.excess_starts += 1;
        }
        if cold {
            self.peak_cold = self.peak_cold.max(busy);
        }
    }

    fn finish(&mut self, now: Timestamp) -> Vec<u64> {
        let (done, left) = self.work.iter().partition(|(_, ends)| *ends <= now);
        self.work = left;
        let done: Vec<(u64, Timestamp)> = done;
        done.into_iter().map(|(ticket, _)| ticket).collect()
    }

    /// Restarts the process; requests in flight are lost.
    fn restart(&mut self, now: Timestamp) -> Vec<u64> {
        self.boot += 1;
        self.booted = now;
        self.cold_from = now;
        self.work.drain(..).map(|(ticket, _)| ticket).collect()
    }

    /// Turns cold without a restart: requests in flight take as long as on a cold server.
    fn turn_cold(&mut self, now: Timestamp) {
        self.cold_from = now;
        for (_, ends) in &mut self.work {
            *ends += Duration::from_millis(350);
        }
    }

    fn report(&self, now: Timestamp) -> ServerReport {
        ServerReport {
            measured_at: now,
            boot_id: Some(self.boot.to_string()),
            uptime: Some(now - self.booted),
            warm: self
                .warm_report_lead
                .map(|early| !self.is_cold(now + early)),
            in_flight: Some(self.work.len() as u32),
        }
    }
}

fn steps() -> impl Iterator<Item = Timestamp> {
    (0..).map(|n| STEP * n).take_while(|now| *now < END)
}

fn config() -> AdmissionConfig {
    AdmissionConfig {
        limit: LimitConfig {
            cold_floor: COLD_FLOOR,
            concurrency: WARM_LIMIT,
            ..LimitConfig::default()
        },
        ..AdmissionConfig::default()
    }
}

struct Measured {
    server: Server,
    completed: usize,
}

/// Runs all entries through one gate; the server's reports don't contain the warm flag.
fn run_gate(entries: usize, fault: Fault, config: AdmissionConfig) -> Measured {
    run_gate_with(Server::default(), entries, fault, config)
}

fn run_gate_with(
    mut server: Server,
    entries: usize,
    fault: Fault,
    config: AdmissionConfig,
) -> Measured {
    let mut gate = Admission::new(config, Duration::ZERO);
    let mut completed = 0;
    let mut ticket = 0;
    for now in steps() {
        for done in server.finish(now) {
            completed += 1;
            let started = gate
                .record_completion(now, done, CompletionStatus::Ok)
                .started;
            started.into_iter().for_each(|it| server.start(now, it));
        }
        if is_due(fault, now) {
            inject_fault(fault, now, config, &mut server, &mut gate);
        }
        if now.as_millis().is_multiple_of(REPORT_EVERY.as_millis()) {
            let started = gate.record_report(now, &server.report(now)).started;
            started.into_iter().for_each(|it| server.start(now, it));
        }
        let snapshot = gate.snapshot(now);
        let wanted = (entries * DEMAND) as u32;
        let mut refused = 0;
        for _ in snapshot.in_flight + snapshot.queued..wanted {
            ticket += 1;
            match gate.try_admit(now, waiting(ticket, now)) {
                AdmissionDecision::Start => server.start(now, ticket),
                AdmissionDecision::Queued(_) => {}
                AdmissionDecision::Refused(_) => refused += 1,
            }
            if refused == REFUSALS && now != Duration::ZERO {
                break;
            }
        }
        let started = gate.advance(now).started;
        started.into_iter().for_each(|it| server.start(now, it));
    }
    Measured { server, completed }
}

fn is_due(fault: Fault, now: Timestamp) -> bool {
    match fault {
        Fault::None => false,
        Fault::ColdAgentRestart => now == Duration::from_millis(2_010),
        _ => now == FAULT_AT + STEP,
    }
}

fn inject_fault(
    fault: Fault,
    now: Timestamp,
    gate_config: AdmissionConfig,
    server: &mut Server,
    gate: &mut Admission,
) {
    let lost = match fault {
        Fault::ServerRestart | Fault::BothRestart => server.restart(now),
        _ => Vec::new(),
    };
    match fault {
        Fault::None => {}
        Fault::SilentCold => server.turn_cold(now),
        Fault::ServerRestart => {
            for ticket in lost {
                let started = gate
                    .record_completion(now, ticket, CompletionStatus::Reset)
                    .started;
                started.into_iter().for_each(|it| server.start(now, it));
            }
        }
        Fault::AgentRestart | Fault::ColdAgentRestart | Fault::BothRestart => {
            *gate = Admission::new(gate_config, now);
        }
    }
}

fn waiting(ticket: u64, now: Timestamp) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        account: format!("account-{}", ticket % 10),
        weight: 1,
        deadline: now + Duration::from_secs(10),
        cost: 1,
        tokens: 0,
    }
}

/// Runs the naive alternative: each entry raises its own limit with the time since it first saw the
/// server, and starts again when its own connections break in a restart.
fn run_naive(entries: usize, fault: Fault) -> Measured {
    let mut server = Server::default();
    let mut since = vec![Duration::ZERO; entries];
    let mut completed = 0;
    let mut ticket = 0_u64;
    for now in steps() {
        completed += server.finish(now).len();
        if is_due(fault, now) {
            match fault {
                Fault::ServerRestart | Fault::BothRestart => {
                    server.restart(now);
                    since.fill(now);
                }
                Fault::SilentCold => server.turn_cold(now),
                _ => {}
            }
        }
        let mut busy = vec![0; entries];
        for (it, _) in &server.work {
            busy[*it as usize % entries] += 1;
        }
        for (entry, since) in since.iter().enumerate() {
            let limit = naive_limit(now - *since).min(DEMAND);
            for _ in busy[entry]..limit {
                ticket += 1;
                server.start(now, ticket * entries as u64 + entry as u64);
            }
        }
    }
    Measured { server, completed }
}

fn naive_limit(age: Duration) -> usize {
    let share = age.as_secs_f64() / RAMP.as_secs_f64();
    (f64::from(COLD_FLOOR) + f64::from(WARM_LIMIT - COLD_FLOOR) * share.min(1.0)) as usize
}

#[gtest]
fn gate_holds_the_cold_floor_where_a_slow_start_per_entry_does_not() {
    println!(
        "| entries | fault | naive peak | naive excess | gate peak | gate excess | gate done |"
    );
    for entries in [6, 9, 60] {
        for fault in FAULTS {
            let naive = run_naive(entries, fault);
            let gate = run_gate(entries, fault, config());

            println!(
                "| {entries} | {fault:?} | {} | {} | {} | {} | {} |",
                naive.server.peak_cold,
                naive.server.excess_starts,
                gate.server.peak_cold,
                gate.server.excess_starts,
                gate.completed,
            );
            expect_that!(naive.server.excess_starts, gt(0), "{entries} {fault:?}");
            expect_that!(gate.server.excess_starts, eq(0), "{entries} {fault:?}");
            expect_that!(gate.completed, gt(1000), "{entries} {fault:?}");
        }
    }
}

#[gtest]
fn gate_holds_the_cold_floor_if_the_server_reports_when_it_is_warm() {
    for entries in [6, 9, 60] {
        for fault in FAULTS {
            let server = Server {
                warm_report_lead: Some(Duration::ZERO),
                ..Server::default()
            };

            let gate = run_gate_with(server, entries, fault, config());

            expect_that!(gate.server.excess_starts, eq(0), "{entries} {fault:?}");
            expect_that!(gate.server.peak_cold, eq(COLD_FLOOR), "{entries} {fault:?}");
            expect_that!(gate.completed, gt(1000), "{entries} {fault:?}");
        }
    }
}

#[gtest]
fn gate_opens_within_three_seconds_of_a_warm_report() {
    let mut gate = Admission::new(config(), Duration::ZERO);
    let report = |now: Timestamp, warm| ServerReport {
        measured_at: now,
        warm: Some(warm),
        in_flight: Some(0),
        ..ServerReport::default()
    };
    let until = |from: Timestamp, seconds: u64| {
        let end = from + Duration::from_secs(seconds);
        (0..)
            .map(move |n| from + REPORT_EVERY * n)
            .take_while(move |now| *now < end)
    };

    until(Duration::ZERO, 20).for_each(|now| drop(gate.record_report(now, &report(now, false))));
    let cold = gate.snapshot(FAULT_AT).limit;
    until(FAULT_AT, 3).for_each(|now| drop(gate.record_report(now, &report(now, true))));
    let warm = gate.snapshot(END).limit;
    let late = report(FAULT_AT + Duration::from_secs(4), false);
    gate.record_report(END, &late);
    gate.record_report(END, &report(FAULT_AT + Duration::from_secs(5), true));

    expect_that!(cold, eq(COLD_FLOOR));
    expect_that!(warm, eq(WARM_LIMIT));
    expect_that!(
        gate.snapshot(END).limit,
        eq(COLD_FLOOR),
        "an outdated warm report does not raise the limit"
    );
}

#[gtest]
fn gate_exceeds_the_cold_floor_if_it_ignores_orphans_of_its_predecessor() {
    let forgetful = AdmissionConfig {
        orphan_timeout: Duration::ZERO,
        ..config()
    };

    let broken = run_gate(6, Fault::ColdAgentRestart, forgetful);
    let held = run_gate(6, Fault::ColdAgentRestart, config());

    expect_that!(broken.server.peak_cold, gt(COLD_FLOOR));
    expect_that!(held.server.peak_cold, eq(COLD_FLOOR));
}
