//! Starts an entry, and shuts it down gracefully on SIGTERM.

use std::{net::SocketAddr, path::PathBuf, pin::pin, rc::Rc, time::Duration};

use anyhow::Context;
use jj_adapter::settings;
use jj_direct::{
    instance_settings::InstanceSettings,
    metrics_port,
    server::{self, ServerStop},
    settings_reload, socket, supervise,
};
use jj_utils::{
    clock::{SystemClock, Timestamp},
    events, log_event,
    logging::{self, LogFormat},
};
use log::LevelFilter;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    task::{JoinHandle, LocalSet, spawn_local},
};

use crate::{
    auxiliary_ports, dispatch, peer_datagrams, request_handler, shared_state::SharedState,
    store_sync,
};
use jj_policy::{gossip::EntryState, process_limits::ProcessLimits};

/// Time after SIGTERM in which new connections are accepted, since callers may have cached the
/// address: one that finds an open port gets its request served or learns at once that it was not run.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);

/// Part of the grace period that this may take at most.
const MAX_DRAIN_FRACTION: f64 = 0.75;

/// Time before the end of the grace period at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time between two clean-ups of the connection pool.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Options from the command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Minimum level of log lines.
    pub log_level: LevelFilter,
    /// Addresses at which metrics are served in addition to the operators' port.
    pub metrics_addrs: Vec<SocketAddr>,
}

/// Runs an entry until SIGTERM, and then until its requests have ended or the grace period is over.
///
/// # Errors
/// When the settings can't be read or an address can't be bound.
pub fn run(options: &Options) -> anyhow::Result<()> {
    logging::install(LogFormat::Json, options.log_level)?;
    let settings = settings::read(&options.settings_path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, options))
}

/// Starts all tasks and ports, waits for SIGTERM and shuts down.
async fn serve(given: InstanceSettings, options: &Options) -> anyhow::Result<()> {
    let metrics = metrics_port::install()?;
    let clock = SystemClock::shared();
    let shared = SharedState::new(given, clock);
    let own = shared.settings();
    let traffic_addr = own
        .listen
        .traffic
        .context("the settings name no listen address for callers")?;
    let auxiliary_handler = auxiliary_ports::handler(Rc::clone(&shared), metrics.clone());
    let metrics_addrs = options.metrics_addrs.iter().copied();
    let auxiliary_addrs = auxiliary_addrs(&own).into_iter().chain(metrics_addrs);
    for addr in auxiliary_addrs {
        let max_connections = match Some(addr) == own.listen.control {
            true => ProcessLimits::control_connections,
            false => ProcessLimits::auxiliary_connections,
        };
        let limited = Rc::clone(&shared);
        let config = move || request_handler::auxiliary_config(&limited, max_connections);
        let handler = Rc::clone(&auxiliary_handler);
        metrics_port::start(addr, shared.clock.clone(), config, handler)?;
    }
    let datagrams = socket::bind_datagrams(SocketAddr::new(own.ip, own.internal_ports.0))
        .context("bind the datagram port")?;
    start_tasks(&shared, Rc::new(datagrams));
    let reloaded = Rc::clone(&shared);
    let apply = move |settings| reloaded.apply_settings(settings);
    let path = options.settings_path.clone();
    spawn_local(settings_reload::watch(path, settings::read, apply));
    spawn_local(metrics_port::run_upkeep(metrics));
    let stop = ServerStop::default();
    let handler = request_handler::handler(Rc::clone(&shared));
    let limits = Rc::clone(&shared);
    let config = move || request_handler::server_config(&limits);
    let listener = listen(traffic_addr)?;
    let clock = shared.clock.clone();
    let server = spawn_local(server::serve(
        listener,
        clock,
        config,
        handler,
        stop.clone(),
    ));
    log_event!(
        events::PROCESS_STARTED,
        instance = own.name.as_str(), life = shared.incarnation, domain = own.domain.as_str();
        "entry started"
    );
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    shut_down(&shared, stop, server).await;
    Ok(())
}

/// Starts the background tasks, each of which is restarted if it panics.
fn start_tasks(shared: &Rc<SharedState>, datagrams: Rc<UdpSocket>) {
    let state = Rc::clone(shared);
    supervise::spawn("mesh", move || {
        peer_datagrams::run(Rc::clone(&state), Rc::clone(&datagrams))
    });
    let state = Rc::clone(shared);
    supervise::spawn("follower", move || sync_store(Rc::clone(&state)));
    let state = Rc::clone(shared);
    supervise::spawn("dispatch", move || dispatch::run(Rc::clone(&state)));
    let state = Rc::clone(shared);
    supervise::spawn("upkeep", move || maintain(Rc::clone(&state)));
}

/// Returns the addresses for readiness, directory and control, and one for operators on the port
/// after the datagram port.
fn auxiliary_addrs(settings: &InstanceSettings) -> Vec<SocketAddr> {
    let listen = &settings.listen;
    let operators = SocketAddr::new(settings.ip, settings.internal_ports.0 + 1);
    let configured = [listen.readiness, listen.directory, listen.control];
    let mut addrs: Vec<SocketAddr> = configured.into_iter().flatten().collect();
    addrs.push(operators);
    addrs
}

/// Listens on an address.
fn listen(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    socket::listen(addr).with_context(|| format!("listen on {addr}"))
}

/// Runs the store task, and logs the error if it can't start.
async fn sync_store(shared: Rc<SharedState>) {
    if let Err(error) = store_sync::run(shared).await {
        log_event!(events::PROCESS_FAILED, "{error:#}");
    }
}

/// Announces the shutdown to peers and the directory, serves new requests that end in time for
/// [`DRAIN_TIME`] ([`MAX_DRAIN_FRACTION`] of the grace period at most), then stops accepting connections
/// and waits for the remaining requests. What has no response shortly before the end gets a final one.
async fn shut_down(shared: &Rc<SharedState>, stop: ServerStop, server: JoinHandle<()>) {
    let settings = shared.settings();
    log_event!(events::PROCESS_DRAINING, instance = settings.name.as_str(); "entry shuts down");
    let grace = settings.objectives.stop_grace.saturating_sub(EXIT_MARGIN);
    let shutdown = shared.begin_shutdown(grace);
    let drain_time = DRAIN_TIME.min(grace.mul_f64(MAX_DRAIN_FRACTION));
    tokio::time::sleep(drain_time).await;
    stop.drain.cancel();
    let time_until = |end: Timestamp| end.saturating_sub(shared.clock.now());
    let mut server = pin!(server);
    let left = time_until(shutdown.final_responses_at());
    let mut all_ended = tokio::time::timeout(left, server.as_mut()).await.is_ok();
    if !all_ended {
        shared.shutdown.demand_final_responses();
        let left = time_until(shutdown.ends());
        all_ended = tokio::time::timeout(left, server.as_mut()).await.is_ok();
    }
    shared.shutdown.finish();
    log_event!(
        events::PROCESS_STOPPED,
        instance = settings.name.as_str(), all_ended = all_ended; "entry stopped"
    );
}

/// Marks the entry as ready once a configuration is in force, then cleans up the connection pool
/// periodically.
async fn maintain(shared: Rc<SharedState>) {
    const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
    while shared.replica.borrow().catalog.is_none() {
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
    if shared.entry_state.get() == EntryState::Starting {
        shared.entry_state.set(EntryState::Ready);
    }
    loop {
        tokio::time::sleep(POOL_CLEANUP_INTERVAL).await;
        shared.pool.remove_expired();
    }
}
