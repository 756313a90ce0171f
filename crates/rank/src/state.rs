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
pub const STATUS_PAUSE: Duration = Duration::from_millis(300);

/// Ranks of a group up to which it is small; in larger ones signs of life are rarer, since each goes
/// to all others.
const SMALL_GROUP: u32 = 24;

/// Time for which what an agent said of its engine's pace counts.
const PACE_LIFE: Duration = Duration::from_millis(2_500);

/// Silence of a leader, which gives signs of life more often during a switch, after which others
/// finish it.
const LEADER_SILENCE: Duration = Duration::from_millis(320);

/// Time between two signs of life of an agent that carries a switch out.
pub const SWITCHING_PAUSE: Duration = Duration::from_millis(90);

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
    pub heard: Timestamp,
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
pub struct DeputyWord {
    /// Number of the question.
    pub number: u64,
    /// What it knows of the leader's engine.
    pub state: DeputyState,
    /// An engine has refused its last order by the fencing number.
    pub is_fenced: bool,
}

/// A task of a leader, as it was seen.
#[derive(Debug, Clone, Copy)]
pub struct TaskSeen {
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

/// Knowledge of one agent.
#[derive(Default)]
pub struct Knowledge {
    /// Last report of the engine beside it.
    pub report: Option<EngineReport>,
    /// When that was read.
    pub read: Timestamp,
    /// Length of the group's passes.
    pub passes: PassLengthEstimator,
    /// What an entry said of the service.
    pub roster: Option<Roster>,
    /// Agents of the group by rank; those that are heard.
    pub members: FastMap<Rank, Member>,
    /// Agents that hear all others.
    pub watchers: Watchers,
    /// Newest answers to tasks by rank.
    pub replies: FastMap<Rank, TaskReply>,
    /// Answers to batches of orders that were not looked at yet.
    pub results: Vec<(u64, Vec<OrderResult>)>,
    /// Content of the maps that were told last, and in which formation.
    pub maps: (u64, BTreeMap<MapVersion, Vec<SetMap>>),
    /// Formation and version of the map that is being fetched.
    pub fetching: Option<(u64, MapVersion)>,
    /// Experts by rank, as they were told last.
    pub experts: FastMap<Rank, HeldExperts>,
    /// Demand for experts, while this agent leads.
    pub demand: ExpertDemand,
    /// Highest fencing number seen in a task or order.
    pub term: Term,
    /// Highest one that other agents have told of.
    pub heard_term: Term,
    /// Runs of a switch in a row that ended since their fencing number was too low.
    pub refusals: u32,
    /// Highest number because of which an agent did not do what this one asked.
    pub outranked: Term,
    /// Map that the engine beside it loads, and since when.
    pub loading: Option<(MapVersion, Timestamp)>,
    /// The last task of a leader.
    pub task: Option<TaskSeen>,
    /// When the group last began a pass, or had nothing to do.
    pub advanced: Timestamp,
    /// When an order to an engine of the group last had no answer.
    pub unanswered: Option<Timestamp>,
    /// Whether this agent carries a switch out.
    pub switching: bool,
    /// Whether this agent is asked to stop, and begins no switch any more.
    pub is_leaving: bool,
    /// When switches with these ranks as deputies failed.
    pub unfit: FastMap<Rank, Timestamp>,
    /// What this agent knows as a deputy, and under which fencing number.
    pub deputy: Option<(Term, DeputyState)>,
    /// The last answer of a deputy.
    pub told: Option<DeputyWord>,
    /// Number of the last task given.
    pub number: u64,
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

impl Knowledge {
    /// Knows nothing; questions are numbered apart from those of earlier lives.
    pub fn new(life: Incarnation) -> Self {
        Self {
            number: (life >> NUMBER_BITS) << NUMBER_BITS,
            ..Self::default()
        }
    }

    /// Begins to carry a switch out: what was told for an earlier one counts no more.
    pub fn begin_run(&mut self) {
        self.switching = true;
        self.outranked = 0;
        self.results.clear();
    }

    /// Whether a question with this number is of this life.
    pub fn is_own_number(&self, number: u64) -> bool {
        number >> NUMBER_BITS == self.number >> NUMBER_BITS
    }

    /// The map of a task, if its content is known.
    pub fn map_of(&mut self, task: &RankTask) -> Option<Vec<SetMap>> {
        let epoch = task.goal.epoch;
        if let Some(map) = self.map(epoch, task.goal.version) {
            return Some(map.clone());
        }
        let map = task.map.as_ref()?.map(|version| match version {
            0 => default_map(self.roster.as_ref()?, self.report.as_ref()?.size),
            version => self.map(epoch, version).cloned(),
        })?;
        self.keep_map(epoch, task.goal.version, map.clone());
        Some(map)
    }

    /// The content of a map, if it is known.
    pub fn map(&self, epoch: u64, version: MapVersion) -> Option<&Vec<SetMap>> {
        let (known, maps) = &self.maps;
        maps.get(&version).filter(|_| *known == epoch)
    }

    /// Keeps the content of a map; those of other formations and much older ones are dropped.
    pub fn keep_map(&mut self, epoch: u64, version: MapVersion, map: Vec<SetMap>) {
        let (known, maps) = &mut self.maps;
        if *known != epoch {
            *known = epoch;
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
        let heard = members.map(|it| (it.status.server, it.heard));
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
    pub fn paces(&self, ranks: usize) -> Vec<f64> {
        let own = self.report.as_ref();
        let pace = |rank: Rank| match own.filter(|it| it.rank == rank) {
            Some(report) => report.pace,
            None => self.members.get(&rank).map_or(1.0, |it| it.status.pace),
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
    pub life: Incarnation,
    /// Engine beside it.
    pub engine: Engine,
    /// Address of that engine.
    pub server: SocketAddr,
    /// Socket for datagrams.
    pub socket: UdpSocket,
    /// Connections to other agents.
    pub pool: Pool,
    /// What it knows.
    pub known: RefCell<Knowledge>,
    /// An answer to a task has come.
    pub replied: Notify,
    /// The state of the group has changed.
    pub changed: Notify,
    /// There is something that the other agents should hear at once.
    pub tell_now: Notify,
}

impl State {
    /// Sends a datagram; one that can't be sent is like one that is lost.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        if let Some(bytes) = message.bytes() {
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<InstanceSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Time between two signs of life.
    pub fn status_pause(&self) -> Duration {
        let known = self.known.borrow();
        let is_large = !known.watchers.all_agents_watch();
        if is_large && known.watchers.contains(self.server) {
            return STATUS_PAUSE;
        }
        let size = known.report.as_ref().map_or(0, |it| it.size);
        STATUS_PAUSE * size.div_ceil(SMALL_GROUP).clamp(1, 3)
    }

    /// How much slower than usual the slowest engine works, of those that were heard of lately.
    pub fn slowest(&self, known: &Knowledge) -> f64 {
        let now = self.clock.now();
        let members = known.members.values();
        let fresh = members.filter(|it| it.heard + PACE_LIFE >= now);
        let own = known.report.as_ref().map_or(1.0, |it| it.pace);
        fresh.map(|it| it.status.pace).fold(own, f64::max)
    }

    /// Time between two signs of life of an agent that does not watch.
    fn usual_pause(&self) -> Duration {
        let size = self.known.borrow().report.as_ref().map_or(0, |it| it.size);
        STATUS_PAUSE * size.div_ceil(SMALL_GROUP).clamp(1, 3)
    }

    /// Agents that hear all others and were heard lately, by rank, without this one; they lead, and
    /// finish the switches of leaders that are gone.
    pub fn watching(&self) -> Vec<Rank> {
        let mut ranks = self.alive();
        let known = self.known.borrow();
        if known.watchers.all_agents_watch() {
            return ranks;
        }
        let is_watching = |rank: &Rank| {
            let member = known.members.get(rank);
            member.is_some_and(|it| known.watchers.contains(it.status.server))
        };
        ranks.retain(is_watching);
        ranks
    }

    /// Whether a leader under this fencing number is obeyed, from now on no earlier one; else the one who
    /// asks is told why.
    pub fn obeys(&self, term: Term, (from, number): (SocketAddr, u64)) -> bool {
        let highest = {
            let mut known = self.known.borrow_mut();
            known.term = known.term.max(term);
            known.term
        };
        if term == highest {
            return true;
        }
        let term = highest;
        self.send(from, &Message::Outranked { number, term });
        false
    }

    /// When another agent than the one with this rank was last heard to carry a switch out.
    pub fn other_switching(&self, except: Option<Rank>) -> Timestamp {
        let known = self.known.borrow();
        let members = known.members.iter();
        let switching = members.filter(|(rank, it)| it.status.switching && Some(**rank) != except);
        switching.map(|(_, it)| it.heard).max().unwrap_or_default()
    }

    /// Whether this agent knows enough to tell others of itself.
    pub fn can_tell(&self) -> bool {
        let known = self.known.borrow();
        known.roster.is_some() && known.report.is_some()
    }

    /// Whether this agent hears all others.
    pub fn watches(&self) -> bool {
        let known = self.known.borrow();
        known.watchers.all_agents_watch() || known.watchers.contains(self.server)
    }

    /// Whether an agent has been silent for so long that a switch it leads is left to others.
    pub fn is_silent(&self, rank: Rank, now: Timestamp) -> bool {
        let known = self.known.borrow();
        let heard = known.members.get(&rank).map(|it| it.heard);
        heard.is_none_or(|heard| now > heard + LEADER_SILENCE)
    }

    /// Notes that an order to an engine of the group had no answer.
    pub fn note_unanswered(&self) {
        self.known.borrow_mut().unanswered = Some(self.clock.now());
    }

    /// Whether orders are lost now and then.
    pub fn is_unreliable(&self) -> bool {
        let at = self.known.borrow().unanswered;
        at.is_some_and(|at| self.clock.now() < at + UNRELIABLE_FOR)
    }

    /// Notes that all ranks use a map from now on, which their agents tell only later.
    pub fn note_switched(&self, version: MapVersion) {
        let mut known = self.known.borrow_mut();
        for member in known.members.values_mut() {
            member.status.view = member.status.view.after_switch(version);
        }
    }

    /// Whether the engine of a rank holds a pass, as far as it was told.
    pub fn holds(&self, rank: Rank) -> bool {
        let view = self.known.borrow().view(rank);
        view.is_some_and(|it| it.held.is_some())
    }

    /// Agents of the group that were heard lately, by rank.
    pub fn alive(&self) -> Vec<Rank> {
        let now = self.clock.now();
        let silent = self.usual_pause().mul_f64(MISSED);
        let known = self.known.borrow();
        let alive = known
            .members
            .iter()
            .filter(|(_, it)| it.heard + silent >= now);
        let mut alive: Vec<Rank> = alive.map(|(rank, _)| *rank).collect();
        alive.sort_unstable();
        alive
    }

    /// Agents of the group, those first that were heard just now and have not failed as a deputy lately,
    /// then by rank.
    pub fn by_fitness(&self) -> Vec<Rank> {
        let now = self.clock.now();
        let mut ranks = self.alive();
        let known = self.known.borrow();
        let unfit = |rank: &Rank| {
            let failed = known.unfit.get(rank);
            let is_unfit = failed.is_some_and(|at| now < *at + UNFIT_FOR);
            let heard = known
                .members
                .get(rank)
                .map_or(Timestamp::ZERO, |it| it.heard);
            (is_unfit, now > heard + STATUS_PAUSE.mul_f64(FRESH), *rank)
        };
        ranks.sort_by_key(unfit);
        ranks
    }

    /// Notes that a switch with this deputy has failed.
    pub fn note_unfit(&self, rank: Rank) {
        let now = self.clock.now();
        self.known.borrow_mut().unfit.insert(rank, now);
    }

    /// Where an agent beside a server takes datagrams.
    pub fn agent_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings().ports.0)
    }

    /// Rank of the engine beside this agent.
    pub fn rank(&self) -> Option<Rank> {
        self.known.borrow().report.as_ref().map(|it| it.rank)
    }

    /// Whether this agent leads its group: no agent that could and has a lower rank is heard.
    pub fn leads(&self) -> bool {
        let Some(own) = self.rank().filter(|_| self.watches()) else {
            return false;
        };
        self.watching().first().is_none_or(|lowest| own < *lowest)
    }

    /// The agent that leads, where it isn't this one.
    pub fn leader(&self) -> Option<SocketAddr> {
        let own = self.rank()?;
        let lowest = self.watching().first().copied();
        let lowest = lowest.filter(|it| *it < own || !self.watches())?;
        let known = self.known.borrow();
        let server = known.members.get(&lowest)?.status.server;
        Some(self.agent_addr(server.ip()))
    }

    /// The map that all ranks have told.
    pub fn told_map(&self, size: u32, version: MapVersion) -> Option<Vec<SetMap>> {
        let known = self.known.borrow();
        let ranks: Option<Vec<_>> = (0..size)
            .map(|rank| known.experts.get(&rank).filter(|it| it.version == version))
            .collect();
        let ranks = ranks?;
        let sets = ranks.first()?.sets.len();
        let set = |set: usize| -> Option<SetMap> {
            ranks.iter().map(|it| it.sets.get(set).cloned()).collect()
        };
        (0..sets).map(set).collect()
    }
}
