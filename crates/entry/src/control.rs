//! The control thread of an entry: it alone keeps the state of the fleet, and publishes a view.

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
use futures_util::{StreamExt, stream::FuturesUnordered};
use jj_node::{
    control_client::ControlClients,
    control_port::{self, ControlPort, Exchange},
    follower::{self, FollowContext, Follower},
};
use jj_peer::control::{ControlClient, Heartbeat};
use jj_platform::{
    config_reader::ConfigView,
    wire::{Instance, InstanceList, Role},
};
use jj_policy::{membership::MemberState, routing::LoadReport};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    events,
    ids::{FailureDomainId, Incarnation, InstanceId},
    log_event,
};
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::view::{Agent, Local, RemoteClock, View};

/// Interval between heartbeats to one agent.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Silence after which an agent is suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(1500);

/// Silence after which an agent takes no work.
const GONE_AFTER: Duration = Duration::from_secs(4);

/// One-way time to another failure domain.
const DOMAIN_DISTANCE: Duration = Duration::from_micros(1500);

/// What the control thread needs.
#[derive(Clone)]
pub struct ControlContext {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Base URL of the platform.
    pub platform: String,
    /// Where control calls arrive.
    pub control_addr: SocketAddr,
    /// Time.
    pub clock: SharedClock,
    /// Set once the process is leaving.
    pub draining: Arc<AtomicBool>,
    /// Where the view is published.
    pub view: Arc<ArcSwap<View>>,
    /// Ends the thread.
    pub token: CancellationToken,
}

/// Starts the control thread; returns once its port is open.
///
/// # Errors
/// When the thread can't be started or the port can't be bound.
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
    let follower = match follow(&context) {
        Ok(follower) => follower,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    let port = ControlPort {
        exchange: exchange(&context, &follower),
        config: follower.config.clone(),
    };
    let handle = match control_port::serve(context.control_addr, port).await {
        Ok(handle) => handle,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(follower.config.clone()));
    State::new(context, follower).run().await;
    let _ = handle.stop();
}

fn follow(context: &ControlContext) -> anyhow::Result<Follower> {
    follower::start(FollowContext {
        platform: context.platform.clone(),
        instance: context.instance.clone(),
        clock: Arc::clone(&context.clock),
        seed: context.incarnation,
        token: context.token.clone(),
    })
}

fn exchange(context: &ControlContext, follower: &Follower) -> Exchange {
    let (context, follower) = (context.clone(), follower.clone());
    Arc::new(move |from| {
        follower.note_index(from.index);
        own_heartbeat(&context, &follower)
    })
}

fn own_heartbeat(context: &ControlContext, follower: &Follower) -> Heartbeat {
    let now = context.clock.now();
    let config = follower.config.borrow();
    let age = config
        .reached
        .map(|reached| now.saturating_sub(reached).as_millis());
    Heartbeat {
        instance: context.instance.clone(),
        incarnation: context.incarnation,
        domain: context.domain.clone(),
        index: config.index(),
        platform_age: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        clock: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
        draining: context.draining.load(Ordering::SeqCst),
        ..Heartbeat::default()
    }
}

/// An agent as last heard.
struct Known {
    heartbeat: Option<Heartbeat>,
    heard: Timestamp,
    state: MemberState,
    local: Arc<Local>,
}

impl Known {
    fn new() -> Self {
        let local = Arc::default();
        Self {
            heartbeat: None,
            heard: Duration::ZERO,
            state: MemberState::Unknown,
            local,
        }
    }

    fn state(&self, now: Timestamp, leaving: bool) -> MemberState {
        let Some(heartbeat) = &self.heartbeat else {
            return MemberState::Unknown;
        };
        if leaving || heartbeat.draining {
            return MemberState::Leaving;
        }
        match now.saturating_sub(self.heard) {
            silence if silence < SUSPECT_AFTER => MemberState::Live,
            silence if silence < GONE_AFTER => MemberState::Suspect,
            _ => MemberState::Gone,
        }
    }
}

struct State {
    context: ControlContext,
    follower: Follower,
    clients: ControlClients,
    agents: FastMap<InstanceId, Known>,
}

impl State {
    fn new(context: ControlContext, follower: Follower) -> Self {
        let clients = ControlClients::default();
        Self {
            context,
            follower,
            clients,
            agents: FastMap::default(),
        }
    }

    async fn run(mut self) {
        let token = self.context.token.clone();
        let mut tick = tokio::time::interval(HEARTBEAT);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                _ = tick.tick() => self.beat().await,
                Ok(()) = self.follower.config.changed() => {}
                Ok(()) = self.follower.list.changed() => self.beat().await,
            }
            self.publish();
        }
    }

    /// Exchanges one heartbeat with every agent.
    async fn beat(&mut self) {
        let list = Arc::clone(&self.follower.list.borrow().list);
        self.clients
            .keep(|addr| list.instances.iter().any(|i| i.control == *addr));
        let own = own_heartbeat(&self.context, &self.follower);
        let mut calls = FuturesUnordered::new();
        for agent in list.instances.iter().filter(|i| i.role == Role::Agent) {
            let Ok(client) = self.clients.get(agent.control) else {
                continue;
            };
            let (id, own) = (agent.id.clone(), own.clone());
            calls.push(async move { (id, client.heartbeat(own).await) });
        }
        while let Some((id, answer)) = calls.next().await {
            let known = self.agents.entry(id).or_insert_with(Known::new);
            if let Ok(heartbeat) = answer {
                self.follower.note_index(heartbeat.index);
                known.heard = self.context.clock.now();
                known.heartbeat = Some(heartbeat);
            }
        }
        self.agents
            .retain(|id, _| list.instances.iter().any(|i| i.id == *id));
    }

    fn publish(&mut self) {
        let now = self.context.clock.now();
        let list = Arc::clone(&self.follower.list.borrow().list);
        let published = self.follower.config.borrow().published.clone();
        let refusal = match &published {
            None => Some("no configuration yet"),
            Some(_) => None,
        };
        let listed = list.instances.iter().filter(|i| i.role == Role::Agent);
        let mut agents: Vec<Agent> = listed.filter_map(|i| self.agent(i, now)).collect();
        agents.sort_by(|a, b| a.id.cmp(&b.id));
        let addresses = addresses(&list);
        self.context.view.store(Arc::new(View {
            published,
            agents,
            addresses,
            refusal,
        }));
    }

    fn agent(&mut self, listed: &Instance, now: Timestamp) -> Option<Agent> {
        let known = self.agents.get_mut(&listed.id)?;
        let state = known.state(now, listed.leaving);
        if state != known.state {
            let (id, from) = (&listed.id, known.state);
            log_event!(events::MEMBER_CHANGED, "agent {id}: {from:?} to {state:?}");
            known.state = state;
        }
        let heartbeat = known.heartbeat.as_ref()?;
        let same_domain = listed.domain == self.context.domain;
        Some(Agent {
            id: listed.id.clone(),
            service: listed.service.clone(),
            domain: listed.domain.clone(),
            traffic: listed.traffic,
            incarnation: heartbeat.incarnation,
            state,
            distance: if same_domain {
                Duration::ZERO
            } else {
                DOMAIN_DISTANCE
            },
            report: report(heartbeat, known.heard),
            clock: RemoteClock {
                shown: Duration::from_micros(heartbeat.clock),
                heard: known.heard,
            },
            local: Arc::clone(&known.local),
        })
    }
}

fn report(heartbeat: &Heartbeat, at: Timestamp) -> Option<LoadReport> {
    let load = heartbeat.load.as_ref()?;
    Some(LoadReport {
        in_flight: load.running,
        queued: load.waiting,
        limit: load.limit,
        service: Duration::from_micros(load.latency),
        at,
    })
}

/// Entries that callers may use: those not leaving.
fn addresses(list: &InstanceList) -> Vec<SocketAddr> {
    let entries = list
        .instances
        .iter()
        .filter(|i| i.role == Role::Entry && !i.leaving);
    entries.map(|entry| entry.traffic).collect()
}
