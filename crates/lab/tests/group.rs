//! A lock-step group through real agents: in every step all ranks use one map, while the map changes
//! with popularity and agents, the leader's among them, are killed, frozen and woken.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use jj_operator::{
    audit::AuditEntry,
    documents::{Group, ServiceKind},
};
use jj_platform::wire::{Instance, Role};
use jj_utils::clock::unix_millis;
use jujube_lab::{
    fleet::{Fleet, FleetConfig, args},
    process::{Process, free_addr, wait_until},
    publication::{DOMAINS, Publication},
    relay::Mode,
    standins::group::GroupTally,
};

const RANKS: usize = 3;
const LIMIT: Duration = Duration::from_secs(40);
/// Longer than any order lives.
const SLEEP: Duration = Duration::from_secs(3);
/// Steps of a group that goes on; more than popularity needs to ask for another map.
const STEPS: u64 = 2_500;
/// Makes a switch take longer than a look at the leader.
const SLOW: Mode = Mode::Delay { millis: 100 };

const SERVICE: &str = "experts";

/// A fleet of one entry beside a group and its agents.
struct GroupFleet {
    fleet: Fleet,
    _group: Process,
    agents: Vec<Process>,
    flags: Vec<Vec<String>>,
    url: String,
    engines: Vec<SocketAddr>,
    /// Operators' port of the leader.
    leader: SocketAddr,
}

impl GroupFleet {
    async fn start(fencing: bool) -> anyhow::Result<Self> {
        let mut fleet = Fleet::start(FleetConfig {
            entries: 1,
            engines: 0,
            services: 0,
            publication: publication(fencing),
            network: true,
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
        let (mut flags, mut operators) = (Vec::new(), Vec::new());
        for (rank, engine) in engines.iter().enumerate() {
            let listed = member(rank)?;
            let operator = free_addr()?;
            flags.push(agent_flags(&fleet, &listed, *engine, operator));
            operators.push(operator);
            instances.push(listed);
        }
        fleet.publish_list(instances).await?;
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
            engines,
            leader: operators[0],
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

    /// Waits until the group has run so many steps more.
    async fn wait_for_steps(&self, more: u64) -> anyhow::Result<()> {
        let wanted = self.tally().await?.steps + more;
        wait_until("steps of the group", LIMIT, || async {
            self.tally().await.is_ok_and(|now| now.steps >= wanted)
        })
        .await
    }

    /// Waits until a map is prepared and nothing has been decided about it.
    async fn wait_for_prepare(&self) -> anyhow::Result<()> {
        let url = format!("http://{}/audit", self.leader);
        wait_until("a map in preparation", LIMIT, || async {
            let answer = self.fleet.client.get(&url).send().await;
            let Ok(answer) = answer else { return false };
            let trail: Vec<AuditEntry> = answer.json().await.unwrap_or_default();
            let maps = trail.iter().rev();
            let last = maps
                .map(|entry| &entry.change)
                .find(|change| change.subject.starts_with("expert map"));
            last.is_some_and(|change| change.to == "prepared")
        })
        .await
    }

    /// Sets the way between the leader and another rank.
    fn set_way(&self, rank: usize, mode: Mode) {
        self.fleet
            .network
            .set_between(DOMAINS[0], DOMAINS[rank], mode);
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
        domain: DOMAINS[rank].into(),
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
    operator: SocketAddr,
) -> Vec<String> {
    args([
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
        &fleet.platform_of(&listed.domain),
        "--traffic-addr",
        &listed.traffic.to_string(),
        "--control-addr",
        &listed.control.to_string(),
        "--operator-addr",
        &operator.to_string(),
    ])
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

async fn stays_in_step_under_cuts(fencing: bool) -> anyhow::Result<()> {
    let group = GroupFleet::start(fencing).await?;
    group.wait_for_switches(1).await?;

    // Between two switches: the group steps on with the map that it has.
    group.set_way(1, Mode::Silent);
    group.wait_for_steps(STEPS).await?;
    group.set_way(1, Mode::Pass);
    group.wait_for_switches(1).await?;

    // While a map is prepared, for longer than any order lives.
    for mode in [Mode::Silent, Mode::DropAnswers] {
        group.set_way(1, SLOW);
        group.wait_for_prepare().await?;
        group.set_way(1, mode);
        let until = unix_millis() + SLEEP.as_millis() as u64;
        wait_until("every order has expired", LIMIT, || async {
            unix_millis() > until
        })
        .await?;
        // Whole again, but the decision reaches this rank many steps after the others.
        group.set_way(1, SLOW);
        group.wait_for_switches(1).await?;
        group.set_way(1, Mode::Pass);
    }

    let tally = group.tally().await?;
    println!("cuts, fencing {fencing}: {tally:?}");
    expect_that!(tally.mixed, eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_rank_cut_off_from_the_leader_stays_in_step_with_fencing() -> anyhow::Result<()> {
    stays_in_step_under_cuts(true).await
}

#[gtest]
#[tokio::test]
async fn a_rank_cut_off_from_the_leader_stays_in_step_without_fencing() -> anyhow::Result<()> {
    stays_in_step_under_cuts(false).await
}

#[gtest]
#[tokio::test]
async fn a_group_goes_on_after_an_engine_has_lost_its_state() -> anyhow::Result<()> {
    let group = GroupFleet::start(true).await?;
    group.wait_for_switches(1).await?;

    for rank in [1, 0] {
        let url = format!("http://{}/group/lose", group.engines[rank]);
        let lost = group.fleet.client.post(url).send().await?;
        lost.error_for_status()?;
        group.wait_for_steps(STEPS / 10).await?;
    }

    let tally = group.tally().await?;
    println!("lost engines: {tally:?}");
    expect_that!(tally.mixed, eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_group_goes_on_while_a_rank_cannot_be_told_to_prepare() -> anyhow::Result<()> {
    let group = GroupFleet::start(true).await?;
    group.wait_for_switches(1).await?;

    group.set_way(1, SLOW);
    group.wait_for_prepare().await?;
    group.set_way(1, Mode::DropRequests);
    group.wait_for_steps(STEPS).await?;
    group.set_way(1, Mode::Pass);
    group.wait_for_switches(1).await?;

    let tally = group.tally().await?;
    println!("prepare lost: {tally:?}");
    expect_that!(tally.mixed, eq(0));
    Ok(())
}
