//! Datagrams between the agents of a group, and with entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use jj_news::{GroupNews, MAX_DATAGRAM, Message, RankStatus, RankTask, Roster};
use jj_policy::switch_run::RankOrderOutcome;
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
        DeputyWord, HeldExperts, Member, STATUS_PAUSE, SWITCHING_PAUSE, State, TaskReply, TaskSeen,
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
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        if let Ok((length, from)) = state.socket.recv_from(&mut buffer).await
            && let Some(message) = Message::read(&buffer[..length])
        {
            take(&state, from, message);
        }
    }
}

/// Says that this agent lives, and asks for the roster.
pub async fn tell(state: Rc<State>) {
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
        let more = teller.state.tell_now.notified();
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
            .known
            .borrow_mut()
            .choose_watchers(now, self.state.server);
        let watchers = watchers(&self.state);
        if watchers != self.watchers && !self.state.known.borrow().watchers.all_agents_watch() {
            log_event!(
                events::WATCHERS_CHANGED,
                others = watchers.len(), before = self.watchers.len(), watches = self.state.watches();
                "other agents hear all the others"
            );
        }
        let is_due = self
            .told
            .is_none_or(|at| now >= at + self.state.status_pause());
        if is_due || watchers != self.watchers {
            tell_status(&self.state, others(&self.state));
            self.told = Some(now);
        } else if self.state.known.borrow().switching {
            tell_status(&self.state, watchers.clone());
        }
        self.watchers = watchers;
        let pause = self.pause();
        self.due = now + pause;
        pause
    }

    /// Asks for the roster, often until there is one.
    fn ask(&mut self, now: Timestamp) {
        let has_roster = self.state.known.borrow().roster.is_some();
        if !has_roster || self.asked.is_none_or(|at| now >= at + ROSTER_PAUSE) {
            ask_roster(&self.state, self.turn);
            self.turn += 1;
            self.asked = Some(now);
        }
    }

    fn pause(&self) -> Duration {
        if !self.state.can_tell() {
            return START_PAUSE;
        }
        match self.state.known.borrow().switching {
            true => SWITCHING_PAUSE,
            false => STATUS_PAUSE,
        }
    }
}

/// Drops what arrived while the process stood still: it would pass for new.
fn drop_stale(state: &State) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    while state.socket.try_recv_from(&mut buffer).is_ok() {}
}

/// Asks one entry after the other.
fn ask_roster(state: &State, turn: usize) {
    let settings = state.settings();
    let seeds = settings.seeds.iter().map(SocketAddr::ip);
    let mut entries: Vec<_> = seeds.collect();
    if let Some(roster) = &state.known.borrow().roster {
        entries.extend(&roster.entries);
    }
    entries.sort_unstable();
    entries.dedup();
    let Some(ip) = entries.get((turn + state.life as usize) % entries.len().max(1)) else {
        return;
    };
    let message = Message::AskRoster {
        server: state.server,
    };
    state.send(state.agent_addr(*ip), &message);
}

/// Tells entries whether the group works, at once when that changes: a leader does, and any agent
/// that sees a change.
pub async fn tell_entries(state: Rc<State>) {
    loop {
        let changed = state.changed.notified();
        let has_changed = tokio::time::timeout(TELL_PAUSE, changed).await.is_ok();
        if state.watches() && (has_changed || state.leads()) {
            tell_group(&state);
        }
    }
}

fn tell_group(state: &State) {
    let known = state.known.borrow();
    let (Some(report), Some(roster)) = (&known.report, &known.roster) else {
        return;
    };
    let message = Message::GroupNews(GroupNews {
        server: state.server,
        epoch: report.view.epoch,
        works: report.view.is_open,
        pace: state.slowest(&known),
    });
    for ip in &roster.entries {
        state.send(state.agent_addr(*ip), &message);
    }
}

fn tell_status(state: &State, targets: Vec<SocketAddr>) {
    let status = {
        let known = state.known.borrow();
        let Some(report) = &known.report else {
            return;
        };
        RankStatus {
            life: state.life,
            rank: report.rank,
            server: state.server,
            view: report.view,
            term: known.term.max(known.heard_term),
            switching: known.switching,
            pace: report.pace,
            running: report.running,
            waiting: report.waiting,
            age_ms: state.clock.now().saturating_sub(known.read).as_millis() as u32,
        }
    };
    let message = Message::RankStatus(status);
    for addr in targets {
        state.send(addr, &message);
    }
}

/// Agents beside the other servers of the service that are to hear this one: all of them where it
/// watches.
pub fn others(state: &State) -> Vec<SocketAddr> {
    if !state.watches() {
        return watchers(state);
    }
    let known = state.known.borrow();
    let servers = known.roster.iter().flat_map(|it| &it.servers);
    let others = servers.filter(|it| **it != state.server);
    others.map(|it| state.agent_addr(it.ip())).collect()
}

/// The other agents that hear all.
fn watchers(state: &State) -> Vec<SocketAddr> {
    let known = state.known.borrow();
    let watchers = known.watchers.chosen().iter();
    let others = watchers.filter(|it| **it != state.server);
    others.map(|it| state.agent_addr(it.ip())).collect()
}

fn take(state: &Rc<State>, from: SocketAddr, message: Message) {
    let now = state.clock.now();
    match message {
        Message::Roster(roster) => take_roster(state, roster),
        Message::RankStatus(status) => take_status(state, now, status),
        Message::RankCounts(counts) => state.known.borrow_mut().demand.observe(&counts.grown),
        Message::RankTask(task) => take_task(state, now, task),
        Message::TaskBatch { to, task } => pass_on(state, now, to, task),
        Message::RankReply {
            number,
            rank,
            view,
            version,
            outcome,
        } => {
            if outcome == Some(RankOrderOutcome::Unknown) {
                state.note_unanswered();
            }
            let reply = TaskReply {
                number,
                view,
                version,
                outcome,
            };
            take_reply(state, rank, reply);
        }
        Message::Deputise {
            number,
            goal,
            gate,
            gate_sequence,
            server,
            sequence,
        } => {
            let state = Rc::clone(state);
            let request = deputy::Request {
                number,
                goal,
                gate: (gate, gate_sequence),
                leader: (server, sequence),
            };
            spawn_local(async move { deputy::activate(&state, from, request).await });
        }
        Message::OrderBatch(batch) => {
            let state = Rc::clone(state);
            spawn_local(async move { orders::give(&state, batch).await });
        }
        Message::OrderResults { number, results } => {
            state.known.borrow_mut().results.push((number, results));
            state.replied.notify_one();
        }
        Message::Outranked { number, term } => take_outranked(state, number, term),
        Message::AskDeputy { number, term } => deputy::answer(state, from, number, term),
        Message::Deputy {
            number,
            state: told,
            is_fenced,
        } => {
            let word = DeputyWord {
                number,
                state: told,
                is_fenced,
            };
            state.known.borrow_mut().told = Some(word);
            state.replied.notify_one();
        }
        Message::AskExperts => {
            let state = Rc::clone(state);
            spawn_local(async move { driver::tell_experts(&state, from).await });
        }
        Message::RankExperts {
            rank,
            version,
            sets,
        } => {
            let held = HeldExperts { version, sets };
            state.known.borrow_mut().experts.insert(rank, held);
        }
        // The rest is for entries.
        _ => {}
    }
}

fn take_roster(state: &State, roster: Roster) {
    let mut known = state.known.borrow_mut();
    let before = known.roster.as_ref().map_or(0, |it| it.servers.len());
    if before != roster.servers.len() {
        log_event!(
            events::MEMBER_CHANGED,
            servers = roster.servers.len(), before = before; "the service has other servers"
        );
    }
    let is_first = known.roster.replace(roster).is_none();
    if is_first {
        state.tell_now.notify_one();
    }
}

fn take_status(state: &State, now: Timestamp, mut status: RankStatus) {
    let mut known = state.known.borrow_mut();
    if known
        .report
        .as_ref()
        .is_some_and(|it| status.rank >= it.size)
    {
        return;
    }
    known.heard_term = known.heard_term.max(status.term);
    let rank = status.rank;
    if let Some(member) = known.members.get(&rank) {
        status.view = status.view.newer_of(member.status.view);
    }
    let member = Member { status, heard: now };
    known.members.insert(rank, member);
}

fn take_outranked(state: &State, number: u64, term: Term) {
    let mut known = state.known.borrow_mut();
    if known.is_own_number(number) {
        known.outranked = known.outranked.max(term);
        known.heard_term = known.heard_term.max(term);
        state.replied.notify_one();
    }
}

fn take_reply(state: &State, rank: Rank, reply: TaskReply) {
    let mut known = state.known.borrow_mut();
    let newest = known.replies.get(&rank).map_or(0, |it| it.number);
    if known.is_own_number(reply.number) && reply.number >= newest {
        known.replies.insert(rank, reply);
        drop(known);
        state.replied.notify_one();
    }
}

/// A task of a leader that no newer one has replaced is worked on at once.
fn take_task(state: &Rc<State>, now: Timestamp, task: RankTask) {
    if !state.obeys(task.goal.term, (task.leader, task.number)) {
        return;
    }
    {
        let mut known = state.known.borrow_mut();
        // A load begins another switch, for which nothing was done yet.
        if task.map.is_some() && known.deputy.is_some_and(|(term, _)| term < task.goal.term) {
            known.deputy = None;
        }
        known.task = Some(TaskSeen {
            at: now,
            roles: task.roles,
        });
    }
    let state = Rc::clone(state);
    spawn_local(async move { driver::work(&state, task).await });
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
