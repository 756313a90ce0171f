//! Crowds of clients that don't behave, at an entry with agents: it stays within its memory and its
//! descriptors, and answers ordinary requests.

use std::net::SocketAddr;

use anyhow::Context;
use googletest::prelude::*;
use jj_peer::attempt::ATTEMPTS_PATH;
use jujube_lab::{
    caller::{Call, Caller, Outcome},
    crowd::{Body, Bounds, Crowd, connect_all, send_bodies},
    fleet::{Fleet, FleetConfig, args},
    process::wait_until,
    publication::API_KEY,
};
use tokio::io::AsyncReadExt;

/// Largest body that the entry of these tests allows, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Memory of the entry, in bytes.
const MEMORY_BYTES: u64 = 96_000_000;

/// File descriptors of the entry, and those of them that are kept for files.
const MAX_FDS: usize = 500;
const FILE_FDS: usize = 200;

/// Bodies of a crowd: about twice the memory of the entry.
const BODIES: usize = 48;

/// Connections of a crowd that sends no bodies: more than the entry has descriptors for sockets.
const CONNECTIONS: usize = 400;

const BOUNDS: Bounds = Bounds {
    memory_bytes: MEMORY_BYTES,
    sockets: MAX_FDS - FILE_FDS,
};

/// Returns the flags that limit a process.
fn limit_flags() -> Vec<String> {
    args([
        "--memory",
        &MEMORY_BYTES.to_string(),
        "--max-fds",
        &MAX_FDS.to_string(),
    ])
}

/// Returns the flags with which the entry is started.
fn entry_flags() -> Vec<String> {
    let max_body = args(["--max-body", &MAX_BODY.to_string()]);
    [max_body, limit_flags()].concat()
}

async fn start() -> anyhow::Result<Fleet> {
    let mut fleet = Fleet::start(FleetConfig {
        entries: 1,
        engines: 1,
        services: 1,
        entry_flags: entry_flags(),
        agent_flags: limit_flags(),
        ..FleetConfig::default()
    })
    .await?;
    check(&mut fleet, "at rest")?;
    Ok(fleet)
}

/// Checks the bounds of the entry and of the agent of the plain service.
fn check(fleet: &mut Fleet, what: &str) -> anyhow::Result<()> {
    for node in [&mut fleet.entries[0], &mut fleet.services[0].agent] {
        BOUNDS.check(&mut node.process, node.listed.traffic.ip(), what)?;
    }
    Ok(())
}

/// Waits until an ordinary request is answered.
async fn wait_until_served(fleet: &Fleet, what: &str) -> anyhow::Result<()> {
    let limit = std::time::Duration::from_secs(30);
    let served = || async {
        let call = Call::lookup("ordinary");
        let outcome = Caller::default().call(&fleet.entry_url(0), &call).await;
        matches!(outcome, Outcome::Whole(_))
    };
    wait_until(what, limit, served)
        .await
        .context(what.to_owned())
}

/// Checks that the processes keep their bounds and answer ordinary requests beside a crowd and after it.
async fn check_beside_and_after(mut fleet: Fleet, crowd: Crowd) -> anyhow::Result<()> {
    check(&mut fleet, "with the crowd")?;
    wait_until_served(&fleet, "beside the crowd").await?;
    check(&mut fleet, "beside the crowd")?;
    drop(crowd);
    wait_until_served(&fleet, "after the crowd").await?;
    check(&mut fleet, "after the crowd")
}

/// Returns the head of a request with a body.
fn head(body: Body, key: &str) -> Vec<u8> {
    let (name, value) = body.header(MAX_BODY);
    format!(
        "POST /desk/claims/new HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         {name}: {value}\r\n\r\n"
    )
    .into_bytes()
}

/// Plays a crowd that sends bodies.
async fn play_bodies(body: Body) -> anyhow::Result<()> {
    let fleet = start().await?;
    let addr = fleet.entries[0].listed.traffic;

    let heads = (0..BODIES).map(|_| head(body, API_KEY));
    let crowd = send_bodies(addr, heads, body, MAX_BODY).await;

    check_beside_and_after(fleet, crowd).await
}

#[gtest]
#[tokio::test]
async fn whole_bodies_stay_within_the_memory() -> anyhow::Result<()> {
    play_bodies(Body::Whole).await
}

#[gtest]
#[tokio::test]
async fn bodies_short_of_their_end_stay_within_the_memory() -> anyhow::Result<()> {
    play_bodies(Body::Short).await
}

#[gtest]
#[tokio::test]
async fn bodies_in_chunks_short_of_their_end_stay_within_the_memory() -> anyhow::Result<()> {
    play_bodies(Body::ShortInLargeChunks).await
}

#[gtest]
#[tokio::test]
async fn bodies_in_chunks_over_the_limit_stay_within_the_memory() -> anyhow::Result<()> {
    play_bodies(Body::TooLongInChunks).await
}

/// A connection of HTTP/2 has many requests and a window of a megabyte; nothing here offers it.
#[gtest]
#[tokio::test]
async fn connection_of_http_2_is_closed_without_an_answer() -> anyhow::Result<()> {
    let fleet = start().await?;
    let addr = fleet.entries[0].listed.traffic;
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

    let mut crowd = connect_all(addr, 1, preface).await;
    let mut answer = [0; 64];
    // A reset ends it as well.
    let length = crowd[0].read(&mut answer).await.unwrap_or_default();

    expect_that!(length, eq(0));
    wait_until_served(&fleet, "afterwards").await
}

/// Plays a crowd that sends bodies of [`MAX_BODY`] bytes, without their end, to a path of another port.
async fn play_bodies_at(
    addr: fn(&Fleet) -> SocketAddr,
    path: &str,
    body: Body,
) -> anyhow::Result<()> {
    let fleet = start().await?;
    let addr = addr(&fleet);
    let (name, value) = body.header(MAX_BODY);
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n\
         {name}: {value}\r\n\r\n"
    );

    let heads = (0..BODIES).map(|_| head.clone().into_bytes());
    let crowd = send_bodies(addr, heads, body, MAX_BODY).await;

    check_beside_and_after(fleet, crowd).await
}

#[gtest]
#[tokio::test]
async fn bodies_at_an_agent_stay_within_the_memory() -> anyhow::Result<()> {
    let agent = |fleet: &Fleet| fleet.services[0].agent.listed.traffic;
    play_bodies_at(agent, ATTEMPTS_PATH, Body::Short).await
}

#[gtest]
#[tokio::test]
async fn bodies_at_the_control_port_of_an_entry_stay_within_the_memory() -> anyhow::Result<()> {
    play_bodies_at(|fleet| fleet.entries[0].listed.control, "/", Body::Short).await
}

#[gtest]
#[tokio::test]
async fn bodies_in_chunks_at_the_control_port_of_an_entry_stay_within_the_memory()
-> anyhow::Result<()> {
    let control = |fleet: &Fleet| fleet.entries[0].listed.control;
    play_bodies_at(control, "/", Body::ShortInLargeChunks).await
}

/// Plays a crowd that sends `bytes` on each connection.
async fn play_connections(addr: fn(&Fleet) -> SocketAddr, bytes: &[u8]) -> anyhow::Result<()> {
    let fleet = start().await?;
    let addr = addr(&fleet);

    let crowd = connect_all(addr, CONNECTIONS, bytes).await;

    check_beside_and_after(fleet, crowd).await
}

#[gtest]
#[tokio::test]
async fn silent_connections_stay_within_the_descriptors() -> anyhow::Result<()> {
    play_connections(|fleet| fleet.entries[0].listed.traffic, b"").await
}

#[gtest]
#[tokio::test]
async fn half_heads_stay_within_the_descriptors() -> anyhow::Result<()> {
    let half = b"GET /desk/entries/1 HTTP/1.1\r\nhost: entry\r\nx-more: ";
    play_connections(|fleet| fleet.entries[0].listed.traffic, half).await
}

#[gtest]
#[tokio::test]
async fn silent_connections_at_the_control_port_stay_within_the_descriptors() -> anyhow::Result<()>
{
    play_connections(|fleet| fleet.entries[0].listed.control, b"").await
}

#[gtest]
#[tokio::test]
async fn silent_connections_at_the_operator_port_stay_within_the_descriptors() -> anyhow::Result<()>
{
    play_connections(|fleet| fleet.entries[0].operator, b"").await
}

#[gtest]
#[tokio::test]
async fn silent_connections_at_an_agent_stay_within_the_descriptors() -> anyhow::Result<()> {
    play_connections(|fleet| fleet.services[0].agent.listed.traffic, b"").await
}

#[gtest]
#[tokio::test]
async fn silent_connections_at_the_control_port_of_an_agent_stay_within_the_descriptors()
-> anyhow::Result<()> {
    play_connections(|fleet| fleet.services[0].agent.listed.control, b"").await
}
