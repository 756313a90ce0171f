//! The gate of an agent to its backend server: how much may be in flight, and what waits.
//!
//! The limit starts at the declared cold floor, since an agent that has just started knows
//! nothing of its server. It grows with successes under steady latency up to the declared warm
//! concurrency, and falls to the floor at once on any sign that the server turned cold. Requests
//! that the agent no longer follows but the server may still be working on count as in flight.

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
    /// How much work one backend server gets, and what may wait for it.
    #[derive(Copy)]
    pub struct AdmissionConfig {
        /// Concurrent requests at the server.
        pub limit: LimitConfig,
        /// Tokens that its memory holds for requests; none where that is not declared.
        pub token_capacity: Option<u32>,
        /// Requests in the queue.
        pub queue: FairnessConfig,
        /// How long a request that the agent has lost sight of counts as in flight, unless the
        /// server reports otherwise.
        pub orphan_timeout: Duration,
        /// Shortest time that a refused caller is told to stay away.
        pub min_retry_after: Duration,
        /// Longest time that a refused caller is told to stay away.
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
    /// Why a request was not admitted; nothing of it ran.
    #[derive(Copy, Eq)]
    pub enum RefusalReason {
        /// The agent is leaving.
        Draining,
        /// Its deadline has passed, or will before its turn.
        Deadline,
        /// Its account has too much waiting.
        AccountFull,
        /// The queue is full.
        QueueFull,
    }
}

impl RefusalReason {
    /// Whether the server should be passed over for a while by all accounts: not when only this
    /// account's own backlog is full, or one that floods would close the server to the others.
    pub fn applies_to_all_accounts(self) -> bool {
        self != Self::AccountFull
    }
}

common_derives! {value:
    /// A request that was not admitted.
    #[derive(Copy, Eq)]
    pub struct Refusal {
        /// Which one.
        pub ticket: Ticket,
        /// Why.
        pub reason: RefusalReason,
        /// When a new try is worth making.
        pub retry_after: Duration,
    }
}

common_derives! {value:
    /// Answer to a request that asks for admission.
    pub enum AdmissionDecision {
        /// It may go to the backend server now.
        Start,
        /// It waits; a later [`Dequeued`] names it. A displaced request is refused in its place.
        Queued(Option<Refusal>),
        /// It is refused.
        Refused(Refusal),
    }
}

common_derives! {value:
    /// Requests that leave the queue.
    #[derive(Default)]
    pub struct Dequeued {
        /// May go to the backend server now.
        pub started: Vec<Ticket>,
        /// Are refused.
        pub refused: Vec<Refusal>,
    }
}

common_derives! {value:
    /// How a request at the backend server ended.
    #[derive(Copy, Eq)]
    pub enum CompletionStatus {
        /// Whole answer.
        Ok,
        /// Whole answer that says that the server failed.
        Failed,
        /// Nothing was sent.
        Unsent,
        /// Nothing was sent, because no connection could be made.
        Unreachable,
        /// The connection broke; the server may still be at work.
        Reset,
        /// The agent stopped following it; the server may still be at work.
        Abandoned,
        /// Its connection is silent, and the server says that it works on nothing.
        Lost,
    }
}

common_derives! {value:
    /// What the gate believes, for status pages and load reports.
    #[derive(Copy, Eq)]
    pub struct AdmissionSnapshot {
        /// Concurrent requests allowed now.
        pub limit: u32,
        /// Requests at the backend server that the agent follows.
        pub in_flight: u32,
        /// Requests that may still be at the backend server though nobody follows them.
        pub orphans: u32,
        /// Requests that wait.
        pub queued: u32,
        /// Whether the limit is held at the floor.
        pub cold: bool,
        /// Whether new requests are refused.
        pub draining: bool,
        /// Mean time that a request spends at the server; zero while unknown.
        pub service_time: Duration,
    }
}

#[derive(Debug, Clone, Copy)]
struct Running {
    started: Timestamp,
    answered: bool,
    tokens: u32,
}

/// The gate to one backend server.
#[derive(Debug, Clone)]
pub struct Admission {
    config: AdmissionConfig,
    limit: ConcurrencyLimit,
    queue: FairQueue,
    running: FastMap<Ticket, Running>,
    orphans: Orphans,
    service_time: Option<Duration>,
    draining: bool,
}

impl Admission {
    /// A gate that takes its server for cold. What an earlier agent life left at the server is
    /// unknown, so nothing starts before a report or [`AdmissionConfig::orphan_timeout`] settles it.
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

    /// Puts new declared limits in force at once; what is in flight goes on.
    pub fn configure(&mut self, config: AdmissionConfig) {
        self.limit.configure(config.limit);
        self.queue.configure(config.queue);
        self.orphans.configure(config.orphan_timeout);
        self.config = config;
    }

    /// Decides on a new request.
    pub fn try_admit(&mut self, now: Timestamp, waiting: AdmissionRequest) -> AdmissionDecision {
        let ticket = waiting.ticket;
        if self.draining {
            return self.refuse(ticket, RefusalReason::Draining);
        }
        if waiting.deadline <= now {
            return self.refuse(ticket, RefusalReason::Deadline);
        }
        self.notice_overdue(now);
        if self.queue.is_empty() && self.has_room(now, waiting.tokens) {
            self.begin(now, &waiting);
            return AdmissionDecision::Start;
        }
        let ahead = self
            .queue
            .max_requests_ahead(&waiting.account, waiting.weight);
        if now + self.wait_behind(ahead) >= waiting.deadline {
            return self.refuse(ticket, RefusalReason::Deadline);
        }
        match self.queue.push(waiting) {
            PushOutcome::Queued => AdmissionDecision::Queued(None),
            PushOutcome::Displaced(other) => {
                let refusal = self.refusal(other.ticket, RefusalReason::QueueFull);
                AdmissionDecision::Queued(Some(refusal))
            }
            PushOutcome::AccountFull => self.refuse(ticket, RefusalReason::AccountFull),
            PushOutcome::QueueFull => self.refuse(ticket, RefusalReason::QueueFull),
        }
    }

    /// Notes the first byte of an answer: its latency tells a cold server from a warm one.
    pub fn record_first_byte(&mut self, now: Timestamp, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        if std::mem::replace(&mut running.answered, true) {
            return;
        }
        let latency = now.saturating_sub(running.started);
        self.limit.record_latency(now, latency);
    }

    /// Notes the end of a request at the server, and says what may start in its place.
    pub fn record_completion(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        finish: CompletionStatus,
    ) -> Dequeued {
        if finish == CompletionStatus::Ok {
            self.record_first_byte(now, ticket);
        }
        if let Some(running) = self.running.remove(&ticket) {
            self.note_finish(now, running, finish);
        }
        self.advance(now)
    }

    /// Notes that the server closed an idle connection: until its next report it may be cold.
    pub fn record_idle_close(&mut self, now: Timestamp) {
        self.limit.record_idle_close(now);
    }

    /// Takes in what the server says of itself, and says what may start because of it.
    pub fn record_report(&mut self, now: Timestamp, report: &ServerReport) -> Dequeued {
        if self.limit.record_report(now, report) {
            self.orphans
                .record_restart(report.measured_at, report.uptime);
        }
        self.orphans.record_report(report);
        self.advance(now)
    }

    /// Starts and refuses what time alone has made ready; to be called every few milliseconds
    /// while something waits.
    pub fn advance(&mut self, now: Timestamp) -> Dequeued {
        self.notice_overdue(now);
        let refused = self.expired(now);
        let mut started = Vec::new();
        while let Some(next) = self.next_with_room(now) {
            self.begin(now, &next);
            started.push(next.ticket);
        }
        Dequeued { started, refused }
    }

    /// Takes out a queued request whose caller has gone. True when it was queued: it never ran.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses all new requests from now on, and those that wait; what is at the server goes on.
    pub fn drain(&mut self) -> Vec<Refusal> {
        self.draining = true;
        let waiting = self.queue.remove_matching(|_| true);
        self.refuse_all(waiting, RefusalReason::Draining)
    }

    /// The last change of the limit that the audit trail has to know, once.
    pub fn take_change(&mut self) -> Option<LimitChange> {
        self.limit.take_change()
    }

    /// What the gate believes now.
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

    /// Tokens at the server, as far as they are known.
    fn tokens(&self, now: Timestamp) -> u32 {
        let running = self.running.values().map(|it| it.tokens);
        running.fold(self.orphans.tokens(now), u32::saturating_add)
    }

    fn has_room(&self, now: Timestamp, tokens: u32) -> bool {
        let busy = self.in_flight() + self.orphans.count(now);
        busy < self.limit.value()
            && !self.orphans.is_earlier_work_unknown(now)
            && self.has_memory(now, tokens)
    }

    /// Takes the request whose turn it is out of the queue, if the server has room for it. Smaller
    /// ones behind it do not pass it, or a huge one might never run.
    fn next_with_room(&mut self, now: Timestamp) -> Option<AdmissionRequest> {
        let tokens = self.queue.peek()?.tokens;
        match self.has_room(now, tokens) {
            true => self.queue.pop(),
            false => None,
        }
    }

    fn has_memory(&self, now: Timestamp, tokens: u32) -> bool {
        let capacity = self.config.token_capacity;
        capacity.is_none_or(|capacity| tokens::fits(capacity, self.tokens(now), tokens))
    }

    fn begin(&mut self, now: Timestamp, waiting: &AdmissionRequest) {
        let running = Running {
            started: now,
            answered: false,
            tokens: waiting.tokens,
        };
        self.running.insert(waiting.ticket, running);
    }

    fn note_finish(&mut self, now: Timestamp, running: Running, finish: CompletionStatus) {
        match finish {
            CompletionStatus::Ok => {
                self.learn_service_time(now.saturating_sub(running.started));
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

    fn notice_overdue(&mut self, now: Timestamp) {
        self.limit.clear_expired_suspicion(now);
        let Some(bound) = self.limit.overdue_after() else {
            return;
        };
        let late = |it: &&Running| !it.answered && now.saturating_sub(it.started) > bound;
        let overdue = self.running.values().filter(late).count();
        self.limit.record_overdue(now, overdue);
    }

    /// Takes out the queued requests that could not be answered in time even if they started now.
    fn expired(&mut self, now: Timestamp) -> Vec<Refusal> {
        let least = now + self.service_time.unwrap_or_default();
        let late = self
            .queue
            .remove_matching(|waiting| waiting.deadline <= least);
        self.refuse_all(late, RefusalReason::Deadline)
    }

    fn learn_service_time(&mut self, sample: Duration) {
        let mean = self.service_time.unwrap_or(sample);
        self.service_time = Some((mean * 7 + sample) / 8);
    }

    /// Time to the answer of a request with `ahead` others before it, at the present drain rate.
    fn wait_behind(&self, ahead: u32) -> Duration {
        let service = self.service_time.unwrap_or_default();
        let excess = self.in_flight().saturating_sub(self.limit.value());
        service + service * (ahead + excess + 1) / self.limit.value()
    }

    fn refuse(&self, ticket: Ticket, reason: RefusalReason) -> AdmissionDecision {
        AdmissionDecision::Refused(self.refusal(ticket, reason))
    }

    fn refuse_all(&self, waiting: Vec<AdmissionRequest>, reason: RefusalReason) -> Vec<Refusal> {
        let tickets = waiting.into_iter().map(|it| it.ticket);
        tickets.map(|ticket| self.refusal(ticket, reason)).collect()
    }

    /// A refusal whose time to come back is that of the queue to drain.
    fn refusal(&self, ticket: Ticket, reason: RefusalReason) -> Refusal {
        let service = self.service_time.unwrap_or_default();
        let drained = service * (self.queue.len() + 1) / self.limit.value();
        let most = self.config.max_retry_after.max(self.config.min_retry_after);
        Refusal {
            ticket,
            reason,
            retry_after: drained.clamp(self.config.min_retry_after, most),
        }
    }
}
