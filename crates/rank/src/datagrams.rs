//! Datagrams between the agents of a group, and with entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use jj_news::{GroupStatus, MAX_DATAGRAM_BYTES, Message, RankStatus, RankTask, Roster};
use jj_policy::switch_run::Outcome;
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
        DeputyReply, HEARTBEAT_INTERVAL, HeldExperts, Member, ReceivedTask,
        SWITCH_HEARTBEAT_INTERVAL, State, TaskReply,
    },
};

/// Time between two words of a leader to entries.
const TELL_PAUSE: Duration = Duration::from_millis(300);

/// Time between two questions for the roster.
const ROSTER_PAUSE: Duration = Duration::from_millis(1_500);

/// Time between two looks of an agent that has just started, until it knows enough to tell others.
const START_PAUSE: Duration = Duration::from_millis(100);

/// Time by which the next sign of life is late when the process was stopped meanwhile.
const STOPPED_FOR: Duration = Duration::from_millis(400);

/// Takes datagrams in for as long as the process runs.
pub async fn receive(state: Rc<State>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((length, from)) = state.socket.recv_from(&mut buffer).await
            && let Some(message) = Message::decode(&buffer[..length])
        {
            take(&state, from, message);
        }
    }
}

/// Says that this agent lives, and asks for the roster.
pub async fn send_heartbeats(state: Rc<State>) {
    let mut teller = Teller {
        due: state.clock.now(),
        asked: None,
        turn: 0,
        told: None,
        watchers: Vec::new(),
        state,
    };
    loop {
        let pause = teller.tell();
        let more = teller.state.heartbeat_due.notified();
        if tokio::time::timeout(pause, more).await.is_ok() {
            teller.told = None;
        }
    }
}

struct Teller {
    state: Rc<State>,
    /// When the next look is due.
    due: Timestamp,
    /// When the roster was asked for.
    asked: Option<Timestamp>,
    turn: usize,
    /// When all were told that are to hear this agent.
    told: Option<Timestamp>,
    /// Agents that watched then.
    watchers: Vec<SocketAddr>,
}

impl Teller {
    /// Tells what is due; the time until the next look.
    fn tell(&mut self) -> Duration {
        let now = self.state.clock.now();
        if now > self.due + STOPPED_FOR {
            drop_stale(&self.state);
            let stopped = (now - self.due).as_millis() as u64;
            log_event!(events::PROCESS_STALLED, for_ms = stopped; "the process stood still");
        }
        self.ask(now);
        self.state
            .group
            .borrow_mut()
            .choose_watchers(now, self.state.server);
        let watchers = watchers(&self.state);
        if watchers != self.watchers && !self.state.group.borrow().watchers.is_small() {
            log_event!(
                events::WATCHERS_CHANGED,
                others = watchers.len(), before = self.watchers.len(), watches = self.state.is_watcher();
                "other agents hear all the others"
            );
        }
        let is_due = self
            .told
            .is_none_or(|at| now >= at + self.state.heartbeat_interval());
        if is_due || watchers != self.watchers {
            tell_status(&self.state, peers(&self.state));
            self.told = Some(now);
        } else if self.state.group.borrow().is_switching {
            tell_status(&self.state, watchers.clone());
        }
        self.watchers = watchers;
        let pause = self.pause();
        self.due = now + pause;
        pause
    }

    /// Asks for the roster, often until there is one.
    fn ask(&mut self, now: Timestamp) {
        let has_roster = self.state.group.borrow().roster.is_some();
        if !has_roster || self.asked.is_none_or(|at| now >= at + ROSTER_PAUSE) {
            ask_roster(&self.state, self.turn);
            self.turn += 1;
            self.asked = Some(now);
        }
    }

    fn pause(&self) -> Duration {
        if !self.state.can_report() {
            return START_PAUSE;
        }
        match self.state.group.borrow().is_switching {
            true => SWITCH_HEARTBEAT_INTERVAL,
            false => HEARTBEAT_INTERVAL,
        }
    }
}

/// Drops what arrived while the process stood still: it would pass for new.
fn drop_stale(state: &State) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while state.socket.try_recv_from(&mut buffer).is_ok() {}
}

/// Asks one entry after the other.
fn ask_roster(state: &State, turn: usize) {
    let settings = state.settings();
    let seeds = settings.seeds.iter().map(SocketAddr::ip);
    let mut entries: Vec<_> = seeds.collect();
    if let Some(roster) = &state.group.borrow().roster {
        entries.extend(&roster.entries);
    }
    entries.sort_unstable();
    entries.dedup();
    let Some(ip) = entries.get((turn + state.incarnation as usize) % entries.len().max(1)) else {
        return;
    };
    let message = Message::AskRoster {
        server: state.server,
    };
    state.send(state.agent_addr(*ip), &message);
}

/// Tells entries whether the group works, at once when that changes: a leader does, and any agent
/// that sees a change.
pub async fn report_group_status(state: Rc<State>) {
    loop {
        let changed = state.group_changed.notified();
        let has_changed = tokio::time::timeout(TELL_PAUSE, changed).await.is_ok();
        if state.is_watcher() && (has_changed || state.is_leader()) {
            tell_group(&state);
        }
    }
}

fn tell_group(state: &State) {
    let group = state.group.borrow();
    let (Some(report), Some(roster)) = (&group.report, &group.roster) else {
        return;
    };
    let message = Message::GroupStatus(GroupStatus {
        server: state.server,
        epoch: report.view.epoch,
        is_open: report.view.is_open,
        slowdown: state.max_slowdown(&group),
    });
    for ip in &roster.entries {
        state.send(state.agent_addr(*ip), &message);
    }
}

fn tell_status(state: &State, targets: Vec<SocketAddr>) {
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
            slowdown: report.pace,
            running: report.running,
            waiting: report.waiting,
            age_ms: state
                .clock
                .now()
                .saturating_sub(group.report_at)
                .as_millis() as u32,
        }
    };
    let message = Message::RankStatus(status);
    for addr in targets {
        state.send(addr, &message);
    }
}

/// Agents beside the other servers of the service that are to hear this one: all of them where it
/// watches.
pub fn peers(state: &State) -> Vec<SocketAddr> {
    if !state.is_watcher() {
        return watchers(state);
    }
    let group = state.group.borrow();
    let servers = group.roster.iter().flat_map(|it| &it.servers);
    let others = servers.filter(|it| **it != state.server);
    others.map(|it| state.agent_addr(it.ip())).collect()
}

/// The other agents that hear all.
fn watchers(state: &State) -> Vec<SocketAddr> {
    let group = state.group.borrow();
    let watchers = group.watchers.chosen().iter();
    let others = watchers.filter(|it| **it != state.server);
    others.map(|it| state.agent_addr(it.ip())).collect()
}

fn take(state: &Rc<State>, from: SocketAddr, message: Message) {
    let now = state.clock.now();
    match message {
        Message::Roster(roster) => take_roster(state, roster),
        Message::RankStatus(status) => take_status(state, now, status),
        Message::RankCounts(counts) => state.group.borrow_mut().demand.observe(&counts.increments),
        Message::RankTask(task) => take_task(state, now, task),
        Message::TaskBatch { to, task } => pass_on(state, now, to, task),
        Message::RankReply {
            number,
            rank,
            view,
            version,
            outcome,
        } => {
            if outcome == Some(Outcome::Unknown) {
                state.record_unanswered();
            }
            let reply = TaskReply {
                number,
                view,
                version,
                outcome,
            };
            take_reply(state, rank, reply);
        }
        Message::DelegateActivation {
            number,
            goal,
            gate,
            gate_sequence,
            server,
            leader_sequence,
        } => {
            let state = Rc::clone(state);
            let request = deputy::Request {
                number,
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
        Message::OrderResults { number, results } => {
            state
                .group
                .borrow_mut()
                .batch_results
                .push((number, results));
            state.answer_received.notify_one();
        }
        Message::HigherTerm { number, term } => take_outranked(state, number, term),
        Message::AskDeputy { number, term } => deputy::answer_query(state, from, number, term),
        Message::DeputyReply {
            number,
            state: told,
            is_fenced,
        } => {
            let word = DeputyReply {
                number,
                state: told,
                is_fenced,
            };
            state.group.borrow_mut().deputy_reply = Some(word);
            state.answer_received.notify_one();
        }
        Message::AskExperts => {
            let state = Rc::clone(state);
            spawn_local(async move { driver::send_experts(&state, from).await });
        }
        Message::RankExperts {
            rank,
            version,
            sets,
        } => {
            let held = HeldExperts { version, sets };
            state.group.borrow_mut().held_experts.insert(rank, held);
        }
        // The rest is for entries.
        _ => {}
    }
}

fn take_roster(state: &State, roster: Roster) {
    let mut group = state.group.borrow_mut();
    let before = group.roster.as_ref().map_or(0, |it| it.servers.len());
    if before != roster.servers.len() {
        log_event!(
            events::MEMBER_CHANGED,
            servers = roster.servers.len(), before = before; "the service has other servers"
        );
    }
    let is_first = group.roster.replace(roster).is_none();
    if is_first {
        state.heartbeat_due.notify_one();
    }
}

fn take_status(state: &State, now: Timestamp, mut status: RankStatus) {
    let mut group = state.group.borrow_mut();
    if group
        .report
        .as_ref()
        .is_some_and(|it| status.rank >= it.size)
    {
        return;
    }
    group.reported_term = group.reported_term.max(status.term);
    let rank = status.rank;
    if let Some(member) = group.members.get(&rank) {
        status.view = status.view.newest(member.status.view);
    }
    let member = Member {
        status,
        last_seen: now,
    };
    group.members.insert(rank, member);
}

fn take_outranked(state: &State, number: u64, term: Term) {
    let mut group = state.group.borrow_mut();
    if group.is_own_request(number) {
        group.outranked_by = group.outranked_by.max(term);
        group.reported_term = group.reported_term.max(term);
        state.answer_received.notify_one();
    }
}

fn take_reply(state: &State, rank: Rank, reply: TaskReply) {
    let mut group = state.group.borrow_mut();
    let newest = group.task_replies.get(&rank).map_or(0, |it| it.number);
    if group.is_own_request(reply.number) && reply.number >= newest {
        group.task_replies.insert(rank, reply);
        drop(group);
        state.answer_received.notify_one();
    }
}

/// A task of a leader that no newer one has replaced is worked on at once.
fn take_task(state: &Rc<State>, now: Timestamp, task: RankTask) {
    if !state.accept_term(task.goal.term, (task.leader, task.number)) {
        return;
    }
    {
        let mut group = state.group.borrow_mut();
        // A load begins another switch, for which nothing was done yet.
        if task.map.is_some()
            && group
                .deputy_state
                .is_some_and(|(term, _)| term < task.goal.term)
        {
            group.deputy_state = None;
        }
        group.last_task = Some(ReceivedTask {
            at: now,
            roles: task.roles,
        });
    }
    let state = Rc::clone(state);
    spawn_local(async move { driver::execute_task(&state, task).await });
}

/// Passes a task on to several ranks, and takes the one that is for this agent.
fn pass_on(state: &Rc<State>, now: Timestamp, to: Vec<(SocketAddr, u64)>, task: RankTask) {
    let own = state.agent_addr(state.server.ip());
    for (agent, number) in to {
        let task = RankTask {
            number,
            ..task.clone()
        };
        match agent == own {
            true => take_task(state, now, task),
            false => state.send(agent, &Message::RankTask(task)),
        }
    }
}
