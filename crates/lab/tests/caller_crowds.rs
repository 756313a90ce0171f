//! Crowds of clients that don't behave, at an entry with agents: it stays within its memory and its
//! descriptors, and answers ordinary requests.

use std::net::SocketAddr;

use anyhow::Context;
use googletest::prelude::*;
use jujube_lab::{
    caller::{Call, Caller, Outcome},
    crowd::{Body, Bounds, connect_all, send_bodies},
    fleet::{Fleet, FleetConfig, args},
    process::wait_until,
    publication::API_KEY,
};

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

/// Returns the flags with which the entry is started.
fn entry_flags() -> Vec<String> {
    args([
        "--max-body",
        &MAX_BODY.to_string(),
        "--memory",
        &MEMORY_BYTES.to_string(),
        "--max-fds",
        &MAX_FDS.to_string(),
    ])
}

async fn start() -> anyhow::Result<Fleet> {
    let mut fleet = Fleet::start(FleetConfig {
        entries: 1,
        engines: 1,
        services: 1,
        entry_flags: entry_flags(),
        ..FleetConfig::default()
    })
    .await?;
    check(&mut fleet, "at rest")?;
    Ok(fleet)
}

/// Checks the bounds of the entry.
fn check(fleet: &mut Fleet, what: &str) -> anyhow::Result<()> {
    let entry = &mut fleet.entries[0];
    BOUNDS.check(&mut entry.process, entry.listed.traffic.ip(), what)
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
    let mut fleet = start().await?;
    let addr = fleet.entries[0].listed.traffic;

    let heads = (0..BODIES).map(|_| head(body, API_KEY));
    let crowd = send_bodies(addr, heads, body, MAX_BODY).await;
    check(&mut fleet, "with the crowd")?;
    wait_until_served(&fleet, "beside the crowd").await?;
    drop(crowd);
    wait_until_served(&fleet, "after the crowd").await?;

    check(&mut fleet, "after the crowd")
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

/// Plays a crowd that sends `bytes` on each connection.
async fn play_connections(addr: fn(&Fleet) -> SocketAddr, bytes: &[u8]) -> anyhow::Result<()> {
    let mut fleet = start().await?;
    let addr = addr(&fleet);

    let crowd = connect_all(addr, CONNECTIONS, bytes).await;
    check(&mut fleet, "with the crowd")?;
    wait_until_served(&fleet, "beside the crowd").await?;
    drop(crowd);
    wait_until_served(&fleet, "after the crowd").await?;

    check(&mut fleet, "after the crowd")
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
