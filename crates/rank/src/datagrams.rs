//! Exchanges datagrams with the other agents of the group and with entries: sends heartbeats and
//! reports, and handles what is received.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use jj_news::{GroupStatus, MAX_DATAGRAM_BYTES, Message, RankStatus, RankTask, Roster, server_tag};
use jj_policy::{
    group_members::{Sender, UNKNOWN_GROUP},
    load_sums::ServerTag,
    switch_run::{DeputyReport, RankOrderOutcome},
};
use jj_utils::{
    clock::Timestamp,
    events,
    ids::{Rank, Term},
    log_event,
};
use tokio::task::spawn_local;

use crate::{
    deputy, driver, orders,
    state::{
        DeputyReply, HEARTBEAT_INTERVAL, HeldExperts, MemberStatus, SWITCH_HEARTBEAT_INTERVAL,
        State, TaskReply,
    },
};

/// Interval between group status reports of a leader to entries.
const GROUP_STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between reports of the group's servers to entries, unless they change.
const SERVERS_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between requests for the roster.
const ROSTER_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between rounds of an agent that lacks the roster or an engine report since it has just
/// started.
const STARTUP_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of a round from which the process is assumed to have been suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(400);

/// Receives and handles datagrams for as long as the process runs.
pub async fn receive(state: Rc<State>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((length, from)) = state.socket.recv_from(&mut buffer).await
            && let Some(message) = Message::decode(&buffer[..length])
        {
            handle(&state, from, message);
        }
    }
}

/// Sends heartbeats to other agents and requests the roster from entries, for as long as the process
/// runs.
pub async fn send_heartbeats(state: Rc<State>) {
    let mut sender = HeartbeatSender {
        next_round_at: state.clock.now(),
        roster_requested_at: None,
        roster_requests: 0,
        sent_at: None,
        watchers: Vec::new(),
        state,
    };
    loop {
        let interval = sender.run_round();
        let heartbeat_due = sender.state.heartbeat_due.notified();
        if tokio::time::timeout(interval, heartbeat_due).await.is_ok() {
            sender.sent_at = None;
        }
    }
}

/// State of the task that sends heartbeats.
struct HeartbeatSender {
    state: Rc<State>,
    /// Time at which the next round is due.
    next_round_at: Timestamp,
    /// Time of the last request for the roster.
    roster_requested_at: Option<Timestamp>,
    /// Number of requests for the roster.
    roster_requests: usize,
    /// Time of the last heartbeat to all recipients; none makes one due at once.
    sent_at: Option<Timestamp>,
    /// Other agents that were watchers in the last round.
    watchers: Vec<SocketAddr>,
}

impl HeartbeatSender {
    /// Sends what is due; returns the time until the next round.
    fn run_round(&mut self) -> Duration {
        let now = self.state.clock.now();
        if now > self.next_round_at + SUSPENSION_THRESHOLD {
            drop_received(&self.state);
            let stalled_ms = (now - self.next_round_at).as_millis() as u64;
            log_event!(events::PROCESS_STALLED, for_ms = stalled_ms; "the process was stalled");
        }
        self.request_roster(now);
        self.state
            .group
            .borrow_mut()
            .choose_watchers(now, self.state.server);
        let watchers = watchers(&self.state);
        if watchers != self.watchers && !self.state.group.borrow().watchers.all_agents_watch() {
            log_event!(
                events::WATCHERS_CHANGED,
                others = watchers.len(), before = self.watchers.len(),
                watches = self.state.is_watcher();
                "the watchers of the group changed"
            );
        }
        let is_due = self
            .sent_at
            .is_none_or(|at| now >= at + self.state.heartbeat_interval());
        if is_due || watchers != self.watchers {
            send_heartbeat(&self.state, peers(&self.state));
            self.sent_at = Some(now);
        } else if self.state.group.borrow().is_switching {
            send_heartbeat(&self.state, watchers.clone());
        }
        self.watchers = watchers;
        let interval = self.round_interval();
        self.next_round_at = now + interval;
        interval
    }

    /// Requests the roster if it is due: in each round until there is one, then periodically.
    fn request_roster(&mut self, now: Timestamp) {
        let has_roster = self.state.group.borrow().roster.is_some();
        if !has_roster
            || self
                .roster_requested_at
                .is_none_or(|at| now >= at + ROSTER_INTERVAL)
        {
            send_roster_request(&self.state, self.roster_requests);
            self.roster_requests += 1;
            self.roster_requested_at = Some(now);
        }
    }

    /// Returns the time until the next round.
    fn round_interval(&self) -> Duration {
        if !self.state.can_report() {
            return STARTUP_INTERVAL;
        }
        match self.state.group.borrow().is_switching {
            true => SWITCH_HEARTBEAT_INTERVAL,
            false => HEARTBEAT_INTERVAL,
        }
    }
}

/// Drops datagrams that arrived while the process was suspended, since they would be taken for new.
fn drop_received(state: &State) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while state.socket.try_recv_from(&mut buffer).is_ok() {}
}

/// Requests the roster from one entry; successive request numbers go round the entries.
fn send_roster_request(state: &State, request: usize) {
    let settings = state.settings();
    let seeds = settings.seeds.iter().map(SocketAddr::ip);
    let mut entries: Vec<_> = seeds.collect();
    if let Some(roster) = &state.group.borrow().roster {
        entries.extend(&roster.entries);
    }
    entries.sort_unstable();
    entries.dedup();
    let Some(ip) = entries.get((request + state.incarnation as usize) % entries.len().max(1))
    else {
        return;
    };
    let message = Message::AskRoster {
        server: state.server,
        group: state.own_group(),
    };
    state.send(state.agent_addr(*ip), &message);
}

/// Reports the group's status to entries: periodically as leader, and as any watcher at once when
/// this agent's engine reports a change.
pub async fn report_group_status(state: Rc<State>) {
    let mut reported = ReportedServers::default();
    loop {
        let changed = state.group_changed.notified();
        let has_changed = tokio::time::timeout(GROUP_STATUS_INTERVAL, changed)
            .await
            .is_ok();
        if state.is_watcher() && (has_changed || state.is_leader()) {
            send_group_status(&state, &mut reported);
        }
    }
}

/// Servers of the group that were reported to entries last.
#[derive(Default)]
struct ReportedServers {
    tags: Vec<ServerTag>,
    at: Timestamp,
}

impl ReportedServers {
    /// Returns the servers of the group if they have to be reported: when they have changed, and
    /// periodically; otherwise none.
    fn due(&mut self, state: &State) -> Vec<ServerTag> {
        let now = state.clock.now();
        let group = state.group.borrow();
        let members = group.members.iter().map(|(_, it)| it.server);
        let servers = members.chain([state.server]);
        let mut tags: Vec<ServerTag> = servers.map(|it| server_tag(&it.to_string())).collect();
        tags.sort_unstable();
        if tags == self.tags && now < self.at + SERVERS_INTERVAL {
            return Vec::new();
        }
        self.tags.clone_from(&tags);
        self.at = now;
        tags
    }
}

/// Sends the group's status to the entries of the roster.
fn send_group_status(state: &State, reported: &mut ReportedServers) {
    let servers = reported.due(state);
    let group = state.group.borrow();
    let (Some(report), Some(roster)) = (&group.report, &group.roster) else {
        return;
    };
    let message = Message::GroupStatus(GroupStatus {
        server: state.server,
        epoch: report.view.epoch,
        is_open: report.view.is_open,
        slowdown: state.max_slowdown(&group),
        group: group.members.group(),
        servers,
    });
    for ip in &roster.entries {
        state.send(state.agent_addr(*ip), &message);
    }
}

/// Sends this agent's heartbeat to other agents, once its engine has reported.
fn send_heartbeat(state: &State, targets: Vec<SocketAddr>) {
    let status = {
        let group = state.group.borrow();
        let Some(report) = &group.report else {
            return;
        };
        RankStatus {
            incarnation: state.incarnation,
            rank: report.rank,
            server: state.server,
            view: report.view,
            term: group.accepted_term.max(group.reported_term),
            switching: group.is_switching,
            slowdown: report.slowdown,
            running: report.running,
            waiting: report.waiting,
            age_ms: state
                .clock
                .now()
                .saturating_sub(group.report_at)
                .as_millis() as u32,
            group: group.members.group(),
        }
    };
    let message = Message::RankStatus(status);
    for addr in targets {
        state.send(addr, &message);
    }
}

/// Returns the agents to which this one sends heartbeats: all others if it is a watcher, otherwise
/// the watchers.
pub fn peers(state: &State) -> Vec<SocketAddr> {
    if !state.is_watcher() {
        return watchers(state);
    }
    let servers = state.group.borrow().possible_servers(state.clock.now());
    let others = servers.iter().filter(|it| **it != state.server);
    others.map(|it| state.agent_addr(it.ip())).collect()
}

/// Returns the watchers other than this agent.
fn watchers(state: &State) -> Vec<SocketAddr> {
    let group = state.group.borrow();
    let watchers = group.watchers.chosen().iter();
    let others = watchers.filter(|it| **it != state.server);
    others.map(|it| state.agent_addr(it.ip())).collect()
}

/// Handles a received message.
fn handle(state: &Rc<State>, from: SocketAddr, message: Message) {
    let now = state.clock.now();
    if let Some(group) = message.group() {
        let is_own = {
            let own = state.group.borrow();
            own.members.is_own(now, group, from.ip(), own.is_alone())
        };
        if !is_own {
            return reject_other_group(state, from, &message);
        }
    }
    match message {
        Message::Roster(roster) => record_roster(state, roster),
        Message::RankStatus(status) => record_heartbeat(state, now, status),
        Message::RankCounts(counts) => state.group.borrow_mut().demand.observe(&counts.increments),
        Message::RankTask(task) => start_task(state, now, task),
        Message::TaskBatch { to, task } => forward_tasks(state, now, to, task),
        Message::RankReply {
            number,
            rank,
            view,
            version,
            outcome,
            ..
        } => {
            if outcome == Some(RankOrderOutcome::Unknown) {
                state.record_unanswered();
            }
            let reply = TaskReply {
                number,
                view,
                version,
                outcome,
            };
            record_reply(state, rank, reply);
        }
        Message::DelegateActivation {
            number,
            goal,
            gate,
            gate_sequence,
            server,
            leader_sequence,
            deputy,
            ..
        } => {
            let state = Rc::clone(state);
            let request = deputy::Request {
                number,
                deputy,
                goal,
                gate: (gate, gate_sequence),
                leader: (server, leader_sequence),
            };
            spawn_local(async move { deputy::activate(&state, from, request).await });
        }
        Message::OrderBatch(batch) => {
            let state = Rc::clone(state);
            spawn_local(async move { orders::execute_batch(&state, batch).await });
        }
        Message::OrderResults {
            number, results, ..
        } => {
            state
                .group
                .borrow_mut()
                .batch_results
                .push((number, results));
            state.answer_received.notify_one();
        }
        Message::HigherTerm { number, term, .. } => record_higher_term(state, number, term),
        Message::AskDeputy { number, term, .. } => deputy::answer_query(state, from, number, term),
        Message::DeputyReply {
            number,
            state: deputy_state,
            is_fenced,
            version,
            ..
        } => {
            let reply = DeputyReply {
                number,
                report: DeputyReport {
                    version,
                    state: deputy_state,
                },
                is_fenced,
            };
            state.group.borrow_mut().deputy_reply = Some(reply);
            state.answer_received.notify_one();
        }
        Message::AskExperts { .. } => {
            let state = Rc::clone(state);
            spawn_local(async move { driver::send_experts(&state, from).await });
        }
        Message::RankExperts {
            rank,
            version,
            sets,
            ..
        } => {
            let held = HeldExperts { version, sets };
            state.group.borrow_mut().held_experts.insert(rank, held);
        }
        // All other messages are for entries.
        _ => {}
    }
}

/// Handles a message that is not of this agent's group: nothing in it means anything here, except that
/// its sender is no member.
fn reject_other_group(state: &State, from: SocketAddr, message: &Message) {
    metrics::counter!("jujube_other_group_messages_total").increment(1);
    if let Message::RankStatus(status) = message
        && state.own_group() != UNKNOWN_GROUP
        && status.group != UNKNOWN_GROUP
    {
        state.record_outsider(from.ip());
    }
}

/// Records the roster. The first one makes a heartbeat due, since the other agents are known now.
fn record_roster(state: &State, roster: Roster) {
    let mut group = state.group.borrow_mut();
    let before = group.roster.as_ref().map_or(0, |it| it.servers.len());
    if before != roster.servers.len() {
        log_event!(
            events::MEMBER_CHANGED,
            servers = roster.servers.len(), before = before;
            "number of servers of the service changed"
        );
    }
    let is_first = group.roster.replace(roster).is_none();
    if is_first {
        state.heartbeat_due.notify_one();
    }
}

/// Records the heartbeat of another agent; one with a rank outside the group is ignored.
fn record_heartbeat(state: &State, now: Timestamp, status: RankStatus) {
    let mut group = state.group.borrow_mut();
    if group
        .report
        .as_ref()
        .is_some_and(|it| status.rank >= it.group_size)
    {
        return;
    }
    group.reported_term = group.reported_term.max(status.term);
    let sender = Sender {
        server: status.server,
        rank: status.rank,
    };
    group
        .members
        .record(now, sender, |known| MemberStatus::after(now, status, known));
}

/// Records that an agent has rejected a request of this process because of a higher term.
fn record_higher_term(state: &State, number: u64, term: Term) {
    let mut group = state.group.borrow_mut();
    if group.is_own_request(number) {
        group.outranked_by = group.outranked_by.max(term);
        group.reported_term = group.reported_term.max(term);
        state.answer_received.notify_one();
    }
}

/// Records the reply to a task unless it is to an earlier incarnation or older than the last one.
fn record_reply(state: &State, rank: Rank, reply: TaskReply) {
    let mut group = state.group.borrow_mut();
    let newest = group.task_replies.get(&rank).map_or(0, |it| it.number);
    if group.is_own_request(reply.number) && reply.number >= newest {
        group.task_replies.insert(rank, reply);
        drop(group);
        state.answer_received.notify_one();
    }
}

/// Starts to execute a task unless its term is lower than one that was accepted before.
fn start_task(state: &Rc<State>, now: Timestamp, task: RankTask) {
    if !state.accept_term(task.goal.term, (task.leader, task.number)) {
        return;
    }
    state.group.borrow_mut().record_task(now, &task);
    let state = Rc::clone(state);
    spawn_local(async move { driver::execute_task(&state, task).await });
}

/// Forwards a task to several agents, each with its own task number; starts the one that is for this
/// agent.
fn forward_tasks(state: &Rc<State>, now: Timestamp, to: Vec<(SocketAddr, u64)>, task: RankTask) {
    let own = state.agent_addr(state.server.ip());
    for (agent, number) in to {
        let task = RankTask {
            number,
            ..task.clone()
        };
        match agent == own {
            true => start_task(state, now, task),
            false => state.send(agent, &Message::RankTask(task)),
        }
    }
}
