//! The `serve` command: start, run and drain of an entry process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use jj_caller::{request::CallerConfig, server};
use jj_node::{fleet::OpenContext, operator_port, process, shutdown};
use jj_operator::{
    audit::AuditTrail,
    port::{Readiness, Status},
};
use jj_peer::client::{AgentClient, LinkConfig};
use jj_platform::config_reader::ConfigView;
use jj_utils::{
    clock::{SystemClock, unix_millis},
    events, log_event,
};
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    context::{Context, EntryIdentity},
    control::{self, ControlContext},
    handler,
    prefixes::SharedPrefixIndex,
    settings::Settings,
    view::View,
};

/// Time until every other entry has learned that this one is leaving and omits it from address
/// answers: two heartbeats.
const LEAVING_PROPAGATION: Duration = Duration::from_secs(4);

/// Interval between checks for open requests while draining.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry until it receives a termination signal and has drained.
///
/// # Errors
/// If the process can't start or its server fails.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let node = settings.node.clone();
    process::run(&node, serve(settings))
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let incarnation = unix_millis();
    let clock = SystemClock::shared();
    let token = CancellationToken::new();
    let view = Arc::new(ArcSwap::from_pointee(View::default()));
    let draining = Arc::new(AtomicBool::new(false));
    let audit = Arc::new(AuditTrail::default());
    let control = ControlContext {
        instance: settings.node.instance.clone(),
        incarnation,
        domain: settings.node.domain.clone(),
        opening: OpenContext {
            platform: settings.node.platform.clone(),
            control_addr: settings.node.control_addr,
            limits: settings.node.limits,
            clock: Arc::clone(&clock),
            audit: Arc::clone(&audit),
            token: token.clone(),
        },
        draining: Arc::clone(&draining),
        view: Arc::clone(&view),
    };
    let config = control::start(control).await?;
    let prefixes = Arc::new(SharedPrefixIndex::default());
    let (readiness, status) = operator_endpoints(&view, &config, &draining, &prefixes, &settings);
    operator_port::start(&settings.node, readiness, status, audit, token.clone())?;
    let client = AgentClient::new(LinkConfig::default())?;
    let seed = rand::random();
    let identity = EntryIdentity {
        instance: settings.node.instance.clone(),
        domain: settings.node.domain.clone(),
        address_lifetime: settings.address_lifetime,
    };
    let context = Context::new(identity, clock, client, view, prefixes, seed);
    let context = Arc::new(context);
    let callers = CallerConfig {
        max_body_bytes: settings.max_body_bytes,
        limits: settings.node.limits,
        ..CallerConfig::default()
    };
    let server = tokio::spawn(server::serve(
        settings.node.traffic_addr,
        callers,
        handler::new(Arc::clone(&context)),
        SystemClock::shared(),
        settings.node.grace,
        token.clone(),
    ));
    let instance = &settings.node.instance;
    log_event!(
        events::PROCESS_STARTED,
        "entry {instance} started, incarnation {incarnation}"
    );
    shutdown::wait_for_signal().await?;
    draining.store(true, Ordering::SeqCst);
    log_event!(events::PROCESS_DRAINING, "entry {instance} draining");
    drain(&context, &settings).await;
    token.cancel();
    server.await??;
    log_event!(events::PROCESS_STOPPED, "entry {instance} stopped");
    Ok(())
}

/// Returns the readiness check and the status document of the operator port.
fn operator_endpoints(
    view: &Arc<ArcSwap<View>>,
    config: &watch::Receiver<ConfigView>,
    draining: &Arc<AtomicBool>,
    prefixes: &Arc<SharedPrefixIndex>,
    settings: &Settings,
) -> (Readiness, Status) {
    let (ready_view, leaving) = (Arc::clone(view), Arc::clone(draining));
    let readiness = Arc::new(move || {
        if leaving.load(Ordering::SeqCst) {
            return Err("draining".to_owned());
        }
        let view = ready_view.load();
        if view.published.is_none() || view.permit.is_none() {
            return Err(format!("takes no new work: {}", view.authority_state));
        }
        match view.has_polled_agents {
            true => Ok(()),
            false => Err("waiting for the first heartbeats of the agents".to_owned()),
        }
    });
    let (view, config, draining) = (Arc::clone(view), config.clone(), Arc::clone(draining));
    let (instance, prefixes) = (settings.node.instance.clone(), Arc::clone(prefixes));
    let status = Arc::new(move || {
        let (view, config) = (view.load(), config.borrow().clone());
        let agents = view.agents.iter().map(|agent| {
            json!({
                "instance": agent.id,
                "service": agent.service,
                "state": format!("{:?}", agent.state),
                "incarnation": agent.incarnation,
                "prefixes": prefixes.prefix_count(&agent.id),
                "load": agent.local.newest_report(agent.report).map(|r| format!("{r:?}")),
            })
        });
        json!({
            "role": "entry",
            "instance": instance,
            "draining": draining.load(Ordering::SeqCst),
            "standing": view.authority_state,
            "takes_work": view.permit.is_some(),
            "config_index": config.index(),
            "config_refused": config.refused.map(|refusal| refusal.to_string()),
            "agents": agents.collect::<Vec<_>>(),
            "addresses": view.addresses,
        })
    });
    (readiness, status)
}

/// Keeps serving until callers' address answers have expired and no request is open, or until the
/// grace period ends.
async fn drain(context: &Context, settings: &Settings) {
    tokio::time::sleep(settings.address_lifetime + LEAVING_PROPAGATION).await;
    let idle = async {
        while context.open_requests.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(settings.node.grace, idle).await;
}
