//! State of an agent, shared by its tasks on one thread.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use jj_adapter::engine::{EngineClient, EngineReport};
use jj_direct::{instance_settings::InstanceSettings, pool::Pool};
use jj_news::{Message, OrderResult, RankStatus, RankTask, Roster};
use jj_policy::{
    expert_demand::ExpertDemand,
    expert_plan::{self, PlanShape},
    group_members::{GroupMembers, GroupTag, Member, UNKNOWN_GROUP, group_tag},
    map_switch::{MapVersion, RankView, SetMap},
    pass_length::PassLengthEstimator,
    switch_deputy::DeputyRecord,
    switch_run::{DeputyReport, RankOrderOutcome, SwitchRoles},
    watchers::Watchers,
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    events,
    ids::{Incarnation, Rank, Term},
    log_event,
};
use tokio::{net::UdpSocket, sync::Notify};

/// Heartbeat interval in a small group.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of ranks of a small group; in larger ones the heartbeat interval is longer, since
/// each heartbeat is sent to all other agents.
const MAX_SMALL_GROUP: u32 = 24;

/// Maximum age of the slowdown that an agent reported for its engine.
const SLOWDOWN_LIFETIME: Duration = Duration::from_millis(2_500);

/// Silence of a leader during a switch after which other agents take the switch over; its heartbeats
/// are more frequent then, see [`SWITCH_HEARTBEAT_INTERVAL`].
const LEADER_SILENCE: Duration = Duration::from_millis(320);

/// Heartbeat interval of an agent that runs a switch.
pub const SWITCH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(90);

/// Time for which orders to engines are assumed to get lost after one that was not answered.
const LOSS_WINDOW: Duration = Duration::from_secs(3);

/// Time for which an agent is not chosen as deputy after a switch with it failed, if there are others.
const FAILED_DEPUTY_WINDOW: Duration = Duration::from_secs(3);

/// Maximum age of the reports of engines on other instances, if no entry has told it.
const DEFAULT_REPORT_LAG: Duration = Duration::from_millis(500);

/// Heartbeat intervals within which a deputy candidate must have been seen to be preferred.
const FRESH_INTERVALS: f64 = 1.4;

/// Heartbeat intervals of silence after which an agent is considered gone.
const GONE_INTERVALS: f64 = 3.4;

/// Time by which heartbeats may arrive in another order than they were sent.
const MAX_REORDERING: Duration = Duration::from_secs(1);

/// What another agent of the group has reported.
#[derive(Debug, Clone)]
pub struct MemberStatus {
    /// Last heartbeat.
    pub heartbeat: RankStatus,
    /// State of its engine, as far as it is known.
    pub view: RankView,
    /// Time at which that state was read.
    pub view_at: Timestamp,
}

impl MemberStatus {
    /// Returns the status after a heartbeat. An engine's map doesn't go back within a formation of the
    /// group, so a heartbeat with an older one was overtaken, unless it comes long after.
    pub fn after(now: Timestamp, heartbeat: RankStatus, known: Option<&Member<Self>>) -> Self {
        let view_at = now.saturating_sub(Duration::from_millis(heartbeat.age_ms.into()));
        let status = Self {
            view: heartbeat.view,
            heartbeat,
            view_at,
        };
        let Some(known) = known.map(|it| &it.status) else {
            return status;
        };
        if view_at > known.view_at + MAX_REORDERING {
            return status;
        }
        Self {
            view: status.view.newer_of(known.view),
            view_at: known.view_at.max(view_at),
            ..status
        }
    }
}

/// Reply of a rank's agent to a task.
#[derive(Debug, Clone, Copy)]
pub struct TaskReply {
    /// Number of the task.
    pub number: u64,
    /// State of the engine, read after the task was received.
    pub view: RankView,
    /// Version of the task's map.
    pub version: MapVersion,
    /// Outcome of the order that the agent sent; none if it sent none.
    pub outcome: Option<RankOrderOutcome>,
}

/// Reply of a deputy to a request or query.
#[derive(Debug, Clone, Copy)]
pub struct DeputyReply {
    /// Number of the request or query.
    pub number: u64,
    /// What the deputy has ordered at the leader's engine, and for which switch.
    pub report: DeputyReport,
    /// Whether an engine refused the deputy's last order because it has seen a higher term.
    pub is_fenced: bool,
}

/// A leader's task that this agent has received.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedTask {
    /// Time at which it was received.
    pub at: Timestamp,
    /// Ranks with a part in the switch, as far as any task has told.
    pub roles: SwitchRoles,
    /// Version of the map of that switch; 0 if it is not known.
    pub version: MapVersion,
    /// Process of the leader then, if it was known.
    pub leader: Option<Incarnation>,
}

/// Experts that one rank holds.
#[derive(Debug, Clone)]
pub struct HeldExperts {
    /// Version of the map in force at the rank.
    pub version: MapVersion,
    /// Experts by set.
    pub sets: Vec<Vec<u32>>,
}

/// Low bits of a request number that count the requests of one agent process; the bits above them
/// are from its incarnation.
const REQUEST_COUNT_BITS: u32 = 32;

/// What an agent has learned about its group, and its own part in switches.
#[derive(Default)]
pub struct GroupState {
    /// Last report of this agent's engine.
    pub report: Option<EngineReport>,
    /// Time at which that report was requested.
    pub report_at: Timestamp,
    /// Time at which it was received.
    pub received_at: Timestamp,
    /// Estimate of the duration of the group's passes.
    pub pass_length: PassLengthEstimator,
    /// Servers and parameters of the service, from an entry.
    pub roster: Option<Roster>,
    /// The group, and the other agents of it from which heartbeats were received.
    pub members: GroupMembers<MemberStatus>,
    /// Agents that receive the heartbeats of all others.
    pub watchers: Watchers,
    /// Newest reply to a task from each rank.
    pub task_replies: FastMap<Rank, TaskReply>,
    /// Results of order batches, by batch number, that the switch has not processed yet.
    pub batch_results: Vec<(u64, Vec<OrderResult>)>,
    /// Contents of recent maps, and the epoch of the group in which they apply.
    pub maps: (u64, BTreeMap<MapVersion, Vec<SetMap>>),
    /// Epoch and version of the map that is being fetched.
    pub fetching_map: Option<(u64, MapVersion)>,
    /// Experts that each rank reported last.
    pub held_experts: FastMap<Rank, HeldExperts>,
    /// Estimate of the demand for experts, updated while this agent leads.
    pub demand: ExpertDemand,
    /// Highest term (fencing number) accepted with a task, order or query.
    pub accepted_term: Term,
    /// Highest term that other agents have reported.
    pub reported_term: Term,
    /// Consecutive runs of a switch that ended because their term was too low.
    pub fenced_runs: u32,
    /// Highest term with which an agent rejected a request of the current run.
    pub outranked_by: Term,
    /// Version of the map that this agent's engine is loading, and when it accepted the load.
    pub loading_map: Option<(MapVersion, Timestamp)>,
    /// Last task that was received from a leader.
    pub last_task: Option<ReceivedTask>,
    /// Time at which the group was last seen to begin a pass or to have no work.
    pub last_progress: Timestamp,
    /// Time at which an order to an engine of the group last got no answer.
    pub last_unanswered: Option<Timestamp>,
    /// Whether this agent is running a switch.
    pub is_switching: bool,
    /// Whether this agent is shutting down and leads no more switches.
    pub is_leaving: bool,
    /// Time of the last failed switch with each rank as deputy.
    pub failed_deputies: FastMap<Rank, Timestamp>,
    /// What this agent has ordered as a deputy at the leader's engine.
    pub deputy_record: Option<DeputyRecord>,
    /// Last reply of this agent's deputy.
    pub deputy_reply: Option<DeputyReply>,
    /// Number of the last request that this agent sent.
    pub last_number: u64,
}

/// Maximum number of maps whose content is kept.
const MAX_MAPS: usize = 16;

/// Returns the map with which a group of `size` ranks starts (version 0).
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
    /// Creates an empty state whose request numbers differ from those of earlier incarnations.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            last_number: (incarnation >> REQUEST_COUNT_BITS) << REQUEST_COUNT_BITS,
            ..Self::default()
        }
    }

    /// Forgets all about the group, since the engine is in another one (or in none, `None`) or the
    /// group was formed anew under the same name and a former epoch. What is kept is of the process
    /// or of the service.
    pub fn join(&mut self, group: Option<GroupTag>) {
        *self = Self {
            roster: self.roster.take(),
            last_number: self.last_number,
            is_switching: self.is_switching,
            is_leaving: self.is_leaving,
            ..Self::default()
        };
        self.members.join(group.unwrap_or(UNKNOWN_GROUP));
    }

    /// Returns whether a report that was requested at a time is of another group than the state, or of
    /// one that was formed anew under a former epoch: passes and maps don't go back within an epoch.
    pub fn is_of_other_group(&self, requested_at: Timestamp, report: &EngineReport) -> bool {
        if group_tag(&report.group_name) != self.members.group() {
            return true;
        }
        let Some(known) = self.report.as_ref().map(|it| it.view) else {
            return false;
        };
        let seen = report.view;
        let went_back = seen.pass < known.pass || seen.map < known.map;
        let began_anew = seen.epoch == known.epoch && seen.is_open && known.is_open && went_back;
        requested_at >= self.received_at && (seen.epoch < known.epoch || began_anew)
    }

    /// Returns whether the service can have no other group: it has no more servers than this one has
    /// ranks.
    pub fn is_alone(&self) -> bool {
        let servers = self.roster.as_ref().map(|it| it.servers.len());
        let size = self.report.as_ref().map(|it| it.group_size as usize);
        servers
            .zip(size)
            .is_some_and(|(servers, size)| servers <= size)
    }

    /// Returns the servers of the service that may be in this group: all but those of which another
    /// one is known.
    pub fn possible_servers(&self, now: Timestamp) -> Vec<SocketAddr> {
        let servers = self.roster.iter().flat_map(|it| it.servers.iter().copied());
        servers
            .filter(|it| !self.members.is_outsider(now, it.ip()))
            .collect()
    }

    /// Marks a switch as running and discards rejections and results of an earlier one.
    pub fn begin_switch(&mut self) {
        self.is_switching = true;
        self.outranked_by = 0;
        self.batch_results.clear();
    }

    /// Records a received task. The task of an agent that doesn't know the switch tells nothing
    /// about its roles.
    pub fn record_task(&mut self, now: Timestamp, task: &RankTask) {
        let same_switch =
            |it: &ReceivedTask| !task.roles.has_known_leader() || it.version == task.switch_version;
        let known = self.last_task.filter(same_switch);
        let leader = self.members.get(task.roles.leader);
        let received = ReceivedTask {
            at: now,
            roles: task.roles,
            version: task.switch_version,
            leader: leader.map(|it| it.status.heartbeat.incarnation),
        };
        self.last_task = Some(known.map_or(received, |known| ReceivedTask { at: now, ..known }));
    }

    /// Returns whether a request number was assigned by this process, not an earlier incarnation.
    pub fn is_own_request(&self, number: u64) -> bool {
        number >> REQUEST_COUNT_BITS == self.last_number >> REQUEST_COUNT_BITS
    }

    /// Returns the content of a task's map; none if neither it nor the map that it changes is known.
    pub fn resolve_map(&mut self, task: &RankTask) -> Option<Vec<SetMap>> {
        let epoch = task.goal.epoch;
        if let Some(map) = self.map(epoch, task.goal.version) {
            return Some(map.clone());
        }
        let map = task.map.as_ref()?.apply(|version| match version {
            0 => default_map(self.roster.as_ref()?, self.report.as_ref()?.group_size),
            version => self.map(epoch, version).cloned(),
        })?;
        self.store_map(epoch, task.goal.version, map.clone());
        Some(map)
    }

    /// Returns the content of a map, if it is known.
    pub fn map(&self, epoch: u64, version: MapVersion) -> Option<&Vec<SetMap>> {
        let (map_epoch, maps) = &self.maps;
        maps.get(&version).filter(|_| *map_epoch == epoch)
    }

    /// Stores the content of a map and drops maps of other epochs and the oldest ones.
    pub fn store_map(&mut self, epoch: u64, version: MapVersion, map: Vec<SetMap>) {
        let (map_epoch, maps) = &mut self.maps;
        if *map_epoch != epoch {
            *map_epoch = epoch;
            maps.clear();
        }
        maps.insert(version, map);
        while maps.len() > MAX_MAPS {
            maps.pop_first();
        }
    }

    /// Updates which agents are watchers; `own` is this agent's engine.
    pub fn choose_watchers(&mut self, now: Timestamp, own: SocketAddr) {
        if self.roster.is_none() {
            return;
        }
        let members = self.members.iter();
        let last_seen = members.map(|(_, it)| (it.server, it.last_seen));
        let last_seen: FastMap<SocketAddr, Timestamp> = last_seen.collect();
        let last_seen = |server: SocketAddr| last_seen.get(&server).copied();
        let servers = self.possible_servers(now);
        self.watchers.choose(now, own, &servers, last_seen);
    }

    /// Returns the last reported state of a rank's engine.
    pub fn view(&self, rank: Rank) -> Option<RankView> {
        match self.report.as_ref().filter(|it| it.rank == rank) {
            Some(report) => Some(report.view),
            None => self.members.get(rank).map(|it| it.status.view),
        }
    }

    /// Returns the slowdown of each rank's engine; 1, the usual speed, where none was reported.
    pub fn slowdowns(&self, ranks: usize) -> Vec<f64> {
        let own = self.report.as_ref();
        let slowdown = |rank: Rank| match own.filter(|it| it.rank == rank) {
            Some(report) => report.slowdown,
            None => {
                let member = self.members.get(rank);
                member.map_or(1.0, |it| it.status.heartbeat.slowdown)
            }
        };
        (0..ranks as Rank).map(slowdown).collect()
    }
}

/// Shared state of one agent.
pub struct State {
    /// Settings in force; replaced when the file is reloaded.
    pub settings: RefCell<Rc<InstanceSettings>>,
    /// Clock.
    pub clock: SharedClock,
    /// Random identifier of this process.
    pub incarnation: Incarnation,
    /// Client of the engine on the agent's instance.
    pub engine: EngineClient,
    /// Address of that engine.
    pub server: SocketAddr,
    /// Socket for datagrams.
    pub socket: UdpSocket,
    /// Connections to other agents.
    pub pool: Pool,
    /// State of the group and of this agent's part in switches.
    pub group: RefCell<GroupState>,
    /// Signals that a reply or a rejection for the running switch has arrived.
    pub answer_received: Notify,
    /// Signals that the group has opened, closed or formed anew.
    pub group_changed: Notify,
    /// Signals that a heartbeat has to be sent without delay.
    pub heartbeat_due: Notify,
}

impl State {
    /// Sends a datagram; a failure to send is ignored, like a lost datagram.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        if let Some(bytes) = message.encode() {
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<InstanceSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the interval between heartbeats of this agent to all their recipients; in a large
    /// group it is shorter for watchers than for other agents.
    pub fn heartbeat_interval(&self) -> Duration {
        let group = self.group.borrow();
        let is_large = !group.watchers.all_agents_watch();
        if is_large && group.watchers.contains(self.server) {
            return HEARTBEAT_INTERVAL;
        }
        let size = group.report.as_ref().map_or(0, |it| it.group_size);
        HEARTBEAT_INTERVAL * size.div_ceil(MAX_SMALL_GROUP).clamp(1, 3)
    }

    /// Returns the largest slowdown of the engines with a recent report.
    pub fn max_slowdown(&self, group: &GroupState) -> f64 {
        let now = self.clock.now();
        let members = group.members.iter().map(|(_, it)| it);
        let fresh = members.filter(|it| it.last_seen + SLOWDOWN_LIFETIME >= now);
        let own = group.report.as_ref().map_or(1.0, |it| it.slowdown);
        fresh
            .map(|it| it.status.heartbeat.slowdown)
            .fold(own, f64::max)
    }

    /// Returns the heartbeat interval of agents that are not watchers.
    fn non_watcher_interval(&self) -> Duration {
        let size = self
            .group
            .borrow()
            .report
            .as_ref()
            .map_or(0, |it| it.group_size);
        HEARTBEAT_INTERVAL * size.div_ceil(MAX_SMALL_GROUP).clamp(1, 3)
    }

    /// Returns the ranks of live watchers except this agent, in ascending order. The lowest watcher
    /// leads the group, and watchers take over the switches of leaders that are gone.
    pub fn live_watchers(&self) -> Vec<Rank> {
        let mut ranks = self.live_ranks();
        let group = self.group.borrow();
        if group.watchers.all_agents_watch() {
            return ranks;
        }
        let is_watcher = |rank: &Rank| {
            let member = group.members.get(*rank);
            member.is_some_and(|it| group.watchers.contains(it.server))
        };
        ranks.retain(is_watcher);
        ranks
    }

    /// Accepts the term of a request unless a higher one was accepted before. Otherwise sends a
    /// rejection to the requester and returns false.
    pub fn accept_term(&self, term: Term, (from, number): (SocketAddr, u64)) -> bool {
        let (highest, group) = {
            let mut group = self.group.borrow_mut();
            group.accepted_term = group.accepted_term.max(term);
            (group.accepted_term, group.members.group())
        };
        if term == highest {
            return true;
        }
        let term = highest;
        let message = Message::HigherTerm {
            number,
            term,
            group,
        };
        self.send(from, &message);
        false
    }

    /// Returns when an agent other than `except` last reported that it runs a switch; zero if none did.
    pub fn last_switching_heartbeat(&self, except: Option<Rank>) -> Timestamp {
        let group = self.group.borrow();
        let members = group.members.iter();
        let switching =
            members.filter(|(rank, it)| it.status.heartbeat.switching && Some(*rank) != except);
        switching
            .map(|(_, it)| it.last_seen)
            .max()
            .unwrap_or_default()
    }

    /// Returns whether this agent has the roster and an engine report, which heartbeats need.
    pub fn can_report(&self) -> bool {
        let group = self.group.borrow();
        group.roster.is_some() && group.report.is_some()
    }

    /// Returns whether this agent receives the heartbeats of all others.
    pub fn is_watcher(&self) -> bool {
        let group = self.group.borrow();
        group.watchers.all_agents_watch() || group.watchers.contains(self.server)
    }

    /// Returns whether an agent has been silent so long that others take over a switch that it leads.
    pub fn is_silent(&self, rank: Rank, now: Timestamp) -> bool {
        let group = self.group.borrow();
        let last_seen = group.members.get(rank).map(|it| it.last_seen);
        last_seen.is_none_or(|last_seen| now > last_seen + LEADER_SILENCE)
    }

    /// Returns whether the agent that led the switch of a task has gone: it is silent, or another
    /// process has started in its place.
    pub fn has_leader_gone(&self, task: &ReceivedTask, now: Timestamp) -> bool {
        let leader = task.roles.leader;
        let group = self.group.borrow();
        let current = group.members.get(leader);
        let current = current.map(|it| it.status.heartbeat.incarnation);
        let has_restarted = task.leader.is_some() && current != task.leader;
        drop(group);
        has_restarted || self.is_silent(leader, now)
    }

    /// Records that an order to an engine of the group got no answer.
    pub fn record_unanswered(&self) {
        self.group.borrow_mut().last_unanswered = Some(self.clock.now());
    }

    /// Returns whether an order got no answer recently, so that more may be lost.
    pub fn is_losing_orders(&self) -> bool {
        let at = self.group.borrow().last_unanswered;
        at.is_some_and(|at| self.clock.now() < at + LOSS_WINDOW)
    }

    /// Records that all ranks use a map, ahead of the heartbeats that report it.
    pub fn record_switched(&self, version: MapVersion) {
        let now = self.clock.now();
        let mut group = self.group.borrow_mut();
        for member in group.members.values_mut() {
            member.status.view = member.status.view.after_switch(version);
            member.status.view_at = now;
        }
    }

    /// Returns for how long the engine of another instance may tell an old report.
    pub fn report_lag(&self) -> Duration {
        let group = self.group.borrow();
        let lag = group.roster.as_ref().map(|it| it.report_lag_ms);
        match lag {
            None | Some(0) => DEFAULT_REPORT_LAG,
            Some(lag) => Duration::from_millis(lag.into()),
        }
    }

    /// Returns the lowest rank, this one or that of a live agent, whose last reported state meets a
    /// condition.
    pub fn find_rank(&self, condition: impl Fn(&RankView) -> bool) -> Option<Rank> {
        let mut ranks = self.live_ranks();
        ranks.extend(self.rank());
        ranks.sort_unstable();
        let group = self.group.borrow();
        let meets = |rank: &Rank| group.view(*rank).is_some_and(|it| condition(&it));
        ranks.into_iter().find(meets)
    }

    /// Returns the ranks of the other agents that are not considered gone, in ascending order.
    pub fn live_ranks(&self) -> Vec<Rank> {
        let now = self.clock.now();
        let max_silence = self.non_watcher_interval().mul_f64(GONE_INTERVALS);
        let group = self.group.borrow();
        let live = group
            .members
            .iter()
            .filter(|(_, it)| it.last_seen + max_silence >= now);
        let mut live: Vec<Rank> = live.map(|(rank, _)| rank).collect();
        live.sort_unstable();
        live
    }

    /// Returns the live ranks in order of preference as deputy: first those without a recent failure
    /// as deputy, then those with a recent heartbeat, then by rank.
    pub fn deputy_candidates(&self) -> Vec<Rank> {
        let now = self.clock.now();
        let mut ranks = self.live_ranks();
        let group = self.group.borrow();
        let preference = |rank: &Rank| {
            let failed_at = group.failed_deputies.get(rank);
            let has_failed = failed_at.is_some_and(|at| now < *at + FAILED_DEPUTY_WINDOW);
            let last_seen = group
                .members
                .get(*rank)
                .map_or(Timestamp::ZERO, |it| it.last_seen);
            (
                has_failed,
                now > last_seen + HEARTBEAT_INTERVAL.mul_f64(FRESH_INTERVALS),
                *rank,
            )
        };
        ranks.sort_by_key(preference);
        ranks
    }

    /// Records that a switch with this rank as deputy has failed.
    pub fn record_failed_deputy(&self, rank: Rank) {
        let now = self.clock.now();
        self.group.borrow_mut().failed_deputies.insert(rank, now);
    }

    /// Returns the address at which the agent on an instance receives datagrams.
    pub fn agent_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings().internal_ports.0)
    }

    /// Returns the rank of this agent's engine; none before its first report.
    pub fn rank(&self) -> Option<Rank> {
        self.group.borrow().report.as_ref().map(|it| it.rank)
    }

    /// Returns whether this agent leads its group: it is the live watcher with the lowest rank.
    pub fn is_leader(&self) -> bool {
        let Some(own) = self.rank().filter(|_| self.is_watcher()) else {
            return false;
        };
        self.live_watchers()
            .first()
            .is_none_or(|lowest| own < *lowest)
    }

    /// Returns the group of this agent's engine; [`UNKNOWN_GROUP`] before it has named one.
    pub fn own_group(&self) -> GroupTag {
        self.group.borrow().members.group()
    }

    /// Returns whether a task or request with the tag of a group is of this agent's group, as it is now.
    pub fn is_own_group(&self, group: GroupTag) -> bool {
        group == UNKNOWN_GROUP || group == self.own_group()
    }

    /// Records that the engine or agent on an instance has named another group.
    pub fn record_outsider(&self, instance: IpAddr) {
        let now = self.clock.now();
        let was_member = self
            .group
            .borrow_mut()
            .members
            .record_outsider(now, instance);
        if was_member {
            log_event!(
                events::MEMBER_CHANGED,
                instance = instance.to_string();
                "a server of the group is in another one now"
            );
        }
    }

    /// Returns the datagram address of the group's leader; none if this agent leads.
    pub fn leader_addr(&self) -> Option<SocketAddr> {
        let own = self.rank()?;
        let lowest = self.live_watchers().first().copied();
        let lowest = lowest.filter(|it| *it < own || !self.is_watcher())?;
        let group = self.group.borrow();
        let server = group.members.server(lowest)?;
        Some(self.agent_addr(server.ip()))
    }

    /// Assembles a map from the experts that the ranks reported; none unless all have reported them
    /// for this version.
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
