//! The control thread: it alone owns the gate; traffic threads send it messages and read the
//! snapshot that it publishes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, thread, time::Duration};

use arc_swap::ArcSwap;
use jj_node::{
    control_port::GroupHandler,
    fleet::{self, Fleet, OpenContext, Own},
};
use jj_operator::{
    audit::{AuditTrail, Change},
    documents::{Limits, ServiceKind},
};
use jj_peer::control::LoadReport;
use jj_platform::{config_reader::ConfigView, live_list::LiveList, wire::Role};
use jj_policy::{
    admission::{
        Admission, AdmissionConfig, ColdCause, Finish, Offer, Refusal, RefusalReason, Released,
        ServerReport, Ticket, Waiting,
    },
    lost_calls::{LostCalls, LostCallsConfig},
    verdict::Verdict,
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    events,
    ids::{ClientAccountId, ConfigIndex, FailureDomainId, Incarnation, InstanceId, ServiceId},
};
use jsonrpsee::server::ServerHandle;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;

use crate::{attempts::Attempts, keys::Keys, lifecycle::Lifecycle};

/// Messages that may wait for the control thread.
const QUEUE: usize = 4096;

/// Interval of sweeping and publishing.
const TICK: Duration = Duration::from_millis(200);

/// Interval of looking at the queue while something waits.
const QUEUE_TICK: Duration = Duration::from_millis(20);

/// A request that asks for a place at the backend server.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whose share it uses.
    pub account: ClientAccountId,
    /// Weight of the account.
    pub weight: u32,
    /// Tokens that it takes in the engine's memory, at most.
    pub tokens: u32,
    /// When its whole answer is due.
    pub due: Timestamp,
    /// Cancelled when the request has to wait for its turn.
    pub queued: CancellationToken,
}

/// A request that got no place; nothing of it ran.
#[derive(Debug, Clone)]
pub struct Refused {
    /// Always "not run".
    pub verdict: Verdict,
    /// Why, for logs and callers.
    pub reason: &'static str,
    /// True when the server takes work of other client accounts.
    pub account_only: bool,
}

impl Refused {
    fn new(retry_after: Duration, reason: &'static str) -> Self {
        Self {
            verdict: Verdict::NotRun { retry_after },
            reason,
            account_only: false,
        }
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        let reason = match refusal.reason {
            RefusalReason::Draining => "agent is draining",
            RefusalReason::Deadline => "no place in time",
            RefusalReason::AccountFull => "too much of the client account waits",
            RefusalReason::QueueFull => "queue full",
        };
        Self {
            account_only: !refusal.reason.closes_server(),
            ..Self::new(refusal.retry_after, reason)
        }
    }
}

type Reply = oneshot::Sender<Result<Permit, Refused>>;

/// Message to the control thread.
#[derive(Debug)]
enum Message {
    Offer(Request, Reply),
    Answered(Ticket),
    Finished(Ticket, Finish),
    Report(ServerReport),
    Closed,
}

/// Permission to go to the backend server; gives its place back when dropped.
#[derive(Debug)]
pub struct Permit {
    control: Control,
    ticket: Ticket,
    finish: Finish,
    lost: CancellationToken,
}

/// Tells the control thread how the request of a permit goes on.
#[derive(Debug, Clone)]
pub struct Notes {
    control: Control,
    ticket: Ticket,
}

impl Notes {
    /// Notes the first byte of an answer.
    pub fn answered(&self) {
        let _ = self.control.notes.send(Message::Answered(self.ticket));
    }
}

impl Permit {
    /// Notes how the request has gone so far; without a note nothing was sent.
    pub fn note(&mut self, finish: Finish) {
        self.finish = finish;
    }

    /// For the part of the request that outlives the permit.
    pub fn notes(&self) -> Notes {
        Notes {
            control: self.control.clone(),
            ticket: self.ticket,
        }
    }

    /// Cancelled when the backend server does not work on the request any more, though no answer
    /// has come.
    pub fn lost(&self) -> CancellationToken {
        self.lost.clone()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let message = Message::Finished(self.ticket, self.finish);
        // The channel is unbounded for notes: a lost one would take a place for good.
        let _ = self.control.notes.send(message);
    }
}

/// Handle to the control thread.
#[derive(Debug, Clone)]
pub struct Control {
    offers: mpsc::Sender<Message>,
    notes: mpsc::UnboundedSender<Message>,
    load: Arc<ArcSwap<LoadReport>>,
}

impl Control {
    /// Asks for a place at the backend server; waits in the gate's queue when need be.
    ///
    /// # Errors
    /// When there is no place.
    pub async fn admit(&self, request: Request) -> Result<Permit, Refused> {
        let (reply, answer) = oneshot::channel();
        let refused = Refused::new(TICK, "too many requests arrive");
        self.offers
            .try_send(Message::Offer(request, reply))
            .map_err(|_| refused.clone())?;
        answer.await.map_err(|_| refused)?
    }

    /// Passes on what the backend server says of itself.
    pub fn report(&self, report: ServerReport) {
        let _ = self.notes.send(Message::Report(report));
    }

    /// Passes on that the backend server closed an idle connection.
    pub fn closed(&self) {
        let _ = self.notes.send(Message::Closed);
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
    /// Kind of its backend server.
    pub kind: ServiceKind,
    /// Base URL of the platform.
    pub platform: String,
    /// Where control calls arrive.
    pub control_addr: SocketAddr,
    /// Attempts to sweep.
    pub attempts: Arc<Attempts>,
    /// Keys to sweep.
    pub keys: Arc<Keys>,
    /// Whether new work is taken.
    pub lifecycle: Arc<Lifecycle>,
    /// Requests of a group's leader, when this agent is a rank's.
    pub group: Option<GroupHandler>,
    /// Changes made here, for operators.
    pub audit: Arc<AuditTrail>,
    /// Time.
    pub clock: SharedClock,
    /// Ends the thread.
    pub token: CancellationToken,
}

/// What other threads get of the control thread.
pub struct Started {
    /// Handle to it.
    pub control: Control,
    /// Follows the configuration.
    pub config: watch::Receiver<ConfigView>,
    /// Follows the live list.
    pub list: watch::Receiver<LiveList>,
}

/// Starts the control thread; returns once its port is open.
///
/// # Errors
/// When the thread can't be started or the port can't be bound.
pub async fn start(context: ControlContext, config: AdmissionConfig) -> anyhow::Result<Started> {
    let (offers, offered) = mpsc::channel(QUEUE);
    let (notes, noted) = mpsc::unbounded_channel();
    let load = Arc::new(ArcSwap::from_pointee(LoadReport::default()));
    let control = Control {
        offers,
        notes,
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
                let _ = started.send(Ok((fleet.config(), fleet.watch_list())));
                State::new(context, control, config, fleet)
                    .run(offered, noted)
                    .await;
                let _ = port.stop();
            });
        })?;
    let (config, list) = result.await??;
    Ok(Started {
        control: handle,
        config,
        list,
    })
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
        group: context.group.clone(),
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

/// A request at the backend server.
struct Begun {
    at: Timestamp,
    lost: CancellationToken,
}

struct State {
    context: ControlContext,
    fleet: Fleet,
    config: AdmissionConfig,
    gate: Admission,
    control: Control,
    replies: BTreeMap<Ticket, Reply>,
    /// Requests at the backend server that have no answer yet.
    begun: FastMap<Ticket, Begun>,
    lost_calls: LostCalls,
    next_ticket: Ticket,
    latency: Duration,
    index: ConfigIndex,
}

impl State {
    fn new(
        context: ControlContext,
        control: Control,
        config: AdmissionConfig,
        fleet: Fleet,
    ) -> Self {
        let gate = Admission::new(config, context.clock.now());
        Self {
            context,
            fleet,
            config,
            gate,
            control,
            replies: BTreeMap::new(),
            begun: FastMap::default(),
            lost_calls: LostCalls::new(LostCallsConfig::default()),
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
            self.config = with_limits(self.config, &service.limits);
            self.gate.configure(self.config);
        }
    }

    async fn run(
        mut self,
        mut offered: mpsc::Receiver<Message>,
        mut noted: mpsc::UnboundedReceiver<Message>,
    ) {
        let token = self.context.token.clone();
        let mut tick = tokio::time::interval(TICK);
        let mut queue_tick = tokio::time::interval(QUEUE_TICK);
        queue_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = token.cancelled() => return,
                Some(message) = noted.recv() => self.handle(message),
                Some(message) = offered.recv() => self.handle(message),
                () = self.fleet.step() => {}
                _ = queue_tick.tick(), if !self.replies.is_empty() => self.advance(),
                _ = tick.tick() => self.sweep(),
            }
            self.refresh();
            self.note_change();
            self.publish();
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Offer(request, reply) => self.offer(now, request, reply),
            Message::Answered(ticket) => self.answered(now, ticket),
            Message::Finished(ticket, finish) => {
                self.begun.remove(&ticket);
                let released = self.gate.finished(now, ticket, finish);
                self.release(released);
            }
            Message::Closed => self.gate.suspect(now),
            Message::Report(report) => {
                self.signal_lost(&report);
                let released = self.gate.observe(now, &report);
                self.release(released);
            }
        }
    }

    fn offer(&mut self, now: Timestamp, request: Request, reply: Reply) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let queued = request.queued;
        let waiting = Waiting {
            ticket,
            account: request.account,
            weight: request.weight,
            deadline: request.due,
            cost: 1,
            tokens: request.tokens,
        };
        match self.gate.offer(now, waiting) {
            Offer::Start => self.permit(ticket, reply),
            Offer::Queued(displaced) => {
                queued.cancel();
                self.replies.insert(ticket, reply);
                displaced.into_iter().for_each(|it| self.refuse(it));
            }
            Offer::Refused(refusal) => {
                let _ = reply.send(Err(refusal.into()));
            }
        }
    }

    fn answered(&mut self, now: Timestamp, ticket: Ticket) {
        self.gate.answered(now, ticket);
        self.lost_calls.answered(now, ticket);
        let Some(begun) = self.begun.remove(&ticket) else {
            // Its call counted as lost.
            self.lost_calls.doubt(now);
            return;
        };
        self.latency = (self.latency * 7 + now.saturating_sub(begun.at)) / 8;
    }

    /// Tells the holders of permits whose calls are lost. An engine's streams have time limits of
    /// their own, and its reports lag.
    fn signal_lost(&mut self, report: &ServerReport) {
        if self.context.kind == ServiceKind::Model {
            return;
        }
        let open = self.begun.iter().map(|(ticket, begun)| (*ticket, begun.at));
        for ticket in self.lost_calls.report(report, open) {
            if let Some(begun) = self.begun.remove(&ticket) {
                begun.lost.cancel();
            }
        }
    }

    /// Refuses what can't be answered in time any more, and takes out what nobody waits for.
    fn advance(&mut self) {
        let gate = &mut self.gate;
        self.replies
            .retain(|ticket, reply| !(reply.is_closed() && gate.cancel(*ticket)));
        let released = gate.advance(self.context.clock.now());
        self.release(released);
    }

    fn release(&mut self, released: Released) {
        released.refused.into_iter().for_each(|it| self.refuse(it));
        for ticket in released.started {
            if let Some(reply) = self.replies.remove(&ticket) {
                self.permit(ticket, reply);
            }
        }
    }

    fn refuse(&mut self, refusal: Refusal) {
        if let Some(reply) = self.replies.remove(&refusal.ticket) {
            let _ = reply.send(Err(refusal.into()));
        }
    }

    /// Sends a permit; dropped on the way, it comes back as a finish.
    fn permit(&mut self, ticket: Ticket, reply: Reply) {
        let begun = Begun {
            at: self.context.clock.now(),
            lost: CancellationToken::new(),
        };
        let permit = Permit {
            control: self.control.clone(),
            ticket,
            finish: Finish::Unsent,
            lost: begun.lost.clone(),
        };
        self.begun.insert(ticket, begun);
        let _ = reply.send(Ok(permit));
    }

    fn sweep(&self) {
        self.context.attempts.sweep(self.context.clock.now());
        self.context.keys.sweep();
    }

    fn note_change(&mut self) {
        let Some(change) = self.gate.take_change() else {
            return;
        };
        let event = match change.cause {
            Some(_) => events::LIMIT_TO_FLOOR,
            None => events::SERVER_WARM,
        };
        let reason = match change.cause {
            Some(ColdCause::Restarted) => "backend server restarted",
            Some(ColdCause::Reported) => "backend server reports that it is cold",
            Some(ColdCause::Resets) => "connections to the backend server broke",
            Some(ColdCause::Latency) => "latency of the backend server jumped",
            None => "backend server is warm",
        };
        let recorded = Change {
            subject: format!("limit of {}", self.context.instance),
            from: change.from.to_string(),
            to: change.to.to_string(),
            reason: reason.to_owned(),
            index: self.index,
        };
        self.context.audit.record(event, recorded);
    }

    fn publish(&self) {
        let seen = self.gate.snapshot(self.context.clock.now());
        let report = LoadReport {
            limit: seen.limit,
            running: seen.in_flight + seen.orphans,
            waiting: seen.queued,
            latency: u64::try_from(self.latency.as_micros()).unwrap_or(u64::MAX),
            reachable: true,
            leaving: false,
        };
        self.control.load.store(Arc::new(report));
    }
}

/// The declared limits of a service in place of those from the settings.
fn with_limits(mut config: AdmissionConfig, limits: &Limits) -> AdmissionConfig {
    config.limit.cold_floor = limits.cold_floor;
    config.limit.concurrency = limits.concurrency;
    config.tokens = limits.tokens;
    config.queue.queue_limit = limits.queue;
    config.queue.account_limit = limits.queue.div_ceil(2);
    config
}
