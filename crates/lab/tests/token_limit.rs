//! A few huge prompts among small ones: an agent that counts tokens keeps an engine's memory from
//! overflowing where one that counts requests does not, on real processes.

use std::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;
use jujube_lab::{
    caller::{Caller, Chat, Outcome},
    fleet::{Fleet, FleetConfig, args},
    process::wait_until,
    publication::{MODEL_SERVICE, Publication},
    standins::ledger::Executions,
};

const LIMIT: Duration = Duration::from_secs(30);

/// Tokens that the engine's memory holds.
const CAPACITY: u32 = 4_000;

/// Words of a huge prompt; each is one token to the stand-in, and two fill the memory.
const HUGE: usize = 1_800;

/// Calls at once; each eighth has a huge prompt.
const CALLS: usize = 40;

fn publication(tokens: Option<u32>) -> Publication {
    let mut publication = Publication::default();
    let services = &mut publication.services;
    for service in services.iter_mut().filter(|s| s.service == MODEL_SERVICE) {
        service.limits.tokens = tokens;
    }
    publication
}

async fn fleet(tokens: Option<u32>) -> anyhow::Result<Fleet> {
    let capacity = CAPACITY.to_string();
    let flags = ["--token-capacity", &capacity, "--token-delay-us", "30000"];
    Fleet::start(FleetConfig {
        engines: 1,
        services: 0,
        relays: false,
        engine_flags: args(flags),
        publication: publication(tokens),
        ..FleetConfig::default()
    })
    .await
}

/// Waits until the agent admits all the calls at once by their number.
async fn wait_warm(fleet: &Fleet) -> anyhow::Result<()> {
    let url = format!("http://{}/status", fleet.engines[0].agent.operator);
    let limit = || async {
        let status: serde_json::Value = fleet.client.get(&url).send().await?.json().await?;
        anyhow::Ok(status["load"]["limit"].as_u64().unwrap_or(0))
    };
    wait_until("the agent's limit is above the calls", LIMIT, || async {
        limit().await.is_ok_and(|limit| limit > CALLS as u64)
    })
    .await
}

fn prompt(number: usize) -> String {
    let words = if number.is_multiple_of(8) { HUGE } else { 10 };
    format!("prompt-{number} {}", "word ".repeat(words))
}

/// Sends all calls at once; returns the whole answers and what the engine saw.
async fn storm(tokens: Option<u32>) -> anyhow::Result<(usize, Executions)> {
    let fleet = fleet(tokens).await?;
    wait_warm(&fleet).await?;
    let caller = Caller::default();
    let calls = (0..CALLS).map(|number| {
        let base = fleet.entry_url(number % fleet.entries.len());
        let (caller, chat) = (caller.clone(), Chat::streamed(prompt(number), 20));
        async move { caller.chat(&base, &chat).await }
    });
    let outcomes = join_all(calls).await;
    let is_whole = |outcome: &&Outcome| matches!(outcome, Outcome::Whole(_));
    let whole = outcomes.iter().filter(is_whole).count();
    let seen = fleet.executions(&fleet.engines[0]).await?;
    println!(
        "limit in tokens {tokens:?}: {whole} of {CALLS} whole, at most {} tokens asked for, {} \
         without room",
        seen.token_peak, seen.evicted
    );
    Ok((whole, seen))
}

#[gtest]
#[tokio::test]
async fn huge_prompts_overflow_an_engine_only_where_tokens_are_not_counted() -> anyhow::Result<()> {
    let (whole, requests_only) = storm(None).await?;
    let (whole_in_tokens, in_tokens) = storm(Some(CAPACITY)).await?;

    expect_that!(requests_only.evicted, gt(0));
    expect_that!(whole, lt(CALLS));
    expect_that!(in_tokens.evicted, eq(0));
    expect_that!(in_tokens.token_peak, le(CAPACITY));
    expect_that!(whole_in_tokens, eq(CALLS));
    Ok(())
}
