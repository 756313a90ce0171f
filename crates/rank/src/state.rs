//! What an agent knows; its tasks share it on one thread.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use jj_adapter::engine::{Engine, EngineReport};
use jj_direct::{instance::InstanceSettings, pool::Pool};
use jj_news::{Message, OrderResult, RankStatus, RankTask, Roster};
use jj_policy::{
    expert_demand::ExpertDemand,
    expert_plan::{self, PlanShape},
    map_switch::{MapVersion, RankView, SetMap},
    pass_length::PassLengthEstimator,
    switch_run::{DeputyState, RankOrderOutcome, SwitchRoles},
    watchers::Watchers,
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    ids::{Incarnation, Rank, Term},
};
use tokio::{net::UdpSocket, sync::Notify};

/// Time between two signs of life in a small group.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Ranks of a group up to which it is small; in larger ones signs of life are rarer, since each goes
/// to all others.
const SMALL_GROUP: u32 = 24;

/// Time for which what an agent said of its engine's pace counts.
const PACE_LIFE: Duration = Duration::from_millis(2_500);

/// Silence of a leader, which gives signs of life more often during a switch, after which others
/// finish it.
const LEADER_SILENCE: Duration = Duration::from_millis(320);

/// Time between two signs of life of an agent that carries a switch out.
pub const SWITCH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(90);

/// Time for which orders count as unreliable after one that had no answer.
const UNRELIABLE_FOR: Duration = Duration::from_secs(3);

/// Time for which an agent is not chosen as a deputy after a switch that failed, if there are others.
const UNFIT_FOR: Duration = Duration::from_secs(3);

/// Signs of life within which an agent was heard just now.
const FRESH: f64 = 1.4;

/// Signs of life without which an agent passes for gone.
const MISSED: f64 = 3.4;

/// An agent of the group, as it was heard last.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it said.
    pub status: RankStatus,
    /// When it was heard.
    pub last_seen: Timestamp,
}

/// The answer of a rank to the task with a number.
#[derive(Debug, Clone, Copy)]
pub struct TaskReply {
    /// Number of the task.
    pub number: u64,
    /// What the engine said after the task had come.
    pub view: RankView,
    /// The map of the task.
    pub version: MapVersion,
    /// What became of the order that its agent gave; none where it gave none.
    pub outcome: Option<RankOrderOutcome>,
}

/// What a deputy has told.
#[derive(Debug, Clone, Copy)]
pub struct DeputyReply {
    /// Number of the question.
    pub number: u64,
    /// What it knows of the leader's engine.
    pub state: DeputyState,
    /// An engine has refused its last order by the fencing number.
    pub is_fenced: bool,
}

/// A task of a leader, as it was seen.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedTask {
    /// When.
    pub at: Timestamp,
    /// Who does what in the switch.
    pub roles: SwitchRoles,
}

/// Experts of one rank.
#[derive(Debug, Clone)]
pub struct HeldExperts {
    /// Map in force there.
    pub version: MapVersion,
    /// Experts by set.
    pub sets: Vec<Vec<u32>>,
}

/// Bits of a question's number that count the questions of one life of an agent.
const NUMBER_BITS: u32 = 32;

/// GroupState of one agent.
#[derive(Default)]
pub struct GroupState {
    /// Last report of the engine beside it.
    pub report: Option<EngineReport>,
    /// When that was read.
    pub report_at: Timestamp,
    /// Length of the group's passes.
    pub pass_clock: PassLengthEstimator,
    /// What an entry said of the service.
    pub roster: Option<Roster>,
    /// Agents of the group by rank; those that are heard.
    pub members: FastMap<Rank, Member>,
    /// Agents that hear all others.
    pub watchers: Watchers,
    /// Newest answers to tasks by rank.
    pub task_replies: FastMap<Rank, TaskReply>,
    /// Answers to batches of orders that were not looked at yet.
    pub batch_results: Vec<(u64, Vec<OrderResult>)>,
    /// Content of the maps that were told last, and in which formation.
    pub maps: (u64, BTreeMap<MapVersion, Vec<SetMap>>),
    /// Formation and version of the map that is being fetched.
    pub fetching_map: Option<(u64, MapVersion)>,
    /// Experts by rank, as they were told last.
    pub held_experts: FastMap<Rank, HeldExperts>,
    /// Demand for experts, while this agent leads.
    pub demand: ExpertDemand,
    /// Highest fencing number seen in a task or order.
    pub accepted_term: Term,
    /// Highest one that other agents have told of.
    pub reported_term: Term,
    /// Runs of a switch in a row that ended since their fencing number was too low.
    pub fenced_runs: u32,
    /// Highest number because of which an agent did not do what this one asked.
    pub outranked_by: Term,
    /// Map that the engine beside it loads, and since when.
    pub loading_map: Option<(MapVersion, Timestamp)>,
    /// The last task of a leader.
    pub last_task: Option<ReceivedTask>,
    /// When the group last began a pass, or had nothing to do.
    pub last_progress: Timestamp,
    /// When an order to an engine of the group last had no answer.
    pub last_unanswered: Option<Timestamp>,
    /// Whether this agent carries a switch out.
    pub is_switching: bool,
    /// Whether this agent is asked to stop, and begins no switch any more.
    pub is_leaving: bool,
    /// When switches with these ranks as deputies failed.
    pub failed_deputies: FastMap<Rank, Timestamp>,
    /// What this agent knows as a deputy, and under which fencing number.
    pub deputy_state: Option<(Term, DeputyState)>,
    /// The last answer of a deputy.
    pub deputy_reply: Option<DeputyReply>,
    /// Number of the last task given.
    pub last_number: u64,
}

/// Newest maps whose content is kept.
const MAPS_KEPT: usize = 16;

/// The map with which a group forms.
pub fn default_map(roster: &Roster, size: u32) -> Option<Vec<SetMap>> {
    let shape = PlanShape {
        ranks: size as usize,
        experts: roster.experts.experts as usize,
        ..PlanShape::default()
    };
    Some(expert_plan::default_map(
        &shape,
        roster.experts.sets as usize,
    ))
}

impl GroupState {
    /// Knows nothing; questions are numbered apart from those of earlier lives.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            last_number: (incarnation >> NUMBER_BITS) << NUMBER_BITS,
            ..Self::default()
        }
    }

    /// Begins to carry a switch out: what was told for an earlier one counts no more.
    pub fn begin_switch(&mut self) {
        self.is_switching = true;
        self.outranked_by = 0;
        self.batch_results.clear();
    }

    /// Whether a question with this number is of this life.
    pub fn is_own_request(&self, number: u64) -> bool {
        number >> NUMBER_BITS == self.last_number >> NUMBER_BITS
    }

    /// The map of a task, if its content is known.
    pub fn resolve_map(&mut self, task: &RankTask) -> Option<Vec<SetMap>> {
        let epoch = task.goal.epoch;
        if let Some(map) = self.map(epoch, task.goal.version) {
            return Some(map.clone());
        }
        let map = task.map.as_ref()?.apply(|version| match version {
            0 => default_map(self.roster.as_ref()?, self.report.as_ref()?.size),
            version => self.map(epoch, version).cloned(),
        })?;
        self.store_map(epoch, task.goal.version, map.clone());
        Some(map)
    }

    /// The content of a map, if it is known.
    pub fn map(&self, epoch: u64, version: MapVersion) -> Option<&Vec<SetMap>> {
        let (map_epoch, maps) = &self.maps;
        maps.get(&version).filter(|_| *map_epoch == epoch)
    }

    /// Keeps the content of a map; those of other formations and much older ones are dropped.
    pub fn store_map(&mut self, epoch: u64, version: MapVersion, map: Vec<SetMap>) {
        let (map_epoch, maps) = &mut self.maps;
        if *map_epoch != epoch {
            *map_epoch = epoch;
            maps.clear();
        }
        maps.insert(version, map);
        while maps.len() > MAPS_KEPT {
            maps.pop_first();
        }
    }

    /// Chooses the agents that hear all others anew.
    pub fn choose_watchers(&mut self, now: Timestamp, own: SocketAddr) {
        let Some(roster) = &self.roster else {
            return;
        };
        let members = self.members.values();
        let heard = members.map(|it| (it.status.server, it.last_seen));
        let heard: FastMap<SocketAddr, Timestamp> = heard.collect();
        let heard = |server: SocketAddr| heard.get(&server).copied();
        self.watchers.choose(now, own, &roster.servers, heard);
    }

    /// What the engine of a rank said last.
    pub fn view(&self, rank: Rank) -> Option<RankView> {
        match self.report.as_ref().filter(|it| it.rank == rank) {
            Some(report) => Some(report.view),
            None => self.members.get(&rank).map(|it| it.status.view),
        }
    }

    /// How much slower than usual each rank works, as far as it was told.
    pub fn slowdowns(&self, ranks: usize) -> Vec<f64> {
        let own = self.report.as_ref();
        let pace = |rank: Rank| match own.filter(|it| it.rank == rank) {
            Some(report) => report.pace,
            None => self.members.get(&rank).map_or(1.0, |it| it.status.slowdown),
        };
        (0..ranks as Rank).map(pace).collect()
    }
}

/// State of one agent.
pub struct State {
    /// Settings in force.
    pub settings: RefCell<Rc<InstanceSettings>>,
    /// Time.
    pub clock: SharedClock,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Engine beside it.
    pub engine: Engine,
    /// Address of that engine.
    pub server: SocketAddr,
    /// Socket for datagrams.
    pub socket: UdpSocket,
    /// Connections to other agents.
    pub pool: Pool,
    /// What it knows.
    pub group: RefCell<GroupState>,
    /// An answer to a task has come.
    pub answer_received: Notify,
    /// The state of the group has changed.
    pub group_changed: Notify,
    /// There is something that the other agents should hear at once.
    pub heartbeat_due: Notify,
}

impl State {
    /// Sends a datagram; one that can't be sent is like one that is lost.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        if let Some(bytes) = message.encode() {
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<InstanceSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Time between two signs of life.
    pub fn heartbeat_interval(&self) -> Duration {
        let group = self.group.borrow();
        let is_large = !group.watchers.all_agents_watch();
        if is_large && group.watchers.contains(self.server) {
            return HEARTBEAT_INTERVAL;
        }
        let size = group.report.as_ref().map_or(0, |it| it.size);
        HEARTBEAT_INTERVAL * size.div_ceil(SMALL_GROUP).clamp(1, 3)
    }

    /// How much slower than usual the slowest engine works, of those that were heard of lately.
    pub fn max_slowdown(&self, group: &GroupState) -> f64 {
        let now = self.clock.now();
        let members = group.members.values();
        let fresh = members.filter(|it| it.last_seen + PACE_LIFE >= now);
        let own = group.report.as_ref().map_or(1.0, |it| it.pace);
        fresh.map(|it| it.status.slowdown).fold(own, f64::max)
    }

    /// Time between two signs of life of an agent that does not watch.
    fn member_interval(&self) -> Duration {
        let size = self.group.borrow().report.as_ref().map_or(0, |it| it.size);
        HEARTBEAT_INTERVAL * size.div_ceil(SMALL_GROUP).clamp(1, 3)
    }

    /// Agents that hear all others and were heard lately, by rank, without this one; they lead, and
    /// finish the switches of leaders that are gone.
    pub fn live_watchers(&self) -> Vec<Rank> {
        let mut ranks = self.live_ranks();
        let group = self.group.borrow();
        if group.watchers.all_agents_watch() {
            return ranks;
        }
        let is_watching = |rank: &Rank| {
            let member = group.members.get(rank);
            member.is_some_and(|it| group.watchers.contains(it.status.server))
        };
        ranks.retain(is_watching);
        ranks
    }

    /// Whether a leader under this fencing number is obeyed, from now on no earlier one; else the one who
    /// asks is told why.
    pub fn accepts_term(&self, term: Term, (from, number): (SocketAddr, u64)) -> bool {
        let highest = {
            let mut group = self.group.borrow_mut();
            group.accepted_term = group.accepted_term.max(term);
            group.accepted_term
        };
        if term == highest {
            return true;
        }
        let term = highest;
        self.send(from, &Message::HigherTerm { number, term });
        false
    }

    /// When another agent than the one with this rank was last heard to carry a switch out.
    pub fn last_switching_heartbeat(&self, except: Option<Rank>) -> Timestamp {
        let group = self.group.borrow();
        let members = group.members.iter();
        let switching = members.filter(|(rank, it)| it.status.switching && Some(**rank) != except);
        switching
            .map(|(_, it)| it.last_seen)
            .max()
            .unwrap_or_default()
    }

    /// Whether this agent knows enough to tell others of itself.
    pub fn can_report(&self) -> bool {
        let group = self.group.borrow();
        group.roster.is_some() && group.report.is_some()
    }

    /// Whether this agent hears all others.
    pub fn is_watcher(&self) -> bool {
        let group = self.group.borrow();
        group.watchers.all_agents_watch() || group.watchers.contains(self.server)
    }

    /// Whether an agent has been silent for so long that a switch it leads is left to others.
    pub fn is_silent(&self, rank: Rank, now: Timestamp) -> bool {
        let group = self.group.borrow();
        let heard = group.members.get(&rank).map(|it| it.last_seen);
        heard.is_none_or(|heard| now > heard + LEADER_SILENCE)
    }

    /// Notes that an order to an engine of the group had no answer.
    pub fn record_unanswered(&self) {
        self.group.borrow_mut().last_unanswered = Some(self.clock.now());
    }

    /// Whether orders are lost now and then.
    pub fn is_losing_orders(&self) -> bool {
        let at = self.group.borrow().last_unanswered;
        at.is_some_and(|at| self.clock.now() < at + UNRELIABLE_FOR)
    }

    /// Notes that all ranks use a map from now on, which their agents tell only later.
    pub fn record_switched(&self, version: MapVersion) {
        let mut group = self.group.borrow_mut();
        for member in group.members.values_mut() {
            member.status.view = member.status.view.after_switch(version);
        }
    }

    /// Whether the engine of a rank holds a pass, as far as it was told.
    pub fn is_holding(&self, rank: Rank) -> bool {
        let view = self.group.borrow().view(rank);
        view.is_some_and(|it| it.held.is_some())
    }

    /// Agents of the group that were heard lately, by rank.
    pub fn live_ranks(&self) -> Vec<Rank> {
        let now = self.clock.now();
        let silent = self.member_interval().mul_f64(MISSED);
        let group = self.group.borrow();
        let alive = group
            .members
            .iter()
            .filter(|(_, it)| it.last_seen + silent >= now);
        let mut alive: Vec<Rank> = alive.map(|(rank, _)| *rank).collect();
        alive.sort_unstable();
        alive
    }

    /// Agents of the group, those first that were heard just now and have not failed as a deputy lately,
    /// then by rank.
    pub fn deputy_candidates(&self) -> Vec<Rank> {
        let now = self.clock.now();
        let mut ranks = self.live_ranks();
        let group = self.group.borrow();
        let unfit = |rank: &Rank| {
            let failed = group.failed_deputies.get(rank);
            let is_unfit = failed.is_some_and(|at| now < *at + UNFIT_FOR);
            let heard = group
                .members
                .get(rank)
                .map_or(Timestamp::ZERO, |it| it.last_seen);
            (
                is_unfit,
                now > heard + HEARTBEAT_INTERVAL.mul_f64(FRESH),
                *rank,
            )
        };
        ranks.sort_by_key(unfit);
        ranks
    }

    /// Notes that a switch with this deputy has failed.
    pub fn record_failed_deputy(&self, rank: Rank) {
        let now = self.clock.now();
        self.group.borrow_mut().failed_deputies.insert(rank, now);
    }

    /// Where an agent beside a server takes datagrams.
    pub fn agent_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings().ports.0)
    }

    /// Rank of the engine beside this agent.
    pub fn rank(&self) -> Option<Rank> {
        self.group.borrow().report.as_ref().map(|it| it.rank)
    }

    /// Whether this agent leads its group: no agent that could and has a lower rank is heard.
    pub fn is_leader(&self) -> bool {
        let Some(own) = self.rank().filter(|_| self.is_watcher()) else {
            return false;
        };
        self.live_watchers()
            .first()
            .is_none_or(|lowest| own < *lowest)
    }

    /// The agent that leads, where it isn't this one.
    pub fn leader_addr(&self) -> Option<SocketAddr> {
        let own = self.rank()?;
        let lowest = self.live_watchers().first().copied();
        let lowest = lowest.filter(|it| *it < own || !self.is_watcher())?;
        let group = self.group.borrow();
        let server = group.members.get(&lowest)?.status.server;
        Some(self.agent_addr(server.ip()))
    }

    /// The map that all ranks have told.
    pub fn reported_map(&self, size: u32, version: MapVersion) -> Option<Vec<SetMap>> {
        let group = self.group.borrow();
        let ranks: Option<Vec<_>> = (0..size)
            .map(|rank| {
                group
                    .held_experts
                    .get(&rank)
                    .filter(|it| it.version == version)
            })
            .collect();
        let ranks = ranks?;
        let sets = ranks.first()?.sets.len();
        let set = |set: usize| -> Option<SetMap> {
            ranks.iter().map(|it| it.sets.get(set).cloned()).collect()
        };
        (0..sets).map(set).collect()
    }
}
