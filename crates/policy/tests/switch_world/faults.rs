//! Faults of the modelled group, and the takeovers that follow them.

use jj_policy::switch_run::{Decision, Ending, SwitchOrder, SwitchRoles, SwitchRun, decision};
use jj_utils::ids::Rank;

use super::{
    Actor, Agent, Event, FIRST_VERSION, Next, RANKS, ROLES, Recipient, SECOND_ROLES, SPARE_AGENT,
    World, goal,
};

impl World {
    pub(super) fn fault_events(&self, next: &mut Next) {
        self.stop_events(next);
        self.kill_events(next);
        self.takeover_events(next);
        self.recovery_events(next);
        if self.budget.second_leaders > 0 && !self.is_silent(SPARE_AGENT) {
            let mut world = self.clone();
            world.budget.second_leaders -= 1;
            let goal = goal(self.next_term(SPARE_AGENT), FIRST_VERSION + 1);
            let (run, outputs) = SwitchRun::lead(goal, SECOND_ROLES, RANKS as u32, 300);
            world.add_actor(SPARE_AGENT, SECOND_ROLES, run, outputs);
            next.push((Event::SecondLeader, world));
        }
    }

    /// Returns whether a pass is held, or an order to hold one is under way.
    fn is_pass_at_stake(&self) -> bool {
        let mut orders = self.orders.iter();
        let is_hold = orders.any(|it| matches!(it.order, SwitchOrder::Hold(_)));
        is_hold || self.holds_pass()
    }

    fn stop_events(&self, next: &mut Next) {
        for rank in self.budget.stopping_ranks {
            let is_stopped = self.stopped[*rank as usize];
            if self.budget.stops > 0 && !is_stopped && self.is_pass_at_stake() {
                let mut world = self.clone();
                world.budget.stops -= 1;
                world.stopped[*rank as usize] = true;
                next.push((Event::Stop { rank: *rank }, world));
            }
            if self.budget.wakes > 0 && is_stopped {
                let mut world = self.clone();
                world.budget.wakes -= 1;
                world.stopped[*rank as usize] = false;
                next.push((Event::Wake { rank: *rank }, world));
            }
        }
    }

    /// Kills agents while a pass is held or about to be held, and restarts them in any order.
    fn kill_events(&self, next: &mut Next) {
        if self.budget.kills > 0 && self.is_pass_at_stake() {
            let mut world = self.clone();
            world.budget.kills -= 1;
            for rank in self.budget.killed_agents {
                world.kill_agent(*rank);
                world.agents[*rank as usize].is_killed = !self.budget.restarts_at_once;
            }
            next.push((Event::Kill, world));
        }
        for rank in 0..RANKS as Rank {
            if self.agents[rank as usize].is_killed {
                let mut world = self.clone();
                world.agents[rank as usize].is_killed = false;
                next.push((Event::Restart { rank }, world));
            }
        }
    }

    /// Kills the agent of a rank: its runs end, it forgets what it knew, and nobody receives the
    /// answers to its orders, which may still be executed.
    pub(super) fn kill_agent(&mut self, rank: Rank) {
        let agent = &mut self.agents[rank as usize];
        *agent = Agent {
            incarnation: agent.incarnation + 1,
            is_killed: true,
            ..Agent::default()
        };
        self.drop_outcomes(rank);
        self.end_runs(|it| it.agent == rank);
    }

    /// Ends runs; nobody receives the answers to their tasks and orders any more.
    fn end_runs(&mut self, is_ended: impl Fn(&Actor) -> bool) {
        for index in 0..self.actors.len() {
            let actor = &mut self.actors[index];
            if !is_ended(actor) {
                continue;
            }
            actor.open_tasks.clear();
            actor.is_deputy_queried = false;
            actor.ending.get_or_insert(Ending::Overtaken);
            for sent in &mut self.orders {
                if sent.recipient == Recipient::Run(index) {
                    sent.recipient = Recipient::Nobody;
                }
            }
        }
        self.orders.sort_unstable();
    }

    /// Drops the answers to all orders of an agent.
    fn drop_outcomes(&mut self, rank: Rank) {
        for sent in &mut self.orders {
            let sender = match sent.recipient {
                Recipient::Run(actor) => self.actors[actor].agent,
                Recipient::DeputyHold(it) | Recipient::DeputyActivation(it) => {
                    self.actors[it.actor].roles.deputy
                }
                Recipient::Nobody => continue,
            };
            if sender == rank {
                sent.recipient = Recipient::Nobody;
            }
        }
        self.orders.sort_unstable();
    }

    /// Has the next agent take the switch over while a pass is held. One that has restarted since it
    /// received a task only knows the rank that holds the pass.
    fn takeover_events(&self, next: &mut Next) {
        let Some((agent, others)) = self.budget.takeover_agents.split_first() else {
            return;
        };
        let mut runs = self.actors.iter();
        let is_running = runs.any(|it| it.agent == *agent && it.ending.is_none());
        if !self.holds_pass() || self.is_silent(*agent) || is_running {
            return;
        }
        let mut world = self.clone();
        world.budget.takeover_agents = others;
        if self.budget.takeovers_end {
            world.end_runs(|it| it.agent != ROLES.leader);
        }
        world.take_over(*agent);
        next.push((Event::TakeOver { agent: *agent }, world));
    }

    /// Has an agent take over what it knows of.
    pub fn take_over(&mut self, agent: Rank) {
        match self.agents[agent as usize].knows_switch {
            true => self.start_takeover(agent, ROLES, FIRST_VERSION),
            false => self.recover(agent),
        }
    }

    /// Has an agent take over a switch of which it only knows a rank that holds a pass, or that is
    /// still marked.
    pub fn recover(&mut self, agent: Rank) {
        let mut engines = self.engines.iter();
        let holder = engines.position(|it| it.held.is_some());
        let marked = self.engines.iter().position(|it| it.active.is_some());
        if let Some(gate) = holder.or(marked) {
            self.start_takeover(agent, SwitchRoles::unknown(gate as Rank), 0);
        }
    }

    fn start_takeover(&mut self, agent: Rank, roles: SwitchRoles, version: u64) {
        let goal = goal(self.next_term(agent), version);
        let (run, outputs) = SwitchRun::take_over(goal, roles, agent, RANKS as u32, 200);
        self.add_actor(agent, roles, run, outputs);
    }

    fn recovery_events(&self, next: &mut Next) {
        let mut open = self.actors.iter().filter(|it| it.ending.is_none());
        let may_recover = match self.budget.concurrent_recoveries {
            true => self.budget.kills == 0,
            false => open.all(|it| it.roles.has_known_leader()),
        };
        let can_recover = self.budget.recoveries > 0 && !self.is_silent(SPARE_AGENT);
        if may_recover && can_recover && self.holds_pass() {
            let mut world = self.clone();
            world.budget.recoveries -= 1;
            world.recover(SPARE_AGENT);
            next.push((Event::Recover, world));
        }
    }

    /// Returns whether the group goes on once no more faults happen: killed agents have restarted,
    /// and agents take the switch over one after the other. A stopped instance wakes if `wakes` is
    /// set, or if an order was sent to it meanwhile. The events then come in one fair order.
    pub fn can_recover(&self, wakes: bool) -> bool {
        /// Takeovers that follow each other; each late order can make one of them fail.
        const MAX_TAKEOVERS: u32 = 4;
        let mut world = self.clone();
        world.budget.stops = 0;
        world.budget.kills = 0;
        world.budget.late_orders = 0;
        world.budget.lost_answers = 0;
        world.budget.timeouts = 0;
        world.budget.recoveries = 0;
        world.budget.second_leaders = 0;
        world.budget.takeover_agents = &[];
        if wakes || world.has_unknown_outcome {
            world.stopped = [false; RANKS];
        }
        for agent in &mut world.agents {
            agent.is_killed = false;
        }
        for round in 0..MAX_TAKEOVERS {
            world.run_to_end();
            if world.is_settled() {
                return true;
            }
            for actor in &mut world.actors {
                actor.ending.get_or_insert(Ending::Unclear);
            }
            let agents = (0..RANKS as Rank).filter(|it| !world.is_silent(*it));
            let agents: Vec<Rank> = agents.collect();
            let agent = agents[(agents.len() - 1).min(round as usize)];
            match round % 2 {
                0 => world.take_over(agent),
                _ => world.recover(agent),
            }
        }
        false
    }

    /// Returns whether the decision on the first switch is open while its pass is held.
    pub fn is_undecided(&self) -> bool {
        let gate = self.engines[ROLES.gate as usize].view(self.pass);
        let open = |pass| decision(&gate, pass) == Decision::Open;
        gate.held.is_some_and(open)
    }

    /// Lets events happen in a fair order until none is left, with a tick where nothing else
    /// happens.
    fn run_to_end(&mut self) {
        const MAX_EVENTS: u32 = 2_000;
        const MAX_IDLE_TICKS: u32 = 8;
        self.budget.ticks = 0;
        self.budget.last_pass = self.budget.last_pass.max(self.pass + 3);
        let mut idle_ticks = 0;
        for _ in 0..MAX_EVENTS {
            let next = self.successors().into_iter();
            let mut next = next.filter(|(event, _)| !matches!(event, Event::Wake { .. }));
            if let Some((_, next)) = next.next() {
                *self = next;
                idle_ticks = 0;
                continue;
            }
            let open: Vec<usize> = (0..self.actors.len())
                .filter(|it| self.actors[*it].ending.is_none())
                .collect();
            if open.is_empty() || idle_ticks > MAX_IDLE_TICKS {
                return;
            }
            idle_ticks += 1;
            for actor in open {
                self.tick(actor);
            }
        }
    }
}
