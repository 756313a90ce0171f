//! Compares a token limit with a limit on requests alone, with the same random arrivals.

use std::{cell::Cell, collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use jj_policy::{
    admission::{
        Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, CompletionStatus,
        Dequeued, FairnessConfig, LimitConfig, ServerReport,
    },
    tokens,
};
use jj_utils::clock::Timestamp;
use proptest::test_runner::TestRunner;

const CAPACITY: u32 = 1_000;
const STEP: Duration = Duration::from_millis(10);

/// One request: the step at which it arrives, its tokens, and its duration in steps.
type Arrival = (u32, u32, u32);

fn config(tokens: Option<u32>) -> AdmissionConfig {
    AdmissionConfig {
        limit: LimitConfig {
            cold_floor: 16,
            concurrency: 16,
            ..LimitConfig::default()
        },
        queue: FairnessConfig {
            queue_limit: 1_000,
            account_limit: 1_000,
        },
        token_capacity: tokens,
        ..AdmissionConfig::default()
    }
}

/// Load of an engine over a run.
#[derive(Debug, Default)]
struct EngineStats {
    /// Maximum tokens of concurrent requests, when there was more than one.
    peak_tokens: u32,
    /// Number of requests that ended.
    done: usize,
}

/// An engine with its running requests: tokens and end step, by ticket.
#[derive(Debug, Default)]
struct Engine {
    running: BTreeMap<u64, (u32, u32)>,
    stats: EngineStats,
}

impl Engine {
    fn start(&mut self, ticket: u64, arrivals: &[Arrival], step: u32) {
        let (_, tokens, steps) = arrivals[ticket as usize];
        self.running.insert(ticket, (tokens, step + steps));
        let total: u32 = self.running.values().map(|(tokens, _)| tokens).sum();
        if self.running.len() > 1 {
            self.stats.peak_tokens = self.stats.peak_tokens.max(total);
        }
    }

    fn ended(&mut self, step: u32) -> Vec<u64> {
        let is_over = |end: u32| end <= step;
        let over = self.running.iter().filter(|(_, (_, end))| is_over(*end));
        let over: Vec<u64> = over.map(|(ticket, _)| *ticket).collect();
        self.running.retain(|_, (_, end)| !is_over(*end));
        self.stats.done += over.len();
        over
    }
}

fn request(ticket: u64, tokens: u32, now: Timestamp) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        account: format!("account-{}", ticket % 3),
        weight: 1,
        deadline: now + Duration::from_secs(600),
        cost: 1,
        tokens,
    }
}

fn run(limit: Option<u32>, arrivals: &[Arrival]) -> EngineStats {
    let mut admission = Admission::new(config(limit), Duration::ZERO);
    let idle = ServerReport {
        measured_at: STEP,
        in_flight: Some(0),
        ..ServerReport::default()
    };
    admission.record_report(STEP, &idle);
    let mut engine = Engine::default();
    for step in 1..3_000 {
        let now = STEP * step;
        let mut released = Dequeued::default();
        for ticket in engine.ended(step) {
            let next = admission.record_completion(now, ticket, CompletionStatus::Ok);
            released.started.extend(next.started);
        }
        for (ticket, (_, tokens, _)) in (0..).zip(arrivals).filter(|(_, a)| a.0 == step) {
            if matches!(
                admission.try_admit(now, request(ticket, *tokens, now)),
                AdmissionDecision::Start
            ) {
                released.started.push(ticket);
            }
        }
        for ticket in released.started {
            engine.start(ticket, arrivals, step);
        }
    }
    engine.stats
}

#[gtest]
fn tokens_in_flight_stay_within_the_capacity_and_every_request_runs() {
    let mut runner = TestRunner::deterministic();
    let small = (1_u32..100, 1_u32..60, 1_u32..20);
    let huge = (1_u32..100, 400_u32..1_300, 1_u32..20);
    let arrivals = (
        proptest::collection::vec(small, 20..60),
        proptest::collection::vec(huge, 4..8),
    );
    let (runs, overflows) = (Cell::new(0), Cell::new(0));

    let result = runner.run(&arrivals, |(small, huge)| {
        let arrivals = [small, huge].concat();
        let by_tokens = run(Some(CAPACITY), &arrivals);
        let by_requests = run(None, &arrivals);
        runs.set(runs.get() + 1);
        overflows.set(overflows.get() + u32::from(by_requests.peak_tokens > CAPACITY));
        assert!(by_tokens.peak_tokens <= CAPACITY, "{by_tokens:?}");
        assert_eq!(by_tokens.done, arrivals.len());
        Ok(())
    });

    println!(
        "over the capacity with a limit on requests alone: {} of {} runs",
        overflows.get(),
        runs.get()
    );
    expect_that!(result, ok(anything()));
    expect_that!(overflows.get(), gt(0));
}

#[gtest]
fn abandoned_request_holds_its_tokens_until_the_orphan_timeout() {
    let now = STEP;
    let mut admission = Admission::new(config(Some(CAPACITY)), Duration::ZERO);
    let idle = ServerReport {
        measured_at: now,
        in_flight: Some(0),
        ..ServerReport::default()
    };
    admission.record_report(now, &idle);

    let first = admission.try_admit(now, request(0, 700, now));
    let released = admission.record_completion(now, 0, CompletionStatus::Abandoned);
    let second = admission.try_admit(now, request(1, 400, now));
    let later = now + AdmissionConfig::default().orphan_timeout;
    let started = admission.advance(later).started;

    expect_that!(first, eq(&AdmissionDecision::Start));
    expect_that!(released, eq(&Dequeued::default()));
    expect_that!(second, eq(&AdmissionDecision::Queued(None)));
    expect_that!(started, elements_are![eq(&1)]);
}

#[gtest]
fn estimate_covers_prompt_and_answer() {
    expect_that!(tokens::estimate(0, Some(20)), eq(20));
    expect_that!(tokens::estimate(3_000, Some(20)), eq(1_020));
    expect_that!(tokens::estimate(30, None), gt(10));
    expect_that!(tokens::estimate(usize::MAX, Some(u32::MAX)), eq(u32::MAX));
}
