//! Starts an entry, and ends it when it is asked to leave.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use anyhow::Context;
use jj_adapter::settings;
use jj_direct::{
    instance::InstanceSettings,
    metrics_port, reload,
    server::{self, Handler, ServerConfig, ServerStop},
    socket, supervise,
};
use jj_utils::{
    clock::SystemClock,
    events, log_event,
    logging::{self, LogFormat},
};
use log::LevelFilter;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    task::{JoinHandle, LocalSet, spawn_local},
};

use crate::{
    auxiliary_ports, dispatch, peer_datagrams, request_handler, shared_state::SharedState,
    store_sync,
};
use jj_policy::gossip::Standing;

/// Time after the request to stop in which callers that hold the address are still served.
const SERVE_ON: Duration = Duration::from_millis(4_500);

/// Time before the end of the grace period at which the process ends.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time between two clean-ups of connections.
const UPKEEP: Duration = Duration::from_secs(1);

/// What the command line says.
#[derive(Debug, Clone)]
pub struct Options {
    /// Settings file.
    pub settings_path: PathBuf,
    /// Least level of log lines.
    pub log_level: LevelFilter,
    /// Where the metrics are served beside the operators' port.
    pub metrics_addrs: Vec<SocketAddr>,
}

/// Runs an entry until it is asked to leave and its requests have ended.
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

async fn serve(given: InstanceSettings, options: &Options) -> anyhow::Result<()> {
    let metrics = metrics_port::install()?;
    let clock = SystemClock::shared();
    let shared = SharedState::new(given, clock);
    let own = shared.settings();
    let traffic_addr = own.listen.traffic.context("no address for callers")?;
    let small = auxiliary_ports::handler(Rc::clone(&shared), metrics.clone());
    for addr in small_ports(&own)
        .into_iter()
        .chain(options.metrics_addrs.clone())
    {
        metrics_port::open(addr, Rc::clone(&small))?;
    }
    let datagrams = socket::datagrams(SocketAddr::new(own.ip, own.ports.0))
        .context("bind the port for datagrams")?;
    start(&shared, Rc::new(datagrams));
    let reloaded = Rc::clone(&shared);
    let take = move |settings| *reloaded.settings.borrow_mut() = settings;
    let path = options.settings_path.clone();
    spawn_local(reload::watch(path, settings::read, take));
    spawn_local(metrics_port::upkeep(metrics));
    let stop = ServerStop::default();
    let handler = request_handler::handler(Rc::clone(&shared));
    let limits = Rc::clone(&shared);
    let config = move || request_handler::server_config(&limits);
    let server = open(traffic_addr, config, handler, stop.clone())?;
    log_event!(
        events::PROCESS_STARTED,
        instance = own.name.as_str(), life = shared.incarnation, domain = own.domain.as_str();
        "entry started"
    );
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    leave(&shared, stop, server).await;
    Ok(())
}

/// Starts what goes on beside the requests.
fn start(shared: &Rc<SharedState>, datagrams: Rc<UdpSocket>) {
    let state = Rc::clone(shared);
    supervise::spawn("mesh", move || {
        peer_datagrams::run(Rc::clone(&state), Rc::clone(&datagrams))
    });
    let state = Rc::clone(shared);
    supervise::spawn("follower", move || follow(Rc::clone(&state)));
    let state = Rc::clone(shared);
    supervise::spawn("dispatch", move || dispatch::run(Rc::clone(&state)));
    let state = Rc::clone(shared);
    supervise::spawn("upkeep", move || upkeep(Rc::clone(&state)));
}

/// Readiness, directory and control, and a port of the system's own for operators.
fn small_ports(settings: &InstanceSettings) -> Vec<SocketAddr> {
    let listen = &settings.listen;
    let operators = SocketAddr::new(settings.ip, settings.ports.0 + 1);
    let given = [listen.readiness, listen.directory, listen.control];
    let mut ports: Vec<SocketAddr> = given.into_iter().flatten().collect();
    ports.push(operators);
    ports
}

fn open(
    addr: SocketAddr,
    config: impl Fn() -> ServerConfig + 'static,
    handler: Handler,
    stop: ServerStop,
) -> anyhow::Result<JoinHandle<()>> {
    let listener = socket::listen(addr).with_context(|| format!("listen on {addr}"))?;
    Ok(spawn_local(server::serve(listener, config, handler, stop)))
}

async fn follow(shared: Rc<SharedState>) {
    if let Err(error) = store_sync::run(shared).await {
        log_event!(events::PROCESS_FAILED, "{error:#}");
    }
}

/// Serves on for those who hold the address, then ends with the last request.
async fn leave(shared: &Rc<SharedState>, stop: ServerStop, server: JoinHandle<()>) {
    let settings = shared.settings();
    log_event!(events::PROCESS_DRAINING, instance = settings.name.as_str(); "entry leaves");
    shared.entry_state.set(Standing::Leaving);
    let grace = settings.promises.grace.saturating_sub(END_MARGIN);
    let serve_on = SERVE_ON.min(grace / 2);
    tokio::time::sleep(serve_on).await;
    stop.leave.cancel();
    let is_done = tokio::time::timeout(grace - serve_on, server).await.is_ok();
    log_event!(
        events::PROCESS_STOPPED,
        instance = settings.name.as_str(), all_ended = is_done; "entry stopped"
    );
}

/// Becomes ready once there is a configuration, and tidies up.
async fn upkeep(shared: Rc<SharedState>) {
    const READY_LOOK: Duration = Duration::from_millis(50);
    while shared.replica.borrow().catalog.is_none() {
        tokio::time::sleep(READY_LOOK).await;
    }
    if shared.entry_state.get() == Standing::Starting {
        shared.entry_state.set(Standing::Ready);
    }
    loop {
        tokio::time::sleep(UPKEEP).await;
        shared.pool.tidy();
    }
}
