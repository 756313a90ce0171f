//! Calls of a whole fleet to the platform, in virtual time: within a quarter of the 2,000 calls a
//! second that the service answers, and every change known in time.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration};

use googletest::prelude::*;
use jj_policy::call_budget::{CallBudget, CallCause, CallPacer};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Processes at the size of two years from now.
const FLEET: u32 = 1_040;
/// A quarter of what the configuration service answers in a second.
const MAX_CALLS: usize = 500;
/// In force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Way to the service and back.
const ROUND_TRIP: Duration = Duration::from_millis(4);
/// Wait of a live list watch.
const LIST_WAIT: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(400);
const SEEDS: [u128; 3] = [20_261_203, 1, 2];

/// A publication; `inline` when the manifest itself carries what changed.
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
    /// A watch of the manifest begins.
    Watch,
    /// A document is read.
    Document,
    /// A watch of the live list begins.
    List,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    Turn,
    Woken,
    Failed,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A call is due: its moment is reserved now.
    Due { call: Call, cause: Cause },
    /// A call is made.
    Made(Call),
}

/// Reserves the moment of a call: the pacer, or the naive reader that calls at once.
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
            Cause::Turn => CallCause::Regular,
            Cause::Woken => CallCause::WatchWoken,
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
    /// Most calls in any one second.
    peak: usize,
    /// Longest time from a change, or from the service's return, to a process knowing it.
    slowest: Duration,
    /// Changes that every process knows.
    known: usize,
}

fn simulate(scenario: &Scenario, reserve: Reserve, seed: u128) -> Outcome {
    let nodes = (0..FLEET).map(|number| Node::new(number, seed));
    let mut nodes: Vec<Node> = nodes.collect();
    let mut queue = BinaryHeap::new();
    for number in 0..nodes.len() {
        for call in [Call::Watch, Call::List] {
            let cause = Cause::Woken;
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

/// When a call ends, and which one follows from it.
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
        return (now + LIST_WAIT, Call::List, Cause::Turn);
    }
    node.failures = 0;
    if call == Call::Document {
        node.known += 1;
        return (end, Call::Watch, Cause::Turn);
    }
    let wait = node.config.interval() * 2;
    match scenario.changes.get(node.known) {
        Some(change) if change.at <= now + wait => {
            let told = change.at.max(now) + ROUND_TRIP;
            // What was there before the call wakes nobody else at this moment.
            let cause = match change.at > now {
                true => Cause::Woken,
                false => Cause::Turn,
            };
            if change.inline {
                node.known += 1;
                return (told, Call::Watch, cause);
            }
            (told, Call::Document, cause)
        }
        _ => (now + wait, Call::Watch, Cause::Turn),
    }
}

/// The moment from which a change can be read.
fn due(scenario: &Scenario, change: usize) -> Duration {
    let at = scenario.changes[change].at;
    match scenario.down.contains(&at) {
        true => scenario.down.end,
        false => at,
    }
}

/// Most calls in any window of one second.
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

/// 910 changes a day are one each 95 s; some follow closer, and a withdrawal comes at any moment.
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
        expect_that!(peak, le(MAX_CALLS), "{case}");
        expect_that!(slowest, le(IN_FORCE), "{case}");
        expect_that!(outcome.known, eq(scenario.changes.len()), "{case}");
    }
}

#[gtest]
fn unpaced_fleet_exceeds_the_call_budget() {
    for scenario in scenarios() {
        let outcome = simulate(&scenario, naive, SEEDS[0]);

        println!("naive, {}: peak {} calls/s", scenario.name, outcome.peak);
        expect_that!(outcome.peak, gt(MAX_CALLS), "{}", scenario.name);
    }
}

#[gtest]
fn one_process_stays_within_its_rate() {
    let mut node = Node::new(7, SEEDS[0]);
    let mut calls = Vec::new();

    for step in 0..1_000_u32 {
        let now = Duration::from_millis(u64::from(step) * 7);
        node.failures = step % 40;
        let cause = [Cause::Woken, Cause::Turn, Cause::Failed][step as usize % 3];
        let at = node.reserve(CallPacer::reserve, now, Call::Watch, cause);
        expect_that!(at, ge(now));
        calls.push(at);
    }

    // Any two calls are an interval apart, but for one that follows a wake.
    calls.sort();
    let closest = calls.windows(3).map(|calls| calls[2] - calls[0]).min();
    expect_that!(closest, some(ge(node.config.interval())));
}

#[gtest]
fn postponed_call_does_not_delay_a_due_one() {
    let mut pacer = CallPacer::new(CallBudget::live_list(), 10);
    let now = Duration::from_secs(100);

    let put_off = pacer.reserve(now, CallCause::Failed { failures: 30 }, 0.9);
    let due = pacer.reserve(now, CallCause::Regular, 0.9);

    expect_that!(put_off, eq(now + Duration::from_secs(9)));
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
