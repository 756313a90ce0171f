//! Fleet state that the control thread publishes and the traffic threads read.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use jj_node::peers::EntryCoverage;
use jj_operator::published::Published;
use jj_policy::{authority::WorkPermit, membership::MemberState, routing::LoadReport};
use jj_utils::{
    clock::Timestamp,
    ids::{FailureDomainId, Incarnation, InstanceId, ServiceId},
};

/// A consistent snapshot of the fleet's state.
#[derive(Debug, Default)]
pub struct View {
    /// Configuration in force; `None` before the first is received.
    pub published: Option<Arc<Published>>,
    /// Agents, sorted by name.
    pub agents: Vec<Arc<Agent>>,
    /// Entry addresses for callers, indexed by caller group.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// Services covered by each listed entry.
    pub coverage: Arc<EntryCoverage>,
    /// Membership state of each entry in `coverage`, in the same order.
    pub entry_states: Vec<MemberState>,
    /// Sum of the weights of all client accounts.
    pub total_weight: u64,
    /// Permit to take new work, if any; its expiry is checked before each attempt.
    pub permit: Option<WorkPermit>,
    /// Authority state of this process, shown to operators.
    pub authority_state: String,
    /// Whether every listed agent has answered once, or all early heartbeats have been sent.
    pub has_polled_agents: bool,
}

impl View {
    /// Returns the agent with the given instance name.
    pub fn agent(&self, id: &str) -> Option<&Arc<Agent>> {
        self.agents.iter().find(|agent| agent.id == id)
    }

    /// Returns the agents of a service.
    pub fn agents_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Agent>> {
        self.agents
            .iter()
            .filter(move |agent| agent.service == service)
    }
}

/// State of one agent, as known to this process.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Instance name.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// Address to which attempts are sent.
    pub traffic: SocketAddr,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
    /// State according to membership.
    pub state: MemberState,
    /// One-way network delay to its failure domain.
    pub one_way_delay: Duration,
    /// Load report of its last heartbeat.
    pub report: Option<LoadReport>,
    /// Estimate of its clock from its last heartbeat.
    pub clock: RemoteClock,
    /// State that the traffic threads update.
    pub local: Arc<LocalAgentState>,
}

impl Agent {
    /// Returns the membership state, or `Leaving` if an answer since then reported so.
    pub fn effective_state(&self) -> MemberState {
        match self.local.leaving_incarnation.load(Ordering::Relaxed) >= self.incarnation {
            true => MemberState::Leaving,
            false => self.state,
        }
    }
}

/// Lower bound of another process's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct RemoteClock {
    /// Clock reading in its answer.
    pub reading: Duration,
    /// Local time at which the answer arrived.
    pub received_at: Timestamp,
}

impl RemoteClock {
    /// Returns the lowest possible reading at local time `now`.
    pub fn lower_bound_at(&self, now: Timestamp) -> Duration {
        self.reading + now.saturating_sub(self.received_at)
    }
}

/// What this process has itself observed of one agent, shared by its threads.
#[derive(Debug, Default)]
pub struct LocalAgentState {
    in_flight: AtomicU32,
    since_report: AtomicU32,
    closed_until_micros: AtomicU64,
    unreachable_incarnation: AtomicU64,
    leaving_incarnation: AtomicU64,
    report: ArcSwapOption<LoadReport>,
}

impl LocalAgentState {
    /// Returns the requests in flight from this process that the last report can't include yet.
    pub fn since_report(&self) -> u32 {
        self.since_report
            .load(Ordering::Relaxed)
            .min(self.in_flight.load(Ordering::Relaxed))
    }

    /// Returns the newer of the load reports of the last answer and the last heartbeat.
    pub fn newest_report(&self, heartbeat_report: Option<LoadReport>) -> Option<LoadReport> {
        let answer_report = self.report.load().as_deref().copied();
        let at = |report: &Option<LoadReport>| report.map(|report| report.at);
        if at(&answer_report) >= at(&heartbeat_report) {
            answer_report
        } else {
            heartbeat_report
        }
    }

    /// Records the load report sent with an answer.
    pub fn record_report(&self, report: LoadReport) {
        self.since_report.store(0, Ordering::Relaxed);
        self.report.store(Some(Arc::new(report)));
    }

    /// Returns the time until which no request is sent to the agent after a refusal.
    pub fn closed_until(&self) -> Timestamp {
        Duration::from_micros(self.closed_until_micros.load(Ordering::Relaxed))
    }

    /// Sets the time until which no request is sent after a refusal.
    pub fn record_refusal(&self, until: Timestamp) {
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.closed_until_micros.store(micros, Ordering::Relaxed);
    }

    /// Records that an answer reported that this incarnation of the agent is leaving.
    pub fn record_leaving(&self, incarnation: Incarnation) {
        self.leaving_incarnation
            .fetch_max(incarnation, Ordering::Relaxed);
    }

    /// Records that no connection to this incarnation of the agent could be opened.
    pub fn record_connect_failure(&self, incarnation: Incarnation) {
        self.unreachable_incarnation
            .store(incarnation, Ordering::Relaxed);
    }

    /// Takes the incarnation to which a connection failed since the last call, if any.
    pub fn take_connect_failure(&self) -> Option<Incarnation> {
        let incarnation = self.unreachable_incarnation.swap(0, Ordering::Relaxed);
        (incarnation != 0).then_some(incarnation)
    }

    /// Counts one request in flight until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.since_report.fetch_add(1, Ordering::Relaxed);
        InFlight {
            local: Arc::clone(self),
        }
    }
}

/// Converts a load report from its wire form, taken at `at`, to that of routing.
pub fn routing_report(load: &jj_peer::control::LoadReport, at: Timestamp) -> LoadReport {
    LoadReport {
        in_flight: load.running,
        queued: load.waiting,
        limit: load.limit,
        service: Duration::from_micros(load.latency),
        at,
    }
}

/// Guard that counts one request in flight at an agent.
#[derive(Debug)]
pub struct InFlight {
    local: Arc<LocalAgentState>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.local.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
