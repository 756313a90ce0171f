//! A group of ranks as one value, for exhaustive walks: engines, agents, leaders and a network
//! that keeps every message, so that each may arrive never, late, twice or out of order.

pub mod engine;
mod fault_free;
mod progress;

use std::collections::BTreeSet;

use jj_policy::{
    group_leader::{Leader, LeaderConfig, LeaderInput, LeaderOutput},
    group_rank::{RankConfig, RankInput, RankOutput, RankState},
    group_switch::{Action, EngineView, Outcome, Refusal, Reply, Request, Step},
};
use jj_utils::common_derives;

use engine::{Engine, Order};

pub const RANKS: usize = 3;

common_derives! {copy:
    /// Rules of the protocol that a walk may break on purpose.
    pub enum Mutation {
        None,
        DropHold,
        DropTermCheck,
        ReadOneRank,
        SkipSettle,
    }
}

common_derives! {copy:
    /// Faults left, and how far the group runs.
    pub struct Budget {
        pub proposals: u32,
        pub leaders: u32,
        pub agent_restarts: u32,
        pub engine_losses: u32,
        /// Orders that expire, or whose answer is lost.
        pub lost_orders: u32,
        /// Requests that arrive twice, or are sent again.
        pub doubled: u32,
        /// Replies that arrive late or never; the others arrive at once. A late request needs no
        /// budget: every request stays under way for as long as the walk likes.
        pub late_replies: u32,
        /// Preparations that a leader gives up.
        pub give_ups: u32,
        pub last_step: Step,
    }
}

common_derives! {copy:
    pub struct Setup {
        pub fencing: bool,
        pub mutation: Mutation,
    }
}

common_derives! {copy:
    /// One thing that may happen next.
    pub enum Event {
        Deliver(Message),
        DeliverAndRepeat(Message),
        Propose { leader: usize },
        GiveUp { leader: usize },
        FreezeLeader,
        CarryOut(usize, Action),
        LoseAnswer(usize, Action),
        ExpireOrder(usize, Action),
        Step(usize),
        StartupWaitElapsed(usize),
        RestartAgent(usize),
        RestartEngine(usize),
    }
}

common_derives! {copy:
    pub enum Message {
        ToRank(usize, Request),
        ToLeader(Reply),
    }
}

common_derives! {key:
    pub struct World {
        pub setup: Setup,
        pub budget: Budget,
        pub engines: [Engine; RANKS],
        pub ranks: [RankState; RANKS],
        pub orders: [Vec<Order>; RANKS],
        /// The last one leads; earlier ones were frozen and may wake at any moment.
        pub leaders: Vec<Leader>,
        pub network: BTreeSet<Message>,
        pub violated: bool,
        /// Set while an event is computed whose reply is to arrive late.
        hold_reply: bool,
    }
}

impl World {
    /// A formed group that runs its first map; its leader has read all ranks.
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
            hold_reply: false,
        };
        world.start_leader();
        while let Some(message) = world.network.pop_first() {
            world = world.deliver(message);
        }
        world
    }

    /// Every world that is one event away, with the event; none once all ranks have run the last
    /// step of the walk, since nothing can be seen after it.
    pub fn successors(&self) -> Vec<(Event, World)> {
        if self
            .engines
            .iter()
            .all(|engine| engine.next_step > self.budget.last_step)
        {
            return Vec::new();
        }
        let mut next = self.events();
        if self.budget.late_replies > 0 {
            let mut late = self.clone();
            late.hold_reply = true;
            late.budget.late_replies -= 1;
            next.extend(
                late.events()
                    .into_iter()
                    .filter(|(_, world)| self.gained_reply(world)),
            );
        }
        for (_, world) in &mut next {
            world.hold_reply = false;
            world.forget_superseded_leaders();
            world.forget_inert_messages();
        }
        next
    }

    /// A superseded leader does nothing any more, so what it knew makes no difference.
    fn forget_superseded_leaders(&mut self) {
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

    fn gained_reply(&self, world: &World) -> bool {
        let replies = |world: &World| {
            let is_reply = |message: &&Message| matches!(message, Message::ToLeader(_));
            world.network.iter().filter(is_reply).count()
        };
        replies(world) > replies(self)
    }

    fn events(&self) -> Vec<(Event, World)> {
        let mut next = Vec::new();
        for message in &self.network {
            self.deliveries(*message, &mut next);
        }
        for rank in 0..RANKS {
            self.rank_events(rank, &mut next);
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
            if self.budget.give_ups > 0 && self.leaders[index].is_preparing() {
                let mut world = self.clone();
                world.budget.give_ups -= 1;
                world.leader_input(index, LeaderInput::PrepareTimeout);
                next.push((Event::GiveUp { leader: index }, world));
            }
        }
        if self.budget.leaders > 0 {
            let mut world = self.clone();
            world.budget.leaders -= 1;
            world.start_leader();
            next.push((Event::FreezeLeader, world));
        }
        next
    }

    /// A switch after the last step of the walk could show nothing.
    fn may_propose(&self) -> bool {
        let next = self.engines.iter().map(|engine| engine.next_step).max();
        self.budget.proposals > 0 && next <= Some(self.budget.last_step)
    }

    fn rank_events(&self, rank: usize, next: &mut Vec<(Event, World)>) {
        for index in 0..self.orders[rank].len() {
            let order = self.orders[rank][index];
            let mut world = self.clone();
            world.orders[rank].remove(index);
            let input = world.engines[rank].order(&order, self.setup);
            let mut unanswered = world.clone();
            world.answer(rank, &order, input);
            next.push((Event::CarryOut(rank, order.action), world));
            if self.budget.lost_orders > 0 {
                unanswered.budget.lost_orders -= 1;
                unanswered.answer(rank, &order, RankInput::OrderExpired);
                next.push((Event::LoseAnswer(rank, order.action), unanswered));
                let mut dropped = self.clone();
                dropped.budget.lost_orders -= 1;
                dropped.orders[rank].remove(index);
                dropped.answer(rank, &order, RankInput::OrderExpired);
                next.push((Event::ExpireOrder(rank, order.action), dropped));
            }
        }
        if let Some(world) = self.step(rank) {
            next.push((Event::Step(rank), world));
        }
        if !self.ranks[rank].is_startup_wait_over() {
            let mut world = self.clone();
            let alive = self.ranks[rank].incarnation();
            world.orders[rank].retain(|order| order.agent == alive);
            world.ranks[rank].handle(RankInput::StartupWaitElapsed);
            next.push((Event::StartupWaitElapsed(rank), world));
        }
        if self.may_restart_agent(rank) {
            let mut world = self.clone();
            world.budget.agent_restarts -= 1;
            let life = self.ranks[rank].incarnation() + 1;
            let at_once = self.setup.fencing || self.setup.mutation == Mutation::SkipSettle;
            world.ranks[rank] = agent(rank, life, at_once);
            next.push((Event::RestartAgent(rank), world));
        }
        if self.budget.engine_losses > 0 {
            let mut world = self.clone();
            world.budget.engine_losses -= 1;
            world.engines[rank].lose();
            next.push((Event::RestartEngine(rank), world));
        }
    }

    /// An order that can neither be lost nor outlive its agent may as well be carried out at once:
    /// the agent takes nothing else meanwhile, so a later request has the same effect.
    fn may_delay_orders(&self, rank: usize) -> bool {
        let budget = &self.budget;
        budget.lost_orders + budget.agent_restarts > 0 || !self.orders[rank].is_empty()
    }

    /// Ranks are alike, so the n-th distinct rank to restart may as well be number n.
    fn may_restart_agent(&self, rank: usize) -> bool {
        let restarted = self
            .ranks
            .iter()
            .filter(|agent| agent.incarnation() > 1)
            .count();
        self.budget.agent_restarts > 0 && rank <= restarted
    }

    fn answer(&mut self, rank: usize, order: &Order, input: RankInput) {
        if order.agent == self.ranks[rank].incarnation() {
            self.rank_input(rank, input);
        }
    }

    /// One step of one engine; a step needs all engines to have finished the one before it.
    fn step(&self, rank: usize) -> Option<World> {
        let step = self.engines[rank].next_step;
        let in_lock_step = |engine: &Engine| engine.map.is_some() && engine.next_step >= step;
        if step > self.budget.last_step || !self.engines.iter().all(in_lock_step) {
            return None;
        }
        let mut world = self.clone();
        let run = world.engines[rank].step(self.setup)?;
        let other_map = |engine: &Engine| {
            let last = engine.last_run;
            last.is_some_and(|last| last.step == run.step && last.map != run.map)
        };
        world.violated = world.engines.iter().any(other_map);
        Some(world)
    }

    fn start_leader(&mut self) {
        let index = self.leaders.len();
        self.leaders.push(Leader::new(&LeaderConfig {
            incarnation: index as u64 + 1,
            ranks: RANKS as u32,
            switch_lead_steps: 0,
        }));
        self.leader_input(index, LeaderInput::Recover);
    }

    fn deliveries(&self, message: Message, next: &mut Vec<(Event, World)>) {
        let kept = self.deliver(message);
        let mut taken = kept.clone();
        taken.network.remove(&message);
        next.push((Event::Deliver(message), taken));
        if matches!(message, Message::ToRank(..)) && self.budget.doubled > 0 {
            let mut kept = kept;
            kept.budget.doubled -= 1;
            next.push((Event::DeliverAndRepeat(message), kept));
        }
    }

    fn deliver(&self, message: Message) -> World {
        let mut world = self.clone();
        match message {
            Message::ToRank(rank, request) => {
                let request = world.mutate(rank, request);
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

    /// Without the check of terms and incarnations every request looks as if it were current.
    fn mutate(&self, rank: usize, request: Request) -> Request {
        if self.setup.mutation != Mutation::DropTermCheck || request.action == Action::Read {
            return request;
        }
        Request {
            term: self.ranks[rank].term(),
            target: Some(self.ranks[rank].incarnation()),
            action: request.action,
        }
    }

    fn rank_input(&mut self, rank: usize, input: RankInput) {
        for output in self.ranks[rank].handle(input) {
            match output {
                RankOutput::Reply(reply) => self.reply(reply),
                RankOutput::Order { term, action } => {
                    let agent = self.ranks[rank].incarnation();
                    let order = Order {
                        agent,
                        term,
                        action,
                    };
                    if action == Action::Read || !self.may_delay_orders(rank) {
                        let input = self.engines[rank].order(&order, self.setup);
                        self.rank_input(rank, input);
                    } else {
                        self.orders[rank].push(order);
                    }
                }
            }
        }
    }

    /// Delivers a reply, late if the walk likes: the late copy is in the network of the successor
    /// that [`World::late_reply`] makes.
    fn reply(&mut self, reply: Reply) {
        if reply.outcome == Outcome::Refused(Refusal::Busy) {
            return;
        }
        if self.hold_reply {
            self.network.insert(Message::ToLeader(reply));
            return;
        }
        for index in 0..self.leaders.len() {
            self.leader_input(index, LeaderInput::Reply(reply));
        }
    }

    fn leader_input(&mut self, index: usize, input: LeaderInput) {
        let outputs = self.leaders[index].handle(input);
        for output in outputs {
            if let LeaderOutput::Send { rank, request } = output {
                self.network.insert(Message::ToRank(rank as usize, request));
            }
        }
        if let LeaderInput::Reply(reply) = input {
            self.read_only_one(index, reply);
        }
    }

    /// With [`Mutation::ReadOneRank`] the first report stands for the ranks not read yet.
    fn read_only_one(&mut self, index: usize, first: Reply) {
        let is_report = first.action == Action::Read && matches!(first.outcome, Outcome::Done(_));
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

    /// Drops messages that can change nothing any more, whatever happens later.
    fn forget_inert_messages(&mut self) {
        let network = std::mem::take(&mut self.network);
        let kept = network
            .into_iter()
            .filter(|message| !self.is_inert(*message));
        self.network = kept.collect();
    }

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
                reply.outcome != Outcome::Refused(Refusal::Busy)
                    && self.is_inert(Message::ToLeader(*reply))
            }
        })
    }
}

fn agent(rank: usize, incarnation: u64, settled: bool) -> RankState {
    RankState::new(&RankConfig {
        rank: rank as u32,
        incarnation,
        fencing: settled,
    })
}

/// What an engine reports of itself.
pub fn view(engine: &Engine) -> EngineView {
    EngineView {
        map: engine.map,
        next_step: engine.next_step,
        held: engine.held,
    }
}
