//! A graceful shutdown of an entry or of an agent cuts no request, and a leaving backend server
//! gets no new work after a few seconds.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use googletest::prelude::*;
use jujube_lab::{
    caller::{Call, Caller, Chat, Outcome},
    fleet::{Fleet, FleetConfig, args},
    process::wait_until,
};
use tokio::task::JoinHandle;

/// Callers at once.
const CALLERS: usize = 8;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);

/// Declared bound for a leaving backend server to get no new work.
const LEAVE_BOUND: Duration = Duration::from_secs(5);

async fn fleet() -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        engine_flags: args(["--token-delay-us", "5000"]),
        service_flags: args(["--delay-us", "20000"]),
        entry_flags: args(["--lifetime", "2s"]),
        ..FleetConfig::default()
    })
    .await
}

/// Callers that go on until told to stop; each keeps an address for as long as it may.
struct Callers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Outcome>>>,
}

impl Callers {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let tasks = (0..CALLERS).map(|number| {
            // Half of them have learnt the address of the entry that will leave.
            let held = fleet.entry_url(number % fleet.entries.len());
            let asked = fleet.entry_url(1);
            tokio::spawn(keep_calling(number, held, asked, Arc::clone(&stop)))
        });
        Self {
            tasks: tasks.collect(),
            stop,
        }
    }

    async fn finish(self) -> anyhow::Result<Vec<Outcome>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        for task in self.tasks {
            all.extend(task.await?);
        }
        Ok(all)
    }
}

async fn keep_calling(
    number: usize,
    held: String,
    asked: String,
    stop: Arc<AtomicBool>,
) -> Vec<Outcome> {
    let caller = Caller::default();
    let mut base = held;
    let mut learnt = Instant::now();
    let mut outcomes = Vec::new();
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        if learnt.elapsed() >= Duration::from_secs(2) {
            // The address has run out: ask again.
            if let Some(address) = first_address(&caller, &asked).await {
                base = address;
            }
            learnt = Instant::now();
        }
        let marker = format!("{number}-{turn}");
        let outcome = match turn % 2 {
            0 => caller.chat(&base, &Chat::streamed(marker, 40)).await,
            _ => caller.call(&base, &Call::claim(&marker)).await,
        };
        outcomes.push(outcome);
    }
    outcomes
}

async fn first_address(caller: &Caller, asked: &str) -> Option<String> {
    let document = caller.addresses(asked).await.ok()?;
    let address = document["addresses"].get(0)?;
    let text = address.as_str().or_else(|| address["address"].as_str())?;
    Some(match text.starts_with("http") {
        true => text.to_owned(),
        false => format!("http://{text}"),
    })
}

fn expect_all_whole(outcomes: &[Outcome]) {
    let bad: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| !matches!(outcome, Outcome::Whole(_)))
        .collect();
    expect_that!(outcomes.len(), gt(CALLERS));
    expect_that!(bad, is_empty());
}

#[gtest]
#[tokio::test]
async fn leaving_entry_cuts_no_request_of_callers_that_hold_its_address() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let callers = Callers::start(&fleet);
    started(&fleet, 20).await?;
    fleet.entries[0].process.terminate();
    let status = wait_exit(&mut fleet.entries[0].process).await?;
    let outcomes = callers.finish().await?;
    expect_that!(status.success(), eq(true));
    expect_all_whole(&outcomes);
    Ok(())
}

#[gtest]
#[tokio::test]
async fn killed_entry_breaks_requests_of_the_same_callers() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let callers = Callers::start(&fleet);
    started(&fleet, 20).await?;
    fleet.entries[0].process.kill();
    let outcomes = callers.finish().await?;
    let broken = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Broken(_)));
    expect_that!(broken.count(), gt(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn leaving_agent_cuts_no_request() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let callers = Callers::start(&fleet);
    started(&fleet, 20).await?;
    fleet.engines[0].agent.process.terminate();
    fleet.services[0].agent.process.terminate();
    let engine = wait_exit(&mut fleet.engines[0].agent.process).await?;
    let service = wait_exit(&mut fleet.services[0].agent.process).await?;
    let outcomes = callers.finish().await?;
    expect_that!(engine.success() && service.success(), eq(true));
    expect_all_whole(&outcomes);
    Ok(())
}

#[gtest]
#[tokio::test]
async fn leaving_server_gets_no_new_work_though_the_live_list_lags() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let callers = Callers::start(&fleet);
    started(&fleet, 20).await?;
    // The live list goes on naming the server as live.
    let leaving = &fleet.services[0];
    leaving.agent.process.terminate();
    let left = jj_utils::clock::unix_millis();
    started(&fleet, 200).await?;
    let last = fleet.executions(leaving).await?.last_start_ms;
    let outcomes = callers.finish().await?;
    expect_that!(
        Duration::from_millis(last.saturating_sub(left)),
        le(LEAVE_BOUND)
    );
    expect_all_whole(&outcomes);
    Ok(())
}

#[gtest]
#[tokio::test]
async fn server_listed_as_leaving_gets_no_new_work() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let callers = Callers::start(&fleet);
    started(&fleet, 20).await?;
    fleet.services[0].agent.listed.leaving = true;
    fleet.publish_instances().await?;
    let listed = jj_utils::clock::unix_millis();
    let settled = || async {
        let last = fleet
            .executions(&fleet.services[0])
            .await
            .map_or(u64::MAX, |all| all.last_start_ms);
        jj_utils::clock::unix_millis().saturating_sub(last) > 2 * LEAVE_BOUND.as_millis() as u64
    };
    wait_until("no work for twice the bound", LIMIT, settled).await?;
    let last = fleet.executions(&fleet.services[0]).await?.last_start_ms;
    let outcomes = callers.finish().await?;
    expect_that!(
        Duration::from_millis(last.saturating_sub(listed)),
        le(LEAVE_BOUND)
    );
    expect_all_whole(&outcomes);
    Ok(())
}

/// Waits until so many more requests have been begun at all stand-ins together.
async fn started(fleet: &Fleet, more: u64) -> anyhow::Result<()> {
    let before = all_started(fleet).await;
    wait_until("requests to run", LIMIT, || async {
        all_started(fleet).await >= before + more
    })
    .await
}

async fn all_started(fleet: &Fleet) -> u64 {
    let mut all = 0;
    for server in fleet.engines.iter().chain(&fleet.services) {
        all += fleet
            .executions(server)
            .await
            .map_or(0, |executions| executions.started);
    }
    all
}

async fn wait_exit(
    process: &mut jujube_lab::process::Process,
) -> anyhow::Result<std::process::ExitStatus> {
    let gone = std::cell::RefCell::new(process);
    wait_until("the process to end", LIMIT, || async {
        !gone.borrow_mut().is_running()
    })
    .await?;
    gone.into_inner().wait_exit(LIMIT)
}
