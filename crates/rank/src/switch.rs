//! Carries out what a run of a switch decides: tasks to agents, orders to engines, questions to the
//! deputy.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use jj_adapter::engine::{Engine, OrderGuard};
use jj_news::{BatchedOrder, MapDelta, Message, OrderBatch, RankTask};
use jj_policy::{
    map_switch::{self, Goal, MapVersion, Pass, RankOrder, RankView, SetMap},
    switch_run::{
        self, Ending, MAX_TERM_RAISES, RankOrderOutcome, Stage, SwitchInput, SwitchOrder,
        SwitchOutput, SwitchRoles, SwitchRun,
    },
};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    events,
    ids::{Rank, Term},
    log_event,
};

use crate::{
    deputy,
    driver::{self, StepResult},
    state::{DeputyReply, State},
};

/// Pause before a rank that loads a map is asked again.
const LOAD_RETRY: Duration = Duration::from_millis(70);

/// Pause before something that the group may wait for is asked again.
const HELD_RETRY: Duration = Duration::from_millis(25);

/// Questions without an answer after which the leader has a rank's engine load the map itself.
const MOST_MISSES: u32 = 3;

/// Longest time for another agent to give its orders and to tell what became of them.
const BATCH_LIMIT: Duration = Duration::from_millis(150);

/// Ranks of a group for which answers take as much longer as in a small one.
const PATIENT_RANKS: u32 = 96;

/// Ranks that a leader asks itself at most: its link is narrow, and so is its part of a core.
const MOST_DIRECT: usize = 24;

/// The content of a map, as it is told to ranks.
struct Content<'a> {
    whole: &'a [SetMap],
    /// The same as differences from the map in force.
    changes: MapDelta,
}

/// Switches the group to a new map; its version and content once it is decided.
pub async fn lead(
    state: &Rc<State>,
    views: &[Option<RankView>],
    from: (MapVersion, &[SetMap]),
    map: Vec<SetMap>,
) -> Option<(MapVersion, Vec<SetMap>)> {
    let roles = choose_roles(state)?;
    let goal = Goal {
        term: next_term(state),
        epoch: views.first().copied().flatten()?.epoch,
        version: map_switch::next_version(views, rand::random()),
        pass: None,
    };
    let content = Content {
        whole: &map,
        changes: MapDelta::between(from.0, from.1, &map),
    };
    let number = state.group.borrow().last_number;
    state
        .group
        .borrow_mut()
        .store_map(goal.epoch, goal.version, map.clone());
    let (run, outputs) = SwitchRun::lead(goal, roles, views.len() as u32, number);
    let ending = Carrier::new(state, run, roles, Some(&content))
        .carry_out(outputs)
        .await;
    if !matches!(ending, Ending::Switched | Ending::Lost) {
        state.record_failed_deputy(roles.deputy);
    }
    (ending == Ending::Switched).then_some((goal.version, map))
}

/// Finishes the switch of a leader that is gone, if a pass is held for it.
pub async fn take_over(state: &Rc<State>, roles: SwitchRoles) {
    let told = {
        let group = state.group.borrow();
        group
            .report
            .as_ref()
            .map(|it| (it.rank, it.size, it.view.epoch))
    };
    let Some((own, size, epoch)) = told else {
        return;
    };
    let mut raises = 0;
    while !finish(state, roles, (own, size, epoch)).await && raises < MAX_TERM_RAISES {
        raises += 1;
    }
}

/// Finishes a switch once; false where that was refused before it had done anything, since an engine or an
/// agent has seen a higher fencing number: the next try has one above it.
async fn finish(state: &Rc<State>, roles: SwitchRoles, group: (Rank, u32, u64)) -> bool {
    let (own, size, epoch) = group;
    let goal = Goal {
        term: next_term(state),
        epoch,
        version: 0,
        pass: None,
    };
    let number = state.group.borrow().last_number;
    let (run, outputs) = SwitchRun::take_over(goal, roles, own, size, number);
    let mut carrier = Carrier::new(state, run, roles, None);
    let ending = carrier.carry_out(outputs).await;
    ending != Ending::Fenced || !carrier.run.had_no_effect()
}

/// A deputy and a rank that holds, among the agents that are heard.
fn choose_roles(state: &State) -> Option<SwitchRoles> {
    let leader = state.rank()?;
    let fit = state.deputy_candidates();
    let mut others = fit.iter().filter(|it| **it != leader);
    Some(SwitchRoles {
        leader,
        deputy: *others.next()?,
        gate: *others.next()?,
    })
}

fn next_term(state: &State) -> Term {
    let rank = state.rank().unwrap_or_default();
    let mut group = state.group.borrow_mut();
    let highest = group.accepted_term.max(group.reported_term);
    group.accepted_term = match group.fenced_runs {
        0 => switch_run::next_term(highest, rank),
        refusals => switch_run::raised_term(highest, rank, refusals - 1),
    };
    group.accepted_term
}

/// A call to an engine, and what it comes to.
type Work = LocalBoxFuture<'static, SwitchInput>;

/// Carries one run out.
struct Carrier<'a> {
    state: Rc<State>,
    run: SwitchRun,
    roles: SwitchRoles,
    content: Option<&'a Content<'a>>,
    work: FuturesUnordered<Work>,
    /// Open questions: rank and number.
    asked: FastMap<Rank, u64>,
    /// How often ranks have been asked in vain.
    misses: FastMap<Rank, u32>,
    /// What became of the last order that the agent of each rank gave for this switch.
    outcomes: FastMap<Rank, RankOrderOutcome>,
    /// Number of the last question to the deputy.
    deputy: u64,
    /// Orders that other agents give.
    batches: Vec<Batch>,
    /// What became of such orders.
    ordered: VecDeque<SwitchInput>,
    /// What the run did when something had no answer in time, and the ranks that it waited for.
    overdue: Option<(Stage, Vec<Rank>)>,
    /// How many times longer than in a small group answers take.
    patience: u32,
    started: Timestamp,
}

/// Orders that another agent gives.
struct Batch {
    number: u64,
    ranks: Vec<Rank>,
    /// When what became of them counts as unknown.
    until: Timestamp,
}

impl Drop for Carrier<'_> {
    fn drop(&mut self) {
        self.state.group.borrow_mut().is_switching = false;
    }
}

impl<'a> Carrier<'a> {
    fn new(
        state: &Rc<State>,
        run: SwitchRun,
        roles: SwitchRoles,
        content: Option<&'a Content<'a>>,
    ) -> Self {
        state.heartbeat_due.notify_one();
        state.group.borrow_mut().begin_switch();
        let size = state.group.borrow().report.as_ref().map_or(0, |it| it.size);
        Self {
            misses: FastMap::default(),
            outcomes: FastMap::default(),
            overdue: None,
            batches: Vec::new(),
            ordered: VecDeque::new(),
            patience: 1 + size / PATIENT_RANKS,
            started: state.clock.now(),
            state: Rc::clone(state),
            run,
            roles,
            content,
            work: FuturesUnordered::new(),
            asked: FastMap::default(),
            deputy: 0,
        }
    }

    async fn carry_out(&mut self, first: Vec<SwitchOutput>) -> Ending {
        let mut outputs = first;
        let mut stage = (self.run.stage().0, self.state.clock.now());
        loop {
            if let Some(ending) = self.perform(outputs) {
                return self.end(ending);
            }
            if !self.is_current() {
                return self.end(Ending::Overtaken);
            }
            let now = self.state.clock.now();
            let (name, limit) = self.run.stage();
            if name != stage.0 {
                stage = (name, now);
            }
            let input = if now >= stage.1 + limit {
                stage.1 = now;
                self.overdue = Some((name, self.run.awaited_ranks()));
                SwitchInput::Timeout
            } else {
                self.next_input().await
            };
            if self.state.is_losing_orders() {
                self.run.allow_for_lost_orders();
            }
            outputs = self.handle(input);
        }
    }

    /// Notes how the run has ended. Each one in a row that was refused by its fencing number makes the next
    /// number rise farther.
    fn end(&mut self, ending: Ending) -> Ending {
        self.log(ending);
        let mut group = self.state.group.borrow_mut();
        group.fenced_runs = match ending {
            Ending::Fenced => group.fenced_runs + 1,
            Ending::Overtaken => group.fenced_runs,
            _ => 0,
        };
        ending
    }

    /// Whether no newer leader was seen.
    fn is_current(&self) -> bool {
        self.state.group.borrow().accepted_term == self.run.goal().term
    }

    fn log(&self, ending: Ending) {
        let event = match ending {
            Ending::Switched | Ending::TakenBack => events::MAP_COMMITTED,
            _ => events::MAP_ABORTED,
        };
        let goal = self.run.goal();
        let ms = self.state.clock.now().saturating_sub(self.started);
        metrics::counter!("jujube_switches_total", "ending" => ending.name()).increment(1);
        metrics::histogram!("jujube_switch_seconds").record(ms.as_secs_f64());
        let (stage, missing) = self.overdue.clone().unzip();
        let missing = missing.unwrap_or_default();
        let reason = missing.first().map_or("", |rank| self.reason(*rank));
        if ending == Ending::NotLoaded {
            metrics::counter!("jujube_loads_missing_total", "reason" => reason).increment(1);
        }
        log_event!(
            event,
            version = goal.version, pass = goal.pass.unwrap_or_default(), epoch = goal.epoch,
            term = goal.term, ms = ms.as_millis() as u64, leader = self.roles.leader,
            deputy = self.roles.deputy, gate = self.roles.gate,
            stage = format!("{stage:?}"), missing = format!("{missing:?}"), reason = reason;
            "switch of the expert map: {ending:?}"
        );
    }

    /// What became of the last order of a rank's agent, as far as it was told.
    fn reason(&self, rank: Rank) -> &'static str {
        match self.outcomes.get(&rank) {
            Some(RankOrderOutcome::Accepted) => "loading",
            Some(outcome) => outcome.name(),
            None => "silent",
        }
    }

    /// The next thing that happens.
    async fn next_input(&mut self) -> SwitchInput {
        let retry = match self.run.is_loading() {
            true => LOAD_RETRY * self.patience,
            false => HELD_RETRY * self.patience,
        };
        let until = tokio::time::Instant::now() + retry;
        let state = Rc::clone(&self.state);
        loop {
            if let Some(input) = self.told() {
                return input;
            }
            tokio::select! {
                Some(input) = self.work.next() => return input,
                () = state.answer_received.notified() => {}
                () = tokio::time::sleep_until(until) => return SwitchInput::Tick,
            }
        }
    }

    /// An answer that has come in by datagram.
    fn told(&mut self) -> Option<SwitchInput> {
        self.take_results();
        if let Some(input) = self.ordered.pop_front() {
            return Some(input);
        }
        let mut group = self.state.group.borrow_mut();
        let outranked = std::mem::take(&mut group.outranked_by);
        if outranked > self.run.goal().term {
            return Some(SwitchInput::HigherTerm(outranked));
        }
        if let Some(word) = group.deputy_reply
            && word.number == self.deputy
            && word.number > 0
        {
            self.deputy = 0;
            return Some(SwitchInput::DeputyReply {
                state: word.state,
                is_fenced: word.is_fenced,
            });
        }
        let mut answered = self.asked.iter().filter_map(|(rank, number)| {
            let reply = group
                .task_replies
                .get(rank)
                .filter(|it| it.number == *number)?;
            Some((*rank, *reply))
        });
        let (rank, reply) = answered.next()?;
        self.asked.remove(&rank);
        Some(SwitchInput::View {
            rank,
            number: reply.number,
            view: reply.view,
            outcome: reply.outcome,
        })
    }

    /// Has the run take an input, and obeys no leader under a lower fencing number than it has then.
    fn handle(&mut self, input: SwitchInput) -> Vec<SwitchOutput> {
        if let SwitchInput::View {
            rank,
            outcome: Some(outcome),
            ..
        } = input
        {
            self.outcomes.insert(rank, outcome);
        }
        let before = self.run.goal().term;
        let outputs = self.run.handle(input);
        let term = self.run.goal().term;
        if term > before {
            log_event!(
                events::ORDER_FENCED,
                term = before, raised = term, version = self.run.goal().version;
                "the fencing number of a switch was too low"
            );
        }
        let mut group = self.state.group.borrow_mut();
        group.accepted_term = group.accepted_term.max(term);
        outputs
    }

    /// Does what the run wants; how it ended, where it has.
    fn perform(&mut self, outputs: Vec<SwitchOutput>) -> Option<Ending> {
        let mut asked = Vec::new();
        let mut orders = Vec::new();
        for output in outputs {
            match output {
                SwitchOutput::SendTask { rank, number } => asked.push((rank, number)),
                SwitchOutput::SendOrder {
                    rank,
                    order,
                    sequence,
                } => orders.push((rank, order, sequence)),
                SwitchOutput::DelegateActivation {
                    pass,
                    gate_sequence,
                    leader_sequence,
                } => self.deputise(pass, gate_sequence, leader_sequence),
                SwitchOutput::AskDeputy => self.ask_deputy(),
                SwitchOutput::End(ending) => return Some(ending),
            }
        }
        self.ask_all(asked);
        self.order_all(orders);
        None
    }

    /// Gives orders; many of them over other agents.
    fn order_all(&mut self, orders: Vec<(Rank, SwitchOrder, u64)>) {
        let helpers = match orders.len() > MOST_DIRECT {
            true => self.helpers(),
            false => Vec::new(),
        };
        if helpers.is_empty() {
            for (rank, order, sequence) in orders {
                self.order(rank, order, sequence);
            }
            return;
        }
        let each = orders.len().isqrt();
        for (part, orders) in orders.chunks(each).enumerate() {
            let is_free = |helper: &&Rank| orders.iter().all(|(rank, _, _)| rank != *helper);
            let mut turn = helpers.iter().cycle().skip(part).take(helpers.len());
            match turn.find(is_free) {
                Some(helper) => self.order_over(*helper, orders),
                None => {
                    for (rank, order, sequence) in orders {
                        self.order(*rank, *order, *sequence);
                    }
                }
            }
        }
    }

    /// Agents that may give orders for this one: some that were heard lately, far from each other in
    /// the order of ranks, and have no part of their own in the switch.
    fn helpers(&self) -> Vec<Rank> {
        let roles = [self.roles.leader, self.roles.deputy, self.roles.gate];
        let mut alive = self.state.live_ranks();
        alive.retain(|rank| !roles.contains(rank) && Some(*rank) != self.state.rank());
        let stride = alive.len().isqrt().max(1);
        alive.into_iter().step_by(stride).collect()
    }

    fn order_over(&mut self, helper: Rank, orders: &[(Rank, SwitchOrder, u64)]) {
        let parts = orders.iter().filter_map(|(rank, order, sequence)| {
            Some(BatchedOrder {
                rank: *rank,
                server: server_of(&self.state, *rank)?,
                order: *order,
                sequence: *sequence,
            })
        });
        let batch = OrderBatch {
            leader: self.state.agent_addr(self.state.server.ip()),
            number: self.next_number(),
            goal: self.run.goal(),
            orders: parts.collect(),
        };
        self.batches.push(Batch {
            number: batch.number,
            ranks: orders.iter().map(|(rank, _, _)| *rank).collect(),
            until: self.state.clock.now() + BATCH_LIMIT,
        });
        if let Some(server) = server_of(&self.state, helper) {
            let agent = self.state.agent_addr(server.ip());
            self.state.send(agent, &Message::OrderBatch(batch));
        }
    }

    /// Takes in what other agents have told of orders, and gives up on those that don't answer.
    fn take_results(&mut self) {
        let told = std::mem::take(&mut self.state.group.borrow_mut().batch_results);
        for (number, results) in told {
            let Some(index) = self.batches.iter().position(|it| it.number == number) else {
                continue;
            };
            let batch = self.batches.swap_remove(index);
            for rank in batch.ranks {
                let result = results.iter().find(|it| it.rank == rank);
                let outcome = result.map_or(RankOrderOutcome::Unknown, |it| it.outcome);
                self.note_outcome(rank, outcome);
            }
        }
        let now = self.state.clock.now();
        let (late, open) = std::mem::take(&mut self.batches)
            .into_iter()
            .partition(|it: &Batch| it.until < now);
        self.batches = open;
        for rank in late.into_iter().flat_map(|it: Batch| it.ranks) {
            self.note_outcome(rank, RankOrderOutcome::Unknown);
        }
    }

    fn note_outcome(&mut self, rank: Rank, outcome: RankOrderOutcome) {
        if outcome == RankOrderOutcome::Unknown {
            metrics::counter!("jujube_orders_unanswered_total").increment(1);
            self.state.record_unanswered();
        }
        self.ordered
            .push_back(SwitchInput::OrderOutcome { rank, outcome });
    }

    /// Asks ranks; many of them over some that pass the task on.
    fn ask_all(&mut self, asked: Vec<(Rank, u64)>) {
        let mut plain = Vec::new();
        let mut with_map = Vec::new();
        for (rank, number) in asked {
            let Some(agent) = self.note_asked(rank, number) else {
                continue;
            };
            match self.has_to_hear(rank) {
                true => with_map.push((agent, number)),
                false => plain.push((agent, number)),
            }
        }
        let changes = self.content.map(|it| it.changes.clone());
        self.send_tasks(plain, None);
        self.send_tasks(with_map, changes);
    }

    /// Notes that a rank is asked; its agent, unless that is this one or is not known.
    fn note_asked(&mut self, rank: Rank, number: u64) -> Option<SocketAddr> {
        {
            let mut group = self.state.group.borrow_mut();
            group.last_number = group.last_number.max(number);
        }
        if Some(rank) == self.state.rank() {
            self.ask_own(rank, number);
            return None;
        }
        let before = self.asked.insert(rank, number);
        let server = server_of(&self.state, rank)?;
        if self.run.is_loading() && before == Some(number) {
            let misses = self.misses.entry(rank).or_default();
            *misses += 1;
            if misses.is_multiple_of(MOST_MISSES) {
                self.load_for(rank, server, number);
            }
        }
        Some(self.state.agent_addr(server.ip()))
    }

    /// Has the engine of a rank load the map whose agent does not answer: nothing is held meanwhile, so an
    /// order of the agent that comes late does no harm.
    fn load_for(&mut self, rank: Rank, server: SocketAddr, number: u64) {
        let Some(content) = self.content else {
            return;
        };
        let engine = self.state.engine.at(server);
        let goal = self.load_goal();
        let map = content.whole.to_vec();
        log_event!(
            events::LOADED_FOR,
            rank = rank, server = server.to_string(), version = goal.version;
            "orders a load for an agent that does not answer"
        );
        self.work.push(Box::pin(async move {
            match driver::load_remote(&engine, &goal, map).await {
                Some(StepResult { view, outcome }) => SwitchInput::View {
                    rank,
                    number,
                    view,
                    outcome,
                },
                None => SwitchInput::Tick,
            }
        }));
    }

    fn send_tasks(&self, to: Vec<(SocketAddr, u64)>, map: Option<MapDelta>) {
        let task = |number| RankTask {
            leader: self.state.agent_addr(self.state.server.ip()),
            number,
            roles: self.roles,
            goal: self.load_goal(),
            map: map.clone(),
        };
        if to.len() <= MOST_DIRECT {
            for (agent, number) in to {
                self.state.send(agent, &Message::RankTask(task(number)));
            }
            return;
        }
        let each = to.len().isqrt();
        for part in to.chunks(each) {
            let message = Message::TaskBatch {
                to: part.to_vec(),
                task: task(0),
            };
            self.state.send(part[0].0, &message);
        }
    }

    /// What agents do at their own engines: they load the map and nothing else.
    fn load_goal(&self) -> Goal {
        Goal {
            pass: None,
            ..self.run.goal()
        }
    }

    /// Works on the goal at the engine beside this agent.
    fn ask_own(&mut self, rank: Rank, number: u64) {
        let state = Rc::clone(&self.state);
        let goal = self.load_goal();
        let map = self.content.map(|it| it.whole.to_vec());
        self.work.push(Box::pin(async move {
            match driver::read_report(&state).await {
                Ok(report) => {
                    let engine = &state.engine;
                    let map = map.as_deref();
                    let advanced =
                        driver::take_step(&state, engine, &report.view, &goal, map).await;
                    let StepResult { view, outcome } = advanced;
                    if outcome == Some(RankOrderOutcome::Unknown) {
                        state.record_unanswered();
                    }
                    SwitchInput::View {
                        rank,
                        number,
                        view,
                        outcome,
                    }
                }
                Err(_) => SwitchInput::Tick,
            }
        }));
    }

    /// Whether a rank still has to be told of the map: not once its agent knows the content. One that
    /// doesn't know the map in force fetches the new one.
    fn has_to_hear(&self, rank: Rank) -> bool {
        if self.content.is_none() || !self.run.is_loading() {
            return false;
        }
        let group = self.state.group.borrow();
        let first = group.task_replies.get(&rank);
        first.is_none_or(|it| it.version != self.run.goal().version)
    }

    fn order(&mut self, rank: Rank, order: SwitchOrder, sequence: u64) {
        let Some(engine) = self.engine(rank) else {
            let outcome = RankOrderOutcome::Unknown;
            let ordered = SwitchInput::OrderOutcome { rank, outcome };
            return self.work.push(Box::pin(async move { ordered }));
        };
        let goal = self.run.goal();
        let guard = OrderGuard {
            term: goal.term,
            sequence,
            epoch: goal.epoch,
        };
        let state = Rc::clone(&self.state);
        self.work.push(Box::pin(async move {
            let order = RankOrder::from(order);
            let outcome = engine.order(&order, guard, driver::ANSWER_TIMEOUT).await;
            if outcome == RankOrderOutcome::Unknown {
                metrics::counter!("jujube_orders_unanswered_total").increment(1);
                state.record_unanswered();
            }
            SwitchInput::OrderOutcome { rank, outcome }
        }));
    }

    fn engine(&self, rank: Rank) -> Option<Engine> {
        if Some(rank) == self.state.rank() {
            return Some(self.state.engine.clone());
        }
        let server = server_of(&self.state, rank)?;
        Some(self.state.engine.at(server))
    }

    fn deputise(&mut self, pass: Pass, gate_sequence: u64, sequence: u64) {
        let Some(gate) = server_of(&self.state, self.roles.gate) else {
            return;
        };
        self.deputy = self.next_number();
        let message = Message::DelegateActivation {
            number: self.deputy,
            goal: Goal {
                pass: Some(pass),
                ..self.run.goal()
            },
            gate,
            gate_sequence,
            server: self.state.server,
            leader_sequence: sequence,
        };
        self.send_deputy(&message);
    }

    fn ask_deputy(&mut self) {
        self.deputy = self.next_number();
        if Some(self.roles.deputy) == self.state.rank() {
            let word = DeputyReply {
                number: self.deputy,
                state: deputy::leader_engine_state(&self.state),
                is_fenced: false,
            };
            self.state.group.borrow_mut().deputy_reply = Some(word);
            return;
        }
        let message = Message::AskDeputy {
            number: self.deputy,
            term: self.run.goal().term,
        };
        self.send_deputy(&message);
    }

    fn send_deputy(&self, message: &Message) {
        if let Some(server) = server_of(&self.state, self.roles.deputy) {
            let agent = self.state.agent_addr(server.ip());
            self.state.send(agent, message);
        }
    }

    fn next_number(&self) -> u64 {
        let mut group = self.state.group.borrow_mut();
        group.last_number += 1;
        group.last_number
    }
}

fn server_of(state: &State, rank: Rank) -> Option<SocketAddr> {
    let group = state.group.borrow();
    group.members.get(&rank).map(|it| it.status.server)
}
