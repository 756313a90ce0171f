//! Admission control: growth and drops of the concurrency limit, queueing and refusals.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, ColdCause, CompletionStatus,
    FairnessConfig, LimitChange, LimitConfig, RefusalReason, ServerReport,
};
use jj_utils::clock::Timestamp;

const USUAL_LATENCY_MS: u64 = 50;
const CONCURRENCY: u32 = 8;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn config() -> AdmissionConfig {
    AdmissionConfig {
        limit: LimitConfig {
            cold_floor: 2,
            concurrency: CONCURRENCY,
            ..LimitConfig::default()
        },
        queue: FairnessConfig {
            queue_limit: 4,
            account_limit: 3,
        },
        ..AdmissionConfig::default()
    }
}

fn report(now: Timestamp, boot: &str) -> ServerReport {
    ServerReport {
        measured_at: now,
        boot_id: Some(boot.into()),
        uptime: Some(Duration::from_secs(3600) + now),
        warm: None,
        in_flight: Some(0),
    }
}

fn request(ticket: u64, deadline: Timestamp) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        account: "a".into(),
        weight: 1,
        deadline,
        cost: 1,
        tokens: 0,
    }
}

/// Admission control whose server has reported, with the current time and the last ticket.
struct Fixture {
    admission: Admission,
    now: Timestamp,
    ticket: u64,
}

impl Fixture {
    fn cold() -> Self {
        let now = ms(1);
        let mut admission = Admission::new(config(), Duration::ZERO);
        admission.record_report(now, &report(now, "one"));
        Self {
            admission,
            now,
            ticket: 0,
        }
    }

    fn warm() -> Self {
        let mut it = Self::cold();
        while it.limit() < CONCURRENCY {
            let batch = it.fill();
            it.now += ms(USUAL_LATENCY_MS);
            it.end(&batch, CompletionStatus::Ok);
        }
        it.admission.take_change();
        it
    }

    fn limit(&self) -> u32 {
        self.admission.snapshot(self.now).limit
    }

    fn offer(&mut self) -> AdmissionDecision {
        self.ticket += 1;
        let deadline = self.now + Duration::from_secs(10);
        self.admission
            .try_admit(self.now, request(self.ticket, deadline))
    }

    fn fill(&mut self) -> Vec<u64> {
        let mut batch = Vec::new();
        while self.admission.snapshot(self.now).in_flight < self.limit() {
            assert_eq!(self.offer(), AdmissionDecision::Start);
            batch.push(self.ticket);
        }
        batch
    }

    fn end(&mut self, tickets: &[u64], finish: CompletionStatus) {
        for ticket in tickets {
            self.admission.record_completion(self.now, *ticket, finish);
        }
    }
}

#[gtest]
fn nothing_starts_before_the_first_report_after_an_agent_restart() {
    let mut admission = Admission::new(config(), Duration::ZERO);
    let busy = ServerReport {
        in_flight: Some(1),
        ..report(ms(10), "one")
    };

    let before = admission.try_admit(ms(5), request(1, ms(9000)));
    let settled = admission.record_report(ms(10), &busy);
    let second = admission.try_admit(ms(11), request(2, ms(9000)));

    expect_that!(before, eq(&AdmissionDecision::Queued(None)));
    expect_that!(settled.started, elements_are![eq(&1)]);
    expect_that!(second, eq(&AdmissionDecision::Queued(None)));
}

#[gtest]
fn first_start_without_reports_waits_for_the_orphan_timeout() {
    let mut admission = Admission::new(config(), Duration::ZERO);
    admission.try_admit(ms(5), request(1, ms(9000)));

    expect_that!(admission.advance(ms(4999)).started, is_empty());
    expect_that!(admission.advance(ms(5000)).started, elements_are![eq(&1)]);
}

#[gtest]
fn steady_successes_raise_the_limit_up_to_the_declared_concurrency() {
    let mut it = Fixture::warm();

    for _ in 0..20 {
        let batch = it.fill();
        it.now += ms(USUAL_LATENCY_MS);
        it.end(&batch, CompletionStatus::Ok);
    }

    expect_that!(it.limit(), eq(CONCURRENCY));
}

#[gtest]
fn rising_latency_does_not_raise_the_limit() {
    let mut it = Fixture::cold();
    let mut latency = 30;
    for _ in 0..20 {
        let batch = it.fill();
        it.now += ms(latency);
        it.end(&batch, CompletionStatus::Ok);
        latency = latency * 8 / 5;
    }

    expect_that!(it.limit(), eq(2));
}

#[gtest]
fn each_cold_sign_drops_the_limit_to_the_floor() {
    type Sign = fn(&mut Fixture);
    let signs: [(Sign, ColdCause); 5] = [
        (
            |it| drop(it.admission.record_report(it.now, &report(it.now, "two"))),
            ColdCause::Restarted,
        ),
        (
            |it| {
                let uptime = Some(ms(10));
                let back = ServerReport {
                    uptime,
                    ..report(it.now, "one")
                };
                it.admission.record_report(it.now, &back);
            },
            ColdCause::Restarted,
        ),
        (
            |it| {
                let warm = Some(false);
                let cold = ServerReport {
                    warm,
                    ..report(it.now, "one")
                };
                it.admission.record_report(it.now, &cold);
            },
            ColdCause::Reported,
        ),
        (
            |it| {
                let batch = it.fill();
                it.end(&batch[..2], CompletionStatus::Reset);
            },
            ColdCause::Resets,
        ),
        (
            |it| {
                it.fill();
                it.now += ms(USUAL_LATENCY_MS * 5);
                it.admission.advance(it.now);
            },
            ColdCause::Latency,
        ),
    ];
    for (sign, cause) in signs {
        let mut it = Fixture::warm();
        it.now += ms(10);

        sign(&mut it);

        let change = LimitChange {
            from: CONCURRENCY,
            to: 2,
            cause: Some(cause),
        };
        expect_that!(it.admission.take_change(), some(eq(change)));
        expect_that!(it.limit(), eq(2));
    }
}

#[gtest]
fn recent_warm_report_overrides_a_latency_jump() {
    for (age, expected) in [(ms(0), CONCURRENCY), (Duration::from_secs(2), 2)] {
        let mut it = Fixture::warm();
        let said_warm = ServerReport {
            warm: Some(true),
            ..report(it.now, "one")
        };
        it.admission.record_report(it.now, &said_warm);
        it.now += age;
        it.fill();
        it.now += ms(USUAL_LATENCY_MS * 5);

        it.admission.advance(it.now);

        expect_that!(it.limit(), eq(expected));
    }
}

#[gtest]
fn requests_started_before_a_cold_sign_count_against_the_floor() {
    let mut it = Fixture::warm();
    let batch = it.fill();
    it.now += ms(10);
    it.admission.record_report(it.now, &report(it.now, "two"));

    it.offer();
    it.end(&batch[..6], CompletionStatus::Ok);
    let queued = it.admission.snapshot(it.now).queued;
    it.end(&batch[6..7], CompletionStatus::Ok);
    let released = it.admission.snapshot(it.now).queued;

    expect_that!((queued, released), eq((1, 0)));
}

#[gtest]
fn broken_connection_holds_the_limit_at_the_floor_until_a_report() {
    let mut it = Fixture::warm();
    let batch = it.fill();
    it.end(&batch[..1], CompletionStatus::Reset);
    let suspected = it.limit();

    it.now += ms(100);
    it.admission.record_report(it.now, &report(it.now, "one"));

    expect_that!((suspected, it.limit()), eq((2, CONCURRENCY)));
}

#[gtest]
fn closed_idle_connection_holds_the_limit_at_the_floor_until_a_report() {
    let mut it = Fixture::warm();
    it.now += ms(100);
    it.admission.record_idle_close(it.now);
    it.admission
        .record_report(it.now, &report(it.now - ms(1), "one"));
    let suspected = it.limit();

    it.now += ms(100);
    it.admission.record_report(it.now, &report(it.now, "one"));

    expect_that!((suspected, it.limit()), eq((2, CONCURRENCY)));
}

#[gtest]
fn abandoned_request_counts_until_the_server_reports_it_gone() {
    let mut it = Fixture::cold();
    let batch = it.fill();
    it.end(&batch, CompletionStatus::Abandoned);
    let queued = it.offer();
    let busy = |now, in_flight| ServerReport {
        in_flight: Some(in_flight),
        ..report(now, "one")
    };

    it.now += ms(10);
    let still = it.admission.record_report(it.now, &busy(it.now, 2)).started;
    it.now += ms(10);
    let gone = it.admission.record_report(it.now, &busy(it.now, 0)).started;

    expect_that!(queued, eq(&AdmissionDecision::Queued(None)));
    expect_that!(still, is_empty());
    expect_that!(gone, len(eq(1)));
}

#[gtest]
fn requests_that_cannot_meet_their_deadline_are_refused_immediately() {
    let mut it = Fixture::warm();
    it.fill();
    let now = it.now;
    let cases = [
        (now, Some(RefusalReason::Deadline)),
        (now + ms(USUAL_LATENCY_MS), Some(RefusalReason::Deadline)),
        (now + ms(USUAL_LATENCY_MS * 2), None),
    ];
    for (deadline, refused) in cases {
        it.ticket += 1;
        let reason = match it.admission.try_admit(now, request(it.ticket, deadline)) {
            AdmissionDecision::Refused(refusal) => Some(refusal.reason),
            _ => None,
        };
        expect_that!(reason, eq(refused), "{deadline:?}");
    }
    let late = it.admission.advance(now + ms(USUAL_LATENCY_MS + 1)).refused;
    expect_that!(late, len(eq(1)));
}

#[gtest]
fn overflow_is_refused_with_a_retry_time_within_bounds() {
    let mut it = Fixture::warm();
    it.fill();
    for _ in 0..3 {
        it.offer();
    }

    let refused = it.offer();

    let AdmissionDecision::Refused(refusal) = refused else {
        panic!("{refused:?}");
    };
    expect_that!(refusal.reason, eq(RefusalReason::AccountFull));
    expect_that!(refusal.retry_after, eq(config().min_retry_after));
}

#[gtest]
fn draining_refuses_queued_requests_and_lets_running_ones_finish() {
    let mut it = Fixture::cold();
    let batch = it.fill();
    it.offer();

    let refused = it.admission.drain();
    let after = it.offer();
    it.end(&batch, CompletionStatus::Ok);

    expect_that!(refused, len(eq(1)));
    expect_that!(matches!(after, AdmissionDecision::Refused(_)), eq(true));
    expect_that!(it.admission.snapshot(it.now).in_flight, eq(0));
}
