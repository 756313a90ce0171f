//! What the control thread publishes and traffic threads read.

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

/// One consistent picture of the fleet.
#[derive(Debug, Default)]
pub struct View {
    /// Configuration in force, once there is one.
    pub published: Option<Arc<Published>>,
    /// Agents, in the order of their names.
    pub agents: Vec<Arc<Agent>>,
    /// Addresses that callers may use, for each group of callers.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// Services of every listed entry.
    pub coverage: Arc<EntryCoverage>,
    /// What is believed of each of these entries.
    pub entry_states: Vec<MemberState>,
    /// Sum of the weights of all client accounts.
    pub total_weight: u64,
    /// Leave to take new work; checked again directly before each attempt.
    pub permit: Option<WorkPermit>,
    /// How this process stands, for operators.
    pub standing: String,
    /// Whether the listed agents have been heard from, or have had time to answer.
    pub has_asked_around: bool,
}

impl View {
    /// The agent of that name.
    pub fn agent(&self, id: &str) -> Option<&Arc<Agent>> {
        self.agents.iter().find(|agent| agent.id == id)
    }

    /// Agents of a service.
    pub fn agents_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Agent>> {
        self.agents
            .iter()
            .filter(move |agent| agent.service == service)
    }
}

/// One agent as this process sees it.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Name of its instance.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Where attempts go.
    pub traffic: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// What membership believes.
    pub state: MemberState,
    /// One-way time to its failure domain.
    pub one_way_delay: Duration,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// Its clock, as its last heartbeat told it.
    pub clock: RemoteClock,
    /// Counters that traffic threads keep.
    pub local: Arc<LocalAgentState>,
}

impl Agent {
    /// What is believed of it, with what it said on answers since the view was made.
    pub fn effective_state(&self) -> MemberState {
        match self.local.leaving_incarnation.load(Ordering::Relaxed) >= self.incarnation {
            true => MemberState::Leaving,
            false => self.state,
        }
    }
}

/// Another process's clock, never ahead of the true one.
#[derive(Debug, Clone, Copy, Default)]
pub struct RemoteClock {
    /// What it showed when it answer_report.
    pub reading: Duration,
    /// When that answer arrived here.
    pub received_at: Timestamp,
}

impl RemoteClock {
    /// What it shows at least, at `now` on the local clock.
    pub fn lower_bound_at(&self, now: Timestamp) -> Duration {
        self.reading + now.saturating_sub(self.received_at)
    }
}

/// This process's own dealings with one agent.
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
    /// Requests of this process in flight there that its last report can't count yet.
    pub fn since_report(&self) -> u32 {
        self.since_report
            .load(Ordering::Relaxed)
            .min(self.in_flight.load(Ordering::Relaxed))
    }

    /// The newer one of the report on the last answer and that of the last heartbeat.
    pub fn newest_report(&self, heartbeat_report: Option<LoadReport>) -> Option<LoadReport> {
        let answer_report = self.report.load().as_deref().copied();
        let at = |report: &Option<LoadReport>| report.map(|report| report.at);
        if at(&answer_report) >= at(&heartbeat_report) {
            answer_report
        } else {
            heartbeat_report
        }
    }

    /// Takes in the report on an answer.
    pub fn record_report(&self, report: LoadReport) {
        self.since_report.store(0, Ordering::Relaxed);
        self.report.store(Some(Arc::new(report)));
    }

    /// When the agent may be asked again after a refusal.
    pub fn closed_until(&self) -> Timestamp {
        Duration::from_micros(self.closed_until_micros.load(Ordering::Relaxed))
    }

    /// Notes a refusal.
    pub fn record_refusal(&self, until: Timestamp) {
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.closed_until_micros.store(micros, Ordering::Relaxed);
    }

    /// Notes that a life of the agent said on an answer that it is leaving.
    pub fn record_leaving(&self, incarnation: Incarnation) {
        self.leaving_incarnation
            .fetch_max(incarnation, Ordering::Relaxed);
    }

    /// Notes that no connection to a life of the agent could be opened.
    pub fn record_connect_failure(&self, incarnation: Incarnation) {
        self.unreachable_incarnation
            .store(incarnation, Ordering::Relaxed);
    }

    /// The life that no connection could be opened to, since the last look.
    pub fn take_connect_failure(&self) -> Option<Incarnation> {
        let incarnation = self.unreachable_incarnation.swap(0, Ordering::Relaxed);
        (incarnation != 0).then_some(incarnation)
    }

    /// Counts one request in flight until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.since_report.fetch_add(1, Ordering::Relaxed);
        InFlight {
            local: Arc::clone(self),
        }
    }
}

/// A load report as routing takes it.
pub fn routing_report(load: &jj_peer::control::LoadReport, at: Timestamp) -> LoadReport {
    LoadReport {
        in_flight: load.running,
        queued: load.waiting,
        limit: load.limit,
        service: Duration::from_micros(load.latency),
        at,
    }
}

/// Counts one request in flight.
#[derive(Debug)]
pub struct InFlight {
    local: Arc<LocalAgentState>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.local.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
