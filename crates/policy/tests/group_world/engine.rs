//! Model of an engine: carries out orders and runs steps.

use jj_policy::{
    group_rank::RankInput,
    group_switch::{Action, HeldMap, Hold, MapId, Step},
};
use jj_utils::{
    common_derives,
    ids::{Incarnation, Term},
};

use super::{Mutation, Setup, view};

common_derives! {copy:
    /// Order in transit from an agent to its engine.
    pub struct Order {
        pub agent: Incarnation,
        pub term: Term,
        pub action: Action,
    }
}

common_derives! {copy:
    /// Step that an engine has run, and its map.
    pub struct StepRun {
        pub step: Step,
        pub map: MapId,
    }
}

common_derives! {copy:
    /// State of an engine.
    pub struct Engine {
        pub map: Option<MapId>,
        pub next_step: Step,
        pub held: Option<HeldMap>,
        pub term: Term,
        /// Kept by the checker, not by the engine, so it survives a restart of the engine.
        pub last_run: Option<StepRun>,
    }
}

impl Engine {
    /// Returns an engine in a formed group, before the first step.
    pub fn formed() -> Self {
        Self {
            map: Some(MapId { term: 0, seq: 1 }),
            next_step: 1,
            held: None,
            term: 0,
            last_run: None,
        }
    }

    /// Restarts the engine, which loses all its state.
    pub fn restart(&mut self) {
        self.map = None;
        self.next_step = 0;
        self.held = None;
        self.term = 0;
    }

    /// Carries out an order and returns the answer for the agent.
    pub fn handle_order(&mut self, order: &Order, setup: Setup) -> RankInput {
        if setup.fencing && order.term < self.term {
            let newer = Some(self.term);
            return RankInput::OrderRefused { newer };
        }
        self.term = self.term.max(order.term);
        if self.carry_out(order.action) {
            return RankInput::OrderDone(view(self));
        }
        RankInput::OrderRefused { newer: None }
    }

    fn carry_out(&mut self, action: Action) -> bool {
        match action {
            Action::Read => true,
            Action::Prepare { id, hold } => self.prepare(id, hold),
            Action::Commit { id, step } => self.commit(id, step),
            Action::Abort { id } => self.abort(id),
        }
    }

    fn prepare(&mut self, id: MapId, hold: Hold) -> bool {
        if self.held.is_some_and(|held| held.id == id) {
            return true;
        }
        if let Hold::Before(step) = hold {
            let busy = self.held.is_some_and(|held| held.committed);
            if busy || self.map.is_none() || self.next_step > step {
                return false;
            }
        }
        let committed = false;
        self.held = Some(HeldMap {
            id,
            hold,
            committed,
        });
        true
    }

    fn commit(&mut self, id: MapId, step: Step) -> bool {
        let Some(held) = self.held.filter(|held| held.id == id) else {
            return self.map == Some(id);
        };
        match held.hold {
            Hold::Before(_) => {
                self.held = Some(HeldMap {
                    committed: true,
                    ..held
                })
            }
            Hold::Now => {
                self.next_step = step;
                self.switch(id);
            }
        }
        true
    }

    fn switch(&mut self, id: MapId) {
        self.map = Some(id);
        self.held = None;
    }

    fn abort(&mut self, id: MapId) -> bool {
        match self.held {
            Some(held) if held.id == id && held.committed => false,
            Some(held) if held.id == id => {
                self.held = None;
                true
            }
            _ => true,
        }
    }

    /// Runs the next step, unless the engine holds or is in no group.
    pub fn run_step(&mut self, setup: Setup) -> Option<StepRun> {
        if let Some(held) = self.held {
            let due = match held.hold {
                Hold::Before(step) => self.next_step >= step,
                Hold::Now => true,
            };
            if due && held.committed {
                self.switch(held.id);
            } else if due && setup.mutation != Mutation::DropHold {
                return None;
            }
        }
        let run = StepRun {
            step: self.next_step,
            map: self.map?,
        };
        self.last_run = Some(run);
        self.next_step += 1;
        Some(run)
    }
}
