//! Starts an agent and shuts it down on SIGTERM.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use anyhow::Context;
use jj_adapter::{engine::EngineClient, settings};
use jj_direct::{
    instance_settings::InstanceSettings,
    metrics_port,
    pool::{Pool, PoolConfig},
    server::ServerConfig,
    settings_reload, socket, supervise,
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

/// Interval between reads of the engine's report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between reads of the engine's report during a switch.
const SWITCH_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a leader's last task for which a switch is assumed to be in progress.
const SWITCH_WINDOW: Duration = Duration::from_millis(1_500);

/// Interval at which a rank that does not report its counts checks whether it has to.
const SAMPLING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for reading the engine's expert counts.
const COUNTS_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for which an agent that shuts down waits for its running switch to end.
const SWITCH_END_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval between checks whether that switch has ended.
const SWITCH_END_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Command line options of the agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the settings file.
    pub path: PathBuf,
    /// Lowest severity that is logged.
    pub level: LevelFilter,
    /// Addresses at which metrics are served.
    pub metrics: Vec<SocketAddr>,
}

/// Runs an agent until it receives SIGTERM.
///
/// # Errors
/// When the settings can't be read or name no server, or when a port can't be bound.
pub fn run(options: &Options) -> anyhow::Result<()> {
    logging::install(LogFormat::Json, options.level)?;
    let settings = settings::read(&options.path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run_tasks(settings, options))
}

/// Starts the agent's tasks and waits for SIGTERM.
async fn run_tasks(settings: InstanceSettings, options: &Options) -> anyhow::Result<()> {
    let metrics = metrics_port::install()?;
    spawn_local(metrics_port::run_upkeep(metrics.clone()));
    let server = settings
        .server_addr
        .context("the settings name no server on this instance")?;
    let addr = SocketAddr::new(settings.ip, settings.internal_ports.0);
    let socket = socket::bind_datagrams(addr).context("bind the UDP port for datagrams")?;
    let name = settings.name.clone();
    let clock = SystemClock::shared();
    let incarnation = rand::random();
    let state = Rc::new(State {
        settings: std::cell::RefCell::new(Rc::new(settings)),
        pool: Pool::new(PoolConfig::default(), clock.clone()),
        clock,
        incarnation,
        engine: EngineClient::new(server)?,
        server,
        socket,
        group: std::cell::RefCell::new(GroupState::new(incarnation)),
        answer_received: tokio::sync::Notify::new(),
        group_changed: tokio::sync::Notify::new(),
        heartbeat_due: tokio::sync::Notify::new(),
    });
    let port = map_transfer::http_addr(&state, state.settings().ip);
    let handler = map_transfer::handler(Rc::clone(&state), metrics);
    for addr in options.metrics.iter().copied().chain([port]) {
        let limits = Rc::clone(&state);
        let config = move || server_config(&limits);
        metrics_port::start(addr, state.clock.clone(), config, Rc::clone(&handler))?;
    }
    start("receive", &state, datagrams::receive);
    start("tell", &state, datagrams::send_heartbeats);
    start("tell_entries", &state, datagrams::report_group_status);
    start("reports", &state, poll_report);
    start("counts", &state, report_counts);
    start("lead", &state, leader::run);
    start("rescue", &state, takeover::run);
    let reloaded = Rc::clone(&state);
    let apply = move |settings| *reloaded.settings.borrow_mut() = settings;
    let path = options.path.clone();
    spawn_local(settings_reload::watch(path, settings::read, apply));
    log_event!(
        events::PROCESS_STARTED,
        instance = name.as_str(), life = state.incarnation, server = server.to_string();
        "agent started"
    );
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    log_event!(events::PROCESS_DRAINING, instance = name.as_str(); "agent is shutting down");
    state.group.borrow_mut().is_leaving = true;
    wait_for_switch_end(&state).await;
    log_event!(events::PROCESS_STOPPED, instance = name.as_str(); "agent stopped");
    Ok(())
}

/// Returns the limits of connections at the agent's ports, which other agents and operators use.
fn server_config(state: &State) -> ServerConfig {
    ServerConfig {
        max_connections: state.settings().limits.traffic_connections(),
        ..ServerConfig::default()
    }
}

/// Starts one of the agent's tasks, which is restarted if it panics.
fn start<F>(name: &'static str, state: &Rc<State>, task: fn(Rc<State>) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    supervise::spawn(name, move || task(Rc::clone(&state)));
}

/// Waits until this agent runs no switch, so that it leaves no pass held.
async fn wait_for_switch_end(state: &State) {
    let deadline = state.clock.now() + SWITCH_END_TIMEOUT;
    while state.group.borrow().is_switching && state.clock.now() < deadline {
        tokio::time::sleep(SWITCH_END_CHECK_INTERVAL).await;
    }
}

/// Reads the engine's report periodically and logs when the engine becomes reachable or unreachable.
async fn poll_report(state: Rc<State>) {
    let mut was_reachable = true;
    loop {
        let result = driver::read_report(&state).await;
        if was_reachable != result.is_ok() {
            was_reachable = result.is_ok();
            match result {
                Ok(report) => log_event!(
                    events::SERVER_WARM, rank = report.rank, epoch = report.view.epoch;
                    "the engine is reachable"
                ),
                Err(error) => {
                    log_event!(
                        events::SERVER_UNREACHABLE,
                        "the engine is unreachable: {error:#}"
                    )
                }
            }
        }
        tokio::time::sleep(report_interval(&state)).await;
    }
}

/// Returns the interval until the next read of the engine's report. It is short during a switch, so
/// that a switch that has stalled is detected.
fn report_interval(state: &State) -> Duration {
    let now = state.clock.now();
    let task = state.group.borrow().last_task;
    match task.is_some_and(|it| now < it.at + SWITCH_WINDOW) {
        true => SWITCH_REPORT_INTERVAL,
        false => REPORT_INTERVAL,
    }
}

/// Sends the increments of this rank's expert counts to the leader, or records them if this agent
/// leads.
async fn report_counts(state: Rc<State>) {
    let mut growth = CounterDeltas::default();
    loop {
        let Some(sampling) = sampling(&state) else {
            tokio::time::sleep(SAMPLING_CHECK_INTERVAL).await;
            continue;
        };
        tokio::time::sleep(sampling.interval).await;
        let Ok(counted) = state.engine.fetch_expert_counts(COUNTS_TIMEOUT).await else {
            continue;
        };
        let Some(increments) = growth.since(counted.epoch, counted.counts) else {
            continue;
        };
        match state.leader_addr() {
            Some(leader) => {
                let group = state.own_group();
                let counts = RankCounts { increments, group };
                state.send(leader, &Message::RankCounts(counts));
            }
            None => {
                let mut group = state.group.borrow_mut();
                group.demand.report_interval = sampling.interval;
                group.demand.observe(&increments);
            }
        }
    }
}

/// Returns how this rank reports its counts; none if it is not one of the sampled ranks.
fn sampling(state: &State) -> Option<CountSampling> {
    let group = state.group.borrow();
    let report = group.report.as_ref()?;
    let experts = group.roster.as_ref()?.experts;
    let sampling = CountSampling::new(report.group_size, (experts.sets * experts.experts) as usize);
    sampling.is_sampled(report.rank).then_some(sampling)
}
