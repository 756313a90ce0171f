//! A process that says it is ready takes the first request.

use std::time::Duration;

use googletest::prelude::*;
use jujube_lab::{
    caller::{Call, Caller, Outcome},
    fleet::{Fleet, FleetConfig},
    process::wait_until,
};

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);

/// A fleet without relays: they would take the first connections for agents that are down.
async fn fleet() -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        entries: 1,
        engines: 0,
        relays: false,
        ..FleetConfig::default()
    })
    .await
}

/// Waits until the entry has read the live list: it then gives itself as an address.
async fn wait_list(fleet: &Fleet) -> anyhow::Result<()> {
    let url = format!("http://{}/status", fleet.entries[0].operator);
    wait_until("the entry has the live list", LIMIT, || async {
        let Ok(answer) = fleet.client.get(&url).send().await else {
            return false;
        };
        let status: serde_json::Value = answer.json().await.unwrap_or_default();
        let first = &status["addresses"][0];
        first.as_array().is_some_and(|all| !all.is_empty())
    })
    .await
}

#[gtest]
#[tokio::test]
async fn entry_is_ready_only_when_it_has_heard_the_agents() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    for server in &mut fleet.services {
        server.agent.process.kill();
    }
    Fleet::restart(&mut fleet.entries[0])?;
    wait_list(&fleet).await?;
    for server in &mut fleet.services {
        Fleet::restart(&mut server.agent)?;
    }
    for node in fleet.nodes() {
        fleet.wait_ready(node).await?;
    }

    let caller = Caller::new(Duration::from_secs(10));
    let outcome = caller
        .call(&fleet.entry_url(0), &Call::claim("first"))
        .await;

    expect_that!(outcome, matches_pattern!(Outcome::Whole(_)));
    Ok(())
}
