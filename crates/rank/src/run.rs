//! Starts an agent, and ends it when it is asked to leave.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use anyhow::Context;
use jj_adapter::{engine::Engine, settings};
use jj_direct::{
    instance::InstanceSettings,
    metrics_port,
    pool::{Pool, PoolConfig},
    reload, socket, supervise,
};
use jj_news::{Message, RankCounts};
use jj_policy::expert_demand::{CountSampling, CounterDeltas};
use jj_utils::{
    clock::SystemClock,
    events, log_event,
    logging::{self, LogFormat},
};
use log::LevelFilter;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
};

use crate::{
    datagrams, driver, leader, map_transfer,
    state::{GroupState, State},
    takeover,
};

/// Time between two reads of the engine's report.
const REPORT_PAUSE: Duration = Duration::from_millis(200);

/// The same while a switch is under way.
const SWITCH_PAUSE: Duration = Duration::from_millis(50);

/// Time after a leader's task for which a switch counts as under way.
const SWITCH_WATCH: Duration = Duration::from_millis(1_500);

/// Time after which a rank that is not asked for its counts looks again.
const COUNTS_LOOK: Duration = Duration::from_millis(500);

/// Longest wait for the counts.
const COUNTS_LIMIT: Duration = Duration::from_millis(100);

/// Longest time for which an agent that is asked to stop goes on with a switch.
const SWITCH_END: Duration = Duration::from_millis(900);

/// Time between two looks at whether it has ended.
const SWITCH_END_LOOK: Duration = Duration::from_millis(10);

/// What the command line says.
#[derive(Debug, Clone)]
pub struct Options {
    /// Settings file.
    pub path: PathBuf,
    /// Least level of log lines.
    pub level: LevelFilter,
    /// Where the metrics are served.
    pub metrics: Vec<SocketAddr>,
}

/// Runs an agent until it is asked to leave.
///
/// # Errors
/// When the settings can't be read or the port for datagrams can't be bound.
pub fn run(options: &Options) -> anyhow::Result<()> {
    logging::install(LogFormat::Json, options.level)?;
    let settings = settings::read(&options.path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, work(settings, options))
}

async fn work(given: InstanceSettings, options: &Options) -> anyhow::Result<()> {
    let metrics = metrics_port::install()?;
    spawn_local(metrics_port::upkeep(metrics.clone()));
    let server = given.server.context("no server beside this agent")?;
    let addr = SocketAddr::new(given.ip, given.ports.0);
    let socket = socket::datagrams(addr).context("bind the port for datagrams")?;
    let name = given.name.clone();
    let clock = SystemClock::shared();
    let incarnation = rand::random();
    let state = Rc::new(State {
        settings: std::cell::RefCell::new(Rc::new(given)),
        pool: Pool::new(PoolConfig::default(), clock.clone()),
        clock,
        incarnation,
        engine: Engine::new(server)?,
        server,
        socket,
        group: std::cell::RefCell::new(GroupState::new(incarnation)),
        answer_received: tokio::sync::Notify::new(),
        group_changed: tokio::sync::Notify::new(),
        heartbeat_due: tokio::sync::Notify::new(),
    });
    let port = map_transfer::addr(&state, state.settings().ip);
    let handler = map_transfer::handler(Rc::clone(&state), metrics);
    for addr in options.metrics.iter().copied().chain([port]) {
        metrics_port::open(addr, Rc::clone(&handler))?;
    }
    start("receive", &state, datagrams::receive);
    start("tell", &state, datagrams::send_heartbeats);
    start("tell_entries", &state, datagrams::report_group_status);
    start("reports", &state, reports);
    start("counts", &state, counts);
    start("lead", &state, leader::run);
    start("rescue", &state, takeover::run);
    let reloaded = Rc::clone(&state);
    let take = move |settings| *reloaded.settings.borrow_mut() = settings;
    let path = options.path.clone();
    spawn_local(reload::watch(path, settings::read, take));
    log_event!(
        events::PROCESS_STARTED,
        instance = name.as_str(), life = state.incarnation, server = server.to_string();
        "agent started"
    );
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    log_event!(events::PROCESS_DRAINING, instance = name.as_str(); "agent leaves");
    state.group.borrow_mut().is_leaving = true;
    end_switch(&state).await;
    log_event!(events::PROCESS_STOPPED, instance = name.as_str(); "agent stopped");
    Ok(())
}

/// Starts one of the agent's tasks.
fn start<F>(name: &'static str, state: &Rc<State>, task: fn(Rc<State>) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    supervise::spawn(name, move || task(Rc::clone(&state)));
}

/// Waits until this agent carries no switch out, so that it leaves no pass held.
async fn end_switch(state: &State) {
    let end = state.clock.now() + SWITCH_END;
    while state.group.borrow().is_switching && state.clock.now() < end {
        tokio::time::sleep(SWITCH_END_LOOK).await;
    }
}

async fn reports(state: Rc<State>) {
    let mut was_read = true;
    loop {
        let is_read = driver::read_report(&state).await;
        if was_read != is_read.is_ok() {
            was_read = is_read.is_ok();
            match is_read {
                Ok(report) => log_event!(
                    events::SERVER_WARM, rank = report.rank, epoch = report.view.epoch;
                    "the engine answers"
                ),
                Err(error) => log_event!(events::SERVER_UNREACHABLE, "{error:#}"),
            }
        }
        tokio::time::sleep(report_pause(&state)).await;
    }
}

/// Reports are read often while a switch is under way, so that one that has stopped is seen.
fn report_pause(state: &State) -> Duration {
    let now = state.clock.now();
    let task = state.group.borrow().last_task;
    match task.is_some_and(|it| now < it.at + SWITCH_WATCH) {
        true => SWITCH_PAUSE,
        false => REPORT_PAUSE,
    }
}

/// Tells the leader what the counts of this rank have grown by, or takes it in where this agent leads.
async fn counts(state: Rc<State>) {
    let mut growth = CounterDeltas::default();
    loop {
        let Some(sampling) = sampling(&state) else {
            tokio::time::sleep(COUNTS_LOOK).await;
            continue;
        };
        tokio::time::sleep(sampling.interval).await;
        let Ok(found) = state.engine.counts(COUNTS_LIMIT).await else {
            continue;
        };
        let Some(grown) = growth.since(found.epoch, found.counts) else {
            continue;
        };
        match state.leader_addr() {
            Some(leader) => state.send(
                leader,
                &Message::RankCounts(RankCounts { increments: grown }),
            ),
            None => {
                let mut group = state.group.borrow_mut();
                group.demand.report_interval = sampling.interval;
                group.demand.observe(&grown);
            }
        }
    }
}

/// How this rank tells its counts; none where it doesn't.
fn sampling(state: &State) -> Option<CountSampling> {
    let group = state.group.borrow();
    let report = group.report.as_ref()?;
    let experts = group.roster.as_ref()?.experts;
    let sampling = CountSampling::new(report.size, (experts.sets * experts.experts) as usize);
    sampling.is_sampled(report.rank).then_some(sampling)
}
