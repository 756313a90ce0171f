//! The control thread, which owns the admission state; traffic threads send it messages and read
//! the load snapshot that it publishes.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use jj_node::{
    control_port::GroupHandler,
    fleet::{self, Fleet, LocalProcess, OpenContext},
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
    keys::KeyTable,
    lifecycle::Lifecycle,
    permit::{Control, Inbox, Message, Permit, PermitRequest, Reply},
};

/// Maximum number of further messages handled between two steps of the fleet state.
const MAX_BATCH_MESSAGES: usize = 64;

/// Interval at which attempts and keys are swept; the load is published at least as often.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the admission queue is checked while requests wait in it.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Dependencies of the control thread.
#[derive(Clone)]
pub struct ControlContext {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Incarnation of this agent.
    pub incarnation: Incarnation,
    /// Failure domain of this instance.
    pub domain: FailureDomainId,
    /// Service of its backend server.
    pub service: ServiceId,
    /// Kind of its backend server.
    pub kind: ServiceKind,
    /// Attempts to sweep.
    pub attempts: Arc<Attempts>,
    /// Keys to sweep.
    pub keys: Arc<KeyTable>,
    /// Decides whether new work is accepted.
    pub lifecycle: Arc<Lifecycle>,
    /// Handles requests of the group leader, when this agent serves a rank of a lock-step group.
    pub group: Option<GroupHandler>,
    /// Platform, clock, audit trail, and the token that ends the thread.
    pub fleet_context: OpenContext,
}

/// What other threads use to communicate with the control thread.
pub struct ControlHandles {
    /// Handle to the control thread.
    pub control: Control,
    /// Receives the configuration.
    pub config: watch::Receiver<ConfigView>,
    /// Receives the live list.
    pub list: watch::Receiver<LiveList>,
}

/// Starts the control thread and waits until its port is open.
///
/// # Errors
/// When the thread can't be started or the port can't be bound.
pub async fn start(
    context: ControlContext,
    config: AdmissionConfig,
) -> anyhow::Result<ControlHandles> {
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
    Ok(ControlHandles {
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
    let own = LocalProcess {
        instance: context.instance.clone(),
        incarnation: context.incarnation,
        domain: context.domain.clone(),
        role: Role::Agent,
        load: Box::new(move || Some((*load.load()).clone())),
        draining: Box::new(move || lifecycle.is_draining()),
        group: context.group.clone(),
    };
    fleet::open(context.fleet_context.clone(), own).await
}

/// A request that was sent to the backend server and has no response yet.
struct PendingCall {
    started_at: Timestamp,
    /// Cancelled when the call is lost.
    lost: CancellationToken,
}

/// State of the control thread.
struct State {
    context: ControlContext,
    fleet: Fleet,
    config: AdmissionConfig,
    admission: Admission,
    control: Control,
    replies: BTreeMap<Ticket, Reply>,
    /// Requests at the backend server that have no response yet.
    pending_calls: FastMap<Ticket, PendingCall>,
    lost_calls: LostCallDetector,
    next_ticket: Ticket,
    /// Time from the permit to the first byte of the response, as an exponential mean.
    mean_latency: Duration,
    config_index: ConfigIndex,
}

impl State {
    fn new(
        context: ControlContext,
        control: Control,
        config: AdmissionConfig,
        fleet: Fleet,
    ) -> Self {
        let admission = Admission::new(config, context.fleet_context.clock.now());
        Self {
            context,
            fleet,
            config,
            admission,
            control,
            replies: BTreeMap::new(),
            pending_calls: FastMap::default(),
            lost_calls: LostCallDetector::new(LostCallConfig::default()),
            next_ticket: 0,
            mean_latency: Duration::ZERO,
            config_index: 0,
        }
    }

    /// Applies the newest configuration and updates whether new work may start.
    fn apply_config_and_permit(&mut self) {
        let lifecycle = &self.context.lifecycle;
        lifecycle.set_withdrawn(self.fleet.is_withdrawn());
        lifecycle.set_permit(self.fleet.work_permit());
        let Some(published) = self.fleet.published() else {
            return;
        };
        if published.index == self.config_index {
            return;
        }
        self.config_index = published.index;
        if let Some(service) = published.services.get(&self.context.service) {
            self.config = apply_limits(self.config, &service.limits);
            self.admission.configure(self.config);
        }
    }

    async fn run(mut self, mut inbox: Inbox) {
        let token = self.context.fleet_context.token.clone();
        let mut tick = tokio::time::interval(SWEEP_INTERVAL);
        let mut queue_tick = tokio::time::interval(QUEUE_CHECK_INTERVAL);
        queue_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = token.cancelled() => return,
                message = inbox.next() => {
                    self.handle(message);
                    self.handle_arrived(&mut inbox);
                }
                () = self.fleet.step() => {}
                _ = queue_tick.tick(), if !self.replies.is_empty() => self.advance_queue(),
                _ = tick.tick() => self.sweep(),
            }
            self.apply_config_and_permit();
            self.record_limit_change();
            self.publish();
        }
    }

    /// Handles the messages that have already arrived, so that many of them share one step of the
    /// fleet state and one published snapshot.
    fn handle_arrived(&mut self, inbox: &mut Inbox) {
        let arrived = std::iter::from_fn(|| inbox.try_next());
        arrived
            .take(MAX_BATCH_MESSAGES)
            .for_each(|message| self.handle(message));
    }

    fn handle(&mut self, message: Message) {
        let now = self.context.fleet_context.clock.now();
        match message {
            Message::Admit(request, reply) => self.admit(now, request, reply),
            Message::FirstByte(ticket) => self.record_first_byte(now, ticket),
            Message::Completed(ticket, status) => {
                self.pending_calls.remove(&ticket);
                let dequeued = self.admission.record_completion(now, ticket, status);
                self.apply_dequeued(dequeued);
            }
            Message::IdleClosed => self.admission.record_idle_close(now),
            Message::ServerReport(report) => {
                self.cancel_lost_calls(&report);
                let dequeued = self.admission.record_report(now, &report);
                self.apply_dequeued(dequeued);
            }
        }
    }

    fn admit(&mut self, now: Timestamp, request: PermitRequest, reply: Reply) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let queued = request.queued;
        let admission_request = AdmissionRequest {
            ticket,
            account: request.account,
            weight: request.weight,
            deadline: request.due,
            cost: 1,
            tokens: request.tokens,
        };
        match self.admission.try_admit(now, admission_request) {
            AdmissionDecision::Start => self.grant(ticket, reply),
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

    fn record_first_byte(&mut self, now: Timestamp, ticket: Ticket) {
        self.admission.record_first_byte(now, ticket);
        self.lost_calls.record_answer(now, ticket);
        let Some(call) = self.pending_calls.remove(&ticket) else {
            // The call was counted as lost although its response has arrived.
            self.lost_calls.record_false_positive(now);
            return;
        };
        self.mean_latency = (self.mean_latency * 7 + now.saturating_sub(call.started_at)) / 8;
    }

    /// Cancels the `lost` token of each call that the report shows to be lost. Model engines are
    /// left out: their streams have time limits of their own, and their reports lag.
    fn cancel_lost_calls(&mut self, report: &ServerReport) {
        if self.context.kind == ServiceKind::Model {
            return;
        }
        let open = self
            .pending_calls
            .iter()
            .map(|(ticket, call)| (*ticket, call.started_at));
        for ticket in self.lost_calls.record_report(report, open) {
            if let Some(call) = self.pending_calls.remove(&ticket) {
                call.lost.cancel();
            }
        }
    }

    /// Refuses queued requests that can no longer meet their deadline, and removes those that
    /// nobody waits for.
    fn advance_queue(&mut self) {
        let admission = &mut self.admission;
        self.replies
            .retain(|ticket, reply| !(reply.is_closed() && admission.cancel(*ticket)));
        let dequeued = admission.advance(self.context.fleet_context.clock.now());
        self.apply_dequeued(dequeued);
    }

    fn apply_dequeued(&mut self, dequeued: Dequeued) {
        dequeued.refused.into_iter().for_each(|it| self.refuse(it));
        for ticket in dequeued.started {
            if let Some(reply) = self.replies.remove(&ticket) {
                self.grant(ticket, reply);
            }
        }
    }

    fn refuse(&mut self, refusal: Refusal) {
        if let Some(reply) = self.replies.remove(&refusal.ticket) {
            let _ = reply.send(Err(refusal.into()));
        }
    }

    /// Sends a permit to the requester. A permit that is not received is dropped, which reports its
    /// completion.
    fn grant(&mut self, ticket: Ticket, reply: Reply) {
        let call = PendingCall {
            started_at: self.context.fleet_context.clock.now(),
            lost: CancellationToken::new(),
        };
        let permit = Permit::new(self.control.clone(), ticket, call.lost.clone());
        self.pending_calls.insert(ticket, call);
        let _ = reply.send(Ok(permit));
    }

    fn sweep(&self) {
        self.context
            .attempts
            .sweep(self.context.fleet_context.clock.now());
        self.context.keys.sweep();
    }

    fn record_limit_change(&mut self) {
        let Some(change) = self.admission.take_change() else {
            return;
        };
        let event = match change.cause {
            Some(_) => events::LIMIT_TO_FLOOR,
            None => events::SERVER_WARM,
        };
        let reason = match change.cause {
            Some(ColdCause::Restarted) => "backend server restarted",
            Some(ColdCause::Reported) => "backend server reported a cold state",
            Some(ColdCause::Resets) => "connections to the backend server were reset",
            Some(ColdCause::Latency) => "latency of the backend server rose sharply",
            None => "backend server is warm",
        };
        let record = Change {
            subject: format!("limit of {}", self.context.instance),
            from: change.from.to_string(),
            to: change.to.to_string(),
            reason: reason.to_owned(),
            index: self.config_index,
        };
        self.context.fleet_context.audit.record(event, record);
    }

    fn publish(&self) {
        let snapshot = self
            .admission
            .snapshot(self.context.fleet_context.clock.now());
        let report = LoadReport {
            limit: snapshot.limit,
            running: snapshot.in_flight + snapshot.orphans,
            waiting: snapshot.queued,
            latency: u64::try_from(self.mean_latency.as_micros()).unwrap_or(u64::MAX),
            reachable: true,
            leaving: false,
        };
        self.control.publish(report);
    }
}

/// Returns `config` with the declared limits of a service; one client account may occupy half of
/// the queue.
fn apply_limits(mut config: AdmissionConfig, limits: &Limits) -> AdmissionConfig {
    config.limit.cold_floor = limits.cold_floor;
    config.limit.concurrency = limits.concurrency;
    config.token_capacity = limits.tokens;
    config.queue.queue_limit = limits.queue;
    config.queue.account_limit = limits.queue.div_ceil(2);
    config
}
