//! A lock-step group through real agents: in every step all ranks use one map, while the map changes
//! with popularity and agents, the leader's among them, are killed, frozen and woken.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use jj_operator::documents::{Group, ServiceKind};
use jj_platform::wire::{Instance, InstanceList, Role};
use jj_utils::clock::unix_millis;
use jujube_lab::{
    fleet::{Fleet, FleetConfig, args},
    process::{Process, free_addr, wait_until},
    publication::Publication,
    standins::group::GroupTally,
};

const RANKS: usize = 3;
const LIMIT: Duration = Duration::from_secs(40);
/// Longer than any order lives.
const SLEEP: Duration = Duration::from_secs(3);

const SERVICE: &str = "experts";

/// A fleet of one entry beside a group and its agents.
struct GroupFleet {
    fleet: Fleet,
    _group: Process,
    agents: Vec<Process>,
    flags: Vec<Vec<String>>,
    url: String,
}

impl GroupFleet {
    async fn start(fencing: bool) -> anyhow::Result<Self> {
        let fleet = Fleet::start(FleetConfig {
            entries: 1,
            engines: 0,
            services: 0,
            publication: publication(fencing),
            ..FleetConfig::default()
        })
        .await?;
        let engines: Vec<SocketAddr> = (0..RANKS)
            .map(|_| free_addr())
            .collect::<anyhow::Result<_>>()?;
        let addrs: Vec<String> = engines.iter().map(SocketAddr::to_string).collect();
        let fencing = fencing.to_string();
        let group = ["group", "--addrs", &addrs.join(","), "--fencing", &fencing];
        let group = Process::start("group", "jujube-lab", &args(group))?;
        let mut instances: Vec<Instance> = fleet.nodes().map(|node| node.listed.clone()).collect();
        let mut flags = Vec::new();
        for (rank, engine) in engines.iter().enumerate() {
            let listed = member(rank)?;
            flags.push(agent_flags(&fleet, &listed, *engine)?);
            instances.push(listed);
        }
        let list = InstanceList { instances };
        let platform = format!("{}/v1/instances", fleet.platform_url);
        fleet
            .client
            .put(platform)
            .json(&list)
            .send()
            .await?
            .error_for_status()?;
        let agents = flags
            .iter()
            .map(|flags| Process::start("agent", "jujube-agent", flags));
        let agents = agents.collect::<anyhow::Result<_>>()?;
        let url = format!("http://{}/group/tally", engines[0]);
        Ok(Self {
            fleet,
            _group: group,
            agents,
            flags,
            url,
        })
    }

    async fn tally(&self) -> anyhow::Result<GroupTally> {
        Ok(self
            .fleet
            .client
            .get(&self.url)
            .send()
            .await?
            .json()
            .await?)
    }

    /// Waits until every rank has switched so many times more, and steps go on.
    async fn wait_for_switches(&self, more: u64) -> anyhow::Result<()> {
        let before = self.tally().await.unwrap_or_default();
        let wanted = before.switches + more * RANKS as u64;
        let reached = wait_until("switches of the map", LIMIT, || async {
            let tally = self.tally().await;
            tally.is_ok_and(|now| now.switches >= wanted && now.steps > before.steps)
        });
        reached.await.map_err(|error| {
            let logs: Vec<String> = self.agents.iter().map(Process::log).collect();
            error.context(logs.join("\n"))
        })
    }

    fn restart(&mut self, rank: usize) -> anyhow::Result<()> {
        self.agents[rank].kill();
        self.agents[rank] = Process::start("agent", "jujube-agent", &self.flags[rank])?;
        Ok(())
    }
}

fn publication(fencing: bool) -> Publication {
    let mut publication = Publication::default();
    let mut service = publication.services[0].clone();
    service.service = SERVICE.into();
    service.kind = ServiceKind::Model;
    service.models = vec!["experts-12".into()];
    service.group = Some(Group {
        ranks: RANKS as u32,
        experts: 12,
        slots: 6,
        fencing,
    });
    publication.services.push(service);
    publication
}

fn member(rank: usize) -> anyhow::Result<Instance> {
    Ok(Instance {
        id: format!("rank-{rank}"),
        role: Role::Agent,
        domain: "a".into(),
        service: SERVICE.into(),
        traffic: free_addr()?,
        control: free_addr()?,
        leaving: false,
        rank: Some(rank as u32),
    })
}

fn agent_flags(
    fleet: &Fleet,
    listed: &Instance,
    engine: SocketAddr,
) -> anyhow::Result<Vec<String>> {
    Ok(args([
        "--instance",
        &listed.id,
        "--domain",
        &listed.domain,
        "--service",
        SERVICE,
        "--kind",
        "model",
        "--rank",
        &listed.rank.unwrap_or_default().to_string(),
        "--backend",
        &format!("http://{engine}"),
        "--platform",
        &fleet.platform_url,
        "--traffic-addr",
        &listed.traffic.to_string(),
        "--control-addr",
        &listed.control.to_string(),
        "--operator-addr",
        &free_addr()?.to_string(),
    ]))
}

async fn stays_in_step(fencing: bool) -> anyhow::Result<()> {
    let mut group = GroupFleet::start(fencing).await?;
    group.wait_for_switches(2).await?;

    // The leader dies between two switches, and a new one takes over.
    group.restart(0)?;
    group.wait_for_switches(1).await?;

    // A rank's agent dies while maps change.
    group.restart(1)?;
    group.wait_for_switches(1).await?;

    // The leader sleeps past every order life and wakes with what it believed.
    group.agents[0].freeze();
    let until = unix_millis() + SLEEP.as_millis() as u64;
    wait_until("every order has expired", LIMIT, || async {
        unix_millis() > until
    })
    .await?;
    group.agents[0].wake();
    group.wait_for_switches(1).await?;

    let tally = group.tally().await?;
    println!("fencing {fencing}: {tally:?}");
    expect_that!(tally.mixed, eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn ranks_stay_in_step_where_engines_check_fencing_numbers() -> anyhow::Result<()> {
    stays_in_step(true).await
}

#[gtest]
#[tokio::test]
async fn ranks_stay_in_step_where_engines_ignore_fencing_numbers() -> anyhow::Result<()> {
    stays_in_step(false).await
}
