//! What an agent knows; its tasks share it on one thread.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use jj_adapter::engine::{Engine, EngineReport};
use jj_direct::instance::InstanceSettings;
use jj_news::{DeputyState, RankStatus, Roster, SwitchRoles};
use jj_policy::{
    demand::Demand,
    map_switch::{MapVersion, RankView, SetMap},
    pass_clock::PassClock,
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    ids::{Incarnation, Rank, Term},
};
use tokio::{net::UdpSocket, sync::Notify};

/// Silence after which an agent passes for gone.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_000);

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

/// Knowledge of one agent.
#[derive(Default)]
pub struct Knowledge {
    /// Last report of the engine beside it.
    pub report: Option<EngineReport>,
    /// When that was read.
    pub read: Timestamp,
    /// Length of the group's passes.
    pub passes: PassClock,
    /// What an entry said of the service.
    pub roster: Option<Roster>,
    /// Agents of the group by rank.
    pub members: FastMap<Rank, Member>,
    /// Newest answers to tasks by rank.
    pub replies: FastMap<Rank, TaskReply>,
    /// Experts by rank, as they were told last.
    pub experts: FastMap<Rank, HeldExperts>,
    /// Demand for experts, while this agent leads.
    pub demand: Demand,
    /// Highest fencing number seen.
    pub term: Term,
    /// Map that the engine beside it loads, and since when.
    pub loading: Option<(MapVersion, Timestamp)>,
    /// The last task of a leader.
    pub task: Option<TaskSeen>,
    /// When the group last began a pass, or had nothing to do.
    pub advanced: Timestamp,
    /// Whether this agent carries a switch out.
    pub switching: bool,
    /// What this agent knows as a deputy, and under which fencing number.
    pub deputy: Option<(Term, DeputyState)>,
    /// The last answer of a deputy.
    pub told: Option<(u64, DeputyState)>,
    /// Number of the last task given.
    pub number: u64,
}

impl Knowledge {
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
    /// What it knows.
    pub known: RefCell<Knowledge>,
    /// An answer to a task has come.
    pub replied: Notify,
    /// The state of the group has changed.
    pub changed: Notify,
}

impl State {
    /// Settings in force.
    pub fn settings(&self) -> Rc<InstanceSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Where an agent beside a server takes datagrams.
    pub fn agent_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings().ports.0)
    }

    /// Rank of the engine beside this agent.
    pub fn rank(&self) -> Option<Rank> {
        self.known.borrow().report.as_ref().map(|it| it.rank)
    }

    /// Whether this agent leads its group: no agent with a lower rank is heard.
    pub fn leads(&self) -> bool {
        let now = self.clock.now();
        let known = self.known.borrow();
        let Some(report) = &known.report else {
            return false;
        };
        let lower = known
            .members
            .iter()
            .filter(|(rank, _)| **rank < report.rank);
        let mut alive = lower.filter(|(_, it)| it.heard + SILENT_AFTER >= now);
        alive.next().is_none()
    }

    /// The agent that leads, where it isn't this one.
    pub fn leader(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let known = self.known.borrow();
        let own = known.report.as_ref()?.rank;
        let alive = known
            .members
            .iter()
            .filter(|(_, it)| it.heard + SILENT_AFTER >= now);
        let (rank, member) = alive.min_by_key(|(rank, _)| **rank)?;
        (*rank < own).then(|| self.agent_addr(member.status.server.ip()))
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
