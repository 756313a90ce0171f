//! Replays a recorded trace of arrivals during which the server restarts, and later becomes cold
//! without reporting it.

mod common;

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use googletest::prelude::*;
use jj_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, CompletionStatus, LimitConfig,
    Refusal, ServerReport,
};
use jj_utils::clock::Timestamp;
use rand::RngExt;
use rand_pcg::{Pcg64, rand_core::SeedableRng};

const FLOOR: u32 = 2;
const CONCURRENCY: u32 = 16;
const SEED: u64 = 17;
const END_MS: u64 = 11_000;
const COLD_MS: u64 = 1_500;
const RESTART_MS: u64 = 4_000;
const SILENT_COLD_MS: u64 = 8_000;
/// Longest usual service time, times the factor above which a latency is slow.
const DETECTION_MS: u64 = 60 * 4;

/// Generates lines `<ms> arrive <account> <deadline ms> <service ms>`, `<ms> report`,
/// `<ms> restart` and `<ms> cold`.
fn generate() -> String {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut out = String::new();
    for now in 0..END_MS {
        if now % 250 == 0 {
            let _ = writeln!(out, "{now} report");
        }
        if now == RESTART_MS {
            let _ = writeln!(out, "{now} restart");
        }
        if now == SILENT_COLD_MS {
            let _ = writeln!(out, "{now} cold");
        }
        if rng.random_range(0..10) == 0 {
            let account = match rng.random_range(0..10) {
                0..6 => 0,
                other => other - 5,
            };
            let patience = rng.random_range(100..2_000);
            let service = rng.random_range(40..60);
            let _ = writeln!(out, "{now} arrive a{account} {} {service}", now + patience);
        }
    }
    out
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The simulated server and the effects of admission control on it.
#[derive(Default)]
struct Replay {
    work: BTreeMap<u64, Timestamp>,
    service: BTreeMap<u64, (u64, Timestamp)>,
    boot: u64,
    cold_from: u64,
    /// Starts above the floor while cold, by the time at which the server became cold.
    starts_above_floor: BTreeMap<u64, u32>,
    starts_above_floor_late: u32,
    started: u32,
    starts_after_deadline: u32,
}

impl Replay {
    fn start(&mut self, now: u64, ticket: u64) {
        let (service, deadline) = self.service[&ticket];
        let cold = now < self.cold_from + COLD_MS;
        let time = if cold { service * 8 } else { service };
        self.work.insert(ticket, ms(now + time));
        self.started += 1;
        self.starts_after_deadline += u32::from(ms(now) >= deadline);
        if cold && self.work.len() as u32 > FLOOR {
            *self.starts_above_floor.entry(self.cold_from).or_default() += 1;
            self.starts_above_floor_late += u32::from(now > self.cold_from + DETECTION_MS);
        }
    }

    fn finished(&mut self, now: u64) -> Vec<u64> {
        let due = self.work.iter().filter(|(_, ends)| **ends <= ms(now));
        let done: Vec<u64> = due.map(|(ticket, _)| *ticket).collect();
        self.work.retain(|ticket, _| !done.contains(ticket));
        done
    }

    fn report(&self, now: u64) -> ServerReport {
        ServerReport {
            measured_at: ms(now),
            boot_id: Some(self.boot.to_string()),
            uptime: None,
            warm: None,
            in_flight: Some(self.work.len() as u32),
        }
    }
}

struct AdmissionReplay {
    replay: Replay,
    refusals: Vec<Refusal>,
    queued: u32,
}

fn replay_admission(trace: &str) -> AdmissionReplay {
    let config = AdmissionConfig {
        limit: LimitConfig {
            cold_floor: FLOOR,
            concurrency: CONCURRENCY,
            min_warm_up: ms(COLD_MS),
            ..LimitConfig::default()
        },
        ..AdmissionConfig::default()
    };
    let mut admission = Admission::new(config, Duration::ZERO);
    let mut replay = Replay::default();
    let mut refusals = Vec::new();
    let mut lines = trace.lines().peekable();
    let mut ticket = 0;
    for now in 0..END_MS {
        let mut released = vec![admission.advance(ms(now))];
        for done in replay.finished(now) {
            released.push(admission.record_completion(ms(now), done, CompletionStatus::Ok));
        }
        while let Some((event, rest)) = next_event(&mut lines, now) {
            match event {
                "report" => released.push(admission.record_report(ms(now), &replay.report(now))),
                "restart" => {
                    replay.boot += 1;
                    replay.cold_from = now;
                    let lost: Vec<u64> = replay.work.keys().copied().collect();
                    replay.work.clear();
                    for ticket in lost {
                        released.push(admission.record_completion(
                            ms(now),
                            ticket,
                            CompletionStatus::Reset,
                        ));
                    }
                }
                "cold" => replay.cold_from = now,
                _ => {
                    ticket += 1;
                    let waiting = arrival(&mut replay, ticket, &rest);
                    match admission.try_admit(ms(now), waiting) {
                        AdmissionDecision::Start => replay.start(now, ticket),
                        AdmissionDecision::Queued(displaced) => refusals.extend(displaced),
                        AdmissionDecision::Refused(refusal) => refusals.push(refusal),
                    }
                }
            }
        }
        for it in released {
            it.started.into_iter().for_each(|it| replay.start(now, it));
            refusals.extend(it.refused);
        }
    }
    let queued = admission.snapshot(ms(END_MS)).queued;
    AdmissionReplay {
        replay,
        refusals,
        queued,
    }
}

/// Replays with a naive limit that grows with the time since the start, without a queue.
fn replay_naive(trace: &str) -> Replay {
    let mut replay = Replay::default();
    let mut lines = trace.lines().peekable();
    let mut ticket = 0;
    for now in 0..END_MS {
        replay.finished(now);
        while let Some((event, rest)) = next_event(&mut lines, now) {
            match event {
                "restart" => {
                    replay.cold_from = now;
                    replay.work.clear();
                }
                "cold" => replay.cold_from = now,
                "arrive" => {
                    ticket += 1;
                    arrival(&mut replay, ticket, &rest);
                    let limit =
                        u64::from(FLOOR) + u64::from(CONCURRENCY - FLOOR) * now.min(5_000) / 5_000;
                    if (replay.work.len() as u64) < limit {
                        replay.start(now, ticket);
                    }
                }
                _ => {}
            }
        }
    }
    replay
}

fn next_event<'a>(
    lines: &mut std::iter::Peekable<std::str::Lines<'a>>,
    now: u64,
) -> Option<(&'a str, Vec<&'a str>)> {
    let line = lines.next_if(|line| line.split(' ').next() == Some(now.to_string().as_str()))?;
    let mut words = line.split(' ').skip(1);
    Some((words.next()?, words.collect()))
}

fn arrival(replay: &mut Replay, ticket: u64, words: &[&str]) -> AdmissionRequest {
    let deadline = ms(words[1].parse().expect("a deadline"));
    let service = words[2].parse().expect("a service time");
    replay.service.insert(ticket, (service, deadline));
    AdmissionRequest {
        ticket,
        account: words[0].to_owned(),
        weight: 1,
        deadline,
        cost: 1,
        tokens: 0,
    }
}

#[gtest]
fn recorded_restart_and_silent_cold_phase_start_nothing_above_the_floor() {
    let trace = common::recorded("admission_restart", generate());
    let arrivals = trace.lines().filter(|line| line.contains("arrive")).count() as u32;

    let naive = replay_naive(&trace);
    let admission = replay_admission(&trace);

    let AdmissionReplay {
        replay, refusals, ..
    } = &admission;
    println!(
        "seed {SEED}, {arrivals} arrivals: starts above the floor, by the start of the cold phase: \
         naive {:?}, admission control {:?} (after detection was due: {}); started {}, refused {}",
        naive.starts_above_floor,
        replay.starts_above_floor,
        replay.starts_above_floor_late,
        replay.started,
        refusals.len()
    );
    for turn in [0, RESTART_MS, SILENT_COLD_MS] {
        expect_that!(
            naive.starts_above_floor.contains_key(&turn),
            eq(true),
            "{turn}"
        );
    }
    expect_that!(replay.starts_above_floor.get(&0), none());
    expect_that!(replay.starts_above_floor.get(&RESTART_MS), none());
    expect_that!(replay.starts_above_floor_late, eq(0));
    expect_that!(replay.starts_after_deadline, eq(0));
    expect_that!(
        replay.started + refusals.len() as u32 + admission.queued,
        eq(arrivals)
    );
    let in_range = |it: &Refusal| it.retry_after >= ms(50) && it.retry_after <= ms(30_000);
    expect_that!(refusals.iter().all(in_range), eq(true));
}
