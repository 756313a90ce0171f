//! The leader of a lock-step group, in the agent of rank 0: recovers the state that an earlier
//! leader left, forms the group, and switches to a better expert map when the rebalancer finds one
//! that is worth the switch.

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

/// Interval at which unanswered requests are sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the popularity of experts is evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a map that not all ranks have prepared is abandoned; by then the first prepare
/// orders have been answered or have expired.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of steps by which the step of a switch lies ahead of the furthest rank.
const SWITCH_LEAD_STEPS: u64 = 50;

/// Dependencies of the leader.
pub struct LeaderContext {
    /// Service of the group.
    pub service: ServiceId,
    /// Incarnation of this agent.
    pub incarnation: Incarnation,
    /// Shape of the group.
    pub shape: GroupShape,
    /// Control address of this agent; requests to the ranks are sent from its host.
    pub control_addr: SocketAddr,
    /// Engine of rank 0, which reports for the group.
    pub engine: BackendClient,
    /// Live list, with the addresses of the ranks' agents.
    pub list: watch::Receiver<LiveList>,
    /// Records changes for operators.
    pub audit: Arc<AuditTrail>,
    /// Clock.
    pub clock: SharedClock,
    /// Ends the leader.
    pub token: CancellationToken,
}

/// Leads the group until the token is cancelled or a newer leader supersedes this one.
pub async fn run(context: LeaderContext) {
    let link = match GroupLink::bind(context.control_addr).await {
        Ok(link) => Arc::new(link),
        Err(error) => {
            let service = &context.service;
            log_event!(
                events::PROCESS_FAILED,
                "leader of the group of {service} can't bind its socket: {error}"
            );
            return;
        }
    };
    let (replies, mut reply_receiver) = mpsc::unbounded_channel();
    let config = LeaderConfig {
        incarnation: context.incarnation,
        ranks: context.shape.ranks,
        switch_lead_steps: SWITCH_LEAD_STEPS,
    };
    let token = context.token.clone();
    let mut task = LeaderTask {
        leader: Leader::new(&config),
        link: Arc::clone(&link),
        clients: ControlClients::default(),
        proposed_maps: FastMap::default(),
        current_map: None,
        popularity: Popularity::new(context.shape.experts, PopularityConfig::default()),
        rebalancer: Rebalancer::new(RebalanceConfig::default()),
        stall_timer: StallTimer::default(),
        preparing_since: None,
        map_to_propose: None,
        proposal_base: None,
        ranks_sent: FastSet::default(),
        replies,
        context,
    };
    task.handle(LeaderInput::Recover);
    let mut retry = tokio::time::interval(RETRY_INTERVAL);
    let mut evaluate = tokio::time::interval(EVALUATION_INTERVAL);
    while !task.leader.is_superseded() {
        tokio::select! {
            () = token.cancelled() => return,
            Some(reply) = reply_receiver.recv() => task.handle(LeaderInput::Reply(reply)),
            reply = link.receive_reply() => task.handle(LeaderInput::Reply(reply.into())),
            _ = retry.tick() => task.retry(),
            _ = evaluate.tick() => task.evaluate_placement().await,
        }
    }
}

/// State of the leader.
struct LeaderTask {
    context: LeaderContext,
    leader: Leader,
    link: Arc<GroupLink>,
    /// Clients for requests that are too long for a datagram.
    clients: ControlClients,
    /// Content of the last map proposed, by its id.
    proposed_maps: FastMap<MapId, ExpertMap>,
    /// Map in force, once known.
    current_map: Option<ExpertMap>,
    popularity: Popularity,
    rebalancer: Rebalancer,
    stall_timer: StallTimer,
    /// Time at which the preparation in progress was first observed.
    preparing_since: Option<Timestamp>,
    /// Map to propose under the next id.
    map_to_propose: Option<ExpertMap>,
    /// Map in force when the open proposal was made.
    proposal_base: Option<ExpertMap>,
    /// Ranks to which the open proposal was sent.
    ranks_sent: FastSet<Rank>,
    replies: mpsc::UnboundedSender<Reply>,
}

impl LeaderTask {
    fn handle(&mut self, input: LeaderInput) {
        self.apply_input(input);
        if self.map_to_propose.is_some() && self.leader.is_idle() {
            self.apply_input(LeaderInput::Propose);
        }
    }

    /// Sends unanswered requests again, or abandons a preparation that has reached its timeout.
    fn retry(&mut self) {
        if !self.leader.is_preparing() {
            self.preparing_since = None;
            return self.handle(LeaderInput::Retry);
        }
        let now = self.context.clock.now();
        let since = *self.preparing_since.get_or_insert(now);
        if now < since + PREPARE_TIMEOUT {
            return self.handle(LeaderInput::Retry);
        }
        self.preparing_since = None;
        self.handle(LeaderInput::PrepareTimeout);
    }

    fn apply_input(&mut self, input: LeaderInput) {
        for output in self.leader.handle(input) {
            match output {
                LeaderOutput::Send { rank, request } => self.send(rank, request),
                LeaderOutput::Committed(id) => self.record_commit(id),
                LeaderOutput::Aborted(id) => self.record_audit(events::MAP_ABORTED, id, "aborted"),
                LeaderOutput::Superseded(term) => {
                    let id = MapId { term, seq: 0 };
                    self.record_audit(events::ORDER_FENCED, id, "superseded by a newer leader");
                }
            }
        }
    }

    /// Evaluates the popularity of experts, and proposes a map when a better one is worth a switch.
    async fn evaluate_placement(&mut self) {
        let Ok(report) = orders::read_group_report(&self.context.engine).await else {
            return;
        };
        let now = self.context.clock.now();
        let has_stepped = report.counts.iter().flatten().any(|count| *count > 0);
        let is_due = self.stall_timer.update(now, has_stepped);
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
        self.current_map = ExpertMap::from_slots(self.context.shape, report.slots);
        let (Some(map), Some(shares)) = (&self.current_map, self.popularity.predict(now)) else {
            return;
        };
        if let Some(plan) = self.rebalancer.plan(now, map, &shares) {
            self.propose(plan.map);
        }
    }

    /// Proposes a map after all ranks have been read again: the step of the switch has to lie ahead
    /// of their current steps.
    fn propose(&mut self, map: ExpertMap) {
        self.map_to_propose = Some(map);
        self.handle(LeaderInput::Recover);
    }

    fn send(&mut self, rank: Rank, request: Request) {
        let Some(addr) = self.rank_control_addr(rank) else {
            return;
        };
        let request = self.build_request(rank, &request);
        if self.link.send_request(addr, &request) {
            return;
        }
        let Ok(client) = self.clients.get(addr) else {
            return;
        };
        let replies = self.replies.clone();
        tokio::spawn(async move {
            // After a lost request or reply, the next retry sends the request again.
            if let Ok(Some(reply)) = client.group(request).await {
                let _ = replies.send(reply.into());
            }
        });
    }

    /// Builds the request in wire form. The first prepare to a rank contains only the changes to
    /// the map in force; a repeated one contains all slots.
    fn build_request(&mut self, rank: Rank, request: &Request) -> RequestWire {
        let slots = self.proposal_slots(request);
        let is_first = !slots.is_empty() && self.ranks_sent.insert(rank);
        let base = self.proposal_base.as_ref().filter(|_| is_first);
        let changes = base.and_then(|base| diff_slots(base.slots(), &slots));
        RequestWire {
            term: request.term,
            target: request.target,
            action: request.action.into(),
            slots: if changes.is_some() { Vec::new() } else { slots },
            changes: changes.map(Into::into),
        }
    }

    /// Returns the slots of the map that a prepare names, and stores the map to propose under that
    /// id at its first prepare; empty for another action.
    fn proposal_slots(&mut self, request: &Request) -> Vec<ExpertId> {
        let Action::Prepare { id, .. } = request.action else {
            return Vec::new();
        };
        if let Some(map) = self.map_to_propose.take() {
            self.record_audit(events::MAP_PREPARED, id, "prepared");
            self.proposed_maps.clear();
            self.ranks_sent.clear();
            self.proposal_base = self.current_map.clone();
            self.proposed_maps.insert(id, map);
        }
        self.proposed_maps
            .get(&id)
            .map(|map| map.slots().to_vec())
            .unwrap_or_default()
    }

    fn rank_control_addr(&self, rank: Rank) -> Option<SocketAddr> {
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

    fn record_commit(&mut self, id: MapId) {
        self.record_audit(events::MAP_COMMITTED, id, "committed");
        if let Some(map) = self.proposed_maps.remove(&id) {
            self.current_map = Some(map);
        }
    }

    fn record_audit(&self, event: events::Event, id: MapId, to: &str) {
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
