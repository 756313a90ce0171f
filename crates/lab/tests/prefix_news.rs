//! What one entry's requests left in the prefix caches is known to the other entries.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use googletest::prelude::*;
use jujube_lab::{
    caller::{Caller, Chat, Outcome},
    fleet::{Fleet, FleetConfig, args},
    process::wait_until,
};
use serde_json::Value;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);

/// Prompts that all caches together hold with room to spare.
const PROMPTS: usize = 24;

/// Other prompts, on whose answers an entry hears news of every live engine.
const OTHERS: usize = 8;

fn prompt(number: usize) -> String {
    format!(
        "course rules {number:03} {}",
        "of the spring race ".repeat(5)
    )
}

/// An entry's view of the agents of the engines.
async fn agents(fleet: &Fleet, entry: usize) -> anyhow::Result<Vec<Value>> {
    let url = format!("http://{}/status", fleet.entries[entry].operator);
    let status: Value = fleet.client.get(url).send().await?.json().await?;
    Ok(status["agents"].as_array().cloned().unwrap_or_default())
}

/// Whether an entry takes the last engine for alive.
async fn sees_last(fleet: &Fleet, entry: usize) -> bool {
    let Ok(agents) = agents(fleet, entry).await else {
        return false;
    };
    agents.last().is_some_and(|agent| agent["state"] == "Live")
}

async fn known(fleet: &Fleet, entry: usize) -> usize {
    let agents = agents(fleet, entry).await.unwrap_or_default();
    let counts = agents.iter().filter_map(|agent| agent["prefixes"].as_u64());
    counts.sum::<u64>() as usize
}

async fn hits(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut hits = 0;
    for engine in &fleet.engines {
        hits += fleet.executions(engine).await?.cache_hits;
    }
    Ok(hits)
}

async fn send(fleet: &Fleet, entry: usize, prompt: String) -> Outcome {
    let base = fleet.entry_url(entry);
    Caller::default()
        .chat(&base, &Chat::streamed(prompt, 2))
        .await
}

#[gtest]
#[tokio::test]
async fn prefix_cached_through_one_entry_is_hit_through_another() -> anyhow::Result<()> {
    let fleet = Fleet::start(FleetConfig {
        engines: 3,
        services: 0,
        relays: false,
        engine_flags: args(["--event-lag-ms", "300"]),
        ..FleetConfig::default()
    })
    .await?;
    // Without one engine, prompts are cached away from the home that their prefix has later.
    let away = &fleet.engines[2].agent.process;
    away.freeze();
    wait_until("both entries miss the last engine", LIMIT, || async {
        !sees_last(&fleet, 0).await && !sees_last(&fleet, 1).await
    })
    .await?;
    for number in 0..PROMPTS {
        let outcome = send(&fleet, 0, prompt(number)).await;
        expect_that!(outcome, matches_pattern!(Outcome::Whole(_)));
    }
    let sent = AtomicUsize::new(0);
    wait_until("the other entry knows what is cached", LIMIT, || async {
        let number = sent.fetch_add(1, Ordering::Relaxed);
        let question = format!("another question {}", number % OTHERS);
        send(&fleet, 1, question).await;
        number >= OTHERS && known(&fleet, 1).await >= PROMPTS + OTHERS
    })
    .await?;
    away.wake();
    wait_until("the other entry sees the last engine", LIMIT, || {
        sees_last(&fleet, 1)
    })
    .await?;
    let before = hits(&fleet).await?;

    for number in 0..PROMPTS {
        let outcome = send(&fleet, 1, prompt(number)).await;
        expect_that!(outcome, matches_pattern!(Outcome::Whole(_)));
    }

    let hits = hits(&fleet).await? - before;
    println!("{hits} of {PROMPTS} prompts hit through the other entry");
    expect_that!(hits, eq(PROMPTS as u64));
    Ok(())
}
