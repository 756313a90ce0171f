//! Carries a switch of the expert map out, from the load to the release of the held pass.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use jj_adapter::engine::{Engine, OrderOutcome};
use jj_news::{Message, RankTask};
use jj_policy::map_switch::{
    self, Activation, Goal, MapVersion, Pass, RankOrder, RankView, SetMap, Standing,
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
const LOAD_LIMIT: Duration = Duration::from_secs(4);

/// Pause before a load that has no answer is asked for again.
const LOAD_RETRY: Duration = Duration::from_millis(70);

/// Pause before an activation that has no answer is asked for again; the group may be waiting.
const ACTIVATE_RETRY: Duration = Duration::from_millis(25);

/// Passes between the last one begun and the first one with the new map: one for the rest of the
/// pass under way, and one for the orders.
const PASS_LEAD: Pass = 2;

/// Tries to hold a pass, each for a later one.
const HOLD_TRIES: u32 = 4;

/// Silence of an agent while the group is held after which its engine gets orders directly.
const AGENT_LIMIT: Duration = Duration::from_millis(150);

/// Longest time for one leader to finish a held switch before it looks at everything anew.
const FINISH_LIMIT: Duration = Duration::from_secs(3);

/// What the fencing number grows by when a higher one was seen.
const TERM_STEP: Term = 5_000;

/// One switch.
struct Switch {
    state: Rc<State>,
    goal: Goal,
    size: u32,
    own: Rank,
    started: Timestamp,
    /// Views of the ranks that were read since the switch began.
    views: FastMap<Rank, RankView>,
}

/// Switches the group to a new map; its version and content once it is decided.
pub async fn run(
    state: &Rc<State>,
    views: &[Option<RankView>],
    map: Vec<SetMap>,
) -> Option<(MapVersion, Vec<SetMap>)> {
    let mut switch = Switch::new(state, views)?;
    switch.goal.version = map_switch::next_version(views);
    if !switch.load(&map).await {
        switch.log(false, "not all ranks have loaded the map");
        return None;
    }
    if !switch.hold().await {
        switch.log(false, "the pass could not be held");
        return None;
    }
    let gate = Gate::own(state, switch.own);
    let is_done = switch.decide(&gate).await;
    switch.log(is_done, "the pass was released");
    is_done.then_some((switch.goal.version, map))
}

/// Finishes a switch that holds a pass and whose leader is gone.
pub async fn finish(state: &Rc<State>, views: &[Option<RankView>]) {
    let Standing::Held {
        gate,
        pass,
        version,
    } = map_switch::standing(views)
    else {
        return;
    };
    let (Some(mut switch), Some(gate)) = (Switch::new(state, views), Gate::of(state, gate as Rank))
    else {
        return;
    };
    // Ranks that disagree can't be brought together without a map that all of them load.
    let Some(version) = version else {
        switch.log(false, "the ranks have loaded different maps");
        return;
    };
    switch.goal.version = version;
    switch.goal.pass = Some(pass);
    let is_done = switch.decide(&gate).await;
    switch.log(is_done, "a switch that another leader left");
}

/// The rank that holds the pass.
struct Gate {
    rank: Rank,
    engine: Engine,
}

impl Gate {
    fn own(state: &State, rank: Rank) -> Self {
        Self {
            rank,
            engine: state.engine.clone(),
        }
    }

    fn of(state: &State, rank: Rank) -> Option<Self> {
        if state.rank() == Some(rank) {
            return Some(Self::own(state, rank));
        }
        let addr = server_of(state, rank)?;
        let engine = Engine::new(addr).ok()?;
        Some(Self { rank, engine })
    }
}

fn server_of(state: &State, rank: Rank) -> Option<SocketAddr> {
    let known = state.known.borrow();
    known.members.get(&rank).map(|it| it.status.server)
}

impl Switch {
    fn new(state: &Rc<State>, views: &[Option<RankView>]) -> Option<Self> {
        let own = state.rank()?;
        let first = views.first().copied().flatten()?;
        let term = {
            let mut known = state.known.borrow_mut();
            known.term = (known.term + 1).max(unix_millis());
            known.term
        };
        Some(Self {
            goal: Goal {
                term,
                epoch: first.epoch,
                version: 0,
                pass: None,
            },
            size: views.len() as u32,
            own,
            started: state.clock.now(),
            views: FastMap::default(),
            state: Rc::clone(state),
        })
    }

    fn log(&self, is_done: bool, what: &'static str) {
        let event = match is_done {
            true => events::MAP_COMMITTED,
            false => events::MAP_ABORTED,
        };
        let ms = self.state.clock.now().saturating_sub(self.started);
        log_event!(
            event,
            version = self.goal.version, pass = self.goal.pass.unwrap_or_default(),
            epoch = self.goal.epoch, term = self.goal.term, ms = ms.as_millis() as u64;
            "{what}"
        );
    }

    /// Has all ranks load the map; false when one has not in time.
    async fn load(&mut self, map: &[SetMap]) -> bool {
        let limit = self.state.clock.now() + LOAD_LIMIT;
        let version = self.goal.version;
        let is_loaded = move |view: &RankView| view.loaded == Some(version);
        self.drive(limit, LOAD_RETRY, Some(map), is_loaded).await
    }

    /// Gives all ranks the goal again and again until the view of each is as it should be.
    async fn drive(
        &mut self,
        limit: Timestamp,
        retry: Duration,
        map: Option<&[SetMap]>,
        is_reached: impl Fn(&RankView) -> bool,
    ) -> bool {
        let state = Rc::clone(&self.state);
        let begun = state.clock.now();
        let number = self.next_number();
        let mut missing: Vec<Rank> = (0..self.size).collect();
        while !missing.is_empty() {
            let now = state.clock.now();
            if now >= limit {
                return false;
            }
            let is_held = self.goal.pass.is_some();
            for rank in &missing {
                let is_silent = is_held && now >= begun + AGENT_LIMIT;
                self.give_task(*rank, number, map, is_silent).await;
            }
            self.wait_replies(&state, retry).await;
            for rank in &missing {
                self.take_reply(*rank, number);
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

    fn next_number(&mut self) -> u64 {
        let mut known = self.state.known.borrow_mut();
        known.number = (known.number + 1).max(self.goal.term);
        self.views.clear();
        known.number
    }

    /// Waits a short while for answers, and for those that come right after the first one.
    async fn wait_replies(&self, state: &State, retry: Duration) {
        let until = tokio::time::Instant::now() + retry;
        let settle = Duration::from_millis(2);
        while tokio::time::timeout_at(until, state.replied.notified())
            .await
            .is_ok()
        {
            if self.all_replied() {
                tokio::time::sleep(settle.min(retry)).await;
                return;
            }
        }
    }

    fn all_replied(&self) -> bool {
        let known = self.state.known.borrow();
        let number = known.number;
        let others = (0..self.size).filter(|rank| *rank != self.own);
        let mut others = others.map(|rank| known.replies.get(&rank));
        others.all(|it| it.is_some_and(|it| it.number == number))
    }

    fn take_reply(&mut self, rank: Rank, number: u64) {
        let known = self.state.known.borrow();
        if let Some(reply) = known.replies.get(&rank).filter(|it| it.number == number) {
            self.views.insert(rank, reply.view);
        }
    }

    async fn give_task(
        &mut self,
        rank: Rank,
        number: u64,
        map: Option<&[SetMap]>,
        is_silent: bool,
    ) {
        let task = RankTask {
            number,
            goal: self.goal,
            map: map.map(<[SetMap]>::to_vec),
        };
        let has_reply = self.views.contains_key(&rank);
        if rank == self.own {
            let engine = self.state.engine.clone();
            self.work_at(rank, &engine, &task).await;
            return;
        }
        let Some(server) = server_of(&self.state, rank) else {
            return;
        };
        if is_silent
            && !has_reply
            && let Ok(engine) = Engine::new(server)
        {
            self.work_at(rank, &engine, &task).await;
            return;
        }
        let agent = self.state.agent_addr(server.ip());
        mesh::send(&self.state, agent, &Message::RankTask(task));
    }

    /// Works on a task at an engine without its agent.
    async fn work_at(&mut self, rank: Rank, engine: &Engine, task: &RankTask) {
        if let Ok(report) = engine.report(driver::ANSWER_LIMIT).await
            && report.rank == rank
        {
            let view = driver::advance(&self.state, engine, &report.view, task).await;
            self.views.insert(rank, view);
        }
    }

    /// Holds a pass that lies ahead at this agent's engine.
    async fn hold(&mut self) -> bool {
        for _ in 0..HOLD_TRIES {
            let Ok(report) = driver::read(&self.state).await else {
                continue;
            };
            let view = report.view;
            if view.epoch != self.goal.epoch || !view.is_open {
                return false;
            }
            if let Some(pass) = view.held {
                self.goal.pass = Some(pass);
                return true;
            }
            let pass = view.pass + PASS_LEAD;
            let order = RankOrder::Hold { pass };
            let outcome = driver::give(&self.state.engine, &view, &self.goal, &order).await;
            match outcome {
                OrderOutcome::Accepted => {
                    self.goal.pass = Some(pass);
                    return true;
                }
                OrderOutcome::Fenced => self.raise_term(),
                OrderOutcome::Refused | OrderOutcome::Unknown => {}
            }
        }
        false
    }

    fn raise_term(&mut self) {
        let mut known = self.state.known.borrow_mut();
        known.term = known.term.max(self.goal.term) + TERM_STEP;
        self.goal.term = known.term;
    }

    /// Has all ranks activate the map and releases the pass. The rank that holds comes first, and
    /// its state is read before that of the others: the release is void if it has accepted any
    /// order since.
    async fn decide(&mut self, gate: &Gate) -> bool {
        let Some(pass) = self.goal.pass else {
            return false;
        };
        let activation = Activation {
            version: self.goal.version,
            pass,
        };
        let limit = self.state.clock.now() + FINISH_LIMIT;
        while self.state.clock.now() < limit {
            match self.try_decide(gate, activation, limit).await {
                Decision::Done => return true,
                Decision::Again => {}
                Decision::Impossible => return false,
            }
        }
        false
    }

    async fn try_decide(
        &mut self,
        gate: &Gate,
        activation: Activation,
        limit: Timestamp,
    ) -> Decision {
        let Some(view) = self.prepare_gate(gate, activation).await else {
            return Decision::Again;
        };
        if view.epoch != self.goal.epoch || !view.is_open {
            return Decision::Impossible;
        }
        if view.held != Some(activation.pass) {
            return Decision::Done;
        }
        let is_active =
            move |it: &RankView| it.active == Some(activation) || it.map == activation.version;
        if !is_active(&view) {
            return Decision::Again;
        }
        let activated = self.drive(limit, ACTIVATE_RETRY, None, is_active);
        if !activated.await {
            return Decision::Again;
        }
        let order = RankOrder::Release {
            pass: activation.pass,
        };
        match driver::give(&gate.engine, &view, &self.goal, &order).await {
            OrderOutcome::Accepted => Decision::Done,
            OrderOutcome::Fenced => {
                self.raise_term();
                Decision::Again
            }
            OrderOutcome::Refused | OrderOutcome::Unknown => Decision::Again,
        }
    }

    /// Activates the map at the rank that holds; its state after that.
    async fn prepare_gate(&mut self, gate: &Gate, activation: Activation) -> Option<RankView> {
        let read = || gate.engine.report(driver::ANSWER_LIMIT);
        let view = read().await.ok().filter(|it| it.rank == gate.rank)?.view;
        if view.held != Some(activation.pass) || view.active == Some(activation) {
            return Some(view);
        }
        let order = RankOrder::Activate(activation);
        driver::give(&gate.engine, &view, &self.goal, &order).await;
        Some(read().await.ok()?.view)
    }
}

/// What came of one try to finish.
enum Decision {
    Done,
    Again,
    Impossible,
}
