//! A group after the last fault: every message is delivered or lost, every order ends, and the
//! leaders do what their driver does, until the group runs on with one map.

use jj_policy::{group_leader::LeaderInput, group_rank::RankInput};
use jj_utils::common_derives;

use super::{Budget, RANKS, World};

/// Steps that every rank has to run past the furthest.
const STEPS: u64 = 2;

/// Rounds within which the group has to run on; each stands for a retry interval.
const ROUNDS: u32 = 20;

/// Messages delivered in one round, at most.
const DELIVERIES: u32 = 1_000;

common_derives! {copy:
    /// What the leaders' driver does while nothing fails.
    pub struct Driver {
        /// Sends again what has no answer.
        pub retries: bool,
        /// Reads all ranks anew when the group has not stepped.
        pub rereads: bool,
    }
}

impl World {
    /// The same without further faults, and with further steps to run.
    pub fn without_faults(&self) -> World {
        let mut world = self.clone();
        world.budget = Budget {
            proposals: 0,
            leaders: 0,
            agent_restarts: 0,
            engine_losses: 0,
            lost_orders: 0,
            doubled: 0,
            late_replies: 0,
            give_ups: 0,
            last_step: self.furthest_step() + STEPS,
        };
        world
    }

    /// The same with every message lost that is under way.
    pub fn without_messages(&self) -> World {
        let mut world = self.clone();
        world.network.clear();
        world
    }

    /// Whether all ranks come to run the last step, each step with one map.
    pub fn runs_on(&self, driver: Driver) -> bool {
        let mut world = self.clone();
        let mut wanted = vec![false; world.leaders.len()];
        for _ in 0..ROUNDS {
            let before = world.furthest_step();
            world.deliver_all();
            world.end_orders();
            (0..RANKS).for_each(|rank| world.take_step(rank));
            if world.violated {
                return false;
            }
            let last = world.budget.last_step;
            if world.engines.iter().all(|engine| engine.next_step > last) {
                return true;
            }
            let has_stepped = world.furthest_step() > before;
            for (index, wanted) in wanted.iter_mut().enumerate() {
                world.drive(index, wanted, has_stepped, driver);
            }
        }
        false
    }

    fn furthest_step(&self) -> u64 {
        let steps = self.engines.iter().map(|engine| engine.next_step);
        steps.max().unwrap_or(0)
    }

    fn deliver_all(&mut self) {
        for _ in 0..DELIVERIES {
            let Some(message) = self.network.pop_first() else {
                return;
            };
            *self = self.deliver(message);
        }
    }

    fn end_orders(&mut self) {
        for rank in 0..RANKS {
            while !self.orders[rank].is_empty() {
                let order = self.orders[rank].remove(0);
                let input = self.engines[rank].order(&order, self.setup);
                self.answer(rank, &order, input);
            }
            self.ranks[rank].handle(RankInput::StartupWaitElapsed);
        }
    }

    fn take_step(&mut self, rank: usize) {
        if let Some(stepped) = self.step(rank) {
            *self = stepped;
        }
    }

    /// One look of a leader's driver.
    fn drive(&mut self, index: usize, wanted: &mut bool, has_stepped: bool, driver: Driver) {
        let leader = &self.leaders[index];
        if !leader.is_idle() {
            if driver.retries {
                self.leader_input(index, LeaderInput::Retry);
            }
            return;
        }
        if std::mem::take(wanted) {
            self.leader_input(index, LeaderInput::Propose);
            return;
        }
        *wanted = leader.needs_formation();
        if *wanted || (driver.rereads && !has_stepped) {
            self.leader_input(index, LeaderInput::Recover);
        }
    }
}
