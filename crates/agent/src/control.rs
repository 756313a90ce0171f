//! The control thread: it alone owns the gate; traffic threads send it messages and read the
//! snapshot that it publishes.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use arc_swap::ArcSwap;
use jj_node::fleet::{self, Fleet, OpenContext, Own};
use jj_operator::audit::AuditTrail;
use jj_peer::control::LoadReport;
use jj_platform::{config_reader::ConfigView, wire::Role};
use jj_policy::verdict::Verdict;
use jj_utils::{
    clock::SharedClock,
    collections::FastMap,
    ids::{ConfigIndex, FailureDomainId, Incarnation, InstanceId, ServiceId},
};
use jsonrpsee::server::ServerHandle;
use tokio::sync::{mpsc, oneshot, watch};
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
    /// Changes made here, for operators.
    pub audit: Arc<AuditTrail>,
    /// Time.
    pub clock: SharedClock,
    /// Ends the thread.
    pub token: CancellationToken,
}

/// Starts the control thread; returns once its port is open.
///
/// # Errors
/// When the thread can't be started or the port can't be bound.
pub async fn start(
    context: ControlContext,
    gate: Gate,
) -> anyhow::Result<(Control, watch::Receiver<ConfigView>)> {
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
                let opened = open(&context, &control).await;
                let (fleet, port) = match opened {
                    Ok(opened) => opened,
                    Err(error) => {
                        let _ = started.send(Err(error));
                        return;
                    }
                };
                let _ = started.send(Ok(fleet.config()));
                State::new(context, control, gate, fleet)
                    .run(offered, finished)
                    .await;
                let _ = port.stop();
            });
        })?;
    let config = result.await??;
    Ok((handle, config))
}

async fn open(
    context: &ControlContext,
    control: &Control,
) -> anyhow::Result<(Fleet, ServerHandle)> {
    let (load, lifecycle) = (control.clone(), Arc::clone(&context.lifecycle));
    let own = Own {
        instance: context.instance.clone(),
        incarnation: context.incarnation,
        domain: context.domain.clone(),
        role: Role::Agent,
        load: Box::new(move || Some((*load.load()).clone())),
        draining: Box::new(move || lifecycle.is_draining()),
    };
    let opening = OpenContext {
        platform: context.platform.clone(),
        control_addr: context.control_addr,
        clock: Arc::clone(&context.clock),
        audit: Arc::clone(&context.audit),
        token: context.token.clone(),
    };
    fleet::open(opening, own).await
}

struct State {
    context: ControlContext,
    fleet: Fleet,
    gate: Gate,
    control: Control,
    replies: FastMap<Ticket, oneshot::Sender<Result<Permit, Verdict>>>,
    next_ticket: Ticket,
    latency: Duration,
    index: ConfigIndex,
}

impl State {
    fn new(context: ControlContext, control: Control, gate: Gate, fleet: Fleet) -> Self {
        Self {
            context,
            fleet,
            gate,
            control,
            replies: FastMap::default(),
            next_ticket: 0,
            latency: Duration::ZERO,
            index: 0,
        }
    }

    /// Puts the newest configuration and the leave to take new work in force.
    fn refresh(&mut self) {
        let lifecycle = &self.context.lifecycle;
        lifecycle.set_withdrawn(self.fleet.is_withdrawn());
        lifecycle.set_permit(self.fleet.permit());
        let Some(published) = self.fleet.published() else {
            return;
        };
        if published.index == self.index {
            return;
        }
        self.index = published.index;
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
                () = self.fleet.step() => {}
                _ = tick.tick() => self.context.attempts.sweep(self.context.clock.now()),
            }
            self.refresh();
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
