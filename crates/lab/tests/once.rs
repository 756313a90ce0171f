//! Requests that may not be repeated run at most once, on real processes that are killed and
//! frozen, with callers that retry at other entries.

use std::time::Duration;

use googletest::prelude::*;
use jujube_lab::{
    caller::{Call, Caller, Outcome, Refused},
    fleet::{Fleet, FleetConfig, args},
    process::wait_until,
    standins::{faults::Fault, ledger::Execution},
};
use rand::RngExt;
use rand_pcg::{Pcg64, rand_core::SeedableRng};

const LIMIT: Duration = Duration::from_secs(30);
const SEED: u64 = 20_261_203;
const ROUNDS: usize = 8;

async fn fleet(services: usize) -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        entries: 3,
        engines: 0,
        services,
        relays: false,
        service_flags: args(["--delay-us", "300000"]),
        ..FleetConfig::default()
    })
    .await
}

fn claim(marker: &str, key: Option<&str>) -> Call {
    Call {
        key: key.map(str::to_owned),
        ..Call::claim(marker)
    }
}

async fn take_key(fleet: &Fleet, entry: usize) -> anyhow::Result<String> {
    let caller = Caller::default();
    caller
        .take_key(&fleet.entry_url(entry), &Call::claim("any"))
        .await
}

async fn send(fleet: &Fleet, entry: usize, call: &Call) -> Outcome {
    Caller::default().call(&fleet.entry_url(entry), call).await
}

/// Sends in the background and returns once the backend server has begun to run it.
async fn send_and_see_start(
    fleet: &Fleet,
    entry: usize,
    call: &Call,
) -> anyhow::Result<tokio::task::JoinHandle<Outcome>> {
    let (base, own) = (fleet.entry_url(entry), call.clone());
    let sent = tokio::spawn(async move { Caller::default().call(&base, &own).await });
    wait_until("the request starts", LIMIT, || async {
        runs(fleet, &call.body).await.is_ok_and(|runs| runs > 0)
    })
    .await?;
    Ok(sent)
}

/// How often the backend servers began to run the request with this marker.
async fn runs(fleet: &Fleet, marker: &str) -> anyhow::Result<u32> {
    Ok(execution(fleet, marker).await?.started)
}

async fn execution(fleet: &Fleet, marker: &str) -> anyhow::Result<Execution> {
    let mut sum = Execution::default();
    for server in &fleet.services {
        let all = fleet.executions(server).await?;
        let found = all
            .by_marker
            .iter()
            .find(|(name, _)| name.ends_with(&format!("={marker}")));
        if let Some((_, found)) = found {
            sum.started += found.started;
            sum.completed += found.completed;
        }
    }
    Ok(sum)
}

fn verdict(outcome: &Outcome) -> &str {
    match outcome {
        Outcome::Whole(_) => "whole",
        Outcome::Refused(Refused { verdict, .. }) => verdict,
        Outcome::Broken(_) => "broken",
        Outcome::Wrong(_) => "wrong",
    }
}

#[gtest]
#[tokio::test]
async fn one_key_at_several_entries_runs_once_and_all_get_the_answer() -> anyhow::Result<()> {
    let fleet = fleet(2).await?;
    let key = take_key(&fleet, 0).await?;
    let call = claim("bib-1", Some(&key));

    let all = tokio::join!(
        send(&fleet, 0, &call),
        send(&fleet, 1, &call),
        send(&fleet, 2, &call)
    );
    let late = send(&fleet, 1, &call).await;
    let other = send(&fleet, 2, &claim("bib-2", Some(&key))).await;

    for outcome in [&all.0, &all.1, &all.2, &late] {
        expect_that!(verdict(outcome), eq("whole"), "{outcome:?}");
    }
    expect_that!(runs(&fleet, "bib-1").await?, eq(1));
    let Outcome::Refused(other) = other else {
        panic!("{other:?}");
    };
    expect_that!(other.status, eq(422));
    expect_that!(runs(&fleet, "bib-2").await?, eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_killed_agent_leaves_its_keys_unknown_and_others_run_at_once() -> anyhow::Result<()> {
    let mut fleet = fleet(1).await?;
    let key = take_key(&fleet, 0).await?;
    let unsent = take_key(&fleet, 0).await?;
    let call = claim("bib-1", Some(&key));
    let sent = send_and_see_start(&fleet, 0, &call).await?;

    fleet.services[0].agent.process.kill();
    let first = sent.await?;
    Fleet::restart(&mut fleet.services[0].agent)?;
    fleet.wait_ready(&fleet.services[0].agent).await?;
    let retried = send(&fleet, 1, &call).await;
    let unsent = send(&fleet, 2, &claim("bib-2", Some(&unsent))).await;
    wait_until("an entry issues keys of the new life", LIMIT, || async {
        let Ok(key) = take_key(&fleet, 2).await else {
            return false;
        };
        verdict(&send(&fleet, 2, &claim("bib-3", Some(&key))).await) == "whole"
    })
    .await?;

    expect_that!(verdict(&first), eq("may-have-run"), "{first:?}");
    expect_that!(verdict(&retried), eq("may-have-run"), "{retried:?}");
    expect_that!(verdict(&unsent), eq("may-have-run"), "{unsent:?}");
    expect_that!(runs(&fleet, "bib-1").await?, eq(1));
    expect_that!(runs(&fleet, "bib-2").await?, eq(0));
    Ok(())
}

/// Naive: a caller that repeats its request without a key after the same loss doubles it.
#[gtest]
#[tokio::test]
async fn without_a_key_the_same_loss_doubles_the_run() -> anyhow::Result<()> {
    let mut fleet = fleet(1).await?;
    let call = claim("bib-1", None);
    let sent = send_and_see_start(&fleet, 0, &call).await?;

    fleet.services[0].agent.process.kill();
    let first = sent.await?;
    Fleet::restart(&mut fleet.services[0].agent)?;
    fleet.wait_ready(&fleet.services[0].agent).await?;
    wait_until("the repeated request is answered", LIMIT, || async {
        verdict(&send(&fleet, 1, &call).await) == "whole"
    })
    .await?;

    expect_that!(verdict(&first), eq("may-have-run"));
    expect_that!(runs(&fleet, "bib-1").await?, eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_frozen_agent_that_wakes_runs_nothing_twice_and_gives_the_answer() -> anyhow::Result<()> {
    let fleet = fleet(2).await?;
    let key = take_key(&fleet, 0).await?;
    let call = claim("bib-1", Some(&key));
    let sent = send_and_see_start(&fleet, 0, &call).await?;
    let home = fleet
        .services
        .iter()
        .find(|it| key.contains(&it.agent.listed.id));
    let home = &home.expect("the key names its home").agent.process;

    home.freeze();
    let during = send(&fleet, 1, &call).await;
    let first = sent.await?;
    home.wake();
    wait_until("the answer is there after waking", LIMIT, || async {
        verdict(&send(&fleet, 2, &call).await) == "whole"
    })
    .await?;

    expect_that!(verdict(&first), eq("may-have-run"), "{first:?}");
    expect_that!(verdict(&during), eq("may-have-run"), "{during:?}");
    expect_that!(runs(&fleet, "bib-1").await?, eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_server_that_breaks_off_leaves_its_key_lost_for_good() -> anyhow::Result<()> {
    let fleet = fleet(1).await?;
    let key = take_key(&fleet, 0).await?;
    let call = claim("bib-1", Some(&key));
    let fault = Fault::Reset { after: 0 };
    fleet.inject_faults(&fleet.services[0], &[fault]).await?;

    let first = send(&fleet, 0, &call).await;
    let retried = send(&fleet, 1, &call).await;

    expect_that!(verdict(&first), eq("may-have-run"), "{first:?}");
    expect_that!(verdict(&retried), eq("may-have-run"), "{retried:?}");
    expect_that!(runs(&fleet, "bib-1").await?, eq(1));
    Ok(())
}

/// Where in the life of a request the fault strikes.
#[derive(Debug, Clone, Copy)]
enum Point {
    Sent,
    Started,
    Completed,
}

const POINTS: [Point; 3] = [Point::Sent, Point::Started, Point::Completed];

impl Point {
    fn is_reached(self, seen: &Execution) -> bool {
        match self {
            Self::Sent => true,
            Self::Started => seen.started > 0,
            Self::Completed => seen.completed > 0,
        }
    }
}

/// Rounds of one key each: the agent that is its home is killed or frozen before, during or after
/// the run, and the caller retries at every entry.
#[gtest]
#[tokio::test]
async fn seeded_faults_double_nothing_and_not_run_is_true() -> anyhow::Result<()> {
    let mut fleet = fleet(2).await?;
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut told = std::collections::BTreeMap::<String, u32>::new();
    for round in 0..ROUNDS {
        let marker = format!("round-{round}");
        wait_until("a key can be had", LIMIT, || async {
            take_key(&fleet, round % 3).await.is_ok()
        })
        .await?;
        let key = take_key(&fleet, round % 3).await?;
        let call = claim(&marker, Some(&key));
        let home = usize::from(!key.contains(&fleet.services[0].agent.listed.id));
        let (base, own) = (fleet.entry_url(round % 3), call.clone());
        let sent = tokio::spawn(async move { Caller::default().call(&base, &own).await });
        let point = POINTS[rng.random_range(0..POINTS.len())];
        wait_until("the point of the fault", LIMIT, || async {
            let seen = execution(&fleet, &marker).await.unwrap_or_default();
            // A key issued for the life before the last kill is answered without a run.
            point.is_reached(&seen) || sent.is_finished()
        })
        .await?;
        let killed = rng.random_bool(0.5);
        let agent = &mut fleet.services[home].agent;
        match killed {
            true => Fleet::restart(agent)?,
            false => agent.process.freeze(),
        }
        let retried = send(&fleet, (round + 1) % 3, &call).await;
        let mut outcomes = vec![sent.await?, retried];
        fleet.services[home].agent.process.wake();
        fleet.wait_ready(&fleet.services[home].agent).await?;
        outcomes.push(send(&fleet, (round + 2) % 3, &call).await);

        let runs = runs(&fleet, &marker).await?;
        expect_that!(runs, le(1), "{marker} {point:?} {killed} {outcomes:?}");
        for outcome in &outcomes {
            *told.entry(verdict(outcome).to_owned()).or_default() += 1;
            expect_that!(verdict(outcome), not(eq("wrong")), "{outcome:?}");
        }
        let last_not_run = verdict(&outcomes[2]) == "not-run";
        expect_that!(last_not_run && runs > 0, eq(false), "{marker} {outcomes:?}");
    }
    println!("seed {SEED}, {ROUNDS} rounds, answers: {told:?}");
    Ok(())
}
