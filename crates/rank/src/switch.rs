//! Executes the decisions of a [`SwitchRun`]: sends tasks to agents, orders to engines and queries
//! to the deputy, and feeds their results back into the run.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use jj_adapter::engine::{EngineClient, OrderGuard};
use jj_news::{BatchedOrder, MapDelta, Message, OrderBatch, RankTask};
use jj_policy::{
    group_members::GroupTag,
    map_switch::{self, Goal, MapVersion, Pass, RankOrder, RankView, SetMap},
    switch_run::{
        self, Ending, MAX_TERM_RAISES, RankOrderOutcome, Stage, SwitchInput, SwitchOrder,
        SwitchOutput, SwitchRoles, SwitchRun,
    },
};
use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    events,
    ids::{Incarnation, Rank, Term},
    log_event,
};

use crate::{
    deputy,
    driver::{self, RankInGroup, StepResult},
    state::{DeputyReply, State},
};

/// Retry interval of tasks while the ranks load a map.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(70);

/// Retry interval later, when the group may be waiting at a held pass.
const HELD_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Unanswered repeats of a task after which the rank's engine is called directly, to load the map or
/// to read its state, and again after as many more.
const REPEATS_PER_REMOTE_CALL: u32 = 3;

/// Maximum number of engines that the leader itself has load the map at the same time: each order
/// contains the complete map, and where many agents don't answer, the leader is the slow one.
const MAX_REMOTE_LOADS: usize = 8;

/// Maximum number of engines that are read directly at the same time.
const MAX_REMOTE_READS: usize = 8;

/// Timeout for another agent to send a batch of orders and to report their results.
const BATCH_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of ranks by which the retry interval grows by its length in a small group.
const RANKS_PER_RETRY_INTERVAL: u32 = 96;

/// Maximum number of messages or orders of one kind that a leader sends directly; larger numbers go
/// through other agents, since the leader's link is narrow and it has only a part of a core.
const MAX_DIRECT: usize = 24;

/// Content of the new map, as it is sent to ranks.
struct MapContent<'a> {
    /// The complete map, for engines that this agent itself orders to load it.
    full: &'a [SetMap],
    /// Difference from the map in force, for agents.
    delta: MapDelta,
}

/// Leads a switch of the group to a new map. Returns the map's version and content if the group has
/// switched.
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
    let content = MapContent {
        full: &map,
        delta: MapDelta::between(from.0, from.1, &map),
    };
    let number = state.group.borrow().last_number;
    state
        .group
        .borrow_mut()
        .store_map(goal.epoch, goal.version, map.clone());
    let (run, outputs) = SwitchRun::lead(goal, roles, views.len() as u32, number);
    let ending = SwitchExecutor::new(state, run, roles, Some(&content))
        .execute(outputs)
        .await;
    if !matches!(ending, Ending::Switched | Ending::Lost) {
        state.record_failed_deputy(roles.deputy);
    }
    (ending == Ending::Switched).then_some((goal.version, map))
}

/// Takes over the switch of a leader that is gone, and finishes it if a pass is held; `version` is
/// that of its map, or 0 if it is not known. Returns how the last attempt ended.
pub async fn take_over(
    state: &Rc<State>,
    roles: SwitchRoles,
    version: MapVersion,
) -> Option<Ending> {
    let position = {
        let group = state.group.borrow();
        group
            .report
            .as_ref()
            .map(|it| (it.rank, it.group_size, it.view.epoch))
    };
    let (own, size, epoch) = position?;
    if [roles.leader, roles.deputy, roles.gate]
        .iter()
        .any(|it| *it >= size)
    {
        return None;
    }
    for _ in 0..=MAX_TERM_RAISES {
        let goal = Goal {
            term: next_term(state),
            epoch,
            version,
            pass: None,
        };
        let number = state.group.borrow().last_number;
        let (run, outputs) = SwitchRun::take_over(goal, roles, own, size, number);
        let mut executor = SwitchExecutor::new(state, run, roles, None);
        let ending = executor.execute(outputs).await;
        // Fenced before it had any effect: the next attempt uses a term above the one that the engine
        // or agent has seen.
        if ending != Ending::Fenced || !executor.run.had_no_effect() {
            return Some(ending);
        }
    }
    Some(Ending::Fenced)
}

/// Chooses the deputy and the gate among the live agents, with this agent as leader.
fn choose_roles(state: &State) -> Option<SwitchRoles> {
    let leader = state.rank()?;
    let candidates = state.deputy_candidates();
    let mut others = candidates.iter().filter(|it| **it != leader);
    Some(SwitchRoles {
        leader,
        deputy: *others.next()?,
        gate: *others.next()?,
    })
}

/// Accepts and returns a term above all known ones; after fenced runs it is raised farther.
fn next_term(state: &State) -> Term {
    let rank = state.rank().unwrap_or_default();
    let mut group = state.group.borrow_mut();
    let highest = group.accepted_term.max(group.reported_term);
    group.accepted_term = match group.fenced_runs {
        0 => switch_run::next_term(highest, rank),
        fenced_runs => switch_run::raised_term(highest, rank, fenced_runs - 1),
    };
    group.accepted_term
}

/// Call to an engine, which completes with an input for the run; none if the call failed.
type EngineCall = LocalBoxFuture<'static, Option<SwitchInput>>;

/// Call to the engine of a rank whose agent does not answer.
type RemoteCall = LocalBoxFuture<'static, (Rank, Option<SwitchInput>)>;

/// Executes one run of a switch.
struct SwitchExecutor<'a> {
    state: Rc<State>,
    /// Group that switches.
    group: GroupTag,
    run: SwitchRun,
    roles: SwitchRoles,
    /// The deputy's process when the run began.
    deputy: Incarnation,
    /// The map to load; none when a switch is taken over.
    content: Option<&'a MapContent<'a>>,
    /// Calls to engines that have not completed.
    calls: FuturesUnordered<EngineCall>,
    /// Calls to engines of ranks whose agents don't answer that have not completed.
    remote_calls: FuturesUnordered<RemoteCall>,
    /// Ranks of these engines.
    remote_ranks: FastSet<Rank>,
    /// Number of the unanswered task of each rank.
    open_tasks: FastMap<Rank, u64>,
    /// How often the task of each rank was repeated without an answer.
    unanswered_tasks: FastMap<Rank, u32>,
    /// Outcome of the last order that the agent of each rank sent for this switch.
    outcomes: FastMap<Rank, RankOrderOutcome>,
    /// Number of the unanswered request to the deputy; zero if there is none.
    deputy_request: u64,
    /// Batches of orders whose results have not arrived.
    batches: Vec<PendingBatch>,
    /// Outcomes of batched orders that the run has not received yet.
    batch_outcomes: VecDeque<SwitchInput>,
    /// Stage that last exceeded its time limit, and the ranks that the run waited for.
    timed_out: Option<(Stage, Vec<Rank>)>,
    /// Factor on the retry interval, 1 in a small group.
    retry_factor: u32,
    started_at: Timestamp,
}

/// Batch of orders that another agent sends, until its results arrive.
struct PendingBatch {
    /// Number of the batch.
    number: u64,
    /// Ranks to whose engines the orders go.
    ranks: Vec<Rank>,
    /// Time at which the outcome of the orders becomes unknown.
    deadline: Timestamp,
}

impl Drop for SwitchExecutor<'_> {
    fn drop(&mut self) {
        self.state.group.borrow_mut().is_switching = false;
    }
}

impl<'a> SwitchExecutor<'a> {
    fn new(
        state: &Rc<State>,
        run: SwitchRun,
        roles: SwitchRoles,
        content: Option<&'a MapContent<'a>>,
    ) -> Self {
        state.heartbeat_due.notify_one();
        state.group.borrow_mut().begin_switch();
        let (size, deputy, group) = {
            let group = state.group.borrow();
            let size = group.report.as_ref().map_or(0, |it| it.group_size);
            let deputy = group.members.get(roles.deputy);
            (
                size,
                deputy.map_or(0, |it| it.status.heartbeat.incarnation),
                group.members.group(),
            )
        };
        Self {
            group,
            deputy,
            unanswered_tasks: FastMap::default(),
            outcomes: FastMap::default(),
            timed_out: None,
            batches: Vec::new(),
            batch_outcomes: VecDeque::new(),
            retry_factor: 1 + size / RANKS_PER_RETRY_INTERVAL,
            started_at: state.clock.now(),
            state: Rc::clone(state),
            run,
            roles,
            content,
            calls: FuturesUnordered::new(),
            remote_calls: FuturesUnordered::new(),
            remote_ranks: FastSet::default(),
            open_tasks: FastMap::default(),
            deputy_request: 0,
        }
    }

    /// Performs outputs and feeds back inputs until the run ends or another agent's term is higher.
    async fn execute(&mut self, first_outputs: Vec<SwitchOutput>) -> Ending {
        let mut outputs = first_outputs;
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
                self.timed_out = Some((name, self.run.awaited_ranks()));
                SwitchInput::Timeout
            } else {
                self.next_input().await
            };
            if self.state.is_losing_orders() {
                self.run.allow_for_lost_orders();
            }
            outputs = self.handle_input(input);
        }
    }

    /// Records how the run has ended; each consecutive fenced run raises the next term farther.
    fn end(&mut self, ending: Ending) -> Ending {
        self.log_ending(ending);
        let mut group = self.state.group.borrow_mut();
        group.fenced_runs = match ending {
            Ending::Fenced => group.fenced_runs + 1,
            Ending::Overtaken => group.fenced_runs,
            _ => 0,
        };
        ending
    }

    /// Returns whether this agent's engine is still in the group, and the agent has accepted no higher
    /// term than that of the run.
    fn is_current(&self) -> bool {
        let group = self.state.group.borrow();
        group.members.group() == self.group && group.accepted_term == self.run.goal().term
    }

    /// Logs and counts the end of the run.
    fn log_ending(&self, ending: Ending) {
        let event = match ending {
            Ending::Switched | Ending::TakenBack => events::MAP_COMMITTED,
            _ => events::MAP_ABORTED,
        };
        let goal = self.run.goal();
        let ms = self.state.clock.now().saturating_sub(self.started_at);
        metrics::counter!("jujube_switches_total", "ending" => ending.name()).increment(1);
        metrics::histogram!("jujube_switch_seconds").record(ms.as_secs_f64());
        let (stage, missing) = self.timed_out.clone().unzip();
        let missing = missing.unwrap_or_default();
        let reason = missing
            .first()
            .map_or("", |rank| self.missing_reason(*rank));
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

    /// Returns why the run still waits for a rank: the outcome of its agent's last order, if known.
    fn missing_reason(&self, rank: Rank) -> &'static str {
        match self.outcomes.get(&rank) {
            Some(RankOrderOutcome::Accepted) => "loading",
            Some(outcome) => outcome.name(),
            None => "silent",
        }
    }

    /// Waits for the next input: a datagram, the result of a call, or a tick after the retry interval.
    async fn next_input(&mut self) -> SwitchInput {
        let interval = match self.run.is_loading() {
            true => LOAD_RETRY_INTERVAL * self.retry_factor,
            false => HELD_RETRY_INTERVAL * self.retry_factor,
        };
        let deadline = tokio::time::Instant::now() + interval;
        let state = Rc::clone(&self.state);
        loop {
            if let Some(input) = self.received_input() {
                return input;
            }
            tokio::select! {
                Some(result) = self.calls.next() => {
                    if let Some(input) = result {
                        return input;
                    }
                }
                Some((rank, result)) = self.remote_calls.next() => {
                    self.remote_ranks.remove(&rank);
                    if let Some(input) = result {
                        return input;
                    }
                }
                () = state.answer_received.notified() => {}
                () = tokio::time::sleep_until(deadline) => return SwitchInput::Tick,
            }
        }
    }

    /// Returns the next input that was received by datagram, if there is one.
    fn received_input(&mut self) -> Option<SwitchInput> {
        self.process_batch_results();
        if let Some(input) = self.batch_outcomes.pop_front() {
            return Some(input);
        }
        let mut group = self.state.group.borrow_mut();
        let outranked = std::mem::take(&mut group.outranked_by);
        if outranked > self.run.goal().term {
            return Some(SwitchInput::HigherTerm(outranked));
        }
        if let Some(reply) = group.deputy_reply
            && reply.number == self.deputy_request
            && reply.number > 0
        {
            self.deputy_request = 0;
            log_event!(
                events::DEPUTY_REPORTED,
                deputy = self.roles.deputy, about = reply.report.version,
                state = format!("{:?}", reply.report.state), fenced = reply.is_fenced,
                term = self.run.goal().term;
                "the deputy reported what it has ordered"
            );
            return Some(SwitchInput::DeputyReply {
                report: reply.report,
                is_fenced: reply.is_fenced,
            });
        }
        let mut answered = self.open_tasks.iter().filter_map(|(rank, number)| {
            let reply = group
                .task_replies
                .get(rank)
                .filter(|it| it.number == *number)?;
            Some((*rank, *reply))
        });
        let (rank, reply) = answered.next()?;
        self.open_tasks.remove(&rank);
        Some(SwitchInput::View {
            rank,
            number: reply.number,
            view: reply.view,
            outcome: reply.outcome,
        })
    }

    /// Passes an input to the run and accepts the run's term, which the input may have raised.
    fn handle_input(&mut self, input: SwitchInput) -> Vec<SwitchOutput> {
        if let SwitchInput::View {
            rank,
            outcome: Some(outcome),
            ..
        } = input
        {
            self.outcomes.insert(rank, outcome);
        }
        if let SwitchInput::View { rank, view, .. } = input
            && rank == self.roles.gate
            && self.run.stage().0 == Stage::FindGate
        {
            log_event!(
                events::DECISION_READ,
                gate = rank, version = self.run.goal().version, term = self.run.goal().term,
                view = format!("{view:?}");
                "read the gate of a switch that is taken over"
            );
        }
        let (before, was_loading) = (self.run.goal().term, self.run.is_loading());
        let outputs = self.run.handle(input);
        let term = self.run.goal().term;
        if term > before && was_loading {
            log_event!(
                events::ORDER_FENCED,
                term = before, raised = term, version = self.run.goal().version;
                "the term of the switch was too low and has been raised"
            );
        }
        let mut group = self.state.group.borrow_mut();
        group.accepted_term = group.accepted_term.max(term);
        outputs
    }

    /// Performs the outputs of the run; returns how it ended, if it did.
    fn perform(&mut self, outputs: Vec<SwitchOutput>) -> Option<Ending> {
        let mut tasks = Vec::new();
        let mut orders = Vec::new();
        for output in outputs {
            match output {
                SwitchOutput::SendTask { rank, number } => tasks.push((rank, number)),
                SwitchOutput::SendOrder {
                    rank,
                    order,
                    sequence,
                } => orders.push((rank, order, sequence)),
                SwitchOutput::DelegateActivation {
                    pass,
                    gate_sequence,
                    leader_sequence,
                } => self.delegate_activation(pass, gate_sequence, leader_sequence),
                SwitchOutput::AskDeputy => self.query_deputy(),
                SwitchOutput::End(ending) => return Some(ending),
            }
        }
        self.dispatch_tasks(tasks);
        self.dispatch_orders(orders);
        None
    }

    /// Sends orders to engines, directly if there are few, otherwise in batches through other agents.
    fn dispatch_orders(&mut self, orders: Vec<(Rank, SwitchOrder, u64)>) {
        let helpers = match orders.len() > MAX_DIRECT {
            true => self.helpers(),
            false => Vec::new(),
        };
        if helpers.is_empty() {
            for (rank, order, sequence) in orders {
                self.send_order(rank, order, sequence);
            }
            return;
        }
        let batch_size = orders.len().isqrt();
        for (index, orders) in orders.chunks(batch_size).enumerate() {
            let is_unaffected = |helper: &&Rank| orders.iter().all(|(rank, _, _)| rank != *helper);
            let mut candidates = helpers.iter().cycle().skip(index).take(helpers.len());
            match candidates.find(is_unaffected) {
                Some(helper) => self.send_batch(*helper, orders),
                None => {
                    for (rank, order, sequence) in orders {
                        self.send_order(*rank, *order, *sequence);
                    }
                }
            }
        }
    }

    /// Returns agents that may send orders for this one: live ones that are spread over the ranks and
    /// have no role in the switch.
    fn helpers(&self) -> Vec<Rank> {
        let roles = [self.roles.leader, self.roles.deputy, self.roles.gate];
        let mut live = self.state.live_ranks();
        live.retain(|rank| !roles.contains(rank) && Some(*rank) != self.state.rank());
        let stride = live.len().isqrt().max(1);
        live.into_iter().step_by(stride).collect()
    }

    /// Sends orders to another agent, which passes them on to the engines.
    fn send_batch(&mut self, helper: Rank, orders: &[(Rank, SwitchOrder, u64)]) {
        let batched = orders.iter().filter_map(|(rank, order, sequence)| {
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
            orders: batched.collect(),
            group: self.group,
        };
        self.batches.push(PendingBatch {
            number: batch.number,
            ranks: orders.iter().map(|(rank, _, _)| *rank).collect(),
            deadline: self.state.clock.now() + BATCH_TIMEOUT,
        });
        if let Some(server) = server_of(&self.state, helper) {
            let agent = self.state.agent_addr(server.ip());
            self.state.send(agent, &Message::OrderBatch(batch));
        }
    }

    /// Records the received results of batches; orders without a result by the deadline get an
    /// unknown outcome.
    fn process_batch_results(&mut self) {
        let received = std::mem::take(&mut self.state.group.borrow_mut().batch_results);
        for (number, results) in received {
            let Some(index) = self.batches.iter().position(|it| it.number == number) else {
                continue;
            };
            let batch = self.batches.swap_remove(index);
            for rank in batch.ranks {
                let result = results.iter().find(|it| it.rank == rank);
                let outcome = result.map_or(RankOrderOutcome::Unknown, |it| it.outcome);
                self.record_outcome(rank, outcome);
            }
        }
        let now = self.state.clock.now();
        let (expired, pending) = std::mem::take(&mut self.batches)
            .into_iter()
            .partition(|it: &PendingBatch| it.deadline < now);
        self.batches = pending;
        for rank in expired.into_iter().flat_map(|it: PendingBatch| it.ranks) {
            self.record_outcome(rank, RankOrderOutcome::Unknown);
        }
    }

    /// Queues the outcome of a batched order for the run.
    fn record_outcome(&mut self, rank: Rank, outcome: RankOrderOutcome) {
        if outcome == RankOrderOutcome::Unknown {
            metrics::counter!("jujube_orders_unanswered_total").increment(1);
            self.state.record_unanswered();
        }
        self.batch_outcomes
            .push_back(SwitchInput::OrderOutcome { rank, outcome });
    }

    /// Sends tasks to the agents of ranks, with the map to those that still need it.
    fn dispatch_tasks(&mut self, tasks: Vec<(Rank, u64)>) {
        let mut without_map = Vec::new();
        let mut with_map = Vec::new();
        for (rank, number) in tasks {
            let Some(agent) = self.open_task(rank, number) else {
                continue;
            };
            match self.needs_map(rank) {
                true => with_map.push((agent, number)),
                false => without_map.push((agent, number)),
            }
        }
        let delta = self.content.map(|it| it.delta.clone());
        self.send_tasks(without_map, None);
        self.send_tasks(with_map, delta);
    }

    /// Records a task as unanswered and returns the address of the rank's agent, if it is known. A
    /// task for this agent's own rank is executed instead.
    fn open_task(&mut self, rank: Rank, number: u64) -> Option<SocketAddr> {
        {
            let mut group = self.state.group.borrow_mut();
            group.last_number = group.last_number.max(number);
        }
        if Some(rank) == self.state.rank() {
            self.execute_own_task(rank, number);
            return None;
        }
        let previous = self.open_tasks.insert(rank, number);
        let server = server_of(&self.state, rank)?;
        let unanswered = self.unanswered_tasks.entry(rank).or_default();
        *unanswered = match previous == Some(number) {
            true => *unanswered + 1,
            false => 0,
        };
        if *unanswered > 0 && unanswered.is_multiple_of(REPEATS_PER_REMOTE_CALL) {
            match self.run.is_loading() {
                true => self.order_remote_load(rank, server, number),
                false => self.read_remote(rank, server, number),
            }
        }
        Some(self.state.agent_addr(server.ip()))
    }

    /// Reads the engine of a rank whose agent does not answer.
    fn read_remote(&mut self, rank: Rank, server: SocketAddr, number: u64) {
        if self.remote_ranks.len() >= MAX_REMOTE_READS || !self.remote_ranks.insert(rank) {
            return;
        }
        let engine = self.state.engine.with_addr(server);
        let lag = self.state.report_lag();
        let expected = self.expected(rank);
        self.remote_calls.push(Box::pin(async move {
            let view = driver::read_remote(&engine, expected, lag).await;
            log_event!(
                events::ENGINE_READ_REMOTELY,
                rank = rank, server = server.to_string(), answered = view.is_some(),
                lag_ms = lag.as_millis() as u64, view = format!("{view:?}");
                "read an engine whose agent does not answer"
            );
            let input = view.map(|view| SwitchInput::View {
                rank,
                number,
                view,
                outcome: None,
            });
            (rank, input)
        }));
    }

    /// Orders the engine of a rank whose agent does not answer to load the map. No pass is held at
    /// this stage, so a late order of that agent does no harm.
    fn order_remote_load(&mut self, rank: Rank, server: SocketAddr, number: u64) {
        let Some(content) = self.content else {
            return;
        };
        if self.remote_ranks.len() >= MAX_REMOTE_LOADS || !self.remote_ranks.insert(rank) {
            return;
        }
        let engine = self.state.engine.with_addr(server);
        let goal = self.load_goal();
        let expected = self.expected(rank);
        let map = content.full.to_vec();
        log_event!(
            events::LOADED_FOR,
            rank = rank, server = server.to_string(), version = goal.version;
            "loading the map at an engine whose agent does not answer"
        );
        self.remote_calls.push(Box::pin(async move {
            let result = driver::load_remote(&engine, expected, &goal, map).await;
            let input = result.map(|StepResult { view, outcome }| SwitchInput::View {
                rank,
                number,
                view,
                outcome,
            });
            (rank, input)
        }));
    }

    /// Sends one task to several agents, directly if there are few, otherwise in batches that the
    /// first agent of each forwards.
    fn send_tasks(&self, to: Vec<(SocketAddr, u64)>, map: Option<MapDelta>) {
        let task = |number| RankTask {
            leader: self.state.agent_addr(self.state.server.ip()),
            number,
            roles: self.roles,
            goal: self.load_goal(),
            map: map.clone(),
            switch_version: self.run.goal().version,
            group: self.group,
        };
        if to.len() <= MAX_DIRECT {
            for (agent, number) in to {
                self.state.send(agent, &Message::RankTask(task(number)));
            }
            return;
        }
        let batch_size = to.len().isqrt();
        for batch in to.chunks(batch_size) {
            let message = Message::TaskBatch {
                to: batch.to_vec(),
                task: task(0),
            };
            self.state.send(batch[0].0, &message);
        }
    }

    /// Returns the goal of the tasks: agents only load the map at their own engines, and only while
    /// no pass is held.
    fn load_goal(&self) -> Goal {
        let goal = self.run.goal();
        let version = match self.run.is_loading() {
            true => goal.version,
            false => 0,
        };
        Goal {
            pass: None,
            version,
            ..goal
        }
    }

    /// Takes the next step towards the goal of a task at this agent's engine.
    fn execute_own_task(&mut self, rank: Rank, number: u64) {
        let state = Rc::clone(&self.state);
        let goal = self.load_goal();
        let map = self.content.map(|it| it.full.to_vec());
        self.calls.push(Box::pin(async move {
            match driver::read_report(&state).await {
                Ok(report) => {
                    let engine = &state.engine;
                    let map = map.as_deref();
                    let result = driver::take_step(&state, engine, &report.view, &goal, map).await;
                    let StepResult { view, outcome } = result;
                    if outcome == Some(RankOrderOutcome::Unknown) {
                        state.record_unanswered();
                    }
                    Some(SwitchInput::View {
                        rank,
                        number,
                        view,
                        outcome,
                    })
                }
                Err(_) => None,
            }
        }));
    }

    /// Returns whether a task for a rank has to contain the map: until its agent has replied to a task
    /// with this map. An agent that does not know the base map fetches the complete one.
    fn needs_map(&self, rank: Rank) -> bool {
        if self.content.is_none() || !self.run.is_loading() {
            return false;
        }
        let group = self.state.group.borrow();
        let reply = group.task_replies.get(&rank);
        reply.is_none_or(|it| it.version != self.run.goal().version)
    }

    /// Sends an order to the engine of a rank.
    fn send_order(&mut self, rank: Rank, order: SwitchOrder, sequence: u64) {
        let Some(engine) = self.engine(rank) else {
            let outcome = RankOrderOutcome::Unknown;
            let input = SwitchInput::OrderOutcome { rank, outcome };
            return self.calls.push(Box::pin(async move { Some(input) }));
        };
        let goal = self.run.goal();
        let guard = OrderGuard {
            term: goal.term,
            sequence,
            epoch: goal.epoch,
        };
        let state = Rc::clone(&self.state);
        self.calls.push(Box::pin(async move {
            let order = RankOrder::from(order);
            let outcome = engine
                .send_order(&order, guard, driver::ANSWER_TIMEOUT)
                .await;
            if outcome == RankOrderOutcome::Unknown {
                metrics::counter!("jujube_orders_unanswered_total").increment(1);
                state.record_unanswered();
            }
            Some(SwitchInput::OrderOutcome { rank, outcome })
        }));
    }

    /// Returns as what the engine of a rank has to report itself.
    fn expected(&self, rank: Rank) -> RankInGroup {
        RankInGroup {
            group: self.group,
            rank,
        }
    }

    /// Returns a client of the engine of a rank, if its address is known.
    fn engine(&self, rank: Rank) -> Option<EngineClient> {
        if Some(rank) == self.state.rank() {
            return Some(self.state.engine.clone());
        }
        let server = server_of(&self.state, rank)?;
        Some(self.state.engine.with_addr(server))
    }

    /// Asks the deputy to hold a pass at the gate and to activate the map at the leader's engine.
    fn delegate_activation(&mut self, pass: Pass, gate_sequence: u64, leader_sequence: u64) {
        let Some(gate) = server_of(&self.state, self.roles.gate) else {
            return;
        };
        self.deputy_request = self.next_number();
        let message = Message::DelegateActivation {
            number: self.deputy_request,
            goal: Goal {
                pass: Some(pass),
                ..self.run.goal()
            },
            gate,
            gate_sequence,
            server: self.state.server,
            leader_sequence,
            deputy: self.deputy,
            group: self.group,
        };
        self.send_to_deputy(&message);
    }

    /// Queries the state of the deputy, which may be this agent itself.
    fn query_deputy(&mut self) {
        self.deputy_request = self.next_number();
        if Some(self.roles.deputy) == self.state.rank() {
            let reply = DeputyReply {
                number: self.deputy_request,
                report: deputy::report(&self.state),
                is_fenced: false,
            };
            self.state.group.borrow_mut().deputy_reply = Some(reply);
            return;
        }
        let message = Message::AskDeputy {
            number: self.deputy_request,
            term: self.run.goal().term,
            group: self.group,
        };
        self.send_to_deputy(&message);
    }

    /// Sends a message to the deputy, if its address is known.
    fn send_to_deputy(&self, message: &Message) {
        if let Some(server) = server_of(&self.state, self.roles.deputy) {
            let agent = self.state.agent_addr(server.ip());
            self.state.send(agent, message);
        }
    }

    /// Assigns the next request number of this agent.
    fn next_number(&self) -> u64 {
        let mut group = self.state.group.borrow_mut();
        group.last_number += 1;
        group.last_number
    }
}

/// Returns the address of a rank's engine, if a heartbeat of its agent was received.
fn server_of(state: &State, rank: Rank) -> Option<SocketAddr> {
    state.group.borrow().members.server(rank)
}
