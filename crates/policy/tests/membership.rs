//! States of instances while the live list lags, and addresses of entries given to callers.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    addresses::{self, AddressConfig},
    membership::{Heartbeat, ListedInstance, MemberState, Membership, MembershipConfig},
    subset::Node,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time after which a leaving, withdrawn or killed instance must get no new work.
const BOUND: Duration = Duration::from_secs(5);
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Replays a trace and returns the state of instance `x` at each `read` line, with its time in ms.
///
/// Lines: `ms beat INCARNATION live|leaving REQUESTED_MS`, `ms list live|leaving|absent`,
/// `ms fail INCARNATION`, `ms refuse INCARNATION`, `ms withdraw DOMAIN`, `ms return`, `ms read`.
fn replay(trace: &str) -> Vec<(u64, MemberState)> {
    let mut membership = Membership::new(MembershipConfig::default());
    let mut states = Vec::new();
    for line in trace.lines().filter(|line| !line.starts_with('#')) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |index: usize| words[index].parse::<u64>().expect("a number");
        let now = Duration::from_millis(number(0));
        match words[1] {
            "beat" => membership.record_heartbeat(&Heartbeat {
                id: "x".into(),
                domain: "a".into(),
                incarnation: number(2),
                leaving: words[3] == "leaving",
                requested_at: Duration::from_millis(number(4)),
            }),
            "list" if words[2] == "absent" => membership.record_live_list(&[]),
            "list" => membership.record_live_list(&[ListedInstance {
                id: "x".into(),
                domain: "a".into(),
                leaving: words[2] == "leaving",
            }]),
            "fail" => membership.record_failure("x", number(2), now),
            "refuse" => membership.record_leaving("x", number(2)),
            "withdraw" => membership.set_withdrawn_domains([words[2].to_owned()]),
            "return" => membership.set_withdrawn_domains([]),
            _ => states.push((number(0), membership.state("x", now))),
        }
    }
    states
}

#[gtest]
fn evidence_from_all_sources_gives_the_expected_state() {
    use MemberState::{Gone, Leaving, Live, Suspect, Unknown};
    let cases: [(&str, &str, &[MemberState]); 12] = [
        ("listed only", "0 list live\n1 read", &[Unknown]),
        (
            "heartbeat of an instance that is not listed yet",
            "0 list absent\n1 beat 1 live 1\n2 read",
            &[Live],
        ),
        (
            "no heartbeat for 1, 2 and 4 s",
            "0 list live\n0 beat 1 live 0\n1000 read\n2000 read\n4000 read",
            &[Live, Suspect, Gone],
        ),
        (
            "refused as leaving",
            "0 list live\n0 beat 1 live 0\n9 refuse 1\n10 read",
            &[Leaving],
        ),
        (
            "a delayed heartbeat does not reset leaving",
            "0 beat 1 leaving 5\n6 beat 1 live 1\n7 read",
            &[Leaving],
        ),
        (
            "a new incarnation resets leaving, a heartbeat of the old one is ignored",
            "0 beat 1 leaving 0\n5 beat 2 live 5\n6 read\n7 beat 1 leaving 7\n8 read",
            &[Live, Live],
        ),
        (
            "the list still marks the former incarnation as leaving",
            "0 beat 1 live 0\n1 list leaving\n2 read\n3 beat 2 live 3\n4 list leaving\n5 read",
            &[Leaving, Live],
        ),
        (
            "the list marked it as leaving before the first heartbeat",
            "0 list leaving\n1 beat 1 live 1\n2 read",
            &[Leaving],
        ),
        (
            "failed connects, then a heartbeat",
            "0 beat 1 live 0\n1 fail 1\n2 read\n3 fail 1\n4 fail 1\n5 read\n6 beat 1 live 6\n7 read",
            &[Suspect, Gone, Live],
        ),
        (
            "a heartbeat requested before the failure does not reset it",
            "0 beat 1 live 0\n5 fail 1\n6 beat 1 live 2\n7 read",
            &[Suspect],
        ),
        (
            "domain withdrawn and returned",
            "0 beat 1 live 0\n1 withdraw a\n2 read\n3 return\n4 read",
            &[Leaving, Live],
        ),
        (
            "heartbeat read 29 s after its request, by a frozen process",
            "0 beat 1 live 0\n30000 beat 1 live 900\n30001 read",
            &[Gone],
        ),
    ];

    for (name, trace, expected) in cases {
        let states: Vec<MemberState> = replay(trace).into_iter().map(|(_, state)| state).collect();
        expect_that!(states, eq(&expected.to_vec()), "{name}");
    }
}

/// Time at which the instance of a recorded trace leaves or is killed.
const LEFT_MS: u64 = 10_000;

/// Generates a trace: heartbeats every 400 to 900 ms, and a list that shows the instance as live
/// until the end, 20 s after it left.
fn generate(departure: &str) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut lines: Vec<(u64, String)> = vec![(0, "list live".into()), (25_000, "list live".into())];
    let mut requested_ms = 0;
    while requested_ms < 30_000 {
        let is_left = requested_ms >= LEFT_MS;
        let state = if is_left { "leaving" } else { "live" };
        let at = requested_ms + rng.random_range(1..30);
        match departure {
            "killed" if is_left => lines.push((at, "fail 1".into())),
            "withdrawn" => lines.push((at, format!("beat 1 live {requested_ms}"))),
            _ => lines.push((at, format!("beat 1 {state} {requested_ms}"))),
        }
        requested_ms += rng.random_range(400..900);
    }
    if departure == "withdrawn" {
        lines.push((LEFT_MS + 2_000, "withdraw a".into()));
    }
    lines.extend((2..60).map(|step| (step * 500, "read".to_owned())));
    lines.sort_by_key(|(at, _)| *at);
    lines
        .iter()
        .map(|(at, text)| format!("{at} {text}\n"))
        .collect()
}

#[gtest]
fn no_new_work_after_the_bound_while_the_list_lags() {
    let left = Duration::from_millis(LEFT_MS);

    for name in ["drained", "killed", "withdrawn"] {
        let trace = &common::recorded(&format!("membership_{name}"), generate(name));
        let late = |at: u64| Duration::from_millis(at) > left + BOUND;
        let states = replay(trace);
        let policy = states
            .iter()
            .filter(|(at, s)| late(*at) && s.may_take_work());
        let list_only = states
            .iter()
            .filter(|(at, _)| late(*at) && listed_at(trace, *at));
        let before = states
            .iter()
            .filter(|(at, _)| Duration::from_millis(*at) < left);
        let served = before.clone().filter(|(_, state)| state.may_take_work());

        expect_that!(policy.count(), eq(0), "{name}");
        expect_that!(
            list_only.count(),
            gt(0),
            "{name}: the naive rule exceeds the bound"
        );
        expect_that!(
            served.count(),
            eq(before.count()),
            "{name}: all work before the departure is served"
        );
    }
}

/// Returns whether the last list up to `at` shows the instance as live; work is sent by this alone
/// in the naive rule.
fn listed_at(trace: &str, at: u64) -> bool {
    let is_earlier = |line: &&str| {
        let ms = line.split(' ').next().and_then(|word| word.parse().ok());
        line.contains(" list ") && ms.is_some_and(|ms: u64| ms <= at)
    };
    let last = trace.lines().rev().find(is_earlier);
    last.is_some_and(|line| line.ends_with("live"))
}

#[gtest]
fn answers_drop_a_leaving_entry_at_once_and_spread_over_domains() {
    let names: Vec<String> = (0..9).map(|i| format!("e{i}")).collect();
    let nodes: Vec<Node<'_>> = names
        .iter()
        .enumerate()
        .map(|(i, id)| Node {
            id,
            domain: DOMAINS[i % 3],
        })
        .collect();
    let now = Duration::from_secs(1);
    let mut membership = Membership::new(MembershipConfig::default());
    for node in &nodes {
        membership.record_heartbeat(&Heartbeat {
            id: node.id.into(),
            domain: node.domain.into(),
            incarnation: 1,
            leaving: false,
            requested_at: now,
        });
    }
    let config = AddressConfig::default();

    for caller in 0..50 {
        let first = addresses::answer_for_any_service(&config, &membership, &nodes, caller, now);
        let domains = first
            .entries
            .iter()
            .map(|id| id[1..].parse::<usize>().map(|i| i % 3));
        let mut domains: Vec<usize> = domains.map(|i| i.expect("a number")).collect();
        domains.sort_unstable();
        expect_that!(domains, eq(&vec![0, 1, 2]));
    }
    let before = addresses::answer_for_any_service(&config, &membership, &nodes, 4, now);
    membership.record_leaving(&before.entries[0], 1);
    let after = addresses::answer_for_any_service(&config, &membership, &nodes, 4, now);

    expect_that!(after.entries, not(contains(eq(&before.entries[0]))));
    expect_that!(after.entries.len(), eq(3));
    let kept = after
        .entries
        .iter()
        .filter(|id| before.entries.contains(id));
    expect_that!(kept.count(), eq(2));
}
