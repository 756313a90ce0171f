//! Admission control of an agent: limits the requests in flight at its backend server and queues
//! the others.
//!
//! The concurrency limit starts at the configured cold floor, since the state of the server is
//! unknown when an agent starts. It grows with successful requests of steady latency up to the
//! configured concurrency, and drops to the floor at any sign that the server is cold. Orphaned
//! requests, which the agent no longer tracks but the server may still process, count as in
//! flight.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

pub use crate::{
    cold_detector::{ColdCause, ColdConfig, ServerReport},
    concurrency_limit::{LimitChange, LimitConfig},
    fairness::{AdmissionRequest, FairnessConfig, Ticket},
};
use crate::{
    concurrency_limit::ConcurrencyLimit,
    fairness::{FairQueue, PushOutcome},
    orphans::Orphans,
    tokens,
};

common_derives! {value:
    /// Limits on the requests in flight at one backend server and in its queue.
    #[derive(Copy)]
    pub struct AdmissionConfig {
        /// Limits on concurrent requests at the server.
        pub limit: LimitConfig,
        /// Capacity of the server's KV cache in tokens; `None` if not configured.
        pub token_capacity: Option<u32>,
        /// Limits of the queue.
        pub queue: FairnessConfig,
        /// Time for which a request that the agent no longer tracks counts as in flight, unless
        /// the server reports otherwise.
        pub orphan_timeout: Duration,
        /// Shortest retry delay in a refusal.
        pub min_retry_after: Duration,
        /// Longest retry delay in a refusal.
        pub max_retry_after: Duration,
    }
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            limit: LimitConfig::default(),
            token_capacity: None,
            queue: FairnessConfig::default(),
            orphan_timeout: Duration::from_secs(5),
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(30),
        }
    }
}

common_derives! {value:
    /// Why a request was not admitted; no part of it ran.
    #[derive(Copy, Eq)]
    pub enum RefusalReason {
        /// The agent is draining and accepts no new requests.
        Draining,
        /// The deadline has passed, or would pass before the response.
        Deadline,
        /// The client account has reached its limit of queued requests.
        AccountFull,
        /// The queue is full.
        QueueFull,
    }
}

impl RefusalReason {
    /// Returns whether requests of all accounts should avoid the server for a while. A full backlog
    /// of one account does not count, or an account that floods would close the server to others.
    pub fn applies_to_all_accounts(self) -> bool {
        self != Self::AccountFull
    }
}

common_derives! {value:
    /// A request that was not admitted.
    #[derive(Copy, Eq)]
    pub struct Refusal {
        /// Ticket of the request.
        pub ticket: Ticket,
        /// Reason of the refusal.
        pub reason: RefusalReason,
        /// Delay after which a retry may succeed.
        pub retry_after: Duration,
    }
}

common_derives! {value:
    /// Decision on a request that asks for admission.
    pub enum AdmissionDecision {
        /// The request may be sent to the backend server now.
        Start,
        /// The request is queued; a later [`Dequeued`] contains its ticket. Holds the refusal of
        /// the request that it displaced, if any.
        Queued(Option<Refusal>),
        /// The request is refused.
        Refused(Refusal),
    }
}

common_derives! {value:
    /// Requests that leave the queue.
    #[derive(Default)]
    pub struct Dequeued {
        /// Requests that may be sent to the backend server now.
        pub started: Vec<Ticket>,
        /// Requests that are refused.
        pub refused: Vec<Refusal>,
    }
}

common_derives! {value:
    /// How a request at the backend server ended.
    #[derive(Copy, Eq)]
    pub enum CompletionStatus {
        /// A complete response was received.
        Ok,
        /// A complete response with a server error was received.
        Failed,
        /// The request was not sent.
        Unsent,
        /// The request was not sent because no connection could be established.
        Unreachable,
        /// The connection broke; the server may still process the request.
        Reset,
        /// The agent stopped waiting for the response; the server may still process the request.
        Abandoned,
        /// No response was received, and the server reports no requests in flight.
        Lost,
    }
}

common_derives! {value:
    /// State of admission control, for status pages and load reports.
    #[derive(Copy, Eq)]
    pub struct AdmissionSnapshot {
        /// Concurrent requests allowed now.
        pub limit: u32,
        /// Requests at the backend server that the agent tracks.
        pub in_flight: u32,
        /// Requests that the backend server may still process though the agent no longer tracks
        /// them.
        pub orphans: u32,
        /// Requests in the queue.
        pub queued: u32,
        /// Whether the limit is at its floor because the server is treated as cold.
        pub cold: bool,
        /// Whether new requests are refused.
        pub draining: bool,
        /// Mean time that the server takes for a request; zero while unknown.
        pub service_time: Duration,
    }
}

/// A request at the backend server.
#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    started_at: Timestamp,
    has_first_byte: bool,
    tokens: u32,
}

/// Admission control for one backend server.
#[derive(Debug, Clone)]
pub struct Admission {
    config: AdmissionConfig,
    limit: ConcurrencyLimit,
    queue: FairQueue,
    running: FastMap<Ticket, InFlightRequest>,
    orphans: Orphans,
    /// Moving average of the time that the server takes for a request.
    service_time: Option<Duration>,
    draining: bool,
}

impl Admission {
    /// Creates admission control that treats the server as cold. The server may still process
    /// requests of an earlier incarnation of the agent, so nothing starts before a report of the
    /// server or before [`AdmissionConfig::orphan_timeout`] has passed.
    pub fn new(config: AdmissionConfig, now: Timestamp) -> Self {
        Self {
            limit: ConcurrencyLimit::new(config.limit, now),
            queue: FairQueue::new(config.queue),
            running: FastMap::default(),
            orphans: Orphans::new(config.orphan_timeout, now),
            service_time: None,
            draining: false,
            config,
        }
    }

    /// Applies new limits immediately; requests in flight continue.
    pub fn configure(&mut self, config: AdmissionConfig) {
        self.limit.configure(config.limit);
        self.queue.configure(config.queue);
        self.orphans.configure(config.orphan_timeout);
        self.config = config;
    }

    /// Starts, queues or refuses a new request.
    pub fn try_admit(&mut self, now: Timestamp, request: AdmissionRequest) -> AdmissionDecision {
        let ticket = request.ticket;
        if self.draining {
            return self.refuse(ticket, RefusalReason::Draining);
        }
        if request.deadline <= now {
            return self.refuse(ticket, RefusalReason::Deadline);
        }
        self.check_overdue(now);
        if self.queue.is_empty() && self.has_capacity(now, request.tokens) {
            self.start(now, &request);
            return AdmissionDecision::Start;
        }
        let ahead = self
            .queue
            .max_requests_ahead(&request.account, request.weight);
        if now + self.expected_response_time(ahead) >= request.deadline {
            return self.refuse(ticket, RefusalReason::Deadline);
        }
        match self.queue.push(request) {
            PushOutcome::Queued => AdmissionDecision::Queued(None),
            PushOutcome::Displaced(other) => {
                let refusal = self.refusal(other.ticket, RefusalReason::QueueFull);
                AdmissionDecision::Queued(Some(refusal))
            }
            PushOutcome::AccountFull => self.refuse(ticket, RefusalReason::AccountFull),
            PushOutcome::QueueFull => self.refuse(ticket, RefusalReason::QueueFull),
        }
    }

    /// Records the first byte of a response, whose latency shows whether the server is cold.
    pub fn record_first_byte(&mut self, now: Timestamp, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        if std::mem::replace(&mut running.has_first_byte, true) {
            return;
        }
        let latency = now.saturating_sub(running.started_at);
        self.limit.record_latency(now, latency);
    }

    /// Records the end of a request at the server and returns the requests that leave the queue.
    pub fn record_completion(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        status: CompletionStatus,
    ) -> Dequeued {
        if status == CompletionStatus::Ok {
            self.record_first_byte(now, ticket);
        }
        if let Some(running) = self.running.remove(&ticket) {
            self.apply_completion(now, running, status);
        }
        self.advance(now)
    }

    /// Records that the server closed an idle connection: it may have restarted, and is treated as
    /// cold until its next report.
    pub fn record_idle_close(&mut self, now: Timestamp) {
        self.limit.record_idle_close(now);
    }

    /// Records a report of the server and returns the requests that leave the queue.
    pub fn record_report(&mut self, now: Timestamp, report: &ServerReport) -> Dequeued {
        if self.limit.record_report(now, report) {
            self.orphans
                .record_restart(report.measured_at, report.uptime);
        }
        self.orphans.record_report(report);
        self.advance(now)
    }

    /// Returns the requests that leave the queue at `now`, because they may start or cannot meet
    /// their deadlines. Must be called every few milliseconds while requests are queued.
    pub fn advance(&mut self, now: Timestamp) -> Dequeued {
        self.check_overdue(now);
        let refused = self.refuse_expired(now);
        let mut started = Vec::new();
        while let Some(next) = self.pop_startable(now) {
            self.start(now, &next);
            started.push(next.ticket);
        }
        Dequeued { started, refused }
    }

    /// Removes a request whose caller has disconnected from the queue. Returns whether it was
    /// queued, in which case it never ran.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses all queued requests and all new ones from now on; requests in flight continue.
    pub fn drain(&mut self) -> Vec<Refusal> {
        self.draining = true;
        let queued = self.queue.remove_matching(|_| true);
        self.refuse_all(queued, RefusalReason::Draining)
    }

    /// Returns the last change of the limit for the audit trail, once.
    pub fn take_change(&mut self) -> Option<LimitChange> {
        self.limit.take_change()
    }

    /// Returns the current state.
    pub fn snapshot(&self, now: Timestamp) -> AdmissionSnapshot {
        AdmissionSnapshot {
            limit: self.limit.value(),
            in_flight: self.in_flight(),
            orphans: self.orphans.count(now),
            queued: self.queue.len(),
            cold: self.limit.is_cold(),
            draining: self.draining,
            service_time: self.service_time.unwrap_or_default(),
        }
    }

    fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the known tokens of the requests at the server.
    fn tokens(&self, now: Timestamp) -> u32 {
        let running = self.running.values().map(|it| it.tokens);
        running.fold(self.orphans.tokens(now), u32::saturating_add)
    }

    fn has_capacity(&self, now: Timestamp, tokens: u32) -> bool {
        let busy = self.in_flight() + self.orphans.count(now);
        busy < self.limit.value()
            && !self.orphans.is_earlier_work_unknown(now)
            && self.has_token_capacity(now, tokens)
    }

    /// Removes the next request from the queue if the server has capacity for it. Smaller requests
    /// behind it may not overtake it, or a very large one might never run.
    fn pop_startable(&mut self, now: Timestamp) -> Option<AdmissionRequest> {
        let tokens = self.queue.peek()?.tokens;
        match self.has_capacity(now, tokens) {
            true => self.queue.pop(),
            false => None,
        }
    }

    fn has_token_capacity(&self, now: Timestamp, tokens: u32) -> bool {
        let capacity = self.config.token_capacity;
        capacity.is_none_or(|capacity| tokens::fits(capacity, self.tokens(now), tokens))
    }

    fn start(&mut self, now: Timestamp, request: &AdmissionRequest) {
        let running = InFlightRequest {
            started_at: now,
            has_first_byte: false,
            tokens: request.tokens,
        };
        self.running.insert(request.ticket, running);
    }

    fn apply_completion(
        &mut self,
        now: Timestamp,
        running: InFlightRequest,
        status: CompletionStatus,
    ) {
        match status {
            CompletionStatus::Ok => {
                self.update_service_time(now.saturating_sub(running.started_at));
                let in_use = self.in_flight() + 1 >= self.limit.value();
                self.limit.record_success(now, in_use);
            }
            CompletionStatus::Failed => self.limit.record_failure(),
            CompletionStatus::Unsent | CompletionStatus::Lost => {}
            CompletionStatus::Unreachable => self.limit.record_reset(now),
            CompletionStatus::Abandoned => self.orphans.add(now, running.tokens),
            CompletionStatus::Reset => {
                self.orphans.add(now, running.tokens);
                self.limit.record_reset(now);
            }
        }
    }

    fn check_overdue(&mut self, now: Timestamp) {
        self.limit.clear_expired_suspicion(now);
        let Some(bound) = self.limit.overdue_after() else {
            return;
        };
        let late =
            |it: &&InFlightRequest| !it.has_first_byte && now.saturating_sub(it.started_at) > bound;
        let overdue = self.running.values().filter(late).count();
        self.limit.record_overdue(now, overdue);
    }

    /// Removes and refuses the queued requests that would miss their deadlines even if they
    /// started now.
    fn refuse_expired(&mut self, now: Timestamp) -> Vec<Refusal> {
        let earliest_end = now + self.service_time.unwrap_or_default();
        let late = self.queue.remove_matching(|it| it.deadline <= earliest_end);
        self.refuse_all(late, RefusalReason::Deadline)
    }

    fn update_service_time(&mut self, sample: Duration) {
        let mean = self.service_time.unwrap_or(sample);
        self.service_time = Some((mean * 7 + sample) / 8);
    }

    /// Returns the expected time to the response of a request with `ahead` requests before it, at
    /// the current drain rate.
    fn expected_response_time(&self, ahead: u32) -> Duration {
        let service = self.service_time.unwrap_or_default();
        let excess = self.in_flight().saturating_sub(self.limit.value());
        service + service * (ahead + excess + 1) / self.limit.value()
    }

    fn refuse(&self, ticket: Ticket, reason: RefusalReason) -> AdmissionDecision {
        AdmissionDecision::Refused(self.refusal(ticket, reason))
    }

    fn refuse_all(&self, requests: Vec<AdmissionRequest>, reason: RefusalReason) -> Vec<Refusal> {
        let tickets = requests.into_iter().map(|it| it.ticket);
        tickets.map(|ticket| self.refusal(ticket, reason)).collect()
    }

    /// Returns a refusal whose retry delay is the expected time to drain the queue.
    fn refusal(&self, ticket: Ticket, reason: RefusalReason) -> Refusal {
        let service = self.service_time.unwrap_or_default();
        let drained = service * (self.queue.len() + 1) / self.limit.value();
        let longest = self.config.max_retry_after.max(self.config.min_retry_after);
        Refusal {
            ticket,
            reason,
            retry_after: drained.clamp(self.config.min_retry_after, longest),
        }
    }
}
