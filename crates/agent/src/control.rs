//! The control thread: it alone owns the gate; traffic threads send it messages and read the
//! snapshot that it publishes.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use jj_node::{
    control_port::GroupHandler,
    fleet::{self, Fleet, OpenContext, Own},
};
use jj_operator::{
    audit::Change,
    documents::{Limits, ServiceKind},
};
use jj_peer::control::LoadReport;
use jj_platform::{config_reader::ConfigView, live_list::LiveList, wire::Role};
use jj_policy::{
    admission::{
        Admission, AdmissionConfig, AdmissionDecision, AdmissionRequest, ColdCause, Dequeued,
        Refusal, ServerReport, Ticket,
    },
    lost_calls::{LostCallConfig, LostCallDetector},
};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    events,
    ids::{ConfigIndex, FailureDomainId, Incarnation, InstanceId, ServiceId},
};
use jsonrpsee::server::ServerHandle;
use tokio::{
    sync::{oneshot, watch},
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;

use crate::{
    attempts::Attempts,
    keys::Keys,
    lifecycle::Lifecycle,
    permit::{Control, Inbox, Message, Permit, Reply, Request},
};

/// Most messages handled between two looks at the fleet.
const BATCH: usize = 64;

/// Interval of sweeping and publishing.
const TICK: Duration = Duration::from_millis(200);

/// Interval of looking at the queue while something waits.
const QUEUE_TICK: Duration = Duration::from_millis(20);

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
    /// Attempts to sweep.
    pub attempts: Arc<Attempts>,
    /// Keys to sweep.
    pub keys: Arc<Keys>,
    /// Whether new work is taken.
    pub lifecycle: Arc<Lifecycle>,
    /// Requests of a group's leader, when this agent is a rank's.
    pub group: Option<GroupHandler>,
    /// Platform, clock, audit trail and what ends the thread.
    pub opening: OpenContext,
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
    let (control, inbox) = Control::new();
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
                State::new(context, control, config, fleet).run(inbox).await;
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
    fleet::open(context.opening.clone(), own).await
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
    lost_calls: LostCallDetector,
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
        let gate = Admission::new(config, context.opening.clock.now());
        Self {
            context,
            fleet,
            config,
            gate,
            control,
            replies: BTreeMap::new(),
            begun: FastMap::default(),
            lost_calls: LostCallDetector::new(LostCallConfig::default()),
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

    async fn run(mut self, mut inbox: Inbox) {
        let token = self.context.opening.token.clone();
        let mut tick = tokio::time::interval(TICK);
        let mut queue_tick = tokio::time::interval(QUEUE_TICK);
        queue_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = token.cancelled() => return,
                message = inbox.next() => {
                    self.handle(message);
                    self.drain(&mut inbox);
                }
                () = self.fleet.step() => {}
                _ = queue_tick.tick(), if !self.replies.is_empty() => self.advance(),
                _ = tick.tick() => self.sweep(),
            }
            self.refresh();
            self.note_change();
            self.publish();
        }
    }

    /// Handles what has arrived by now, so that one look at the fleet and one published snapshot
    /// serve many messages.
    fn drain(&mut self, inbox: &mut Inbox) {
        let arrived = std::iter::from_fn(|| inbox.try_next());
        arrived.take(BATCH).for_each(|message| self.handle(message));
    }

    fn handle(&mut self, message: Message) {
        let now = self.context.opening.clock.now();
        match message {
            Message::Offer(request, reply) => self.offer(now, request, reply),
            Message::Answered(ticket) => self.answered(now, ticket),
            Message::Finished(ticket, finish) => {
                self.begun.remove(&ticket);
                let released = self.gate.record_completion(now, ticket, finish);
                self.release(released);
            }
            Message::Closed => self.gate.record_idle_close(now),
            Message::Report(report) => {
                self.signal_lost(&report);
                let released = self.gate.record_report(now, &report);
                self.release(released);
            }
        }
    }

    fn offer(&mut self, now: Timestamp, request: Request, reply: Reply) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let queued = request.queued;
        let waiting = AdmissionRequest {
            ticket,
            account: request.account,
            weight: request.weight,
            deadline: request.due,
            cost: 1,
            tokens: request.tokens,
        };
        match self.gate.try_admit(now, waiting) {
            AdmissionDecision::Start => self.permit(ticket, reply),
            AdmissionDecision::Queued(displaced) => {
                queued.cancel();
                self.replies.insert(ticket, reply);
                displaced.into_iter().for_each(|it| self.refuse(it));
            }
            AdmissionDecision::Refused(refusal) => {
                let _ = reply.send(Err(refusal.into()));
            }
        }
    }

    fn answered(&mut self, now: Timestamp, ticket: Ticket) {
        self.gate.record_first_byte(now, ticket);
        self.lost_calls.record_answer(now, ticket);
        let Some(begun) = self.begun.remove(&ticket) else {
            // Its call counted as lost.
            self.lost_calls.record_false_positive(now);
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
        for ticket in self.lost_calls.record_report(report, open) {
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
        let released = gate.advance(self.context.opening.clock.now());
        self.release(released);
    }

    fn release(&mut self, released: Dequeued) {
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
            at: self.context.opening.clock.now(),
            lost: CancellationToken::new(),
        };
        let permit = Permit::new(self.control.clone(), ticket, begun.lost.clone());
        self.begun.insert(ticket, begun);
        let _ = reply.send(Ok(permit));
    }

    fn sweep(&self) {
        self.context
            .attempts
            .sweep(self.context.opening.clock.now());
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
        self.context.opening.audit.record(event, recorded);
    }

    fn publish(&self) {
        let seen = self.gate.snapshot(self.context.opening.clock.now());
        let report = LoadReport {
            limit: seen.limit,
            running: seen.in_flight + seen.orphans,
            waiting: seen.queued,
            latency: u64::try_from(self.latency.as_micros()).unwrap_or(u64::MAX),
            reachable: true,
            leaving: false,
        };
        self.control.publish(report);
    }
}

/// The declared limits of a service in place of those from the settings.
fn with_limits(mut config: AdmissionConfig, limits: &Limits) -> AdmissionConfig {
    config.limit.cold_floor = limits.cold_floor;
    config.limit.concurrency = limits.concurrency;
    config.token_capacity = limits.tokens;
    config.queue.queue_limit = limits.queue;
    config.queue.account_limit = limits.queue.div_ceil(2);
    config
}
