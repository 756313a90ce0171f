//! Model of a rank's engine: the orders that it accepts, and how it refuses late ones.

use jj_policy::{
    map_switch::{Activation, MapVersion, Pass, RankView},
    switch_run::{RankOrderOutcome, SwitchOrder},
};
use jj_utils::common_derives;

common_derives! {copy:
    /// How engines void orders that come after another agent's.
    pub struct EngineKind {
        /// Whether they refuse terms below the highest that they have seen.
        pub fences: bool,
        /// Whether they count accepted orders, and refuse orders that name another count.
        pub counts: bool,
    }
}

common_derives! {copy:
    /// State of a rank's engine.
    #[derive(Default)]
    pub struct Engine {
        pub map: MapVersion,
        pub highest_loaded: MapVersion,
        pub loaded: Option<MapVersion>,
        pub active: Option<Activation>,
        pub held: Option<Pass>,
        pub sequence: u64,
        pub highest_term: u64,
    }
}

impl Engine {
    /// Begins a pass, which may be the first one with the activated map.
    pub fn begin_pass(&mut self, pass: Pass) {
        if self.active.is_some_and(|it| it.pass == pass) {
            self.map = self.active.map_or(0, |it| it.version);
            self.active = None;
            self.loaded = None;
        }
    }

    pub fn view(&self, pass: Pass) -> RankView {
        RankView {
            epoch: 1,
            is_open: true,
            pass,
            sequence: self.sequence,
            map: self.map,
            loaded: self.loaded,
            active: self.active,
            held: self.held,
        }
    }

    /// Returns whether the engine refuses a term, and remembers it otherwise.
    fn refuses_term(&mut self, kind: EngineKind, term: u64) -> bool {
        let is_refused = kind.fences && term < self.highest_term;
        self.highest_term = self.highest_term.max(term);
        is_refused
    }

    /// Loads a map.
    pub fn load(&mut self, kind: EngineKind, term: u64, version: MapVersion) -> RankOrderOutcome {
        if self.refuses_term(kind, term) {
            return RankOrderOutcome::Fenced;
        }
        if version <= self.highest_loaded || self.active.is_some() {
            return RankOrderOutcome::Refused;
        }
        self.highest_loaded = version;
        self.loaded = Some(version);
        self.count(kind)
    }

    /// Executes an order that names the number of orders that the engine should have counted.
    pub fn execute(
        &mut self,
        kind: EngineKind,
        (term, sequence): (u64, u64),
        order: SwitchOrder,
        pass: Pass,
    ) -> RankOrderOutcome {
        if self.refuses_term(kind, term) {
            return RankOrderOutcome::Fenced;
        }
        if kind.counts && self.sequence != sequence {
            return RankOrderOutcome::Refused;
        }
        if self.is_in_force(order) {
            return RankOrderOutcome::InForce;
        }
        match self.apply(order, pass) {
            true => self.count(kind),
            false => RankOrderOutcome::Refused,
        }
    }

    fn count(&mut self, kind: EngineKind) -> RankOrderOutcome {
        if !kind.counts {
            return RankOrderOutcome::InForce;
        }
        self.sequence += 1;
        RankOrderOutcome::Accepted
    }

    fn is_in_force(&self, order: SwitchOrder) -> bool {
        match order {
            SwitchOrder::Hold(pass) => self.held == Some(pass),
            SwitchOrder::Activate(activation) => self.active == Some(activation),
            SwitchOrder::Cancel(version) => self.active.is_none_or(|it| it.version != version),
            SwitchOrder::Release(_) => self.held.is_none(),
        }
    }

    /// Applies an order; returns whether it fits the state.
    fn apply(&mut self, order: SwitchOrder, pass: Pass) -> bool {
        match order {
            SwitchOrder::Hold(held) => {
                let fits = self.held.is_none() && held > pass;
                if fits {
                    self.held = Some(held);
                }
                fits
            }
            SwitchOrder::Activate(it) => {
                let fits =
                    self.active.is_none() && self.loaded == Some(it.version) && it.pass > pass;
                if fits {
                    self.active = Some(it);
                }
                fits
            }
            SwitchOrder::Cancel(_) => {
                self.active = None;
                true
            }
            SwitchOrder::Release(held) => {
                let fits = self.held == Some(held);
                if fits {
                    self.held = None;
                }
                fits
            }
        }
    }
}
