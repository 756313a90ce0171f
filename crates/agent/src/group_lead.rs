//! The leader of a lock-step group, in the agent of rank 0: recovers what an earlier leader left,
//! forms the group, and switches to a better expert map when the rebalancer finds one that pays.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jj_backend::{call::BackendClient, orders};
use jj_node::{control_client::ControlClients, group_link::GroupLink};
use jj_operator::audit::{AuditTrail, Change};
use jj_peer::{control::ControlClient, group::RequestWire};
use jj_platform::live_list::LiveList;
use jj_policy::{
    expert_map::{ExpertMap, GroupShape, diff_slots},
    group_leader::{Leader, LeaderConfig, LeaderInput, LeaderOutput},
    group_switch::{Action, MapId, Reply, Request},
    popularity::{ExpertCounts, Popularity, PopularityConfig},
    rebalance::{RebalanceConfig, Rebalancer},
    stall_timer::StallTimer,
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::{FastMap, FastSet},
    events,
    ids::{ExpertId, Incarnation, Rank, ServiceId},
    log_event,
};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Time after which what has no answer is sent again.
const RETRY: Duration = Duration::from_millis(250);

/// Time between two looks at the popularity of experts.
const LOOK: Duration = Duration::from_secs(1);

/// Time after which a map that not all ranks have prepared is given up; the first orders to do so
/// have been answered or have expired by then.
const PREPARE_LIMIT: Duration = Duration::from_secs(3);

/// Steps between the furthest rank and the step of a switch.
const STEP_LEAD: u64 = 50;

/// What a leader needs.
pub struct LeadContext {
    /// Service of the group.
    pub service: ServiceId,
    /// Life of this agent.
    pub incarnation: Incarnation,
    /// Shape of the group.
    pub shape: GroupShape,
    /// Control address of this agent, on whose host the ranks are asked from.
    pub control_addr: SocketAddr,
    /// Engine of rank 0, which reports for the group.
    pub engine: BackendClient,
    /// Where the agents of the ranks are.
    pub list: watch::Receiver<LiveList>,
    /// Changes made here, for operators.
    pub audit: Arc<AuditTrail>,
    /// Time.
    pub clock: SharedClock,
    /// Ends the leader.
    pub token: CancellationToken,
}

/// Leads until the token is cancelled or a newer leader is heard of.
pub async fn run(context: LeadContext) {
    let link = match GroupLink::bind(context.control_addr).await {
        Ok(link) => Arc::new(link),
        Err(error) => {
            let service = &context.service;
            log_event!(
                events::PROCESS_FAILED,
                "the group of {service} is not led: {error}"
            );
            return;
        }
    };
    let (replies, mut arrived) = mpsc::unbounded_channel();
    let config = LeaderConfig {
        incarnation: context.incarnation,
        ranks: context.shape.ranks,
        switch_lead_steps: STEP_LEAD,
    };
    let token = context.token.clone();
    let mut task = Task {
        leader: Leader::new(&config),
        link: Arc::clone(&link),
        clients: ControlClients::default(),
        proposals: FastMap::default(),
        current: None,
        popularity: Popularity::new(context.shape.experts, PopularityConfig::default()),
        rebalancer: Rebalancer::new(RebalanceConfig::default()),
        standstill: StallTimer::default(),
        preparing: None,
        wanted: None,
        base: None,
        sent: FastSet::default(),
        replies,
        context,
    };
    task.handle(LeaderInput::Recover);
    let mut retry = tokio::time::interval(RETRY);
    let mut look = tokio::time::interval(LOOK);
    while !task.leader.is_superseded() {
        tokio::select! {
            () = token.cancelled() => return,
            Some(reply) = arrived.recv() => task.handle(LeaderInput::Reply(reply)),
            reply = link.reply() => task.handle(LeaderInput::Reply(reply.into())),
            _ = retry.tick() => task.retry(),
            _ = look.tick() => task.look().await,
        }
    }
}

struct Task {
    context: LeadContext,
    leader: Leader,
    link: Arc<GroupLink>,
    /// For requests that are too long for a datagram.
    clients: ControlClients,
    /// Content of the maps proposed in this life.
    proposals: FastMap<MapId, ExpertMap>,
    /// Map in force, once known.
    current: Option<ExpertMap>,
    popularity: Popularity,
    rebalancer: Rebalancer,
    standstill: StallTimer,
    /// When the preparation under way was first seen.
    preparing: Option<Timestamp>,
    /// Map to propose under the next id.
    wanted: Option<ExpertMap>,
    /// Map that was in force when the open proposal was made.
    base: Option<ExpertMap>,
    /// Ranks that the open proposal was sent to.
    sent: FastSet<Rank>,
    replies: mpsc::UnboundedSender<Reply>,
}

impl Task {
    fn handle(&mut self, input: LeaderInput) {
        self.drive(input);
        if self.wanted.is_some() && self.leader.is_idle() {
            self.drive(LeaderInput::Propose);
        }
    }

    /// Sends again what has no answer, or gives up what has had none for too long.
    fn retry(&mut self) {
        if !self.leader.is_preparing() {
            self.preparing = None;
            return self.handle(LeaderInput::Retry);
        }
        let now = self.context.clock.now();
        let since = *self.preparing.get_or_insert(now);
        if now < since + PREPARE_LIMIT {
            return self.handle(LeaderInput::Retry);
        }
        self.preparing = None;
        self.handle(LeaderInput::PrepareTimeout);
    }

    fn drive(&mut self, input: LeaderInput) {
        for output in self.leader.handle(input) {
            match output {
                LeaderOutput::Send { rank, request } => self.send(rank, request),
                LeaderOutput::Committed(id) => self.committed(id),
                LeaderOutput::Aborted(id) => self.audit(events::MAP_ABORTED, id, "aborted"),
                LeaderOutput::Superseded(term) => {
                    let id = MapId { term, seq: 0 };
                    self.audit(events::ORDER_FENCED, id, "superseded by a newer leader");
                }
            }
        }
    }

    /// Looks at the popularity of experts and proposes a map when one pays.
    async fn look(&mut self) {
        let Ok(report) = orders::read_report(&self.context.engine).await else {
            return;
        };
        let now = self.context.clock.now();
        let has_stepped = report.counts.iter().flatten().any(|count| *count > 0);
        let is_due = self.standstill.update(now, has_stepped);
        self.popularity.record_counts(&ExpertCounts {
            until: now,
            counts: report.counts,
        });
        if !self.leader.is_idle() {
            return;
        }
        if self.leader.needs_formation() {
            return self.propose(ExpertMap::uniform(self.context.shape));
        }
        if is_due {
            return self.handle(LeaderInput::Recover);
        }
        self.current = ExpertMap::from_slots(self.context.shape, report.slots);
        let (Some(map), Some(shares)) = (&self.current, self.popularity.predict(now)) else {
            return;
        };
        if let Some(plan) = self.rebalancer.plan(now, map, &shares) {
            self.propose(plan.map);
        }
    }

    /// Proposes a map once all ranks have been read anew: the step of the switch has to lie ahead
    /// of where they are now.
    fn propose(&mut self, map: ExpertMap) {
        self.wanted = Some(map);
        self.handle(LeaderInput::Recover);
    }

    fn send(&mut self, rank: Rank, request: Request) {
        let Some(addr) = self.address(rank) else {
            return;
        };
        let request = self.request(rank, &request);
        if self.link.ask(addr, &request) {
            return;
        }
        let Ok(client) = self.clients.get(addr) else {
            return;
        };
        let replies = self.replies.clone();
        tokio::spawn(async move {
            // A lost request or answer is sent again by the next retry.
            if let Ok(Some(reply)) = client.group(request).await {
                let _ = replies.send(reply.into());
            }
        });
    }

    /// The request as it is sent: a rank gets the changes of the map in force first, and all slots
    /// when it is asked again.
    fn request(&mut self, rank: Rank, request: &Request) -> RequestWire {
        let slots = self.slots(request);
        let is_first = !slots.is_empty() && self.sent.insert(rank);
        let base = self.base.as_ref().filter(|_| is_first);
        let changes = base.and_then(|base| diff_slots(base.slots(), &slots));
        RequestWire {
            term: request.term,
            target: request.target,
            action: request.action.into(),
            slots: if changes.is_some() { Vec::new() } else { slots },
            changes: changes.map(Into::into),
        }
    }

    /// Content of the map that a prepare names; kept under its id from its first request on.
    fn slots(&mut self, request: &Request) -> Vec<ExpertId> {
        let Action::Prepare { id, .. } = request.action else {
            return Vec::new();
        };
        if let Some(map) = self.wanted.take() {
            self.audit(events::MAP_PREPARED, id, "prepared");
            self.proposals.clear();
            self.sent.clear();
            self.base = self.current.clone();
            self.proposals.insert(id, map);
        }
        self.proposals
            .get(&id)
            .map(|map| map.slots().to_vec())
            .unwrap_or_default()
    }

    fn address(&self, rank: Rank) -> Option<SocketAddr> {
        let list = self.context.list.borrow();
        let member = |i: &&jj_platform::wire::Instance| {
            i.service == self.context.service && i.rank == Some(rank)
        };
        list.list
            .instances
            .iter()
            .find(member)
            .map(|instance| instance.control)
    }

    fn committed(&mut self, id: MapId) {
        self.audit(events::MAP_COMMITTED, id, "committed");
        if let Some(map) = self.proposals.remove(&id) {
            self.current = Some(map);
        }
    }

    fn audit(&self, event: events::Event, id: MapId, to: &str) {
        let MapId { term, seq } = id;
        self.context.audit.record(
            event,
            Change {
                subject: format!("expert map {term}.{seq} of {}", self.context.service),
                from: "proposed".into(),
                to: to.into(),
                reason: "two-phase switch".into(),
                index: 0,
            },
        );
    }
}
