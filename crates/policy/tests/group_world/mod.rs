//! Model of a group of ranks as one state value, for exhaustive state-space search: engines,
//! agents, leaders and a network that can lose, delay, duplicate and reorder every message.

pub mod engine;
mod fault_free;
mod progress;

use std::collections::BTreeSet;

use jj_policy::{
    group_leader::{Leader, LeaderConfig, LeaderInput, LeaderOutput},
    group_rank::{RankConfig, RankInput, RankOutput, RankState},
    group_switch::{Action, EngineView, Reply, Request, RequestOutcome, RequestRefusal, Step},
};
use jj_utils::common_derives;

use engine::{Engine, Order};

/// Ranks of the modelled group.
pub const RANKS: usize = 3;

common_derives! {copy:
    /// Rule of the protocol that the search breaks on purpose.
    pub enum Mutation {
        None,
        DropHold,
        DropTermCheck,
        ReadOneRank,
        SkipStartupWait,
    }
}

common_derives! {copy:
    /// Faults and proposals that may still occur, and the last step to run.
    pub struct Budget {
        pub proposals: u32,
        /// Leaders that freeze and are replaced.
        pub leader_replacements: u32,
        pub agent_restarts: u32,
        /// Engine restarts, each of which loses the engine's state.
        pub engine_restarts: u32,
        /// Orders that expire, or whose answer is lost.
        pub lost_orders: u32,
        /// Requests that are delivered and stay in the network, to be delivered again.
        pub duplicated_requests: u32,
        /// Replies that are delayed or lost; the others are delivered at once. Requests need no
        /// such budget, since any request may stay in the network for any time.
        pub delayed_replies: u32,
        /// Prepares that time out at a leader.
        pub prepare_timeouts: u32,
        pub last_step: Step,
    }
}

common_derives! {copy:
    /// Settings that hold for a whole search.
    pub struct Setup {
        pub fencing: bool,
        pub mutation: Mutation,
    }
}

common_derives! {copy:
    /// Transition between two states.
    pub enum Event {
        Deliver(Message),
        DeliverAndKeep(Message),
        Propose { leader: usize },
        PrepareTimeout { leader: usize },
        ReplaceLeader,
        CarryOutOrder(usize, Action),
        LoseAnswer(usize, Action),
        ExpireOrder(usize, Action),
        Step(usize),
        StartupWaitElapsed(usize),
        RestartAgent(usize),
        RestartEngine(usize),
    }
}

common_derives! {copy:
    /// Message in transit.
    pub enum Message {
        ToRank(usize, Request),
        ToLeader(Reply),
    }
}

common_derives! {key:
    /// State of the whole group.
    pub struct World {
        pub setup: Setup,
        pub budget: Budget,
        pub engines: [Engine; RANKS],
        pub ranks: [RankState; RANKS],
        pub orders: [Vec<Order>; RANKS],
        /// The last one is current; earlier ones are frozen and may resume at any time.
        pub leaders: Vec<Leader>,
        pub network: BTreeSet<Message>,
        /// Whether a step has been run with two maps.
        pub violated: bool,
        /// Set while computing an event whose reply is delayed.
        delay_reply: bool,
    }
}

impl World {
    /// Returns a formed group with its first map in force, whose leader has read all ranks.
    pub fn formed(setup: Setup, budget: Budget) -> Self {
        let mut world = Self {
            setup,
            budget,
            engines: [Engine::formed(); RANKS],
            ranks: std::array::from_fn(|rank| agent(rank, 1, true)),
            orders: std::array::from_fn(|_| Vec::new()),
            leaders: Vec::new(),
            network: BTreeSet::new(),
            violated: false,
            delay_reply: false,
        };
        world.start_leader();
        while let Some(message) = world.network.pop_first() {
            world = world.deliver(message);
        }
        world
    }

    /// Returns every state reachable by one event, with the event. There are none once all ranks
    /// have run the last step, since no violation can be seen after it.
    pub fn successors(&self) -> Vec<(Event, World)> {
        if self
            .engines
            .iter()
            .all(|engine| engine.next_step > self.budget.last_step)
        {
            return Vec::new();
        }
        let mut next = self.events();
        if self.budget.delayed_replies > 0 {
            let mut late = self.clone();
            late.delay_reply = true;
            late.budget.delayed_replies -= 1;
            next.extend(
                late.events()
                    .into_iter()
                    .filter(|(_, world)| self.has_more_replies(world)),
            );
        }
        for (_, world) in &mut next {
            world.delay_reply = false;
            world.reset_superseded_leaders();
            world.remove_inert_messages();
        }
        next
    }

    /// Resets superseded leaders, which ignore all inputs, so that states that differ only in them
    /// become equal.
    fn reset_superseded_leaders(&mut self) {
        for leader in self
            .leaders
            .iter_mut()
            .filter(|leader| leader.is_superseded())
        {
            *leader = Leader::new(&LeaderConfig {
                incarnation: 0,
                ranks: 0,
                switch_lead_steps: 0,
            });
        }
    }

    /// Returns whether `world` has more replies in its network than this one.
    fn has_more_replies(&self, world: &World) -> bool {
        let replies = |world: &World| {
            let is_reply = |message: &&Message| matches!(message, Message::ToLeader(_));
            world.network.iter().filter(is_reply).count()
        };
        replies(world) > replies(self)
    }

    /// Returns every event that may occur next, with the state after it.
    fn events(&self) -> Vec<(Event, World)> {
        let mut next = Vec::new();
        for message in &self.network {
            self.push_deliveries(*message, &mut next);
        }
        for rank in 0..RANKS {
            self.push_rank_events(rank, &mut next);
        }
        for index in 0..self.leaders.len() {
            if self.may_propose() && self.leaders[index].is_idle() {
                let mut world = self.clone();
                world.budget.proposals -= 1;
                world.leader_input(index, LeaderInput::Propose);
                next.push((Event::Propose { leader: index }, world));
            }
        }
        for index in 0..self.leaders.len() {
            if self.budget.prepare_timeouts > 0 && self.leaders[index].is_preparing() {
                let mut world = self.clone();
                world.budget.prepare_timeouts -= 1;
                world.leader_input(index, LeaderInput::PrepareTimeout);
                next.push((Event::PrepareTimeout { leader: index }, world));
            }
        }
        if self.budget.leader_replacements > 0 {
            let mut world = self.clone();
            world.budget.leader_replacements -= 1;
            world.start_leader();
            next.push((Event::ReplaceLeader, world));
        }
        next
    }

    /// Returns whether a proposal may occur; a switch after the last step could show no violation.
    fn may_propose(&self) -> bool {
        let next = self.engines.iter().map(|engine| engine.next_step).max();
        self.budget.proposals > 0 && next <= Some(self.budget.last_step)
    }

    /// Adds the events of one rank: its orders, its next step, and restarts of agent and engine.
    fn push_rank_events(&self, rank: usize, next: &mut Vec<(Event, World)>) {
        for index in 0..self.orders[rank].len() {
            let order = self.orders[rank][index];
            let mut world = self.clone();
            world.orders[rank].remove(index);
            let input = world.engines[rank].handle_order(&order, self.setup);
            let mut answer_lost = world.clone();
            world.deliver_answer(rank, &order, input);
            next.push((Event::CarryOutOrder(rank, order.action), world));
            if self.budget.lost_orders > 0 {
                answer_lost.budget.lost_orders -= 1;
                answer_lost.deliver_answer(rank, &order, RankInput::OrderExpired);
                next.push((Event::LoseAnswer(rank, order.action), answer_lost));
                let mut order_lost = self.clone();
                order_lost.budget.lost_orders -= 1;
                order_lost.orders[rank].remove(index);
                order_lost.deliver_answer(rank, &order, RankInput::OrderExpired);
                next.push((Event::ExpireOrder(rank, order.action), order_lost));
            }
        }
        if let Some(world) = self.after_step(rank) {
            next.push((Event::Step(rank), world));
        }
        if !self.ranks[rank].is_startup_wait_over() {
            let mut world = self.clone();
            let current = self.ranks[rank].incarnation();
            world.orders[rank].retain(|order| order.agent == current);
            world.ranks[rank].handle(RankInput::StartupWaitElapsed);
            next.push((Event::StartupWaitElapsed(rank), world));
        }
        if self.may_restart_agent(rank) {
            let mut world = self.clone();
            world.budget.agent_restarts -= 1;
            let incarnation = self.ranks[rank].incarnation() + 1;
            let skip_wait = self.setup.fencing || self.setup.mutation == Mutation::SkipStartupWait;
            world.ranks[rank] = agent(rank, incarnation, skip_wait);
            next.push((Event::RestartAgent(rank), world));
        }
        if self.budget.engine_restarts > 0 {
            let mut world = self.clone();
            world.budget.engine_restarts -= 1;
            world.engines[rank].restart();
            next.push((Event::RestartEngine(rank), world));
        }
    }

    /// Returns whether orders to the rank are queued. An order that can neither be lost nor outlive
    /// its agent is carried out at once, which reduces the states: the agent accepts nothing else
    /// meanwhile, so the effect equals that of a later request.
    fn may_delay_orders(&self, rank: usize) -> bool {
        let budget = &self.budget;
        budget.lost_orders + budget.agent_restarts > 0 || !self.orders[rank].is_empty()
    }

    /// Returns whether the agent of a rank may restart. Ranks are symmetric, so the n-th distinct
    /// rank to restart is always rank n, which reduces the states.
    fn may_restart_agent(&self, rank: usize) -> bool {
        let restarted = self
            .ranks
            .iter()
            .filter(|agent| agent.incarnation() > 1)
            .count();
        self.budget.agent_restarts > 0 && rank <= restarted
    }

    /// Delivers an engine's answer to the agent, unless the agent has restarted since the order.
    fn deliver_answer(&mut self, rank: usize, order: &Order, input: RankInput) {
        if order.agent == self.ranks[rank].incarnation() {
            self.rank_input(rank, input);
        }
    }

    /// Returns the state after the next step of one rank; `None` if it can't run that step. A step
    /// needs all engines to have finished the one before it.
    fn after_step(&self, rank: usize) -> Option<World> {
        let step = self.engines[rank].next_step;
        let in_lock_step = |engine: &Engine| engine.map.is_some() && engine.next_step >= step;
        if step > self.budget.last_step || !self.engines.iter().all(in_lock_step) {
            return None;
        }
        let mut world = self.clone();
        let run = world.engines[rank].run_step(self.setup)?;
        let other_map = |engine: &Engine| {
            let last = engine.last_run;
            last.is_some_and(|last| last.step == run.step && last.map != run.map)
        };
        world.violated = world.engines.iter().any(other_map);
        Some(world)
    }

    /// Adds a leader of the next incarnation, which starts to read all ranks.
    fn start_leader(&mut self) {
        let index = self.leaders.len();
        self.leaders.push(Leader::new(&LeaderConfig {
            incarnation: index as u64 + 1,
            ranks: RANKS as u32,
            switch_lead_steps: 0,
        }));
        self.leader_input(index, LeaderInput::Recover);
    }

    /// Adds the delivery of a message and, for a request, one that leaves a copy in the network.
    fn push_deliveries(&self, message: Message, next: &mut Vec<(Event, World)>) {
        let kept = self.deliver(message);
        let mut removed = kept.clone();
        removed.network.remove(&message);
        next.push((Event::Deliver(message), removed));
        if matches!(message, Message::ToRank(..)) && self.budget.duplicated_requests > 0 {
            let mut kept = kept;
            kept.budget.duplicated_requests -= 1;
            next.push((Event::DeliverAndKeep(message), kept));
        }
    }

    fn deliver(&self, message: Message) -> World {
        let mut world = self.clone();
        match message {
            Message::ToRank(rank, request) => {
                let request = world.apply_mutation(rank, request);
                world.rank_input(rank, RankInput::Request(request));
            }
            Message::ToLeader(reply) => {
                for index in 0..world.leaders.len() {
                    world.leader_input(index, LeaderInput::Reply(reply));
                }
            }
        }
        world
    }

    /// Makes a request pass the checks of term and incarnation under [`Mutation::DropTermCheck`].
    fn apply_mutation(&self, rank: usize, request: Request) -> Request {
        if self.setup.mutation != Mutation::DropTermCheck || request.action == Action::Read {
            return request;
        }
        Request {
            term: self.ranks[rank].term(),
            target: Some(self.ranks[rank].incarnation()),
            action: request.action,
        }
    }

    /// Passes an input to a rank's agent and handles its outputs.
    fn rank_input(&mut self, rank: usize, input: RankInput) {
        for output in self.ranks[rank].handle(input) {
            match output {
                RankOutput::Reply(reply) => self.send_reply(reply),
                RankOutput::Order { term, action } => {
                    let agent = self.ranks[rank].incarnation();
                    let order = Order {
                        agent,
                        term,
                        action,
                    };
                    if action == Action::Read || !self.may_delay_orders(rank) {
                        let input = self.engines[rank].handle_order(&order, self.setup);
                        self.rank_input(rank, input);
                    } else {
                        self.orders[rank].push(order);
                    }
                }
            }
        }
    }

    /// Delivers a reply to all leaders, or puts it into the network if replies are delayed.
    fn send_reply(&mut self, reply: Reply) {
        if reply.outcome == RequestOutcome::Refused(RequestRefusal::Busy) {
            return;
        }
        if self.delay_reply {
            self.network.insert(Message::ToLeader(reply));
            return;
        }
        for index in 0..self.leaders.len() {
            self.leader_input(index, LeaderInput::Reply(reply));
        }
    }

    /// Passes an input to a leader and puts its requests into the network.
    fn leader_input(&mut self, index: usize, input: LeaderInput) {
        let outputs = self.leaders[index].handle(input);
        for output in outputs {
            if let LeaderOutput::Send { rank, request } = output {
                self.network.insert(Message::ToRank(rank as usize, request));
            }
        }
        if let LeaderInput::Reply(reply) = input {
            self.copy_first_report(index, reply);
        }
    }

    /// Under [`Mutation::ReadOneRank`], reuses the report of rank 0 for all other ranks.
    fn copy_first_report(&mut self, index: usize, first: Reply) {
        let is_report =
            first.action == Action::Read && matches!(first.outcome, RequestOutcome::Done(_));
        if self.setup.mutation != Mutation::ReadOneRank || !is_report || first.rank != 0 {
            return;
        }
        for rank in 1..RANKS {
            let incarnation = self.ranks[rank].incarnation();
            let mut copy = first;
            copy.rank = rank as u32;
            copy.incarnation = incarnation;
            self.ranks[rank].handle(RankInput::Request(Request {
                term: first.term,
                target: None,
                action: Action::Read,
            }));
            self.ranks[rank].handle(RankInput::OrderExpired);
            for output in self.leaders[index].handle(LeaderInput::Reply(copy)) {
                if let LeaderOutput::Send { rank, request } = output {
                    self.network.insert(Message::ToRank(rank as usize, request));
                }
            }
        }
    }

    /// Removes messages that have no effect in any later state.
    fn remove_inert_messages(&mut self) {
        let network = std::mem::take(&mut self.network);
        let kept = network
            .into_iter()
            .filter(|message| !self.is_inert(*message));
        self.network = kept.collect();
    }

    /// Returns whether a message has no effect in any later state.
    fn is_inert(&self, message: Message) -> bool {
        match message {
            Message::ToLeader(reply) => self.leaders.iter().all(|leader| {
                let mut copy = leader.clone();
                copy.handle(LeaderInput::Reply(reply));
                copy == *leader
            }),
            Message::ToRank(rank, request) => self.is_inert_request(rank, request),
        }
    }

    fn is_inert_request(&self, rank: usize, request: Request) -> bool {
        if self.setup.mutation == Mutation::DropTermCheck {
            return false;
        }
        if request.action == Action::Read && self.budget.agent_restarts > 0 {
            return false;
        }
        if !self.ranks[rank].is_startup_wait_over() || self.ranks[rank].has_open_order() {
            return false;
        }
        let outputs = self.ranks[rank].clone().handle(RankInput::Request(request));
        outputs.iter().all(|output| match output {
            RankOutput::Order { .. } => false,
            RankOutput::Reply(reply) => {
                reply.outcome != RequestOutcome::Refused(RequestRefusal::Busy)
                    && self.is_inert(Message::ToLeader(*reply))
            }
        })
    }
}

/// Returns a just started agent; `skip_wait` makes it accept requests at once.
fn agent(rank: usize, incarnation: u64, skip_wait: bool) -> RankState {
    RankState::new(&RankConfig {
        rank: rank as u32,
        incarnation,
        fencing: skip_wait,
    })
}

/// Returns the state that an engine reports.
pub fn view(engine: &Engine) -> EngineView {
    EngineView {
        map: engine.map,
        next_step: engine.next_step,
        held: engine.held,
    }
}
