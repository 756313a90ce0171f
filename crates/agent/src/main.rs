//! The process beside each backend server instance, through which all requests to that server pass.

#![warn(clippy::unwrap_used)]

mod attempt;
mod attempts;
mod balance;
mod cache_events;
mod call_retries;
mod control;
mod group;
mod group_lead;
mod group_rank;
mod keys;
mod lifecycle;
mod operators;
mod permit;
mod probe;
mod runner;
mod settings;
mod traffic;

use std::{process::ExitCode, sync::Arc, time::Duration};

use attempts::{Attempts, AttemptsConfig};
use cache_events::CacheEventFeed;
use call_retries::CallRetryBudget;
use jj_backend::call::BackendClient;
use jj_node::{fleet::OpenContext, operator_port, process, shutdown};
use jj_operator::{audit::AuditTrail, documents::ServiceKind};
use jj_peer::client::LinkConfig;
use jj_policy::{
    admission::{AdmissionConfig, LimitConfig},
    keys::AgentIncarnation,
    once::OnceConfig,
};
use jj_utils::{
    clock::{SystemClock, unix_millis},
    events, log_event,
    settings::process_env,
};
use keys::KeyTable;
use lifecycle::Lifecycle;
use settings::{JujubeAgent, JujubeAgentCmd, Settings};
use tokio_util::sync::CancellationToken;

/// Timeout for opening a connection to the backend server, which is on the same instance.
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after SIGTERM in which every entry learns by heartbeat that this agent is draining.
const LEAVE_NOTICE_PERIOD: Duration = Duration::from_secs(4);

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = JujubeAgent::from_env_or_exit();
    if flags.version {
        println!("jujube-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match flags.subcommand {
        JujubeAgentCmd::Serve(flags) => serve(flags),
        JujubeAgentCmd::Balance(flags) => balance::run(flags),
    }
}

fn serve(flags: settings::Serve) -> ExitCode {
    let settings = match Settings::read(flags, &process_env) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_event!(events::PROCESS_FAILED, "{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings) -> anyhow::Result<()> {
    let node = settings.node.clone();
    process::run(&node, run(settings))
}

async fn run(settings: Settings) -> anyhow::Result<()> {
    let incarnation = unix_millis();
    let clock = SystemClock::shared();
    let token = CancellationToken::new();
    let attempts = Arc::new(Attempts::new(AttemptsConfig::default()));
    let lifecycle = Arc::new(Lifecycle::default());
    let audit = Arc::new(AuditTrail::default());
    let own = AgentIncarnation {
        agent: settings.node.instance.clone(),
        incarnation,
    };
    let keys = KeyTable::new(own, OnceConfig::default(), Arc::clone(&clock));
    let keys = Arc::new(keys);
    let admission = AdmissionConfig {
        limit: LimitConfig {
            cold_floor: settings.cold_floor,
            concurrency: settings.concurrency,
            ..LimitConfig::default()
        },
        token_capacity: settings.tokens,
        ..AdmissionConfig::default()
    };
    let (handler, requests) = group_rank::channel();
    let control = control::ControlContext {
        instance: settings.node.instance.clone(),
        incarnation,
        domain: settings.node.domain.clone(),
        service: settings.service.clone(),
        kind: settings.kind,
        fleet_context: OpenContext {
            platform: settings.node.platform.clone(),
            control_addr: settings.node.control_addr,
            limits: settings.node.limits,
            clock: Arc::clone(&clock),
            audit: Arc::clone(&audit),
            token: token.clone(),
        },
        attempts: Arc::clone(&attempts),
        keys: Arc::clone(&keys),
        lifecycle: Arc::clone(&lifecycle),
        group: settings.rank.map(|_| handler),
    };
    let handles = control::start(control, admission).await?;
    let control::ControlHandles {
        control,
        config,
        list,
    } = handles;
    let (lifecycle_check, time) = (Arc::clone(&lifecycle), Arc::clone(&clock));
    let may_start = Arc::new(move || lifecycle_check.refusal_reason(time.now()).is_none());
    let backend = BackendClient::new(&settings.backend, BACKEND_CONNECT_TIMEOUT, may_start)?;
    if let Some(rank) = settings.rank {
        let member = group::MemberContext {
            service: settings.service.clone(),
            rank,
            incarnation,
            control_addr: settings.node.control_addr,
            engine: backend.clone(),
            config: config.clone(),
            list,
            audit: Arc::clone(&audit),
            clock: Arc::clone(&clock),
            token: token.clone(),
        };
        tokio::spawn(group::run(member, requests));
    }
    let view = operators::OperatorView {
        settings: settings.clone(),
        control: control.clone(),
        lifecycle: Arc::clone(&lifecycle),
        config,
        clock: Arc::clone(&clock),
    };
    let (readiness, status) = (view.readiness(), view.status());
    operator_port::start(&settings.node, readiness, status, audit, token.clone())?;
    let probe = probe::poll_reports(
        backend.clone(),
        control.clone(),
        Arc::clone(&clock),
        token.clone(),
    );
    tokio::spawn(probe);
    let cache_events = Arc::new(CacheEventFeed::new(incarnation));
    if settings.kind == ServiceKind::Model {
        let (feed, engine, ended) = (Arc::clone(&cache_events), backend.clone(), token.clone());
        tokio::spawn(async move { feed.run(engine, ended).await });
    }
    let addr = backend_host_and_port(&settings.backend);
    tokio::spawn(probe::watch_idle_connection(
        addr,
        control.clone(),
        token.clone(),
    ));
    let context = runner::RunnerContext {
        call_retries: Arc::new(CallRetryBudget::new(settings.concurrency)),
        backend,
        control,
        lifecycle: Arc::clone(&lifecycle),
        clock,
    };
    let traffic = Arc::new(traffic::Traffic {
        incarnation,
        attempts: Arc::clone(&attempts),
        keys,
        cache_events,
        context,
        link: LinkConfig::default(),
    });
    let server = tokio::spawn(traffic::serve(
        traffic::TrafficPort::bind(&settings.node)?,
        traffic,
        settings.node.grace,
        token.clone(),
    ));
    let instance = &settings.node.instance;
    log_event!(
        events::PROCESS_STARTED,
        "agent {instance} started, incarnation {incarnation}"
    );
    shutdown::wait_for_signal().await?;
    lifecycle.start_draining();
    log_event!(events::PROCESS_DRAINING, "agent {instance} draining");
    // Entries that do not know of the shutdown yet get a refusal and late responses instead of a
    // lost connection.
    tokio::time::sleep(LEAVE_NOTICE_PERIOD).await;
    wait_until_idle(&attempts, settings.node.grace).await;
    token.cancel();
    server.await??;
    log_event!(events::PROCESS_STOPPED, "agent {instance} stopped");
    Ok(())
}

/// Returns host and port of a base URL, with port 80 if it names none.
fn backend_host_and_port(base: &str) -> String {
    let rest = base.trim_start_matches("http://");
    let authority = rest.split('/').next().unwrap_or(rest);
    match authority.rsplit_once(':') {
        Some((_, port)) if !port.ends_with(']') => authority.to_owned(),
        _ => format!("{authority}:80"),
    }
}

async fn wait_until_idle(attempts: &Attempts, grace: Duration) {
    let idle = async {
        while attempts.open_count() > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let _ = tokio::time::timeout(grace, idle).await;
}
