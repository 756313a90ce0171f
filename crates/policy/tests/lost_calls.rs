//! Detection of calls lost on silent connections by the server's reports of requests in flight,
//! without false positives for calls that the server is processing.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use jj_policy::{
    admission::{ServerReport, Ticket},
    lost_calls::{LostCallConfig, LostCallDetector},
};
use jj_utils::clock::Timestamp;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEED: u64 = 20_261_203;
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const CALLS: u64 = 400;

/// Maximum time for which a silent call may stay undetected once the server is idle.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(2);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn report(measured: Timestamp, in_flight: Option<u32>) -> ServerReport {
    ServerReport {
        measured_at: measured,
        in_flight,
        ..ServerReport::default()
    }
}

/// Applies reports `(millis, in flight)` with one call sent at 0, and returns the time in
/// milliseconds at which it counts as lost.
fn lost_at(reports: &[(u64, Option<u32>)]) -> Option<u64> {
    let mut calls = LostCallDetector::new(LostCallConfig::default());
    let open = || [(1, Duration::ZERO)].into_iter();
    let is_lost = |calls: &mut LostCallDetector, at: u64, count| {
        !calls
            .record_report(&report(ms(at), count), open())
            .is_empty()
    };
    reports
        .iter()
        .find(|(at, count)| is_lost(&mut calls, *at, *count))
        .map(|(at, _)| *at)
}

#[gtest]
fn report_sequences_give_the_expected_loss_time() {
    // The server has reported a request in flight, then none: lost after the confirmation time.
    expect_that!(
        lost_at(&[
            (500, Some(1)),
            (1000, Some(0)),
            (1100, Some(0)),
            (1200, Some(0))
        ]),
        some(eq(1200))
    );
    // A long call that the server is processing.
    expect_that!(
        lost_at(&[(500, Some(1)), (9000, Some(1)), (9300, Some(1))]),
        none()
    );
    // A server that never reports more than 0, or stops reporting a number.
    expect_that!(
        lost_at(&[(1000, Some(0)), (2000, Some(0)), (9000, Some(0))]),
        none()
    );
    expect_that!(
        lost_at(&[(500, Some(1)), (2000, None), (9000, None)]),
        none()
    );
    // The call was too young when the report was measured.
    expect_that!(
        lost_at(&[(100, Some(1)), (500, Some(0)), (900, Some(0))]),
        none()
    );
}

#[gtest]
fn false_positive_suspends_detection_for_a_minute() {
    let mut calls = LostCallDetector::new(LostCallConfig::default());
    let open = || [(1, Duration::ZERO), (2, Duration::ZERO)].into_iter();
    calls.record_report(&report(ms(500), Some(1)), open());
    calls.record_report(&report(ms(1000), Some(0)), open());

    calls.record_answer(ms(1100), 1);

    let second = || [(2, Duration::ZERO)].into_iter();
    expect_that!(
        calls.record_report(&report(ms(1300), Some(0)), second()),
        elements_are![]
    );
    expect_that!(
        calls.record_report(&report(ms(60_000), Some(0)), second()),
        elements_are![]
    );
    calls.record_report(&report(ms(61_200), Some(0)), second());
    expect_that!(
        calls.record_report(&report(ms(61_500), Some(0)), second()),
        elements_are![eq(&2)]
    );
}

/// One call of the random workload.
struct Call {
    sent_at: Timestamp,
    /// When its answer arrives; `None` on a silent connection.
    answered_at: Option<Timestamp>,
    /// When the server finishes processing it.
    finished_at: Timestamp,
}

/// Generates calls in bursts with pauses, some very long, some on silent connections.
fn random_calls(rng: &mut impl Rng) -> BTreeMap<Ticket, Call> {
    let mut sent = Duration::ZERO;
    let mut calls = BTreeMap::new();
    for ticket in 0..CALLS {
        let pause = if ticket % 20 == 0 { 4_000 } else { 60 };
        sent += ms(rng.random_range(0..pause));
        let longest = if rng.random_bool(0.05) { 5_000 } else { 80 };
        let finished_at = sent + ms(rng.random_range(1..longest));
        let is_silent = rng.random_bool(0.1);
        let call = Call {
            sent_at: sent,
            answered_at: (!is_silent).then(|| finished_at + ms(rng.random_range(0..20))),
            finished_at,
        };
        calls.insert(ticket, call);
    }
    calls
}

/// Returns the calls that a rule reports as lost, with the time of detection.
fn run(
    calls: &BTreeMap<Ticket, Call>,
    mut rule: impl FnMut(&ServerReport, Vec<(Ticket, Timestamp)>) -> Vec<Ticket>,
) -> BTreeMap<Ticket, Timestamp> {
    let last = calls
        .values()
        .map(|call| call.finished_at)
        .max()
        .unwrap_or_default();
    let mut lost = BTreeMap::new();
    let mut now = Duration::ZERO;
    while now < last + MAX_DETECTION_TIME * 2 {
        now += REPORT_INTERVAL;
        let is_open =
            |call: &Call| call.sent_at <= now && call.answered_at.is_none_or(|at| at > now);
        let open = calls
            .iter()
            .filter(|(ticket, call)| is_open(call) && !lost.contains_key(*ticket));
        let open = open.map(|(ticket, call)| (*ticket, call.sent_at)).collect();
        let working = calls
            .values()
            .filter(|call| call.sent_at <= now && call.finished_at > now);
        let count = u32::try_from(working.count()).unwrap_or(u32::MAX);
        for ticket in rule(&report(now, Some(count)), open) {
            lost.insert(ticket, now);
        }
    }
    lost
}

/// Returns the number of calls reported as lost that are answered.
fn false_positives(calls: &BTreeMap<Ticket, Call>, lost: &BTreeMap<Ticket, Timestamp>) -> usize {
    lost.keys()
        .filter(|ticket| calls[ticket].answered_at.is_some())
        .count()
}

#[gtest]
fn all_silent_calls_are_detected_without_false_positives() {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let calls = random_calls(&mut rng);
    let mut rule = LostCallDetector::new(LostCallConfig::default());

    let lost = run(&calls, |report, open| {
        rule.record_report(report, open.into_iter())
    });
    // The naive rule reports every call as lost that is open for a second.
    let naive = run(&calls, |report, open| {
        let late = |(_, sent): &(Ticket, Timestamp)| *sent + ms(1000) <= report.measured_at;
        open.into_iter()
            .filter(late)
            .map(|(ticket, _)| ticket)
            .collect()
    });

    let silent = calls
        .values()
        .filter(|call| call.answered_at.is_none())
        .count();
    println!(
        "{silent} silent: detected {}, {} false positives; by time alone {}, {} false positives",
        lost.len(),
        false_positives(&calls, &lost),
        naive.len(),
        false_positives(&calls, &naive)
    );
    expect_that!(false_positives(&calls, &naive), gt(0));
    expect_that!(false_positives(&calls, &lost), eq(0));
    expect_that!(lost.len(), eq(silent));
}
