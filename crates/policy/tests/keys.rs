//! Idempotency keys: their format and the destination of issued keys.

use googletest::prelude::*;
use jj_policy::keys::{
    AgentIncarnation, IssuedKey, KeyError, KeyHome, OnceKey, key_home, ranked_homes,
};
use proptest::test_runner::TestRunner;
use rand_pcg::{Pcg64, rand_core::SeedableRng};

const RANDOM: &str = "0123456789abcdef0123456789abcdef";

fn incarnation_of(agent: &str, incarnation: u64) -> AgentIncarnation {
    AgentIncarnation {
        agent: agent.into(),
        incarnation,
    }
}

#[gtest]
fn issued_keys_round_trip_through_text() {
    let mut runner = TestRunner::deterministic();
    let agents = ("[a-z0-9._-]{1,40}", proptest::num::u64::ANY);

    let result = runner.run(&agents, |(agent, incarnation)| {
        let mut rng = Pcg64::seed_from_u64(incarnation);
        let key = IssuedKey::issue(incarnation_of(&agent, incarnation), &mut rng);
        let text = key.to_string();
        assert_eq!(text.parse(), Ok(OnceKey::Issued(key)), "{text}");
        Ok(())
    });

    expect_that!(result, ok(anything()));
}

#[gtest]
fn malformed_keys_are_refused_with_the_reason() {
    let long = "x".repeat(201);
    let cases = [
        ("", KeyError::Empty),
        (long.as_str(), KeyError::TooLong(201)),
        ("a b", KeyError::BadCharacter(1)),
        ("n\u{fc}", KeyError::BadCharacter(1)),
        ("jk1.", KeyError::BadForm),
        ("jk1.agent.7", KeyError::BadForm),
        (
            "jk1..7.0123456789abcdef0123456789abcdef",
            KeyError::BadAgent,
        ),
        (
            "jk1.a/b.7.0123456789abcdef0123456789abcdef",
            KeyError::BadAgent,
        ),
        (
            "jk1.a.07.0123456789abcdef0123456789abcdef",
            KeyError::BadIncarnation,
        ),
        (
            "jk1.a.+7.0123456789abcdef0123456789abcdef",
            KeyError::BadIncarnation,
        ),
        (
            "jk1.a.x.0123456789abcdef0123456789abcdef",
            KeyError::BadIncarnation,
        ),
        ("jk1.a.7.0123", KeyError::BadRandom),
        (
            "jk1.a.7.0123456789ABCDEF0123456789abcdef",
            KeyError::BadRandom,
        ),
    ];
    for (text, error) in cases {
        expect_that!(text.parse::<OnceKey>(), err(eq(&error)), "{text}");
    }
}

#[gtest]
fn issued_key_is_routed_to_its_home_or_nowhere() {
    let key: IssuedKey = format!("jk1.a.7.{RANDOM}").parse().unwrap();
    let home = KeyHome::At(incarnation_of("a", 7));
    let cases = [
        (
            vec![incarnation_of("b", 9), incarnation_of("a", 7)],
            home.clone(),
        ),
        (vec![incarnation_of("a", 6)], home),
        (vec![incarnation_of("a", 8)], KeyHome::Gone),
        (vec![incarnation_of("b", 7)], KeyHome::Gone),
        (vec![], KeyHome::Gone),
    ];
    for (view, expected) in cases {
        expect_that!(key_home(&key, &view), eq(&expected), "{view:?}");
    }
}

#[gtest]
fn ranking_ignores_agent_order_and_removal_moves_only_own_keys() {
    let agents: Vec<String> = (0..5).map(|n| format!("agent-{n}")).collect();
    let reversed: Vec<String> = agents.iter().rev().cloned().collect();
    let without_first = &agents[1..];
    for n in 0..100 {
        let key = format!("key-{n}");
        let homes = ranked_homes(&key, &agents);
        let mut expected = homes.clone();
        expected.retain(|home| **home != agents[0]);

        expect_that!(ranked_homes(&key, &reversed), eq(&homes));
        expect_that!(ranked_homes(&key, without_first), eq(&expected));
    }
}
