//! The witnesses of an agent all vanish in an outage of the configuration service.

use std::time::Duration;

use googletest::prelude::*;
use jj_operator::documents::DomainState;
use jj_platform::wire::Role;
use jj_policy::{subset::Node, witnesses};
use jujube_lab::{
    caller::{Call, Caller, Outcome},
    fleet::{Fleet, FleetConfig},
    publication::Publication,
};
use tokio::time::Instant;

/// Failure domains, of which three witnesses see three.
const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Witnesses that are asked always.
const WITNESSES: usize = 3;

/// Time in which every piece of evidence from before has lost its worth.
const EVIDENCE_OVER: Duration = Duration::from_secs(10);

async fn fleet() -> anyhow::Result<Fleet> {
    let publication = Publication::default()
        .with_domain("d", DomainState::InService)
        .with_domain("e", DomainState::InService);
    Fleet::start(FleetConfig {
        entries: 10,
        engines: 0,
        services: 1,
        relays: false,
        publication,
        domains: DOMAINS.map(str::to_owned).to_vec(),
        ..FleetConfig::default()
    })
    .await
}

/// Positions of the entries that the agent asks always.
fn witnesses_of(fleet: &Fleet) -> Vec<usize> {
    let entries = fleet.entries.iter().map(|entry| Node {
        id: &entry.listed.id,
        domain: &entry.listed.domain,
    });
    let entries: Vec<Node<'_>> = entries.collect();
    let agent = &fleet.services[0].agent.listed;
    assert_eq!(agent.role, Role::Agent);
    witnesses::choose(&agent.id, &entries, WITNESSES).chosen
}

#[gtest]
#[tokio::test]
async fn agent_goes_on_when_its_witnesses_vanish_in_an_outage() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let gone = witnesses_of(&fleet);
    let agent = fleet.services[0].agent.listed.domain.clone();
    let in_other = |n: &usize| !gone.contains(n) && fleet.entries[*n].listed.domain != agent;
    let left = (0..fleet.entries.len()).find(in_other);
    let base = fleet.entry_url(left.expect("an entry in another failure domain"));
    let caller = Caller::new(Duration::from_secs(2));

    fleet.platform.kill();
    for &witness in &gone {
        fleet.entries[witness].process.kill();
    }
    let end = Instant::now() + EVIDENCE_OVER;
    while Instant::now() < end {
        caller.call(&base, &Call::lookup("outage")).await;
    }
    let outcome = caller.call(&base, &Call::lookup("outage")).await;

    expect_that!(outcome, matches_pattern!(Outcome::Whole(_)));
    Ok(())
}
