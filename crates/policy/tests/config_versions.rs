//! Choice of the configuration version in force, and readiness of a starting process.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::config_versions::{
    ConfigVersion, ConfigVersions, Readiness, StartupCheck, VersionDecision,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Answer of a failure domain: none yet (`None`), unreachable (`Some(None)`) or the index that its
/// peers have in force.
type DomainAnswer = Option<Option<u64>>;

fn version(index: u64) -> ConfigVersion {
    ConfigVersion {
        index,
        digest: format!("d{index}"),
    }
}

/// Refuses odd multiples of five as invalid.
fn check(index: u64) -> std::result::Result<(), String> {
    if index % 10 == 5 {
        return Err(format!("clients.toml:{index}: weight must be positive"));
    }
    Ok(())
}

/// Returns the index in force after each read: by the policy or, if `naive`, that of the last read.
fn in_force(reads: &[u64], naive: bool) -> Vec<u64> {
    let mut order = ConfigVersions::default();
    let mut history = Vec::new();
    for &index in reads {
        order.offer(&version(index), || check(index));
        history.push(if naive { index } else { order.index_in_force() });
    }
    history
}

#[gtest]
fn offers_are_decided_by_index_digest_and_validity() {
    let mut order = ConfigVersions::default();
    let other = ConfigVersion {
        digest: "other".into(),
        ..version(12)
    };
    let cases = [
        (version(10), VersionDecision::Accepted),
        (version(10), VersionDecision::Same),
        (version(9), VersionDecision::Stale),
        (
            version(15),
            VersionDecision::Refused("clients.toml:15: weight must be positive".into()),
        ),
        (version(12), VersionDecision::Accepted),
        (other, VersionDecision::Conflict),
    ];

    for (offered, expected) in cases {
        expect_that!(
            order.offer(&offered, || check(offered.index)),
            eq(&expected)
        );
    }
    expect_that!(order.index_in_force(), eq(12));
    expect_that!(order.last_refused(), some(eq(&version(15))));
}

/// Generates reads of three replicas with different lags, one index per line.
fn generate() -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut replicas = [1_u64; 3];
    let reads = (0..120).map(|step: u64| {
        let replica = rng.random_range(0..3);
        if rng.random_bool(0.6) {
            replicas[replica] = replicas[replica].max(step / 3);
        }
        replicas[replica]
    });
    reads.map(|index| format!("{index}\n")).collect()
}

#[gtest]
fn stale_reads_never_lower_the_index_in_force() {
    let trace = common::recorded("config_reads", generate());
    let reads: Vec<u64> = trace.lines().filter_map(|line| line.parse().ok()).collect();
    let decreases = |history: &[u64]| history.windows(2).filter(|pair| pair[1] < pair[0]).count();

    let policy = in_force(&reads, false);
    let naive = in_force(&reads, true);

    expect_that!(decreases(&policy), eq(0));
    expect_that!(decreases(&naive), gt(0));
    let newest = reads
        .iter()
        .copied()
        .filter(|index| check(*index).is_ok())
        .max();
    expect_that!(policy.last().copied(), eq(newest));
}

#[gtest]
fn every_rotation_of_reads_ends_at_the_newest_valid_index() {
    let reads = [10, 15, 20, 11];
    for start in 0..reads.len() {
        let mut rotated = reads;
        rotated.rotate_left(start);
        expect_that!(in_force(&rotated, false).last(), some(eq(&20)));
    }
}

#[gtest]
fn starting_process_waits_for_an_answer_from_each_domain() {
    let deadline = Duration::from_secs(3);
    let early = Duration::from_secs(1);
    // Name, answers of the domains a, b and c, index in force, time, expected readiness.
    let cases: [(&str, [DomainAnswer; 3], u64, Duration, Readiness); 6] = [
        (
            "one domain has not answered",
            [Some(Some(7)), Some(Some(7)), None],
            7,
            early,
            Readiness::Waiting,
        ),
        (
            "a peer has a newer index than the one read",
            [Some(Some(7)), Some(Some(9)), Some(None)],
            7,
            early,
            Readiness::Behind(9),
        ),
        (
            "all reachable domains agree",
            [Some(Some(9)), Some(None), Some(Some(9))],
            9,
            early,
            Readiness::Ready,
        ),
        (
            "the deadline has passed",
            [Some(Some(9)), None, None],
            9,
            deadline,
            Readiness::Ready,
        ),
        (
            "first process of the fleet",
            [Some(None), Some(None), Some(None)],
            4,
            early,
            Readiness::Ready,
        ),
        (
            "no reachable peer and no version",
            [Some(None), Some(None), Some(None)],
            0,
            early,
            Readiness::Empty,
        ),
    ];

    for (name, answers, in_force, now, expected) in cases {
        let domains = ["a", "b", "c"];
        let mut start = StartupCheck::new(domains.map(str::to_owned), deadline);
        for (domain, answer) in domains.into_iter().zip(answers) {
            match answer {
                Some(Some(index)) => start.record_answer(domain, index),
                Some(None) => start.record_unreachable(domain),
                None => {}
            }
        }
        expect_that!(start.readiness(in_force, now), eq(expected), "{name}");
    }
}
