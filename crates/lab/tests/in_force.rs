//! Configuration in force everywhere within seconds and never going back, with entries and agents
//! as processes: lagging replicas, an outage, restarts into stale reads and racing operators.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jj_utils::clock::unix_millis;
use jujube_lab::{
    fleet::{Fleet, FleetConfig, Node},
    in_force::{IndexWatch, index, wait_in_force},
    process::wait_until,
    publication::Publication,
    standins::platform::{Calls, Control},
};

/// In force everywhere: the target of the users.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);
/// Calls a second that all processes may make together: a quarter of what the platform answers.
const CALL_RATE: f64 = 500.0;
/// Time for which the platform is down.
const OUTAGE: Duration = Duration::from_secs(10);
/// Publications in each condition of the platform.
const ROUNDS: u32 = 5;

async fn fleet() -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        entries: 6,
        engines: 0,
        services: 6,
        relays: false,
        ..FleetConfig::default()
    })
    .await
}

/// Publications that differ from each other in one number.
fn publication(queue: u32) -> Publication {
    let mut publication = Publication::default();
    publication.services[1].limits.queue = queue;
    publication
}

async fn set_platform(fleet: &Fleet, control: Control) -> anyhow::Result<()> {
    let url = format!("{}/control", fleet.platform_url);
    let answer = fleet.client.put(url).json(&control).send().await?;
    answer.error_for_status()?;
    Ok(())
}

/// Makes each n-th read see nothing newer than `index`; an index of 0 ends it.
fn stale(index: u64, every: u64) -> Control {
    Control {
        stale_at: Some(index),
        stale_every: Some(every),
        ..Control::default()
    }
}

fn down(is_down: bool) -> Control {
    Control {
        down: Some(is_down),
        ..Control::default()
    }
}

async fn calls(fleet: &Fleet) -> anyhow::Result<u64> {
    let url = format!("{}/calls", fleet.platform_url);
    let calls: Calls = fleet.client.get(url).send().await?.json().await?;
    Ok(calls.configuration() + calls.instances)
}

/// Waits until all processes have an index in force, and checks that it was in time.
async fn expect_in_force(fleet: &Fleet, wanted: u64, since: u64) -> anyhow::Result<()> {
    let nodes: Vec<&Node> = fleet.nodes().collect();
    let reached = wait_in_force(fleet, &nodes, wanted).await?;
    println!("index {wanted}: in force {} ms after", reached - since);
    expect_that!(reached, le(since + IN_FORCE.as_millis() as u64));
    Ok(())
}

/// Publishes a few times and checks each; returns the newest index.
async fn publish_all(fleet: &Fleet, first: u32) -> anyhow::Result<u64> {
    let mut newest = 0;
    for queue in first..first + ROUNDS {
        newest = fleet.publish(&publication(queue)).await?;
        expect_in_force(fleet, newest, unix_millis()).await?;
    }
    Ok(newest)
}

/// Starts an entry and an agent anew.
fn restart_two(fleet: &mut Fleet) -> anyhow::Result<()> {
    Fleet::restart(&mut fleet.entries[1])?;
    Fleet::restart(&mut fleet.services[2].agent)
}

/// The first index that each of the restarted processes shows.
async fn first_shown(fleet: &Fleet) -> anyhow::Result<Vec<u64>> {
    let mut first = Vec::new();
    for node in [&fleet.entries[1], &fleet.services[2].agent] {
        wait_until("a configuration in force", LIMIT, || async {
            index(fleet, node).await.is_some_and(|index| index > 0)
        })
        .await?;
        first.extend(index(fleet, node).await);
    }
    Ok(first)
}

#[gtest]
#[tokio::test]
async fn lagging_replicas_hold_up_nobody_and_take_nothing_back() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let watch = IndexWatch::start(&fleet);
    let first = fleet.publish(&publication(300)).await?;
    let (called, started) = (calls(&fleet).await?, Instant::now());
    expect_in_force(&fleet, first, unix_millis()).await?;

    set_platform(&fleet, stale(first, 2)).await?;
    publish_all(&fleet, 301).await?;
    set_platform(&fleet, stale(0, 0)).await?;
    publish_all(&fleet, 311).await?;

    let calls = calls(&fleet).await? - called;
    let seen = watch.stop().await?;
    let (looks, falls) = (seen.looks, seen.falls.len());
    println!(
        "{calls} calls in {:?}, {looks} looks, {falls} falls",
        started.elapsed()
    );
    expect_that!(
        calls as f64,
        le(CALL_RATE * started.elapsed().as_secs_f64())
    );
    expect_that!(seen.falls, is_empty());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn restarts_into_an_outage_and_a_stale_read_take_the_newest() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let watch = IndexWatch::start(&fleet);
    let first = fleet.publish(&publication(300)).await?;
    expect_in_force(&fleet, first, unix_millis()).await?;
    let newest = publish_all(&fleet, 301).await?;

    // Every read is of a replica that lags by all of these publications.
    set_platform(&fleet, stale(first, 1)).await?;
    restart_two(&mut fleet)?;
    let restarted = first_shown(&fleet).await?;
    expect_that!(restarted, each(eq(&newest)));

    // The platform answers nothing for a while, and a further publication is on its way. Processes
    // that start now know of nobody, and have to wait.
    set_platform(&fleet, stale(0, 0)).await?;
    set_platform(&fleet, down(true)).await?;
    let (late, since) = (fleet.publish(&publication(320)).await?, unix_millis());
    restart_two(&mut fleet)?;
    wait_until("an outage that every backoff has met", LIMIT, || async {
        unix_millis() > since + OUTAGE.as_millis() as u64
    })
    .await?;
    set_platform(&fleet, down(false)).await?;
    expect_in_force(&fleet, late, unix_millis()).await?;

    let seen = watch.stop().await?;
    println!("{} looks, {} falls", seen.looks, seen.falls.len());
    expect_that!(seen.falls, is_empty());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn racing_operators_end_with_one_configuration_everywhere() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let watch = IndexWatch::start(&fleet);

    for round in 0..ROUNDS {
        let (one, other) = (publication(400 + round), publication(500 + round));
        let (one, other) = tokio::join!(fleet.publish(&one), fleet.publish(&other));
        let newest = one?.max(other?);
        expect_in_force(&fleet, newest, unix_millis()).await?;
    }

    let seen = watch.stop().await?;
    println!("{} looks, {} falls", seen.looks, seen.falls.len());
    expect_that!(seen.falls, is_empty());
    Ok(())
}
