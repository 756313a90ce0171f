//! The control thread: it alone owns the gate; traffic threads send it messages and read the
//! snapshot that it publishes.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use arc_swap::ArcSwap;
use jj_node::{
    control_port::{self, ControlPort},
    follower::{self, FollowContext, Follower},
};
use jj_operator::documents::DomainState;
use jj_peer::control::{Heartbeat, LoadReport};
use jj_policy::verdict::Verdict;
use jj_utils::{
    clock::SharedClock,
    collections::FastMap,
    ids::{FailureDomainId, Incarnation, InstanceId, ServiceId},
};
use jsonrpsee::server::ServerHandle;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    attempts::Attempts,
    gate::{Gate, Offer, Ticket},
    lifecycle::Lifecycle,
};

/// Messages that may wait for the control thread.
const QUEUE: usize = 4096;

/// Interval of sweeping and publishing.
const TICK: Duration = Duration::from_millis(200);

/// Message to the control thread.
#[derive(Debug)]
enum Message {
    Offer(oneshot::Sender<Result<Permit, Verdict>>),
    Finished { ok: bool, latency: Duration },
}

/// Permission to go to the backend server; gives its place back when dropped.
#[derive(Debug)]
pub struct Permit {
    control: Control,
    finish: Option<Finish>,
}

#[derive(Debug, Clone, Copy)]
struct Finish {
    ok: bool,
    latency: Duration,
}

impl Permit {
    /// Notes how the request went; without a note it counts as a success that took no time.
    pub fn note(&mut self, ok: bool, latency: Duration) {
        self.finish = Some(Finish { ok, latency });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Finish { ok, latency } = self.finish.unwrap_or(Finish {
            ok: true,
            latency: Duration::ZERO,
        });
        let message = Message::Finished { ok, latency };
        // The channel is unbounded for finishes: a lost one would take a place for good.
        let _ = self.control.finishes.send(message);
    }
}

/// Handle to the control thread.
#[derive(Debug, Clone)]
pub struct Control {
    offers: mpsc::Sender<Message>,
    finishes: mpsc::UnboundedSender<Message>,
    load: Arc<ArcSwap<LoadReport>>,
}

impl Control {
    /// Asks for a place at the backend server; waits in the gate's queue when need be.
    ///
    /// # Errors
    /// `NotRun` when there is no place.
    pub async fn admit(&self) -> Result<Permit, Verdict> {
        let (reply, answer) = oneshot::channel();
        let not_run = Verdict::NotRun { retry_after: TICK };
        self.offers
            .try_send(Message::Offer(reply))
            .map_err(|_| not_run)?;
        answer.await.map_err(|_| not_run)?
    }

    /// Load as the control thread published it last.
    pub fn load(&self) -> Arc<LoadReport> {
        self.load.load_full()
    }
}

/// What the control thread needs.
#[derive(Clone)]
pub struct ControlContext {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Life of this agent.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Service of its backend server.
    pub service: ServiceId,
    /// Base URL of the platform.
    pub platform: String,
    /// Where control calls arrive.
    pub control_addr: SocketAddr,
    /// Attempts to sweep.
    pub attempts: Arc<Attempts>,
    /// Whether new work is taken.
    pub lifecycle: Arc<Lifecycle>,
    /// Time.
    pub clock: SharedClock,
    /// Ends the thread.
    pub token: CancellationToken,
}

/// Starts the control thread; returns once its port is open.
///
/// # Errors
/// When the thread can't be started or the port can't be bound.
pub async fn start(context: ControlContext, gate: Gate) -> anyhow::Result<Control> {
    let (offers, offered) = mpsc::channel(QUEUE);
    let (finishes, finished) = mpsc::unbounded_channel();
    let load = Arc::new(ArcSwap::from_pointee(LoadReport::default()));
    let control = Control {
        offers,
        finishes,
        load,
    };
    let handle = control.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (started, result) = oneshot::channel();
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            runtime.block_on(async {
                let opened = open_port(&context, &control).await;
                let (port, follower) = match opened {
                    Ok(opened) => opened,
                    Err(error) => {
                        let _ = started.send(Err(error));
                        return;
                    }
                };
                let _ = started.send(Ok(()));
                State::new(context, control, gate, follower)
                    .run(offered, finished)
                    .await;
                let _ = port.stop();
            });
        })?;
    result.await??;
    Ok(handle)
}

async fn open_port(
    context: &ControlContext,
    control: &Control,
) -> anyhow::Result<(ServerHandle, Follower)> {
    let follower = follower::start(FollowContext {
        platform: context.platform.clone(),
        instance: context.instance.clone(),
        clock: Arc::clone(&context.clock),
        seed: context.incarnation,
        token: context.token.clone(),
    })?;
    let (own, control, heard) = (context.clone(), control.clone(), follower.clone());
    let exchange = Arc::new(move |from: Heartbeat| {
        heard.note_index(from.index);
        own_heartbeat(&own, &control, &heard)
    });
    let port = ControlPort {
        exchange,
        config: follower.config.clone(),
    };
    Ok((
        control_port::serve(context.control_addr, port).await?,
        follower,
    ))
}

fn own_heartbeat(context: &ControlContext, control: &Control, follower: &Follower) -> Heartbeat {
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
        draining: context.lifecycle.refusal().is_some(),
        load: Some((*control.load()).clone()),
        ..Heartbeat::default()
    }
}

struct State {
    context: ControlContext,
    follower: Follower,
    gate: Gate,
    control: Control,
    replies: FastMap<Ticket, oneshot::Sender<Result<Permit, Verdict>>>,
    next_ticket: Ticket,
    latency: Duration,
}

impl State {
    fn new(context: ControlContext, control: Control, gate: Gate, follower: Follower) -> Self {
        Self {
            context,
            follower,
            gate,
            control,
            replies: FastMap::default(),
            next_ticket: 0,
            latency: Duration::ZERO,
        }
    }

    /// Puts a new configuration in force.
    fn configure(&mut self) {
        let config = self.follower.config.borrow_and_update();
        let Some(published) = &config.published else {
            return;
        };
        let state = published.fleet.domains.get(&self.context.domain);
        let withdrawn = state == Some(&DomainState::Withdrawn);
        self.context.lifecycle.set_withdrawn(withdrawn);
        if let Some(service) = published.services.get(&self.context.service) {
            let limits = &service.limits;
            self.gate
                .configure(limits.cold_floor, limits.concurrency, limits.queue as usize);
        }
    }

    async fn run(
        mut self,
        mut offered: mpsc::Receiver<Message>,
        mut finished: mpsc::UnboundedReceiver<Message>,
    ) {
        let token = self.context.token.clone();
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                biased;
                () = token.cancelled() => return,
                Some(message) = finished.recv() => self.handle(message),
                Some(message) = offered.recv() => self.handle(message),
                Ok(()) = self.follower.config.changed() => self.configure(),
                _ = tick.tick() => self.context.attempts.sweep(self.context.clock.now()),
            }
            self.publish();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Offer(reply) => self.offer(reply),
            Message::Finished { ok, latency } => self.finished(ok, latency),
        }
    }

    fn offer(&mut self, reply: oneshot::Sender<Result<Permit, Verdict>>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        match self.gate.offer(self.context.clock.now(), ticket) {
            Offer::Start => self.permit(reply),
            Offer::Queued => {
                self.replies.insert(ticket, reply);
            }
            Offer::Refused { retry_after } => {
                let _ = reply.send(Err(Verdict::NotRun { retry_after }));
            }
        }
    }

    fn finished(&mut self, ok: bool, latency: Duration) {
        self.latency = (self.latency * 7 + latency) / 8;
        for ticket in self.gate.finished(self.context.clock.now(), ok) {
            if let Some(reply) = self.replies.remove(&ticket) {
                self.permit(reply);
            }
        }
    }

    /// Sends a permit; dropped on the way, it comes back as a finish.
    fn permit(&self, reply: oneshot::Sender<Result<Permit, Verdict>>) {
        let permit = Permit {
            control: self.control.clone(),
            finish: None,
        };
        let _ = reply.send(Ok(permit));
    }

    fn publish(&self) {
        let report = LoadReport {
            limit: self.gate.limit(),
            running: self.gate.running(),
            waiting: self.gate.waiting(),
            latency: u64::try_from(self.latency.as_micros()).unwrap_or(u64::MAX),
            reachable: true,
        };
        self.control.load.store(Arc::new(report));
    }
}
