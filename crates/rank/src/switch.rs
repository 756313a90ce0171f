//! Carries a switch of the expert map out, from the load to the release of the held pass.
//!
//! All ranks load the map, each by its own agent. Then the leader has one rank hold a pass, has its
//! deputy activate the map at the leader's own engine, activates it at all others itself, and
//! releases the pass. An agent that stops in between takes only its own engine out of reach, and it
//! has ordered nothing there, so that the others know the state of each engine and can finish.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::join_all;
use jj_adapter::engine::{Engine, OrderOutcome};
use jj_news::{DeputyState, MapNews, Message, RankTask, SwitchRoles};
use jj_policy::map_switch::{
    self, Activation, Goal, MapVersion, Pass, RankOrder, RankView, SetMap,
};
use jj_utils::{
    clock::{Timestamp, unix_millis},
    collections::FastMap,
    events,
    ids::{Rank, Term},
    log_event,
};

use crate::{driver, mesh, state::State};

/// Longest time for all ranks to load a map; the switch is given up after it, since nothing holds.
const LOAD_LIMIT: Duration = Duration::from_secs(3);

/// Pause before a load that has no answer is asked for again.
const LOAD_RETRY: Duration = Duration::from_millis(70);

/// Pause before something that the group may wait for is asked for again.
const HELD_RETRY: Duration = Duration::from_millis(25);

/// Longest time for a rank to tell its state.
const QUERY_LIMIT: Duration = Duration::from_millis(150);

/// Passes between the last one begun and the first one with the new map: one for the rest of the
/// pass under way, and one for the orders.
const PASS_LEAD: Pass = 2;

/// Tries to hold a pass, each for a later one.
const HOLD_TRIES: u32 = 4;

/// Longest time for the deputy to activate the map; the switch is given up after it.
const DEPUTY_LIMIT: Duration = Duration::from_millis(200);

/// Longest time for one agent to finish a held switch before others may try.
const FINISH_LIMIT: Duration = Duration::from_secs(2);

/// What the fencing number grows by when a higher one was seen.
const TERM_STEP: Term = 5_000;

/// The content of a map, as it is told to ranks.
struct Content<'a> {
    whole: &'a [SetMap],
    /// The same as differences from the map in force.
    changes: MapNews,
}

/// One switch.
struct Switch {
    state: Rc<State>,
    goal: Goal,
    roles: SwitchRoles,
    size: u32,
    own: Rank,
    started: Timestamp,
    /// Views of the ranks that were read since the last question.
    views: FastMap<Rank, RankView>,
}

/// Switches the group to a new map; its version and content once it is decided.
pub async fn run(
    state: &Rc<State>,
    views: &[Option<RankView>],
    from: (MapVersion, &[SetMap]),
    map: Vec<SetMap>,
) -> Option<(MapVersion, Vec<SetMap>)> {
    let roles = choose_roles(state)?;
    let epoch = views.first().copied().flatten()?.epoch;
    let mut switch = Switch::new(state, roles, epoch, views.len() as u32)?;
    switch.goal.version = map_switch::next_version(views);
    let news = Content {
        whole: &map,
        changes: MapNews::changes(from.0, from.1, &map),
    };
    let is_done = switch.carry_out(&news).await;
    let version = switch.goal.version;
    is_done.then_some((version, map))
}

/// Finishes the switch of a leader that is gone, if a pass is held for it.
pub async fn rescue(state: &Rc<State>, roles: SwitchRoles) {
    let epoch_and_size = {
        let known = state.known.borrow();
        known.report.as_ref().map(|it| (it.view.epoch, it.size))
    };
    let Some((epoch, size)) = epoch_and_size else {
        return;
    };
    if let Some(mut switch) = Switch::new(state, roles, epoch, size) {
        switch.finish().await;
    }
}

/// A deputy and a rank that holds, among the agents that are heard.
fn choose_roles(state: &State) -> Option<SwitchRoles> {
    let leader = state.rank()?;
    let alive = state.alive();
    let mut others = alive.iter().filter(|it| **it != leader);
    Some(SwitchRoles {
        leader,
        deputy: *others.next()?,
        gate: *others.next()?,
    })
}

impl Drop for Switch {
    fn drop(&mut self) {
        self.state.known.borrow_mut().switching = false;
    }
}

impl Switch {
    fn new(state: &Rc<State>, roles: SwitchRoles, epoch: u64, size: u32) -> Option<Self> {
        let own = state.rank()?;
        let term = {
            let mut known = state.known.borrow_mut();
            known.switching = true;
            known.term = (known.term + 1).max(unix_millis());
            known.term
        };
        Some(Self {
            goal: Goal {
                term,
                epoch,
                version: 0,
                pass: None,
            },
            roles,
            size,
            own,
            started: state.clock.now(),
            views: FastMap::default(),
            state: Rc::clone(state),
        })
    }

    /// Loads a map, holds a pass and decides; false when the group stays with the map in force.
    async fn carry_out(&mut self, map: &Content<'_>) -> bool {
        if !self.load(map).await {
            return self.end(false, "not all ranks have loaded the map");
        }
        if !self.is_current() || !self.hold().await {
            return self.end(false, "the pass could not be held");
        }
        if !self.deputise().await {
            self.roll_back(&[self.own]).await;
            return self.end(false, "the deputy does not answer");
        }
        let is_done = self.decide().await;
        self.end(is_done, "the pass was released")
    }

    fn end(&self, is_done: bool, what: &'static str) -> bool {
        let event = match is_done {
            true => events::MAP_COMMITTED,
            false => events::MAP_ABORTED,
        };
        let ms = self.state.clock.now().saturating_sub(self.started);
        log_event!(
            event,
            version = self.goal.version, pass = self.goal.pass.unwrap_or_default(),
            epoch = self.goal.epoch, term = self.goal.term, ms = ms.as_millis() as u64,
            gate = self.roles.gate, deputy = self.roles.deputy;
            "{what}"
        );
        is_done
    }

    /// Whether no newer leader was seen, and this process was not stopped.
    fn is_current(&self) -> bool {
        self.state.known.borrow().term == self.goal.term
    }

    fn activation(&self) -> Option<Activation> {
        let pass = self.goal.pass?;
        Some(Activation {
            version: self.goal.version,
            pass,
        })
    }

    /// Has all ranks load the map; false when one has not in time.
    async fn load(&mut self, map: &Content<'_>) -> bool {
        let limit = self.state.clock.now() + LOAD_LIMIT;
        let version = self.goal.version;
        let all: Vec<Rank> = (0..self.size).collect();
        let is_loaded = move |view: &RankView| view.loaded == Some(version);
        self.drive(&all, limit, LOAD_RETRY, Some(map), is_loaded)
            .await
    }

    /// Asks ranks for their state; false when one does not tell it in time.
    async fn query(&mut self, ranks: &[Rank], limit: Duration) -> bool {
        let limit = self.state.clock.now() + limit;
        self.drive(ranks, limit, HELD_RETRY, None, |_| true).await
    }

    /// Gives ranks the goal again and again until the view of each is as it should be.
    async fn drive(
        &mut self,
        ranks: &[Rank],
        limit: Timestamp,
        retry: Duration,
        map: Option<&Content<'_>>,
        is_reached: impl Fn(&RankView) -> bool,
    ) -> bool {
        let state = Rc::clone(&self.state);
        let number = self.next_number();
        let mut missing = ranks.to_vec();
        missing.iter().for_each(|rank| {
            self.views.remove(rank);
        });
        while !missing.is_empty() {
            if state.clock.now() >= limit {
                return false;
            }
            for rank in &missing {
                let news = map.and_then(|it| self.news_for(*rank, number, it));
                let whole = map.map(|it| it.whole);
                self.give_task(*rank, number, news, whole).await;
            }
            let until = tokio::time::Instant::now() + retry;
            loop {
                for rank in &missing {
                    self.take_reply(*rank, number);
                }
                let reached = |rank: &Rank| self.views.get(rank).is_some_and(&is_reached);
                if missing.iter().all(reached) {
                    break;
                }
                let replied = state.replied.notified();
                if tokio::time::timeout_at(until, replied).await.is_err() {
                    break;
                }
            }
            let epoch = self.goal.epoch;
            if self.views.values().any(|it| it.epoch != epoch) {
                return false;
            }
            let reached = |rank: &Rank| self.views.get(rank).is_some_and(&is_reached);
            missing.retain(|rank| !reached(rank));
        }
        true
    }

    fn next_number(&self) -> u64 {
        let mut known = self.state.known.borrow_mut();
        known.number = (known.number + 1).max(self.goal.term);
        known.number
    }

    fn take_reply(&mut self, rank: Rank, number: u64) {
        let known = self.state.known.borrow();
        if let Some(reply) = known.replies.get(&rank).filter(|it| it.number == number) {
            self.views.insert(rank, reply.view);
        }
    }

    /// What a rank still has to be told of a map: nothing once its agent knows the content.
    fn news_for(&self, rank: Rank, number: u64, map: &Content<'_>) -> Option<MapNews> {
        let known = self.state.known.borrow();
        let reply = known.replies.get(&rank);
        match reply.filter(|it| it.number == number) {
            None => Some(map.changes.clone()),
            Some(reply) if reply.knows => None,
            Some(_) => Some(MapNews::Whole(map.whole.to_vec())),
        }
    }

    async fn give_task(
        &mut self,
        rank: Rank,
        number: u64,
        map: Option<MapNews>,
        whole: Option<&[SetMap]>,
    ) {
        if rank == self.own {
            if let Ok(report) = driver::read(&self.state).await {
                let (state, engine) = (&self.state, &self.state.engine);
                let view = driver::advance(state, engine, &report.view, &self.goal, whole).await;
                self.views.insert(rank, view);
            }
            return;
        }
        let task = RankTask {
            number,
            roles: self.roles,
            goal: self.goal,
            map,
        };
        if let Some(server) = server_of(&self.state, rank) {
            let agent = self.state.agent_addr(server.ip());
            mesh::send(&self.state, agent, &Message::RankTask(task));
        }
    }

    /// Gives an order to a rank's engine; its new state where it was accepted.
    async fn order(&self, rank: Rank, order: &RankOrder) -> Result<RankView, OrderOutcome> {
        let (Some(view), Some(engine)) = (self.views.get(&rank), self.engine(rank)) else {
            return Err(OrderOutcome::Unknown);
        };
        match driver::give(&engine, view, &self.goal, order).await {
            OrderOutcome::Accepted => Ok(driver::after(*view, order)),
            outcome => Err(outcome),
        }
    }

    fn engine(&self, rank: Rank) -> Option<Engine> {
        if rank == self.own {
            return Some(self.state.engine.clone());
        }
        let server = server_of(&self.state, rank)?;
        Some(self.state.engine.at(server))
    }

    /// Has the gate hold a pass that lies ahead.
    async fn hold(&mut self) -> bool {
        let gate = self.roles.gate;
        for _ in 0..HOLD_TRIES {
            let Ok(report) = driver::read(&self.state).await else {
                continue;
            };
            let view = report.view;
            if view.epoch != self.goal.epoch || !view.is_open {
                return false;
            }
            let pass = view.pass + PASS_LEAD;
            match self.order(gate, &RankOrder::Hold { pass }).await {
                Ok(view) => {
                    self.views.insert(gate, view);
                    self.goal.pass = Some(pass);
                    return true;
                }
                Err(OrderOutcome::Fenced) => self.raise_term(),
                Err(_) => {}
            }
            // An order without an answer may have been accepted.
            if !self.query(&[gate], QUERY_LIMIT).await {
                return false;
            }
            if let Some(pass) = self.views.get(&gate).and_then(|it| it.held) {
                self.goal.pass = Some(pass);
                return true;
            }
        }
        false
    }

    fn raise_term(&mut self) {
        let mut known = self.state.known.borrow_mut();
        known.term = known.term.max(self.goal.term) + TERM_STEP;
        self.goal.term = known.term;
    }

    /// Has the deputy activate the map at this agent's engine.
    async fn deputise(&mut self) -> bool {
        let (Some(activation), Some(deputy)) =
            (self.activation(), server_of(&self.state, self.roles.deputy))
        else {
            return false;
        };
        let deputy = self.state.agent_addr(deputy.ip());
        let limit = self.state.clock.now() + DEPUTY_LIMIT;
        while self.state.clock.now() < limit {
            let Ok(report) = driver::read(&self.state).await else {
                continue;
            };
            self.views.insert(self.own, report.view);
            if report.view.active == Some(activation) {
                return true;
            }
            let number = self.next_number();
            let message = Message::Deputise {
                number,
                server: self.state.server,
                goal: self.goal,
                sequence: report.view.sequence,
            };
            mesh::send(&self.state, deputy, &message);
            wait_deputy(&self.state, number, HELD_RETRY).await;
        }
        let report = driver::read(&self.state).await;
        report.is_ok_and(|it| it.view.active == Some(activation))
    }

    /// Takes a switch back: undoes the activation at ranks where there may be one, and releases the
    /// pass. An order on its way to a rank is void once the rank has accepted another one, so each
    /// of them accepts one before the gate is released.
    async fn roll_back(&mut self, ranks: &[Rank]) -> bool {
        let Some(pass) = self.goal.pass else {
            return true;
        };
        let gate = self.roles.gate;
        for rank in ranks.iter().filter(|rank| **rank != gate) {
            if !self.make_inactive(*rank, pass).await {
                return false;
            }
        }
        if ranks.contains(&gate) && !self.cancel(gate).await {
            return false;
        }
        for rank in ranks.iter().filter(|rank| **rank != gate) {
            self.release(*rank, pass).await;
        }
        self.release(gate, pass).await
    }

    /// Has a rank accept an order after which it uses no other map from the pass on.
    async fn make_inactive(&mut self, rank: Rank, pass: Pass) -> bool {
        let limit = self.state.clock.now() + FINISH_LIMIT;
        let mut has_accepted = false;
        while self.state.clock.now() < limit {
            if !self.query(&[rank], QUERY_LIMIT).await {
                continue;
            }
            let Some(view) = self.views.get(&rank).copied() else {
                continue;
            };
            if view.epoch != self.goal.epoch || (has_accepted && view.active.is_none()) {
                return true;
            }
            let order = match view.active {
                Some(active) => RankOrder::Cancel {
                    version: active.version,
                },
                None => RankOrder::Hold { pass },
            };
            has_accepted |= self.order(rank, &order).await.is_ok();
        }
        false
    }

    /// Undoes an activation at the gate; its hold stays.
    async fn cancel(&mut self, gate: Rank) -> bool {
        let limit = self.state.clock.now() + FINISH_LIMIT;
        while self.state.clock.now() < limit {
            if !self.query(&[gate], QUERY_LIMIT).await {
                continue;
            }
            let active = self.views.get(&gate).and_then(|it| it.active);
            let Some(active) = active else {
                return true;
            };
            let order = RankOrder::Cancel {
                version: active.version,
            };
            // Whatever came of it shows in the next view.
            let _ = self.order(gate, &order).await;
        }
        false
    }

    /// Releases a pass at a rank, however often it takes.
    async fn release(&mut self, rank: Rank, pass: Pass) -> bool {
        let limit = self.state.clock.now() + FINISH_LIMIT;
        while self.state.clock.now() < limit {
            if !self.query(&[rank], QUERY_LIMIT).await {
                continue;
            }
            let view = self.views.get(&rank).copied();
            if view.is_none_or(|it| it.held != Some(pass)) {
                return true;
            }
            // Whatever came of it shows in the next view.
            let _ = self.order(rank, &RankOrder::Release { pass }).await;
        }
        false
    }

    /// Activates the map at all other ranks and releases the pass, or takes the switch back where a
    /// rank can't follow any more.
    async fn decide(&mut self) -> bool {
        let limit = self.state.clock.now() + FINISH_LIMIT;
        while self.state.clock.now() < limit {
            match self.try_decide().await {
                Decision::Done => return true,
                Decision::Again => tokio::task::yield_now().await,
                Decision::Lost => return false,
                Decision::Blocked => {
                    let all: Vec<Rank> = (0..self.size).collect();
                    self.roll_back(&all).await;
                    return false;
                }
            }
        }
        false
    }

    /// One try to decide. The gate comes first: the release is void when it has accepted any order
    /// since.
    async fn try_decide(&mut self) -> Decision {
        let Some(activation) = self.activation() else {
            return Decision::Lost;
        };
        let gate = self.roles.gate;
        if !self.activate(&[gate], activation).await {
            return self.obstacle();
        }
        let Some(gate_view) = self.views.get(&gate).copied() else {
            return Decision::Again;
        };
        if gate_view.held != Some(activation.pass) {
            return Decision::Done;
        }
        let others: Vec<Rank> = (0..self.size)
            .filter(|rank| *rank != gate && *rank != self.roles.leader)
            .collect();
        if !self.activate(&others, activation).await {
            return self.obstacle();
        }
        self.views.insert(gate, gate_view);
        let order = RankOrder::Release {
            pass: activation.pass,
        };
        match self.order(gate, &order).await {
            Ok(_) => return Decision::Done,
            Err(OrderOutcome::Fenced) => self.raise_term(),
            Err(_) => {}
        }
        self.query(&[gate], QUERY_LIMIT).await;
        Decision::Again
    }

    /// What stands against an activation that did not come about.
    fn obstacle(&self) -> Decision {
        if self.is_lost() {
            return Decision::Lost;
        }
        let version = self.goal.version;
        let is_blocked = |it: &RankView| {
            it.map > version
                || (it.active.is_none() && it.map != version && it.loaded != Some(version))
        };
        match self.views.values().any(is_blocked) {
            true => Decision::Blocked,
            false => Decision::Again,
        }
    }

    /// Whether the group has formed anew, so that nothing of the switch is left.
    fn is_lost(&self) -> bool {
        let epoch = self.goal.epoch;
        self.views
            .values()
            .any(|it| it.epoch != epoch || !it.is_open)
    }

    /// Activates the map at ranks, all at once; false when it has to be tried again.
    async fn activate(&mut self, ranks: &[Rank], activation: Activation) -> bool {
        let is_active =
            |view: &RankView| view.active == Some(activation) || view.map == activation.version;
        let missing: Vec<Rank> = ranks
            .iter()
            .copied()
            .filter(|rank| !self.views.get(rank).is_some_and(is_active))
            .collect();
        if missing.is_empty() {
            return true;
        }
        let order = RankOrder::Activate(activation);
        let orders = missing.iter().map(|rank| self.order(*rank, &order));
        let results = join_all(orders).await;
        let mut unclear = Vec::new();
        for (rank, result) in missing.iter().zip(results) {
            match result {
                Ok(view) => {
                    self.views.insert(*rank, view);
                }
                Err(OrderOutcome::Fenced) => {
                    self.raise_term();
                    unclear.push(*rank);
                }
                Err(_) => unclear.push(*rank),
            }
        }
        if unclear.is_empty() {
            return true;
        }
        // An order without an answer may have been accepted: the rank's agent sees it.
        self.query(&unclear, QUERY_LIMIT).await;
        let view = |rank: &Rank| self.views.get(rank).is_some_and(is_active);
        unclear.iter().all(view)
    }

    /// Brings a held pass to its end for a leader that is gone: forward where the leader's engine
    /// uses the map, and back where nobody has ordered anything there.
    async fn finish(&mut self) {
        let gate = self.roles.gate;
        if !self.query(&[gate], QUERY_LIMIT).await {
            self.end(false, "the gate does not tell its state");
            return;
        }
        let Some(pass) = self.views.get(&gate).and_then(|it| it.held) else {
            return;
        };
        self.goal.pass = Some(pass);
        let leader = self.ask_leader().await;
        let others: Vec<Rank> = (0..self.size)
            .filter(|it| *it != self.roles.leader)
            .collect();
        if !self.query(&others, QUERY_LIMIT * 2).await {
            self.end(false, "a rank does not tell its state");
            return;
        }
        let is_done = match leader {
            LeaderState::Active(active) if active.pass == pass => {
                self.goal.version = active.version;
                self.decide().await
            }
            LeaderState::Active(_) | LeaderState::Unknown => false,
            // A leader orders nothing at the others before its deputy has activated its own engine.
            LeaderState::Inactive if !others.iter().any(|it| self.is_active(*it)) => {
                self.release(gate, pass).await
            }
            LeaderState::Inactive => self.roll_back(&others).await,
            LeaderState::Reachable => {
                let all: Vec<Rank> = (0..self.size).collect();
                self.roll_back(&all).await
            }
        };
        self.end(is_done, "a switch that another leader left");
    }

    fn is_active(&self, rank: Rank) -> bool {
        self.views.get(&rank).is_some_and(|it| it.active.is_some())
    }

    /// What is known of the leader's engine. The deputy is asked first, since it orders nothing there
    /// for an earlier leader once it was asked.
    async fn ask_leader(&mut self) -> LeaderState {
        let leader = self.roles.leader;
        let deputy = self.deputy_state().await;
        if self.query(&[leader], QUERY_LIMIT / 2).await {
            let active = self.views.get(&leader).and_then(|it| it.active);
            return active.map_or(LeaderState::Reachable, LeaderState::Active);
        }
        match deputy {
            Some(DeputyState::Nothing) => LeaderState::Inactive,
            Some(DeputyState::Active(activation)) => LeaderState::Active(activation),
            Some(DeputyState::Unknown) | None => LeaderState::Unknown,
        }
    }

    async fn deputy_state(&mut self) -> Option<DeputyState> {
        if self.roles.deputy != self.own {
            return self.ask_deputy().await;
        }
        let known = self.state.known.borrow();
        Some(
            known
                .deputy
                .map_or(DeputyState::Nothing, |(_, state)| state),
        )
    }

    async fn ask_deputy(&self) -> Option<DeputyState> {
        let server = server_of(&self.state, self.roles.deputy)?;
        let deputy = self.state.agent_addr(server.ip());
        let number = self.next_number();
        let limit = self.state.clock.now() + QUERY_LIMIT;
        while self.state.clock.now() < limit {
            let message = Message::AskDeputy {
                number,
                term: self.goal.term,
            };
            mesh::send(&self.state, deputy, &message);
            if let Some(state) = wait_deputy(&self.state, number, HELD_RETRY).await {
                return Some(state);
            }
        }
        None
    }
}

/// What came of one try to decide.
enum Decision {
    Done,
    Again,
    /// A rank can't use the map any more.
    Blocked,
    /// The group has formed anew.
    Lost,
}

/// What is known of the leader's engine.
enum LeaderState {
    /// It will use a map.
    Active(Activation),
    /// It can't be reached, and nobody has ordered it to.
    Inactive,
    /// It will not as things stand, and can be reached.
    Reachable,
    /// It may or may not.
    Unknown,
}

fn server_of(state: &State, rank: Rank) -> Option<SocketAddr> {
    let known = state.known.borrow();
    known.members.get(&rank).map(|it| it.status.server)
}

/// Waits a short while for the answer of a deputy.
async fn wait_deputy(state: &State, number: u64, retry: Duration) -> Option<DeputyState> {
    let until = tokio::time::Instant::now() + retry;
    loop {
        let told = state.known.borrow().told;
        if let Some((_, told)) = told.filter(|(it, _)| *it == number) {
            return Some(told);
        }
        if tokio::time::timeout_at(until, state.replied.notified())
            .await
            .is_err()
        {
            return None;
        }
    }
}
