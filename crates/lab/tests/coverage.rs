//! A live list so large that an entry covers some services only: what callers are told there.

use std::{collections::BTreeSet, time::Duration};

use anyhow::{Context, ensure};
use googletest::prelude::*;
use jj_platform::wire::{Instance, InstanceList, Role};
use jj_policy::{
    coverage::{self, AgentsPerService, Coverage, CoverageConfig},
    subset::Node,
};
use jujube_lab::{
    caller::{Call, Caller, Chat, Outcome, Refused},
    fleet::{Fleet, FleetConfig},
    process::{free_addr, wait_until},
    publication::{DOMAINS, MODEL, MODEL_SERVICE, PLAIN_SERVICE},
};

/// Listed entries beside the two that run; more than cover everything.
const ABSENT_ENTRIES: usize = 12;

/// Listed agents of each service beside the one that runs; they fill an entry's room.
const ABSENT_AGENTS: usize = 23;

/// A fleet whose list is larger than it: entry 0 covers the desk only, entry 1 the models only.
struct Large {
    fleet: Fleet,
    list: Vec<Instance>,
    coverage: Coverage,
}

impl Large {
    async fn start() -> anyhow::Result<Self> {
        let mut fleet = Fleet::start(FleetConfig {
            engines: 1,
            services: 1,
            relays: false,
            ..FleetConfig::default()
        })
        .await?;
        let running: Vec<Instance> = fleet.nodes().map(|node| node.listed.clone()).collect();
        let lists = (0..1000).map(|salt| with_absent(&running, salt));
        let mut covered = lists.map(|list| list.map(|list| (cover(&list), list)));
        let is_parted = |coverage: &Coverage| {
            let covers = |entry, service| coverage.covers(entry, service);
            covers(0, PLAIN_SERVICE)
                && !covers(0, MODEL_SERVICE)
                && covers(1, MODEL_SERVICE)
                && !covers(1, PLAIN_SERVICE)
        };
        let found = covered.find(|it| !matches!(it, Ok((coverage, _)) if !is_parted(coverage)));
        let (coverage, list) = found.context("some list parts the two entries")??;
        let url = format!("{}/v1/instances", fleet.platform_url);
        let instances = InstanceList {
            instances: list.clone(),
        };
        let answer = fleet.client.put(url).json(&instances).send().await?;
        ensure!(answer.status().is_success());
        // A new process has no agents of a smaller list to go on with.
        for entry in &mut fleet.entries {
            Fleet::restart(entry)?;
        }
        for entry in &fleet.entries {
            fleet.wait_ready(entry).await?;
        }
        let large = Self {
            fleet,
            list,
            coverage,
        };
        large.wait_covered().await?;
        Ok(large)
    }

    /// Waits until each entry has heard from the agent of its service that runs.
    async fn wait_covered(&self) -> anyhow::Result<()> {
        let caller = Caller::default();
        let limit = Duration::from_secs(20);
        wait_until("both entries serve", limit, || async {
            let call = Call::lookup("ready");
            let desk = caller.call(&self.fleet.entry_url(0), &call).await;
            let chat = Chat::streamed("ready", 2);
            let model = caller.chat(&self.fleet.entry_url(1), &chat).await;
            matches!((desk, model), (Outcome::Whole(_), Outcome::Whole(_)))
        })
        .await
    }

    async fn addresses(&self, entry: usize, query: &str) -> anyhow::Result<serde_json::Value> {
        let url = format!("{}/v1/addresses{query}", self.fleet.entry_url(entry));
        let answer = self.fleet.client.get(url).send().await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    /// Traffic addresses of the entries that cover a service.
    fn covering(&self, service: &str) -> BTreeSet<String> {
        let entries = self.list.iter().filter(|i| i.role == Role::Entry);
        let covering = entries
            .enumerate()
            .filter(|(position, _)| self.coverage.covers(*position, service));
        covering.map(|(_, i)| i.traffic.to_string()).collect()
    }
}

/// The running instances and more that nobody runs, named by `salt`.
fn with_absent(running: &[Instance], salt: usize) -> anyhow::Result<Vec<Instance>> {
    let mut list = running.to_vec();
    for number in 0..ABSENT_ENTRIES {
        list.push(absent(format!("absent-{salt}-{number}"), number, "")?);
    }
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        for number in 0..ABSENT_AGENTS {
            let id = format!("absent-{service}-{number}");
            list.push(absent(id, number, service)?);
        }
    }
    Ok(list)
}

fn absent(id: String, number: usize, service: &str) -> anyhow::Result<Instance> {
    let addr = free_addr()?;
    let role = match service {
        "" => Role::Entry,
        _ => Role::Agent,
    };
    Ok(Instance {
        id,
        role,
        domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        service: service.to_owned(),
        traffic: addr,
        control: addr,
        leaving: false,
        rank: None,
    })
}

fn cover(list: &[Instance]) -> Coverage {
    let mut services = AgentsPerService::new();
    for agent in list.iter().filter(|i| i.role == Role::Agent) {
        *services.entry(agent.service.clone()).or_default() += 1;
    }
    let entries = list.iter().filter(|i| i.role == Role::Entry);
    let nodes = entries.map(|i| Node {
        id: &i.id,
        domain: &i.domain,
    });
    let nodes: Vec<Node<'_>> = nodes.collect();
    coverage::assign(&CoverageConfig::default(), &nodes, &services)
}

fn refused(outcome: &Outcome) -> anyhow::Result<&Refused> {
    match outcome {
        Outcome::Refused(refused) => Ok(refused),
        _ => anyhow::bail!("not refused: {outcome:?}"),
    }
}

#[gtest]
#[tokio::test]
async fn entry_that_does_not_cover_a_service_says_where_to_ask() -> anyhow::Result<()> {
    let large = Large::start().await?;
    let (fleet, caller) = (&large.fleet, Caller::default());

    let chat = caller
        .chat(&fleet.entry_url(0), &Chat::streamed("elsewhere", 4))
        .await;
    let claim = caller
        .call(&fleet.entry_url(1), &Call::claim("elsewhere"))
        .await;
    let mut keyed = Call::claim("keyed");
    keyed.key = Some(caller.take_key(&fleet.entry_url(0), &keyed).await?);
    let keyed = caller.call(&fleet.entry_url(1), &keyed).await;

    for (outcome, service) in [(&chat, MODEL_SERVICE), (&claim, PLAIN_SERVICE)] {
        let refused = refused(outcome)?;
        let query = format!("/v1/addresses?service={service}");
        expect_that!(refused.status, eq(503));
        expect_that!(refused.verdict, eq("not-run"));
        expect_that!(refused.retry_after, some(ge(1)));
        expect_that!(refused.document, contains_substring(query));
    }
    let desk = fleet.executions(&fleet.services[0]).await?;
    expect_that!(
        desk.by_marker.keys().any(|it| it.contains("elsewhere")),
        eq(false)
    );
    // Only the home of a key may say "not run".
    expect_that!(self::refused(&keyed)?.verdict, eq("may-have-run"));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn addresses_follow_the_service_or_model_asked_for() -> anyhow::Result<()> {
    let large = Large::start().await?;

    for (query, service) in [
        (format!("?service={PLAIN_SERVICE}"), PLAIN_SERVICE),
        (format!("?model={MODEL}"), MODEL_SERVICE),
    ] {
        for entry in 0..2 {
            let document = large.addresses(entry, &query).await?;
            let named = document["addresses"].as_array().context("addresses")?;
            let covering = large.covering(service);
            expect_that!(named.len(), eq(3));
            for address in named.iter().filter_map(|it| it.as_str()) {
                expect_that!(covering.contains(address), eq(true), "{address} of {query}");
            }
        }
    }
    let unnamed = large.addresses(0, "").await?;
    expect_that!(unnamed["covers_all"].as_bool(), some(eq(false)));
    expect_that!(unnamed["addresses"].as_array().map_or(0, Vec::len), gt(0));
    let unknown = large.addresses(0, "?model=nobody").await;
    expect_that!(unknown.is_err(), eq(true));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn small_fleet_answers_as_before() -> anyhow::Result<()> {
    let fleet = Fleet::start(FleetConfig::default()).await?;
    let caller = Caller::default();
    let all = fleet.entries.iter().map(|it| it.listed.traffic.to_string());
    let all: BTreeSet<String> = all.collect();

    for query in ["", "?service=desk", "?model=stand-in"] {
        let url = format!("{}/v1/addresses{query}", fleet.entry_url(0));
        let limit = Duration::from_secs(20);
        wait_until("both entries are named", limit, || async {
            let Ok(answer) = fleet.client.get(&url).send().await else {
                return false;
            };
            let document: serde_json::Value = answer.json().await.unwrap_or_default();
            let named = document["addresses"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let named = named.iter().filter_map(|it| it.as_str().map(str::to_owned));
            named.collect::<BTreeSet<String>>() == all && document.get("covers_all").is_none()
        })
        .await?;
    }
    for number in 0..2 {
        let base = fleet.entry_url(number);
        let desk = caller.call(&base, &Call::lookup("anywhere")).await;
        expect_that!(desk, matches_pattern!(Outcome::Whole(_)));
        let chat = caller.chat(&base, &Chat::streamed("anywhere", 4)).await;
        expect_that!(chat, matches_pattern!(Outcome::Whole(_)));
    }
    Ok(())
}
