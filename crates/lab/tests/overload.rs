//! Half the backend servers vanish at full load and return cold, on real processes: retries stay
//! within their budget, the rest goes on at its full rate, what is given up is told at once, and the
//! returned servers get their share again. And an account that floods closes no server to others.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use googletest::prelude::*;
use jj_operator::{documents::Account, published::digest_of};
use jujube_lab::{
    caller::{Call, Caller, Outcome, Refused},
    fleet::{Fleet, FleetConfig, Server, args},
    process::{Process, wait_until},
    publication::{MODEL, PLAIN_SERVICE, Publication},
};
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_secs(40);

/// Backend servers, and those that vanish.
const SERVERS: usize = 4;
const LOST: usize = 2;

/// Concurrent requests that a backend server bears, and that wait in its agent.
const CONCURRENCY: u32 = 8;
const QUEUE: u32 = 8;
const FLOOR: u32 = 2;

/// Callers at once: more than half of the servers and their queues hold.
const CALLERS: usize = 48;

/// Pause of a caller after a refusal, far below what `Retry-After` asks for.
const IMPATIENCE: Duration = Duration::from_millis(100);

/// Time that callers allow each request.
const DEADLINE: Duration = Duration::from_secs(10);

/// Looks at the servers for one mean.
const LOOKS: u32 = 60;

/// Part of what the servers that are left bear which they do at least.
const LEAST_SHARE: f64 = 0.8;

/// Attempts for each request taken in.
const MOST_ATTEMPTS: f64 = 1.1;

fn service_flags() -> Vec<String> {
    args([
        "--delay-us",
        "200000",
        "--cold-floor",
        "2",
        "--warm-after-ms",
        "2000",
    ])
}

fn publication() -> Publication {
    let mut publication = Publication::default();
    let services = &mut publication.services;
    for service in services.iter_mut().filter(|s| s.service == PLAIN_SERVICE) {
        service.limits.cold_floor = FLOOR;
        service.limits.concurrency = CONCURRENCY;
        service.limits.queue = QUEUE;
    }
    publication
}

async fn fleet() -> anyhow::Result<Fleet> {
    Fleet::start(FleetConfig {
        engines: 0,
        services: SERVERS,
        relays: false,
        service_flags: service_flags(),
        publication: publication(),
        ..FleetConfig::default()
    })
    .await
}

/// What callers saw.
#[derive(Debug, Default)]
struct Seen {
    sent: AtomicU64,
    whole: AtomicU64,
    ended: Mutex<Vec<(Outcome, Duration)>>,
    stop: AtomicBool,
}

impl Seen {
    fn whole(&self) -> u64 {
        self.whole.load(Ordering::SeqCst)
    }

    fn add_ended(&self, outcome: Outcome, took: Duration) {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        ended.push((outcome, took));
    }

    /// Outcomes other than whole answers, with their times, since the last call.
    fn take_ended(&self) -> Vec<(Outcome, Duration)> {
        let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *ended)
    }
}

/// Callers that send one lookup after the other until told to stop.
fn keep_calling(fleet: &Fleet) -> (Arc<Seen>, Vec<JoinHandle<()>>) {
    let seen = Arc::new(Seen::default());
    let tasks = (0..CALLERS).map(|number| {
        let base = fleet.entry_url(number % fleet.entries.len());
        tokio::spawn(call_on(base, number, Arc::clone(&seen)))
    });
    let tasks = tasks.collect();
    (seen, tasks)
}

async fn call_on(base: String, number: usize, seen: Arc<Seen>) {
    let caller = Caller::new(DEADLINE);
    let mut round = 0;
    while !seen.stop.load(Ordering::SeqCst) {
        round += 1;
        seen.sent.fetch_add(1, Ordering::SeqCst);
        let call = Call::lookup(&format!("{number}-{round}"));
        let began = Instant::now();
        let outcome = caller.call(&base, &call).await;
        if matches!(outcome, Outcome::Whole(_)) {
            seen.whole.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        seen.add_ended(outcome, began.elapsed());
        tokio::time::sleep(IMPATIENCE).await;
    }
}

/// Requests that a server works on now.
async fn running(fleet: &Fleet, server: &Server) -> anyhow::Result<u32> {
    let answer = fleet.client.get(format!("{}/load", server.url)).send();
    let load: serde_json::Value = answer.await?.json().await?;
    Ok(load["running"].as_u64().unwrap_or(0) as u32)
}

/// Mean share of the places of these servers that is in use.
async fn busy_share(fleet: &Fleet, servers: &[Server]) -> anyhow::Result<f64> {
    let mut look = tokio::time::interval(Duration::from_millis(50));
    let mut busy = 0;
    for _ in 0..LOOKS {
        look.tick().await;
        for server in servers {
            busy += running(fleet, server).await?;
        }
    }
    Ok(f64::from(busy) / f64::from(LOOKS * CONCURRENCY * servers.len() as u32))
}

async fn wait_busy(fleet: &Fleet, what: &str) -> anyhow::Result<()> {
    wait_until(what, LIMIT, || async {
        let share = busy_share(fleet, &fleet.services).await;
        share.is_ok_and(|share| share >= LEAST_SHARE)
    })
    .await
}

async fn completed(fleet: &Fleet, servers: &[Server]) -> anyhow::Result<u64> {
    let each = join_all(servers.iter().map(|server| fleet.executions(server))).await;
    let each = each.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    Ok(each.iter().map(|seen| seen.completed).sum())
}

/// Attempts beyond the first of each request, by the entries' logs.
fn retries(fleet: &Fleet) -> u64 {
    let logs = fleet.entries.iter().map(|entry| entry.process.log());
    logs.map(|log| log.matches("JJ-1102").count() as u64).sum()
}

fn vanish(fleet: &mut Fleet) {
    for server in &mut fleet.services[..LOST] {
        server.agent.process.kill();
        server.backend.kill();
    }
}

fn come_back(fleet: &mut Fleet) -> anyhow::Result<()> {
    for server in &mut fleet.services[..LOST] {
        let addr = server.url.trim_start_matches("http://").to_owned();
        let mut flags = args(["service", "--addr", &addr]);
        flags.extend(service_flags());
        server.backend = Process::start("returned", "jujube-lab", &flags)?;
        Fleet::restart(&mut server.agent)?;
    }
    Ok(())
}

fn is_unknown(outcome: &Outcome) -> bool {
    !matches!(outcome, Outcome::Refused(refused) if refused.verdict == "not-run")
}

fn expect_refusal_at_once(refused: &Refused, took: Duration) {
    expect_that!(refused.verdict, eq("not-run"), "{refused:?}");
    expect_that!(refused.retry_after, some(ge(1)), "{refused:?}");
    // "At once" is meant against the deadline, near which nothing may be held back.
    expect_that!(took, le(DEADLINE / 2), "{refused:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_the_servers_vanish_at_full_load_and_return() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let (seen, tasks) = keep_calling(&fleet);
    wait_busy(&fleet, "all servers are at work").await?;

    seen.take_ended();
    vanish(&mut fleet);
    let rest = &fleet.services[LOST..];
    busy_share(&fleet, rest).await?;
    let at_loss = seen.take_ended();
    let before = (seen.whole(), completed(&fleet, rest).await?);
    let busy = busy_share(&fleet, rest).await?;
    let after = (seen.whole(), completed(&fleet, rest).await?);
    let given_up = seen.take_ended();
    come_back(&mut fleet)?;
    wait_busy(&fleet, "the returned servers have their share").await?;

    seen.stop.store(true, Ordering::SeqCst);
    join_all(tasks).await;
    let (sent, retried) = (seen.sent.load(Ordering::SeqCst), retries(&fleet));
    let attempts = 1.0 + retried as f64 / sent as f64;
    let answered = (after.0 - before.0) as f64 / (after.1 - before.1) as f64;
    let unknown = at_loss.iter().filter(|(outcome, _)| is_unknown(outcome));
    println!(
        "{sent} requests, {attempts:.3} attempts each; while half is gone: {busy:.3} of the places \
         busy, {answered:.3} answers for each execution, {} given up; at the loss {} not answered, {} of them unknown",
        given_up.len(),
        at_loss.len(),
        unknown.count(),
    );
    expect_that!(attempts, le(MOST_ATTEMPTS));
    expect_that!(busy * answered, ge(LEAST_SHARE));
    expect_that!(given_up.len(), gt(0));
    for (outcome, took) in given_up {
        let Outcome::Refused(refused) = outcome else {
            anyhow::bail!("neither answered nor refused: {outcome:?}");
        };
        expect_refusal_at_once(&refused, took);
    }
    for server in &fleet.services[..LOST] {
        let seen = fleet.executions(server).await?;
        expect_that!(seen.cold_peak, le(FLOOR));
        expect_that!(seen.falls, eq(0));
    }
    Ok(())
}

/// API key and name of the account that floods.
const FLOOD: &str = "flood";

/// Lookups of the small account.
const SMALL_CALLS: usize = 20;

fn publication_with_flood() -> Publication {
    let mut publication = publication();
    let account = Account {
        weight: 1,
        keys: vec![digest_of(FLOOD.as_bytes())],
    };
    let accounts = &mut publication.fleet.accounts;
    accounts.insert(FLOOD.to_owned(), account);
    publication
}

async fn flood(base: String, number: usize, refused: Arc<AtomicU64>) {
    let caller = Caller::new(DEADLINE).with_account(FLOOD, MODEL);
    for round in 0.. {
        let call = Call::lookup(&format!("flood-{number}-{round}"));
        if !matches!(caller.call(&base, &call).await, Outcome::Whole(_)) {
            refused.fetch_add(1, Ordering::SeqCst);
            tokio::time::sleep(IMPATIENCE).await;
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_account_that_floods_closes_no_server_to_others() -> anyhow::Result<()> {
    let fleet = Fleet::start(FleetConfig {
        engines: 0,
        services: 1,
        relays: false,
        service_flags: args(["--delay-us", "100000"]),
        publication: publication_with_flood(),
        ..FleetConfig::default()
    })
    .await?;
    let refused = Arc::new(AtomicU64::new(0));
    let floods = (0..CALLERS).map(|number| {
        let base = fleet.entry_url(number % fleet.entries.len());
        tokio::spawn(flood(base, number, Arc::clone(&refused)))
    });
    let floods: Vec<JoinHandle<()>> = floods.collect();
    wait_until("the flood is refused", LIMIT, || async {
        refused.load(Ordering::SeqCst) > 0
    })
    .await?;

    let caller = Caller::new(DEADLINE);
    let mut whole = 0;
    for number in 0..SMALL_CALLS {
        let base = fleet.entry_url(number % fleet.entries.len());
        let call = Call::lookup(&format!("small-{number}"));
        let outcome = caller.call(&base, &call).await;
        whole += usize::from(matches!(outcome, Outcome::Whole(_)));
    }
    floods.iter().for_each(JoinHandle::abort);

    let refused = refused.load(Ordering::SeqCst);
    println!(
        "small account: {whole} of {SMALL_CALLS} whole; the flood was refused {refused} times"
    );
    expect_that!(whole, eq(SMALL_CALLS));
    Ok(())
}
