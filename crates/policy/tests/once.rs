//! The once-only register: the result of claims, fences and expiry in each state of a key.

mod common;

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use googletest::prelude::*;
use jj_policy::{
    keys::{AgentIncarnation, IssuedKey, OnceKey},
    once::{
        AttemptQuery, AttemptState, Claim, Fingerprint, HomeKeyState, KeyCheck, KeyOutcome,
        OnceConfig, OnceRegister, Resolution, check_all_fenced, check_key, resolve,
    },
    verdict::Verdict,
};
use proptest::test_runner::TestRunner;
use rand::RngExt;
use rand_pcg::{Pcg64, rand_core::SeedableRng};

const KEY: &str = "claim-17";
const RETENTION: Duration = Duration::from_secs(60);

type Register = OnceRegister<u32>;

fn register(capacity: usize) -> Register {
    Register::new(OnceConfig {
        capacity,
        retention: RETENTION,
    })
}

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new("runner-club", "POST /claims", body.as_bytes())
}

fn claim(register: &mut Register, now: u64, key: &str) -> Claim<u32> {
    register.claim(Duration::from_secs(now), key, fingerprint("bib 17"))
}

#[gtest]
fn key_runs_once_in_every_state() {
    type Step = fn(&mut Register);
    let zero = Duration::ZERO;
    let states: [(Step, KeyOutcome<u32>); 5] = [
        (|_| {}, KeyOutcome::Claimed),
        (
            |it| {
                it.start(KEY);
            },
            KeyOutcome::Running,
        ),
        (
            |it| {
                it.start(KEY);
                it.finish(Duration::ZERO, KEY, 7);
            },
            KeyOutcome::Finished(7),
        ),
        (
            |it| {
                it.fence(Duration::ZERO, KEY);
            },
            KeyOutcome::Fenced,
        ),
        (
            |it| {
                it.start(KEY);
                it.mark_lost(Duration::ZERO, KEY);
            },
            KeyOutcome::Lost,
        ),
    ];
    for (step, state) in states {
        let mut register = register(8);
        expect_that!(claim(&mut register, 0, KEY), eq(&Claim::Run));

        step(&mut register);

        expect_that!(claim(&mut register, 0, KEY), eq(&Claim::Known(state)));
        let other = register.claim(zero, KEY, fingerprint("bib 18"));
        expect_that!(other, eq(&Claim::Conflict));
    }
}

#[gtest]
fn fence_stops_a_claimed_key_but_not_a_running_one() {
    let mut claimed = register(8);
    claim(&mut claimed, 0, KEY);
    let mut running = claimed.clone();
    running.start(KEY);

    let fenced = claimed.fence(Duration::ZERO, KEY);
    let late = running.fence(Duration::ZERO, KEY);

    expect_that!(fenced, some(eq(&KeyOutcome::Fenced)));
    expect_that!(claimed.start(KEY), eq(false));
    expect_that!(late, some(eq(&KeyOutcome::Running)));
}

#[gtest]
fn refused_request_releases_its_key() {
    let mut register = register(8);
    claim(&mut register, 0, KEY);
    register.release(KEY);
    let again = claim(&mut register, 0, KEY);
    register.start(KEY);
    register.release(KEY);

    expect_that!(again, eq(&Claim::Run));
    expect_that!(
        claim(&mut register, 0, KEY),
        eq(&Claim::Known(KeyOutcome::Running))
    );
}

#[gtest]
fn full_register_refuses_new_keys_and_evicts_none_within_the_retention() {
    let mut register = register(2);
    claim(&mut register, 0, "a");
    register.start("a");
    register.finish(Duration::ZERO, "a", 1);
    claim(&mut register, 0, "b");

    let full = claim(&mut register, 59, "c");
    let known = claim(&mut register, 59, "a");
    let fence = register.fence(Duration::from_secs(59), "c");
    let later = claim(&mut register, 60, "c");
    let open = claim(&mut register, 600, "b");

    let retry_after = Duration::from_secs(1);
    expect_that!(full, eq(&Claim::Full { retry_after }));
    expect_that!(known, eq(&Claim::Known(KeyOutcome::Finished(1))));
    expect_that!(fence, none());
    expect_that!(later, eq(&Claim::Run));
    expect_that!(open, eq(&Claim::Known(KeyOutcome::Claimed)));
}

#[gtest]
fn issued_key_belongs_to_one_incarnation_of_one_agent() {
    let home = AgentIncarnation {
        agent: "agent-1".into(),
        incarnation: 7,
    };
    let issued = |agent: &str, incarnation| {
        OnceKey::Issued(IssuedKey {
            home: AgentIncarnation {
                agent: agent.into(),
                incarnation,
            },
            random: 1,
        })
    };

    expect_that!(
        check_key(&issued("agent-1", 7), &home),
        eq(KeyCheck::Allowed)
    );
    for other in [issued("agent-1", 6), issued("agent-1", 8), issued("b", 7)] {
        expect_that!(check_key(&other, &home), eq(KeyCheck::OtherIncarnation));
    }
    let own = OnceKey::CallerMade("x".into());
    expect_that!(check_key(&own, &home), eq(KeyCheck::Allowed));
}

#[gtest]
fn attempt_queries_resolve_to_verdicts() {
    let retry_after = Duration::from_millis(5);
    let cases = [
        (
            AttemptQuery::Answered(AttemptState::Running),
            Resolution::Attach,
        ),
        (
            AttemptQuery::Answered(AttemptState::Finished),
            Resolution::Fetch,
        ),
        (
            AttemptQuery::Answered(AttemptState::Fenced),
            Resolution::Final(Verdict::NotRun { retry_after }),
        ),
        (
            AttemptQuery::Answered(AttemptState::Lost),
            Resolution::Final(Verdict::MayHaveRun),
        ),
        (
            AttemptQuery::OtherIncarnation(9),
            Resolution::Final(Verdict::MayHaveRun),
        ),
        (
            AttemptQuery::Unreachable("agent-1".into()),
            Resolution::Final(Verdict::MayHaveRun),
        ),
    ];
    for (inquiry, resolution) in cases {
        expect_that!(
            resolve(&inquiry, retry_after),
            eq(resolution),
            "{inquiry:?}"
        );
    }
}

#[gtest]
fn caller_made_key_runs_only_if_fenced_at_every_other_home() {
    use HomeKeyState::{Fenced, Held, Unknown};

    expect_that!(check_all_fenced([]), ok(anything()));
    expect_that!(check_all_fenced([Fenced, Fenced]), ok(anything()));
    expect_that!(
        check_all_fenced([Fenced, Held]),
        err(eq(Verdict::MayHaveRun))
    );
    expect_that!(
        check_all_fenced([Unknown, Fenced]),
        err(eq(Verdict::MayHaveRun))
    );
}

/// For any sequence of calls, a key starts at most once within its retention and never after a
/// fence.
#[gtest]
fn no_sequence_of_calls_starts_a_key_twice() {
    let calls = proptest::collection::vec((0_u8..6, 0_u8..3), 1..100);
    let mut runner = TestRunner::deterministic();

    let result = runner.run(&calls, |calls| {
        let mut register = register(2);
        let mut starts = [0_u32; 3];
        let mut fenced = [false; 3];
        for (call, which) in calls {
            let key = ["a", "b", "c"][which as usize];
            let at = which as usize;
            match call {
                0 => drop(claim(&mut register, 1, key)),
                1 if register.start(key) => {
                    assert!(!fenced[at]);
                    starts[at] += 1;
                }
                2 => register.finish(Duration::from_secs(1), key, 1),
                3 => register.mark_lost(Duration::from_secs(1), key),
                4 => {
                    fenced[at] |=
                        register.fence(Duration::from_secs(2), key) == Some(KeyOutcome::Fenced)
                }
                _ => register.release(key),
            }
            assert!(starts[at] <= 1 && register.len() <= 2);
        }
        Ok(())
    });

    expect_that!(result, ok(anything()));
}

const SEED: u64 = 23;
const CAPACITY: usize = 8;

/// Generates lines `<s> claim <key>`: callers use new keys and retry keys of the last minute.
fn generate() -> String {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut out = String::new();
    let mut newest = 0_u32;
    for now in 0..600 {
        let retry = rng.random_bool(0.5);
        newest += u32::from(!retry);
        let key = match retry {
            true => newest.saturating_sub(rng.random_range(0..20)),
            false => newest,
        };
        let _ = writeln!(out, "{now} claim key-{key}");
    }
    out
}

fn claims(trace: &str) -> impl Iterator<Item = (u64, &str)> {
    trace.lines().map(|line| {
        let (now, rest) = line.split_once(' ').expect("a time");
        let (_, key) = rest.split_once(' ').expect("a key");
        (now.parse().expect("seconds"), key)
    })
}

/// A register that evicts its oldest key when it is full runs a retried key again.
#[gtest]
fn recorded_retries_run_twice_only_with_an_evicting_register() {
    let trace = common::recorded("once_retries", generate());
    let mut register = register(CAPACITY);
    let mut evicting: Vec<&str> = Vec::new();
    let (mut runs, mut naive_runs) = (BTreeMap::new(), BTreeMap::new());
    let mut refused = 0;

    for (now, key) in claims(&trace) {
        match claim(&mut register, now, key) {
            Claim::Run => {
                register.start(key);
                register.finish(Duration::from_secs(now), key, 1);
                *runs.entry(key).or_insert(0) += 1;
            }
            Claim::Full { retry_after } => {
                refused += 1;
                expect_that!(retry_after, all!(gt(Duration::ZERO), le(RETENTION)));
            }
            _ => {}
        }
        if !evicting.contains(&key) {
            evicting.push(key);
            *naive_runs.entry(key).or_insert(0) += 1;
        }
        if evicting.len() > CAPACITY {
            evicting.remove(0);
        }
    }

    let count_run_twice = |runs: &BTreeMap<&str, u32>| runs.values().filter(|it| **it > 1).count();
    println!(
        "seed {SEED}: keys that ran twice: with eviction {}, with the register {}; refused \
         {refused}",
        count_run_twice(&naive_runs),
        count_run_twice(&runs)
    );
    expect_that!(count_run_twice(&naive_runs), gt(0));
    expect_that!(count_run_twice(&runs), eq(0));
}
