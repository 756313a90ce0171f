//! The process beside each backend server instance: the only way to that server.

#![warn(clippy::unwrap_used)]

mod attempt;
mod attempts;
mod balance;
mod cache;
mod control;
mod group;
mod group_lead;
mod group_rank;
mod keys;
mod lifecycle;
mod operators;
mod permit;
mod probe;

mod repeats;
mod runner;
mod settings;
mod traffic;

use std::{process::ExitCode, sync::Arc, time::Duration};

use attempts::{Attempts, AttemptsConfig};
use cache::CacheNews;
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
use keys::Keys;
use lifecycle::Lifecycle;
use repeats::Repeats;
use settings::{JujubeAgent, JujubeAgentCmd, Settings};
use tokio_util::sync::CancellationToken;

/// Longest time to open a connection to the backend server, which is on the same instance.
const BACKEND_CONNECT: Duration = Duration::from_millis(250);

/// Time after SIGTERM in which every entry hears by heartbeat that this agent is leaving.
const LEAVE_NOTICE: Duration = Duration::from_secs(4);

/// Exit code for wrong settings.
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
    let keys = Keys::new(own, OnceConfig::default(), Arc::clone(&clock));
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
        opening: OpenContext {
            platform: settings.node.platform.clone(),
            control_addr: settings.node.control_addr,
            clock: Arc::clone(&clock),
            audit: Arc::clone(&audit),
            token: token.clone(),
        },
        attempts: Arc::clone(&attempts),
        keys: Arc::clone(&keys),
        lifecycle: Arc::clone(&lifecycle),
        group: settings.rank.map(|_| handler),
    };
    let started = control::start(control, admission).await?;
    let control::Started {
        control,
        config,
        list,
    } = started;
    let (leave, time) = (Arc::clone(&lifecycle), Arc::clone(&clock));
    let may_start = Arc::new(move || leave.refusal(time.now()).is_none());
    let backend = BackendClient::new(&settings.backend, BACKEND_CONNECT, may_start)?;
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
    let seen = operators::Seen {
        settings: settings.clone(),
        control: control.clone(),
        lifecycle: Arc::clone(&lifecycle),
        config,
        clock: Arc::clone(&clock),
    };
    let addr = settings.node.operator_addr;
    let (readiness, status) = (seen.readiness(), seen.status());
    operator_port::start(addr, readiness, status, audit, token.clone()).await?;
    let probe = probe::run(
        backend.clone(),
        control.clone(),
        Arc::clone(&clock),
        token.clone(),
    );
    tokio::spawn(probe);
    let cache = Arc::new(CacheNews::new(incarnation));
    if settings.kind == ServiceKind::Model {
        let (news, engine, ended) = (Arc::clone(&cache), backend.clone(), token.clone());
        tokio::spawn(async move { news.follow(engine, ended).await });
    }
    let addr = host_and_port(&settings.backend);
    tokio::spawn(probe::watch(addr, control.clone(), token.clone()));
    let context = runner::Context {
        repeats: Arc::new(Repeats::new(settings.concurrency)),
        backend,
        control,
        lifecycle: Arc::clone(&lifecycle),
        clock,
    };
    let traffic = Arc::new(traffic::Traffic {
        incarnation,
        attempts: Arc::clone(&attempts),
        keys,
        cache,
        context,
        link: LinkConfig::default(),
    });
    let server = tokio::spawn(traffic::serve(
        settings.node.traffic_addr,
        traffic,
        settings.node.grace,
        token.clone(),
    ));
    let instance = &settings.node.instance;
    log_event!(
        events::PROCESS_STARTED,
        "agent {instance} started, incarnation {incarnation}"
    );
    shutdown::requested().await?;
    lifecycle.drain();
    log_event!(events::PROCESS_DRAINING, "agent {instance} draining");
    // Entries that have not heard of it yet get a refusal and their late answers, not a lost
    // connection.
    tokio::time::sleep(LEAVE_NOTICE).await;
    wait_until_idle(&attempts, settings.node.grace).await;
    token.cancel();
    server.await??;
    log_event!(events::PROCESS_STOPPED, "agent {instance} stopped");
    Ok(())
}

/// Where the backend server at a base URL takes connections.
fn host_and_port(base: &str) -> String {
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
