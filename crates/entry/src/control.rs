//! The control thread of an entry: tracks the state of the fleet and publishes it as a [`View`].

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use arc_swap::ArcSwap;
use jj_node::fleet::{self, Fleet, LastHeartbeat, LocalProcess, OpenContext};
use jj_platform::{
    config_reader::ConfigView,
    wire::{Instance, InstanceList, Role},
};
use jj_policy::{
    addresses::{self, AddressConfig},
    authority::WorkPermit,
    routing::LoadReport,
    subset::Node,
};
use jj_utils::{
    collections::FastMap,
    ids::{FailureDomainId, Incarnation, InstanceId},
};
use jsonrpsee::server::ServerHandle;
use tokio::sync::{oneshot, watch};

use crate::view::{self, Agent, LocalAgentState, RemoteClock, View};

/// Longest time between two published views: permits and evidence age without events.
const MAX_VIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Number of caller groups; each gets its own list of entry addresses.
pub const CALLER_GROUPS: u64 = 16;

/// One-way network delay assumed to another failure domain.
const CROSS_DOMAIN_DELAY: Duration = Duration::from_micros(1500);

/// Inputs of the control thread.
#[derive(Clone)]
pub struct ControlContext {
    /// Instance name.
    pub instance: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Failure domain of this instance.
    pub domain: FailureDomainId,
    /// Platform, clock, audit trail and cancellation token.
    pub opening: OpenContext,
    /// Set once the process is draining.
    pub draining: Arc<AtomicBool>,
    /// Cell to which the view is published.
    pub view: Arc<ArcSwap<View>>,
}

/// Starts the control thread; returns the configuration once the control port is open.
///
/// # Errors
/// If the thread can't be started or the port can't be bound.
pub async fn start(context: ControlContext) -> anyhow::Result<watch::Receiver<ConfigView>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (started, result) = oneshot::channel();
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            runtime.block_on(run(context, started));
        })?;
    result.await?
}

async fn run(
    context: ControlContext,
    started: oneshot::Sender<anyhow::Result<watch::Receiver<ConfigView>>>,
) {
    let (fleet, port) = match open(&context).await {
        Ok(opened) => opened,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(fleet.config()));
    ControlLoop {
        context,
        fleet,
        locals: FastMap::default(),
    }
    .run()
    .await;
    let _ = port.stop();
}

async fn open(context: &ControlContext) -> anyhow::Result<(Fleet, ServerHandle)> {
    let draining = Arc::clone(&context.draining);
    let own = LocalProcess {
        instance: context.instance.clone(),
        incarnation: context.incarnation,
        domain: context.domain.clone(),
        role: Role::Entry,
        load: Box::new(|| None),
        draining: Box::new(move || draining.load(Ordering::SeqCst)),
        group: None,
    };
    fleet::open(context.opening.clone(), own).await
}

struct ControlLoop {
    context: ControlContext,
    fleet: Fleet,
    locals: FastMap<InstanceId, Arc<LocalAgentState>>,
}

impl ControlLoop {
    async fn run(mut self) {
        let token = self.context.opening.token.clone();
        let mut refresh = tokio::time::interval(MAX_VIEW_INTERVAL);
        let mut config = self.fleet.config();
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                () = self.fleet.step() => continue,
                Ok(()) = config.changed() => {}
                _ = refresh.tick() => {}
            }
            self.report_connect_failures();
            self.publish();
        }
    }

    /// Reports connections that traffic threads could not open to membership.
    fn report_connect_failures(&mut self) {
        for (id, local) in &self.locals {
            if let Some(incarnation) = local.take_connect_failure() {
                self.fleet.record_connect_failure(id, incarnation);
            }
        }
    }

    fn publish(&mut self) {
        let list = self.fleet.list();
        self.locals
            .retain(|id, _| list.instances.iter().any(|i| i.id == *id));
        let listed = list.instances.iter().filter(|i| i.role == Role::Agent);
        let agents = listed.filter_map(|i| self.agent(i));
        let mut agents: Vec<Arc<Agent>> = agents.map(Arc::new).collect();
        agents.sort_by(|a, b| a.id.cmp(&b.id));
        let coverage = self.fleet.coverage();
        let states = coverage.entries.iter().map(|i| self.fleet.state(&i.id));
        let view = View {
            published: self.fleet.published(),
            agents,
            addresses: self.addresses(&list),
            entry_states: states.collect(),
            coverage,
            total_weight: self.total_weight(),
            permit: self.permit(),
            authority_state: format!("{:?}", self.fleet.authority_state()),
            has_polled_agents: self.fleet.has_polled_peers(),
        };
        self.context.view.store(Arc::new(view));
    }

    fn total_weight(&self) -> u64 {
        let Some(published) = self.fleet.published() else {
            return 0;
        };
        let accounts = published.fleet.accounts.values();
        accounts.map(|account| u64::from(account.weight)).sum()
    }

    /// Returns the permit to take new work; `None` in a withdrawn failure domain.
    fn permit(&self) -> Option<WorkPermit> {
        if self.fleet.is_withdrawn() {
            return None;
        }
        self.fleet.work_permit()
    }

    fn agent(&mut self, listed: &Instance) -> Option<Agent> {
        let state = self.fleet.state(&listed.id);
        let last = self.fleet.last_heartbeat(&listed.id)?;
        let local = self.locals.entry(listed.id.clone()).or_default();
        let same_domain = listed.domain == self.context.domain;
        Some(Agent {
            id: listed.id.clone(),
            service: listed.service.clone(),
            domain: listed.domain.clone(),
            traffic: listed.traffic,
            incarnation: last.heartbeat.incarnation,
            state,
            one_way_delay: if same_domain {
                Duration::ZERO
            } else {
                CROSS_DOMAIN_DELAY
            },
            report: load_report(last),
            clock: RemoteClock {
                reading: Duration::from_micros(last.heartbeat.clock),
                received_at: last.received_at,
            },
            local: Arc::clone(local),
        })
    }

    /// Returns the entry addresses for each caller group.
    fn addresses(&self, list: &InstanceList) -> Vec<Vec<SocketAddr>> {
        let config = AddressConfig::default();
        let entries = list.instances.iter().filter(|i| i.role == Role::Entry);
        let entries: Vec<&Instance> = entries.collect();
        let nodes = entries.iter().map(|i| Node {
            id: &i.id,
            domain: &i.domain,
        });
        let nodes: Vec<Node<'_>> = nodes.collect();
        let now = self.context.opening.clock.now();
        let traffic = |id: &InstanceId| entries.iter().find(|i| i.id == *id).map(|i| i.traffic);
        let addresses_of_group = |group: u64| {
            let answer = addresses::answer_for_any_service(
                &config,
                self.fleet.membership(),
                &nodes,
                group,
                now,
            );
            answer.entries.iter().filter_map(traffic).collect()
        };
        (0..CALLER_GROUPS).map(addresses_of_group).collect()
    }
}

fn load_report(last: &LastHeartbeat) -> Option<LoadReport> {
    let load = last.heartbeat.load.as_ref()?;
    Some(view::routing_report(load, last.requested_at))
}
