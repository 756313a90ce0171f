//! Work in flight at a cold backend server stays within its declared floor, on real processes,
//! with many entries that send at once and restarts of agent and server.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use futures_util::future::join_all;
use googletest::prelude::*;
use jujube_lab::{
    caller::{Call, Caller, Outcome},
    fleet::{Fleet, FleetConfig, args},
    process::{Process, wait_until},
    standins::ledger::Executions,
};

const LIMIT: Duration = Duration::from_secs(30);
/// Floor in the publication that the fleet starts with, and of the stand-ins.
const FLOOR: u32 = 4;
const CALLS_EACH: usize = 10;

fn cold_flags() -> Vec<String> {
    args([
        "--delay-us",
        "50000",
        "--cold-floor",
        "4",
        "--warm-after-ms",
        "3000",
    ])
}

async fn fleet(entries: usize) -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        entries,
        engines: 0,
        services: 1,
        relays: false,
        service_flags: cold_flags(),
        ..FleetConfig::default()
    })
    .await
}

/// Every entry gets its calls at the same time, and each caller tries until it has its answer;
/// returns what the server saw.
async fn storm(fleet: &Fleet, name: &str) -> anyhow::Result<Executions> {
    let calls = (0..fleet.entries.len() * CALLS_EACH).map(|number| {
        let base = fleet.entry_url(number % fleet.entries.len());
        call_until_whole(base, Call::lookup(&format!("{name}-{number}")))
    });
    let tries = join_all(calls).await;
    let tries = tries.into_iter().collect::<anyhow::Result<Vec<u32>>>()?;
    let (all, most) = (tries.iter().sum::<u32>(), tries.iter().max());
    println!(
        "{name}: {} answered, {all} tries, at most {most:?} each",
        tries.len()
    );
    fleet.executions(&fleet.services[0]).await
}

async fn call_until_whole(base: String, call: Call) -> anyhow::Result<u32> {
    let caller = Caller::default();
    let tries = AtomicU32::new(0);
    wait_until("the caller has its answer", LIMIT, || async {
        tries.fetch_add(1, Ordering::Relaxed);
        matches!(caller.call(&base, &call).await, Outcome::Whole(_))
    })
    .await?;
    Ok(tries.into_inner())
}

/// Waits until the server is warm, and sends it work until the agent gives it more than the floor.
async fn warm_up(fleet: &Fleet) -> anyhow::Result<()> {
    let limit = || async {
        let url = format!("http://{}/status", fleet.services[0].agent.operator);
        let status: serde_json::Value = fleet.client.get(url).send().await?.json().await?;
        anyhow::Ok(status["load"]["limit"].as_u64().unwrap_or(0))
    };
    wait_until("the agent's limit leaves the floor", LIMIT, || async {
        let stormed = storm(fleet, "warm").await.is_ok();
        stormed
            && limit()
                .await
                .is_ok_and(|limit| limit > 2 * u64::from(FLOOR))
    })
    .await
}

async fn restart_server(fleet: &mut Fleet) -> anyhow::Result<()> {
    let server = &mut fleet.services[0];
    server.backend.kill();
    let addr = server.url.trim_start_matches("http://").to_owned();
    let mut flags = args(["service", "--addr", &addr]);
    flags.extend(cold_flags());
    server.backend = Process::start("restarted", "jujube-lab", &flags)?;
    let url = format!("{}/health", server.url);
    wait_until("the server answers again", LIMIT, || async {
        fleet.client.get(&url).send().await.is_ok()
    })
    .await
}

fn expect_floor(seen: &Executions, name: &str) {
    println!(
        "{name}: peak while cold {}, falls {}",
        seen.cold_peak, seen.falls
    );
    expect_that!(seen.cold_peak, all!(ge(1), le(FLOOR)), "{name}");
    expect_that!(seen.falls, eq(0), "{name}");
}

#[gtest]
#[tokio::test]
async fn the_floor_holds_for_many_entries_and_after_each_restart() -> anyhow::Result<()> {
    let mut fleet = fleet(6).await?;

    let started = storm(&fleet, "start").await?;
    warm_up(&fleet).await?;
    restart_server(&mut fleet).await?;
    let server = storm(&fleet, "server-restart").await?;
    restart_server(&mut fleet).await?;
    Fleet::restart(&mut fleet.services[0].agent)?;
    fleet.wait_ready(&fleet.services[0].agent).await?;
    let both = storm(&fleet, "both-restart").await?;

    expect_floor(&started, "start");
    expect_floor(&server, "server-restart");
    expect_floor(&both, "both-restart");
    Ok(())
}

#[gtest]
#[tokio::test]
async fn an_agent_that_restarts_beside_a_cold_server_counts_what_is_left_there()
-> anyhow::Result<()> {
    let mut fleet = fleet(6).await?;
    let caller = Caller::default();
    let base = fleet.entry_url(0);
    let sent = (0..FLOOR).map(|number| {
        let (caller, base) = (caller.clone(), base.clone());
        let call = Call::claim(&format!("left-{number}"));
        tokio::spawn(async move { caller.call(&base, &call).await })
    });
    let sent: Vec<_> = sent.collect();
    wait_until("the server is at work", LIMIT, || async {
        let seen = fleet.executions(&fleet.services[0]).await;
        seen.is_ok_and(|seen| seen.started >= u64::from(FLOOR))
    })
    .await?;

    Fleet::restart(&mut fleet.services[0].agent)?;
    let seen = storm(&fleet, "agent-restart").await?;
    join_all(sent).await;

    expect_floor(&seen, "agent-restart");
    Ok(())
}
