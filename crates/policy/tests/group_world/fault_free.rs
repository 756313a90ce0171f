//! Fault-free continuation of a group: every message is delivered or lost, every order ends, and
//! the leaders' drivers act until the group runs further steps with one map.

use jj_policy::{group_leader::LeaderInput, group_rank::RankInput};
use jj_utils::common_derives;

use super::{Budget, RANKS, World};

/// Steps that every rank has to run beyond the highest next step at the end of the faults.
const STEPS_TO_RUN: u64 = 2;

/// Rounds within which all ranks have to run these steps; each models one retry interval.
const MAX_ROUNDS: u32 = 20;

/// Limit on the messages delivered in one round.
const MAX_DELIVERIES_PER_ROUND: u32 = 1_000;

common_derives! {copy:
    /// Rules that the driver of a leader follows.
    pub struct Driver {
        /// Resends requests without a reply.
        pub retries: bool,
        /// Reads all ranks again when the group has run no step in a round.
        pub rereads: bool,
    }
}

impl World {
    /// Returns this world without further faults and with further steps to run.
    pub fn without_faults(&self) -> World {
        let mut world = self.clone();
        world.budget = Budget {
            proposals: 0,
            leader_replacements: 0,
            agent_restarts: 0,
            engine_restarts: 0,
            lost_orders: 0,
            duplicated_requests: 0,
            delayed_replies: 0,
            prepare_timeouts: 0,
            last_step: self.highest_next_step() + STEPS_TO_RUN,
        };
        world
    }

    /// Returns this world with every message in transit lost.
    pub fn without_messages(&self) -> World {
        let mut world = self.clone();
        world.network.clear();
        world
    }

    /// Returns whether all ranks run the last step in time, and every step with one map.
    pub fn makes_progress(&self, driver: Driver) -> bool {
        let mut world = self.clone();
        let mut proposals_due = vec![false; world.leaders.len()];
        for _ in 0..MAX_ROUNDS {
            let before = world.highest_next_step();
            world.deliver_all();
            world.finish_orders();
            (0..RANKS).for_each(|rank| world.run_step_if_possible(rank));
            if world.violated {
                return false;
            }
            let last = world.budget.last_step;
            if world.engines.iter().all(|engine| engine.next_step > last) {
                return true;
            }
            let has_stepped = world.highest_next_step() > before;
            for (index, proposal_due) in proposals_due.iter_mut().enumerate() {
                world.drive(index, proposal_due, has_stepped, driver);
            }
        }
        false
    }

    fn highest_next_step(&self) -> u64 {
        let steps = self.engines.iter().map(|engine| engine.next_step);
        steps.max().unwrap_or(0)
    }

    fn deliver_all(&mut self) {
        for _ in 0..MAX_DELIVERIES_PER_ROUND {
            let Some(message) = self.network.pop_first() else {
                return;
            };
            *self = self.deliver(message);
        }
    }

    /// Carries out all orders and lets the startup wait of every agent elapse.
    fn finish_orders(&mut self) {
        for rank in 0..RANKS {
            while !self.orders[rank].is_empty() {
                let order = self.orders[rank].remove(0);
                let input = self.engines[rank].handle_order(&order, self.setup);
                self.deliver_answer(rank, &order, input);
            }
            self.ranks[rank].handle(RankInput::StartupWaitElapsed);
        }
    }

    fn run_step_if_possible(&mut self, rank: usize) {
        if let Some(stepped) = self.after_step(rank) {
            *self = stepped;
        }
    }

    /// Runs one round of a leader's driver; `proposal_due` is whether to propose a map once idle.
    fn drive(&mut self, index: usize, proposal_due: &mut bool, has_stepped: bool, driver: Driver) {
        let leader = &self.leaders[index];
        if !leader.is_idle() {
            if driver.retries {
                self.leader_input(index, LeaderInput::Retry);
            }
            return;
        }
        if std::mem::take(proposal_due) {
            self.leader_input(index, LeaderInput::Propose);
            return;
        }
        *proposal_due = leader.needs_formation();
        if *proposal_due || (driver.rereads && !has_stepped) {
            self.leader_input(index, LeaderInput::Recover);
        }
    }
}
