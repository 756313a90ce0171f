//! Failure domains that are cut off from each other and from the platform, on real processes: new
//! work, once-only requests and configuration while they are cut and after they are whole again.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use jj_operator::documents::DomainState;
use jj_utils::clock::unix_millis;
use jujube_lab::{
    caller::{Call, Caller, Outcome},
    fleet::{Fleet, FleetConfig, Node},
    in_force::{IndexWatch, index, wait_in_force},
    network::Network,
    process::wait_until,
    publication::{DOMAINS, Publication},
    relay::Mode,
    standins::platform::Control,
};
use tokio::task::JoinHandle;

/// Declared bound on new work in a withdrawn failure domain.
const BOUND: Duration = Duration::from_secs(5);
/// In force everywhere: the target of the users.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);
/// Longest time that a caller gives a request.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Position of the failure domain that is cut off, and of its server and entry.
const CUT: usize = 1;
/// Callers at once.
const CALLERS: usize = 6;
/// Entries at which a caller tries a once-only request.
const TRIES: usize = 2;

async fn fleet() -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        entries: 3,
        engines: 0,
        services: 3,
        relays: false,
        network: true,
        ..FleetConfig::default()
    })
    .await
}

/// What one request came to.
struct Told {
    /// Marker of a once-only request.
    claim: Option<String>,
    outcome: Outcome,
}

/// Load at every entry, each second request once-only, until it is stopped.
struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Told>>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let bases: Vec<String> = (0..fleet.entries.len())
            .map(|number| fleet.entry_url(number))
            .collect();
        let tasks = (0..CALLERS).map(|caller| {
            let (bases, stop) = (bases.clone(), Arc::clone(&stop));
            tokio::spawn(keep_calling(bases, caller, stop))
        });
        let tasks = tasks.collect();
        Self { stop, tasks }
    }

    async fn stop(self) -> anyhow::Result<Vec<Told>> {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Vec::new();
        for task in self.tasks {
            all.extend(task.await?);
        }
        Ok(all)
    }
}

async fn keep_calling(bases: Vec<String>, own: usize, stop: Arc<AtomicBool>) -> Vec<Told> {
    let caller = Caller::new(TIMEOUT);
    let mut told = Vec::new();
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let marker = format!("{own}-{round}");
        if round % 2 == 0 {
            let base = &bases[own % bases.len()];
            let outcome = caller.call(base, &Call::lookup(&marker)).await;
            told.push(Told {
                claim: None,
                outcome,
            });
        } else {
            told.extend(claim(&caller, &bases, own, marker).await);
        }
    }
    told
}

/// One once-only request, tried at another entry when it got no answer; none without a key.
async fn claim(caller: &Caller, bases: &[String], own: usize, marker: String) -> Option<Told> {
    let mut call = Call::claim(&marker);
    let key = caller.take_key(&bases[own % bases.len()], &call).await;
    call.key = Some(key.ok()?);
    let mut outcome = Outcome::Wrong("not sent".to_owned());
    for tried in 0..TRIES {
        outcome = caller
            .call(&bases[(own + tried) % bases.len()], &call)
            .await;
        if matches!(outcome, Outcome::Whole(_)) {
            break;
        }
    }
    Some(Told {
        claim: Some(marker),
        outcome,
    })
}

/// Starts of every request by its marker, at all servers.
async fn starts(fleet: &Fleet) -> anyhow::Result<BTreeMap<String, u32>> {
    let mut starts = BTreeMap::new();
    for server in &fleet.services {
        for (target, execution) in fleet.executions(server).await?.by_marker {
            let marker = target.rsplit_once('=').map(|(_, marker)| marker.to_owned());
            *starts.entry(marker.unwrap_or(target)).or_default() += execution.started;
        }
    }
    Ok(starts)
}

/// Checks every answer against what the servers ran.
async fn expect_no_harm(fleet: &Fleet, told: &[Told]) -> anyhow::Result<()> {
    let starts = starts(fleet).await?;
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut broken = Vec::new();
    for Told { claim, outcome } in told {
        *counts.entry(name(outcome)).or_default() += 1;
        if matches!(outcome, Outcome::Broken(_) | Outcome::Wrong(_)) {
            broken.push(outcome);
        }
        let Some(marker) = claim else { continue };
        let started = starts.get(marker).copied().unwrap_or(0);
        match name(outcome) {
            "whole" => expect_that!(started, eq(1), "{marker}"),
            "not-run" => expect_that!(started, eq(0), "{marker}"),
            _ => expect_that!(started, le(1), "{marker}"),
        }
    }
    println!("told: {counts:?}");
    expect_that!(broken, is_empty());
    Ok(())
}

fn name(outcome: &Outcome) -> &str {
    match outcome {
        Outcome::Whole(_) => "whole",
        Outcome::Refused(refused) => &refused.verdict,
        Outcome::Broken(_) => "broken",
        Outcome::Wrong(_) => "wrong",
    }
}

async fn last_start(fleet: &Fleet, server: usize) -> anyhow::Result<u64> {
    let executions = fleet.executions(&fleet.services[server]).await?;
    Ok(executions.last_start_ms)
}

/// Waits until these servers have begun work after a moment.
async fn wait_for_work(fleet: &Fleet, servers: &[usize], after: u64) -> anyhow::Result<()> {
    for server in servers {
        wait_until("work at the server", LIMIT, || async {
            last_start(fleet, *server)
                .await
                .is_ok_and(|start| start > after)
        })
        .await?;
    }
    Ok(())
}

fn after(since: u64, time: Duration) -> u64 {
    since + time.as_millis() as u64
}

fn withdrawn(domain: &str) -> Publication {
    Publication::default().with_domain(domain, DomainState::Withdrawn)
}

/// The processes inside, or outside, of the failure domain that is cut off.
fn nodes(fleet: &Fleet, is_cut: bool) -> Vec<&Node> {
    let inside = |node: &&Node| (node.listed.domain == DOMAINS[CUT]) == is_cut;
    fleet.nodes().filter(inside).collect()
}

async fn stops_and_returns(cut: impl Fn(&Network)) -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let load = Load::start(&fleet);
    wait_for_work(&fleet, &[0, 1, 2], 0).await?;

    cut(&fleet.network);
    fleet.publish(&withdrawn(DOMAINS[CUT])).await?;
    let since = unix_millis();
    wait_for_work(&fleet, &[0, 2], after(since, 2 * BOUND)).await?;
    let last = last_start(&fleet, CUT).await?;
    println!("last start: {} ms after", last as i64 - since as i64);
    expect_that!(last, le(after(since, BOUND)));

    // Whole again while it is still withdrawn, and only then in service.
    fleet.network.set_domain(DOMAINS[CUT], Mode::Pass);
    let healed = unix_millis();
    wait_for_work(&fleet, &[0, 2], after(healed, BOUND)).await?;
    expect_that!(last_start(&fleet, CUT).await?, eq(last));
    fleet.publish(&Publication::default()).await?;
    wait_for_work(&fleet, &[CUT], last).await?;

    let told = load.stop().await?;
    expect_no_harm(&fleet, &told).await
}

#[gtest]
#[tokio::test]
async fn a_domain_cut_off_alone_stops_and_returns_without_harm() -> anyhow::Result<()> {
    stops_and_returns(|network| network.set_domain(DOMAINS[CUT], Mode::Silent)).await
}

#[gtest]
#[tokio::test]
async fn a_domain_that_is_heard_but_hears_nobody_stops_and_returns() -> anyhow::Result<()> {
    stops_and_returns(|network| network.set_from(DOMAINS[CUT], Mode::DropAnswers)).await
}

#[gtest]
#[tokio::test]
async fn a_domain_that_hears_but_cannot_ask_stops_and_returns() -> anyhow::Result<()> {
    stops_and_returns(|network| network.set_from(DOMAINS[CUT], Mode::DropRequests)).await
}

/// Makes each second read of the platform see nothing newer than `index`; 0 ends it.
async fn set_stale(fleet: &Fleet, index: u64) -> anyhow::Result<()> {
    let control = Control {
        stale_at: Some(index),
        stale_every: Some(2),
        ..Control::default()
    };
    let url = format!("{}/control", fleet.platform_url);
    let answer = fleet.client.put(url).json(&control).send().await?;
    answer.error_for_status()?;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn configuration_reaches_the_majority_in_time_and_the_cut_domain_after() -> anyhow::Result<()>
{
    let fleet = fleet().await?;
    let first = fleet.publish(&Publication::default()).await?;
    wait_in_force(&fleet, &fleet.nodes().collect::<Vec<_>>(), first).await?;
    let watch = IndexWatch::start(&fleet);
    let (cut, others) = (nodes(&fleet, true), nodes(&fleet, false));

    fleet.network.set_domain(DOMAINS[CUT], Mode::Silent);
    let mut newest = first;
    for queue in [300, 301, 302] {
        let mut publication = Publication::default();
        publication.services[1].limits.queue = queue;
        newest = fleet.publish(&publication).await?;
        let published = unix_millis();
        let reached = wait_in_force(&fleet, &others, newest).await?;
        println!("queue {queue}: in force {} ms after", reached - published);
        expect_that!(reached, le(after(published, IN_FORCE)));
    }
    for node in &cut {
        wait_until(
            "it is cut off for longer than its evidence lasts",
            LIMIT,
            || async {
                let url = format!("http://{}/readyz", node.operator);
                let answer = fleet.client.get(url).send().await;
                answer.is_ok_and(|answer| !answer.status().is_success())
            },
        )
        .await?;
        expect_that!(index(&fleet, node).await, some(eq(first)));
    }

    // The platform's replicas lag just then.
    set_stale(&fleet, first).await?;
    fleet.network.set_domain(DOMAINS[CUT], Mode::Pass);
    let healed = unix_millis();
    let reached = wait_in_force(&fleet, &cut, newest).await?;
    println!("cut domain: in force {} ms after", reached - healed);
    expect_that!(reached, le(after(healed, IN_FORCE)));

    wait_until("more reads of lagging replicas", LIMIT, || async {
        unix_millis() > after(healed, IN_FORCE + BOUND)
    })
    .await?;
    let seen = watch.stop().await?;
    println!("{} looks, {} falls", seen.looks, seen.falls.len());
    expect_that!(seen.falls, is_empty());
    wait_in_force(&fleet, &fleet.nodes().collect::<Vec<_>>(), newest).await?;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn domains_cut_off_from_the_platform_alike_go_on() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let load = Load::start(&fleet);
    wait_for_work(&fleet, &[0, 1, 2], 0).await?;

    for domain in DOMAINS {
        fleet.network.set_platform(domain, Mode::Silent);
    }
    let since = unix_millis();
    wait_for_work(&fleet, &[0, 1, 2], after(since, 3 * BOUND)).await?;
    for domain in DOMAINS {
        fleet.network.set_platform(domain, Mode::Pass);
    }

    let told = load.stop().await?;
    expect_no_harm(&fleet, &told).await
}
