//! A withdrawn failure domain gets no new work after the declared bound, also when the processes
//! that should know of it were frozen or cut off from the configuration service.

use std::{
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
    fleet::{Fleet, FleetConfig},
    process::wait_until,
};
use tokio::task::JoinHandle;

/// Declared bound on new work in a withdrawn failure domain.
const BOUND: Duration = Duration::from_secs(5);

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);

/// Position of the server and of the entry in the failure domain that is withdrawn.
const WITHDRAWN: usize = 1;

/// Callers at once.
const CALLERS: usize = 6;

async fn fleet() -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        entries: 3,
        engines: 0,
        services: 3,
        ..FleetConfig::default()
    })
    .await
}

/// Publishes the withdrawal and returns the moment after it, in milliseconds since the Unix epoch.
async fn withdraw(fleet: &Fleet) -> anyhow::Result<u64> {
    set_state(fleet, DomainState::Withdrawn).await?;
    Ok(unix_millis())
}

async fn set_state(fleet: &Fleet, state: DomainState) -> anyhow::Result<()> {
    let domain = &fleet.services[WITHDRAWN].agent.listed.domain;
    let publication = FleetConfig::default()
        .publication
        .with_domain(domain, state);
    fleet.publish(&publication).await?;
    Ok(())
}

/// Lookups at every entry, whatever it answers, until told to stop; returns the whole answers.
fn keep_calling(fleet: &Fleet) -> (Arc<AtomicBool>, Vec<JoinHandle<usize>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = (0..CALLERS).map(|number| {
        let base = fleet.entry_url(number % fleet.entries.len());
        let stop = Arc::clone(&stop);
        tokio::spawn(async move {
            let caller = Caller::new(Duration::from_secs(3));
            let mut whole = 0;
            let mut round = 0;
            while !stop.load(Ordering::SeqCst) {
                round += 1;
                let call = Call::lookup(&format!("{number}-{round}"));
                let outcome = caller.call(&base, &call).await;
                whole += usize::from(matches!(outcome, Outcome::Whole(_)));
            }
            whole
        })
    });
    let tasks = tasks.collect();
    (stop, tasks)
}

async fn last_start(fleet: &Fleet, server: usize) -> anyhow::Result<u64> {
    Ok(fleet
        .executions(&fleet.services[server])
        .await?
        .last_start_ms)
}

/// Waits until the other servers have had work well past the bound after `since`.
async fn wait_past_bound(fleet: &Fleet, since: u64) -> anyhow::Result<()> {
    let past = since + 2 * BOUND.as_millis() as u64;
    wait_until("work past the bound elsewhere", LIMIT, || async {
        last_start(fleet, 0).await.is_ok_and(|start| start > past)
    })
    .await
}

async fn expect_no_late_start(fleet: &Fleet, since: u64) -> anyhow::Result<()> {
    let start = last_start(fleet, WITHDRAWN).await?;
    println!(
        "last start in the withdrawn domain: {} ms after",
        start as i64 - since as i64
    );
    expect_that!(start, le(since + BOUND.as_millis() as u64));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn withdrawn_domain_gets_no_new_work_and_returns() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let (stop, tasks) = keep_calling(&fleet);
    wait_until("work in the domain", LIMIT, || async {
        last_start(&fleet, WITHDRAWN)
            .await
            .is_ok_and(|start| start > 0)
    })
    .await?;

    let since = withdraw(&fleet).await?;
    wait_past_bound(&fleet, since).await?;
    expect_no_late_start(&fleet, since).await?;

    let before = last_start(&fleet, WITHDRAWN).await?;
    set_state(&fleet, DomainState::InService).await?;
    wait_until("work in the domain again", LIMIT, || async {
        last_start(&fleet, WITHDRAWN)
            .await
            .is_ok_and(|start| start > before)
    })
    .await?;
    stop.store(true, Ordering::SeqCst);
    for task in tasks {
        expect_that!(task.await?, gt(0));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn woken_entry_and_agent_start_nothing_in_a_withdrawn_domain() -> anyhow::Result<()> {
    let fleet = fleet().await?;
    let (stop, tasks) = keep_calling(&fleet);
    let frozen = [
        &fleet.entries[WITHDRAWN].process,
        &fleet.services[WITHDRAWN].agent.process,
    ];
    frozen.iter().for_each(|process| process.freeze());
    // Requests queue up in the frozen entry's socket while the withdrawal is published.
    let base = fleet.entry_url(WITHDRAWN);
    let late: Vec<_> = (0..4)
        .map(|number| {
            let base = base.clone();
            tokio::spawn(async move {
                let caller = Caller::new(Duration::from_secs(40));
                caller
                    .call(&base, &Call::lookup(&format!("late-{number}")))
                    .await
            })
        })
        .collect();

    let since = withdraw(&fleet).await?;
    wait_past_bound(&fleet, since).await?;
    frozen.iter().for_each(|process| process.wake());

    for task in late {
        let outcome = task.await?;
        expect_that!(
            matches!(outcome, Outcome::Whole(_) | Outcome::Refused(_)),
            eq(true)
        );
    }
    stop.store(true, Ordering::SeqCst);
    for task in tasks {
        task.await?;
    }
    expect_no_late_start(&fleet, since).await
}

#[gtest]
#[tokio::test]
async fn withdrawal_outlives_an_outage_of_the_platform() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let (stop, tasks) = keep_calling(&fleet);
    let since = withdraw(&fleet).await?;
    wait_past_bound(&fleet, since).await?;

    // The platform dies; an agent of the domain starts anew and can ask peers only.
    fleet.platform.kill();
    let agent = &mut fleet.services[WITHDRAWN].agent;
    agent.process.kill();
    Fleet::restart(agent)?;
    wait_past_bound(&fleet, unix_millis()).await?;
    stop.store(true, Ordering::SeqCst);
    let mut whole = 0;
    for task in tasks {
        whole += task.await?;
    }
    // The rest goes on serving on the last accepted configuration.
    expect_that!(whole, gt(0));
    expect_no_late_start(&fleet, since).await
}
