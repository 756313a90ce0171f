//! A stream that its caller has abandoned does not keep the engine busy to its end.

use std::time::Duration;

use anyhow::ensure;
use googletest::prelude::*;
use jj_backend::health::BackendLoad;
use jujube_lab::{
    caller::{Caller, Chat},
    fleet::{Fleet, FleetConfig, args},
    process::wait_until,
};

/// Longest wait for a condition; far below the time that the whole stream takes.
const LIMIT: Duration = Duration::from_secs(20);

/// Tokens of the stream: at the token time below, it takes a hundred seconds.
const TOKENS: u32 = 10_000;

async fn running(fleet: &Fleet) -> anyhow::Result<u32> {
    let mut running = 0;
    for engine in &fleet.engines {
        let url = format!("{}/load", engine.url);
        let load: BackendLoad = fleet.client.get(url).send().await?.json().await?;
        running += load.running;
    }
    Ok(running)
}

#[gtest]
#[tokio::test]
async fn abandoned_stream_is_cancelled_at_the_engine() -> anyhow::Result<()> {
    let fleet = Fleet::start(FleetConfig {
        services: 0,
        engine_flags: args(["--token-delay-us", "10000"]),
        ..FleetConfig::default()
    })
    .await?;
    let base = fleet.entry_url(0);
    let call = tokio::spawn(async move {
        let caller = Caller::new(Duration::from_secs(60));
        caller
            .chat(&base, &Chat::streamed("abandoned", TOKENS))
            .await
    });
    let working = wait_until("the engine works", LIMIT, || async {
        call.is_finished() || running(&fleet).await.is_ok_and(|running| running == 1)
    });
    working.await?;
    ensure!(
        !call.is_finished(),
        "the call ended early: {:?}",
        call.await
    );

    call.abort();

    wait_until("the engine is free", LIMIT, || async {
        running(&fleet).await.is_ok_and(|running| running == 0)
    })
    .await?;
    expect_that!(running(&fleet).await?, eq(0));
    Ok(())
}
