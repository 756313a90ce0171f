//! Simulates the calls of a whole fleet to the platform in virtual time: the call rate stays within
//! a quarter of the 2,000 calls per second that the configuration service can answer, and every
//! process learns every change in time.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration};

use googletest::prelude::*;
use jj_policy::call_budget::{CallBudget, CallCause, CallPacer};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Number of processes expected in two years.
const FLEET: u32 = 1_040;
/// A quarter of the calls per second that the configuration service can answer.
const MAX_CALLS_PER_SEC: usize = 500;
/// Maximum time until every process knows a change.
const MAX_PROPAGATION: Duration = Duration::from_secs(7);
/// Round trip time to the configuration service.
const ROUND_TRIP: Duration = Duration::from_millis(4);
/// Duration of a live list watch without changes.
const LIST_WAIT: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(400);
const SEEDS: [u128; 3] = [20_261_203, 1, 2];

/// A published change; `inline` if the manifest itself contains it.
struct Change {
    at: Duration,
    inline: bool,
}

struct Scenario {
    name: &'static str,
    changes: Vec<Change>,
    down: Range<Duration>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    /// Starts a watch of the manifest.
    Watch,
    /// Reads a document.
    Document,
    /// Starts a watch of the live list.
    List,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    Regular,
    WatchWoken,
    Failed,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The next call is scheduled.
    Due { call: Call, cause: Cause },
    /// A call is made.
    Made(Call),
}

/// Schedules a call: [`CallPacer::reserve`], or [`naive`], which calls immediately.
type Reserve = fn(&mut CallPacer, Duration, CallCause, f64) -> Duration;

fn naive(_: &mut CallPacer, now: Duration, cause: CallCause, _: f64) -> Duration {
    match cause {
        CallCause::Failed { .. } => now + Duration::from_secs(1),
        CallCause::Regular | CallCause::WatchWoken => now,
    }
}

struct Node {
    config: CallPacer,
    list: CallPacer,
    random: Pcg64Mcg,
    failures: u32,
    known: usize,
}

impl Node {
    fn new(number: u32, seed: u128) -> Self {
        Self {
            config: CallPacer::new(CallBudget::default(), FLEET),
            list: CallPacer::new(CallBudget::live_list(), FLEET),
            random: Pcg64Mcg::new(seed + (u128::from(number) << 64)),
            failures: 0,
            known: 0,
        }
    }

    fn reserve(&mut self, reserve: Reserve, now: Duration, call: Call, cause: Cause) -> Duration {
        let random = self.random.random::<f64>();
        let cause = match cause {
            Cause::Regular => CallCause::Regular,
            Cause::WatchWoken => CallCause::WatchWoken,
            Cause::Failed => CallCause::Failed {
                failures: self.failures,
            },
        };
        match call {
            Call::List => reserve(&mut self.list, now, cause, random),
            Call::Watch | Call::Document => reserve(&mut self.config, now, cause, random),
        }
    }
}

struct Outcome {
    /// Maximum number of calls in any window of one second.
    peak: usize,
    /// Longest time from a change, or from the end of an outage, until a process knows the change.
    slowest: Duration,
    /// Number of changes that every process knows.
    known: usize,
}

fn simulate(scenario: &Scenario, reserve: Reserve, seed: u128) -> Outcome {
    let nodes = (0..FLEET).map(|number| Node::new(number, seed));
    let mut nodes: Vec<Node> = nodes.collect();
    let mut queue = BinaryHeap::new();
    for number in 0..nodes.len() {
        for call in [Call::Watch, Call::List] {
            let cause = Cause::WatchWoken;
            queue.push(Reverse((Duration::ZERO, number, Step::Due { call, cause })));
        }
    }
    let mut calls = Vec::new();
    let mut slowest = Duration::ZERO;
    while let Some(Reverse((now, number, step))) = queue.pop() {
        if now > END {
            break;
        }
        let node = &mut nodes[number];
        let next = match step {
            Step::Due { call, cause } => {
                let at = node.reserve(reserve, now, call, cause);
                (at, number, Step::Made(call))
            }
            Step::Made(call) => {
                calls.push(now);
                let known = node.known;
                let (end, call, cause) = answer(scenario, node, call, now);
                if node.known > known {
                    slowest = slowest.max(end - due(scenario, known));
                }
                (end, number, Step::Due { call, cause })
            }
        };
        queue.push(Reverse(next));
    }
    let known = nodes.iter().map(|node| node.known);
    Outcome {
        peak: peak(&mut calls),
        slowest,
        known: known.min().unwrap_or(0),
    }
}

/// Returns when a call ends, and the call that follows.
fn answer(
    scenario: &Scenario,
    node: &mut Node,
    call: Call,
    now: Duration,
) -> (Duration, Call, Cause) {
    let end = now + ROUND_TRIP;
    if scenario.down.contains(&now) {
        node.failures += 1;
        let failed = if call == Call::List {
            call
        } else {
            Call::Watch
        };
        return (end, failed, Cause::Failed);
    }
    if call == Call::List {
        return (now + LIST_WAIT, Call::List, Cause::Regular);
    }
    node.failures = 0;
    if call == Call::Document {
        node.known += 1;
        return (end, Call::Watch, Cause::Regular);
    }
    let wait = node.config.interval() * 2;
    match scenario.changes.get(node.known) {
        Some(change) if change.at <= now + wait => {
            let learned_at = change.at.max(now) + ROUND_TRIP;
            // A change published before the call completes no other watch at this time.
            let cause = match change.at > now {
                true => Cause::WatchWoken,
                false => Cause::Regular,
            };
            if change.inline {
                node.known += 1;
                return (learned_at, Call::Watch, cause);
            }
            (learned_at, Call::Document, cause)
        }
        _ => (now + wait, Call::Watch, Cause::Regular),
    }
}

/// Returns the time from which a change can be read.
fn due(scenario: &Scenario, change: usize) -> Duration {
    let at = scenario.changes[change].at;
    match scenario.down.contains(&at) {
        true => scenario.down.end,
        false => at,
    }
}

/// Returns the maximum number of calls in any window of one second.
fn peak(calls: &mut [Duration]) -> usize {
    calls.sort();
    let mut first = 0;
    let mut peak = 0;
    for (last, at) in calls.iter().enumerate() {
        while calls[first] + Duration::from_secs(1) <= *at {
            first += 1;
        }
        peak = peak.max(last - first + 1);
    }
    peak
}

/// Returns the scenarios. 910 changes per day are one every 95 s on average; some follow each other
/// more closely, and a withdrawal may come at any time.
fn scenarios() -> Vec<Scenario> {
    let change = |at: f64, inline| Change {
        at: Duration::from_secs_f64(at),
        inline,
    };
    let spread = [20.0, 115.0, 122.0, 125.5, 225.0, 320.0];
    vec![
        Scenario {
            name: "a day's changes",
            changes: spread.map(|at| change(at, false)).into(),
            down: Duration::ZERO..Duration::ZERO,
        },
        Scenario {
            name: "a withdrawal right after another change",
            changes: vec![change(20.0, false), change(20.2, true), change(120.0, true)],
            down: Duration::ZERO..Duration::ZERO,
        },
        Scenario {
            name: "a change during an outage",
            changes: vec![change(150.0, false)],
            down: Duration::from_secs(100)..Duration::from_secs(220),
        },
    ]
}

#[gtest]
fn fleet_of_1040_learns_every_change_in_time_within_its_call_budget() {
    for (scenario, seed) in scenarios()
        .iter()
        .flat_map(|scenario| SEEDS.map(|seed| (scenario, seed)))
    {
        let outcome = simulate(scenario, CallPacer::reserve, seed);

        let Outcome { peak, slowest, .. } = outcome;
        let case = format!("{}, seed {seed}", scenario.name);
        println!("{case}: peak {peak} calls/s, slowest {slowest:?}");
        expect_that!(peak, le(MAX_CALLS_PER_SEC), "{case}");
        expect_that!(slowest, le(MAX_PROPAGATION), "{case}");
        expect_that!(outcome.known, eq(scenario.changes.len()), "{case}");
    }
}

#[gtest]
fn unpaced_fleet_exceeds_the_call_budget() {
    for scenario in scenarios() {
        let outcome = simulate(&scenario, naive, SEEDS[0]);

        println!("naive, {}: peak {} calls/s", scenario.name, outcome.peak);
        expect_that!(outcome.peak, gt(MAX_CALLS_PER_SEC), "{}", scenario.name);
    }
}

#[gtest]
fn one_process_stays_within_its_rate() {
    let mut node = Node::new(7, SEEDS[0]);
    let mut calls = Vec::new();

    for step in 0..1_000_u32 {
        let now = Duration::from_millis(u64::from(step) * 7);
        node.failures = step % 40;
        let cause = [Cause::WatchWoken, Cause::Regular, Cause::Failed][step as usize % 3];
        let at = node.reserve(CallPacer::reserve, now, Call::Watch, cause);
        expect_that!(at, ge(now));
        calls.push(at);
    }

    // Calls are an interval apart, except for one that follows a woken watch.
    calls.sort();
    let closest = calls.windows(3).map(|calls| calls[2] - calls[0]).min();
    expect_that!(closest, some(ge(node.config.interval())));
}

#[gtest]
fn postponed_call_does_not_delay_a_due_one() {
    let mut pacer = CallPacer::new(CallBudget::live_list(), 10);
    let now = Duration::from_secs(100);

    let postponed = pacer.reserve(now, CallCause::Failed { failures: 30 }, 0.9);
    let due = pacer.reserve(now, CallCause::Regular, 0.9);

    expect_that!(postponed, eq(now + Duration::from_secs(9)));
    expect_that!(due, eq(now));
}

#[gtest]
fn interval_is_proportional_to_fleet_size_within_bounds() {
    let cases = [(1, 50), (63, 200), (1_040, 3_301), (1_000_000, 30_000)];
    for (fleet, millis) in cases {
        let pacer = CallPacer::new(CallBudget::default(), fleet);

        expect_that!(pacer.interval().as_millis(), eq(millis), "fleet {fleet}");
    }
}
