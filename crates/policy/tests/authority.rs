//! Authority to take new work under partitions, outages and freezes, on recorded traces.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::authority::{Authority, AuthorityConfig, PeerAnswer, WITHDRAWAL_BOUND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEED: u64 = 7;
/// Time at which the failure domain of the process under test is withdrawn.
const WITHDRAWN_MS: u64 = 20_000;
const END_MS: u64 = 40_000;
/// Time for which the process is frozen in the trace `frozen`.
const FROZEN_MS: std::ops::Range<u64> = WITHDRAWN_MS - 1_000..END_MS - 9_000;

/// Line of a trace: an answer that arrived, or a check directly before a write; times in ms.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    at: u64,
    event: Event,
}

#[derive(Debug, Clone, PartialEq)]
enum Event {
    Service {
        index: u64,
        requested_ms: u64,
    },
    Peer {
        domain: String,
        index: u64,
        age: Option<u64>,
        requested_ms: u64,
    },
    Write,
}

/// Fault that begins with the withdrawal.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    CutAlone,
    ServiceDown,
    StaleReplica,
    Frozen,
}

const FAULTS: [(Fault, &str); 4] = [
    (Fault::CutAlone, "cut_alone"),
    (Fault::ServiceDown, "service_down"),
    (Fault::StaleReplica, "stale_replica"),
    (Fault::Frozen, "frozen"),
];

/// Generates a trace: requests every 500 to 900 ms, answers within 40 ms. A frozen process reads
/// the answers when it resumes.
fn generate(fault: Fault) -> Vec<Line> {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut lines = Vec::new();
    let mut requested_ms = 0;
    while requested_ms < END_MS {
        let is_faulty = requested_ms >= WITHDRAWN_MS;
        let frozen = fault == Fault::Frozen && FROZEN_MS.contains(&requested_ms);
        let arrives = if frozen {
            FROZEN_MS.end
        } else {
            requested_ms + rng.random_range(2..40)
        };
        let service_reached = !is_faulty || fault == Fault::StaleReplica;
        if service_reached {
            lines.push(Line {
                at: arrives,
                event: Event::Service {
                    index: 5,
                    requested_ms,
                },
            });
        }
        if !is_faulty || fault == Fault::ServiceDown {
            let age = if is_faulty {
                requested_ms - WITHDRAWN_MS + 300
            } else {
                rng.random_range(0..900)
            };
            let domain = ["b", "c"][rng.random_range(0..2)].to_owned();
            let event = Event::Peer {
                domain,
                index: 5,
                age: Some(age),
                requested_ms,
            };
            lines.push(Line { at: arrives, event });
        }
        if fault == Fault::StaleReplica
            && (WITHDRAWN_MS..WITHDRAWN_MS + 1_000).contains(&requested_ms)
        {
            let event = Event::Peer {
                domain: "b".into(),
                index: 6,
                age: Some(10),
                requested_ms,
            };
            lines.push(Line { at: arrives, event });
        }
        requested_ms += rng.random_range(500..900);
    }
    let is_frozen = |at: &u64| fault == Fault::Frozen && FROZEN_MS.contains(at);
    let writes = (2..END_MS / 500)
        .map(|step| step * 500 + 1)
        .filter(|at| !is_frozen(at));
    lines.extend(writes.map(|at| Line {
        at,
        event: Event::Write,
    }));
    lines.sort_by_key(|line| line.at);
    lines
}

fn render(lines: &[Line]) -> String {
    let text = |line: &Line| match &line.event {
        Event::Service {
            index,
            requested_ms,
        } => format!("{} service {index} {requested_ms}\n", line.at),
        Event::Peer {
            domain,
            index,
            age,
            requested_ms,
        } => {
            let age = age.map_or("-".to_owned(), |age| age.to_string());
            format!("{} peer {domain} {index} {age} {requested_ms}\n", line.at)
        }
        Event::Write => format!("{} write\n", line.at),
    };
    lines.iter().map(text).collect()
}

fn parse(text: &str) -> Vec<Line> {
    let line = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let number = |i: usize| words[i].parse().expect("a number");
        let event = match words[1] {
            "service" => Event::Service {
                index: number(2),
                requested_ms: number(3),
            },
            "peer" => Event::Peer {
                domain: words[2].to_owned(),
                index: number(3),
                age: words[4].parse().ok(),
                requested_ms: number(5),
            },
            _ => Event::Write,
        };
        Line {
            at: number(0),
            event,
        }
    };
    text.lines().map(line).collect()
}

fn recorded(fault: Fault, name: &str) -> Vec<Line> {
    let text = render(&generate(fault));
    parse(&common::recorded(&format!("authority_{name}"), text))
}

/// Rule for new work: the policy, or a simpler rule to compare with.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Policy,
    /// Always takes work, with the last accepted configuration.
    LastAccepted,
    /// Dates evidence by when the answer was read.
    DatedOnArrival,
    /// Ignores the answers of peers.
    ServiceOnly,
}

/// Returns the times in milliseconds at which new work was taken.
fn times_of_new_work(lines: &[Line], rule: Rule) -> Vec<u64> {
    let ms = Duration::from_millis;
    let mut authority = Authority::new(AuthorityConfig::default(), "a".into());
    authority.set_in_force(5, ["a", "b", "c"].map(str::to_owned));
    let mut writes = Vec::new();
    for Line { at, event } in lines {
        let dated = |requested_ms: u64| {
            ms(if rule == Rule::DatedOnArrival {
                *at
            } else {
                requested_ms
            })
        };
        match event {
            Event::Service {
                index,
                requested_ms,
            } => authority.record_service_read(*index, dated(*requested_ms)),
            Event::Peer {
                domain,
                index,
                age,
                requested_ms,
            } if rule != Rule::ServiceOnly => {
                authority.record_peer_answer(&PeerAnswer {
                    peer: domain.clone(),
                    domain: domain.clone(),
                    index: *index,
                    service_evidence_age: age.map(ms),
                    requested_at: dated(*requested_ms),
                });
            }
            Event::Write if rule == Rule::LastAccepted => writes.push(*at),
            Event::Write if authority.work_permit(ms(*at)).is_some() => writes.push(*at),
            Event::Peer { .. } | Event::Write => {}
        }
    }
    writes
}

fn bound_ms() -> u64 {
    WITHDRAWN_MS + u64::try_from(WITHDRAWAL_BOUND.as_millis()).expect("small")
}

/// Counts the writes after the withdrawal bound.
fn count_late(writes: &[u64]) -> usize {
    writes.iter().filter(|&&at| at > bound_ms()).count()
}

#[gtest]
fn isolated_process_stops_new_work_within_the_bound() {
    for (fault, name) in FAULTS {
        let lines = recorded(fault, name);
        let writes = times_of_new_work(&lines, Rule::Policy);
        let served_before = writes.iter().filter(|&&at| at < WITHDRAWN_MS - 500).count();

        let all_before = lines
            .iter()
            .filter(|l| l.event == Event::Write && l.at < WITHDRAWN_MS - 500);
        expect_that!(
            served_before,
            eq(all_before.count()),
            "{name}: all work before the fault is taken"
        );
        if fault != Fault::ServiceDown {
            expect_that!(count_late(&writes), eq(0), "{name}");
        }
    }
}

#[gtest]
fn all_domains_keep_serving_when_only_the_service_is_down() {
    let lines = recorded(Fault::ServiceDown, "service_down");
    let all = lines
        .iter()
        .filter(|line| line.event == Event::Write)
        .count();

    expect_that!(times_of_new_work(&lines, Rule::Policy).len(), eq(all));
    expect_that!(times_of_new_work(&lines, Rule::ServiceOnly).len(), lt(all));
}

#[gtest]
fn naive_rules_take_work_after_the_bound() {
    let cases = [
        (Fault::CutAlone, "cut_alone", Rule::LastAccepted),
        (Fault::Frozen, "frozen", Rule::LastAccepted),
        (Fault::Frozen, "frozen", Rule::DatedOnArrival),
        (Fault::StaleReplica, "stale_replica", Rule::ServiceOnly),
    ];

    for (fault, name, rule) in cases {
        let count = count_late(&times_of_new_work(&recorded(fault, name), rule));
        println!("{name}: {count} writes after the bound");
        expect_that!(count, gt(0), "{name}");
    }
}

#[gtest]
fn work_permit_expires_with_its_evidence() {
    let mut authority = Authority::new(AuthorityConfig::default(), "a".into());
    authority.record_service_read(3, Duration::from_secs(10));

    let permit = authority
        .work_permit(Duration::from_secs(11))
        .expect("confirmed");

    expect_that!(permit.is_valid(Duration::from_millis(13_999)), eq(true));
    expect_that!(permit.is_valid(Duration::from_secs(14)), eq(false));
}
