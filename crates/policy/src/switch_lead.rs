//! Steps of the agent that leads a switch, up to the decision: the ranks load the map, and the
//! deputy holds a pass and activates the map at the leader's engine.

use crate::{
    map_switch::RankView,
    switch_messages::{Decision, Ending, SwitchOutput, decision, next_term},
    switch_run::{MAX_DELEGATION_ATTEMPTS, Phase, RankProgress, RollbackScope, SwitchRun},
};

impl SwitchRun {
    pub(crate) fn load_map(&mut self) -> Vec<SwitchOutput> {
        let all = self.all_ranks();
        let outputs = self.request_views(&all);
        let version = Some(self.goal.version);
        let is_loaded = |it: &RankProgress| it.view.is_some_and(|it| it.loaded == version);
        if !self.ranks.iter().all(is_loaded) {
            return outputs;
        }
        self.reread_roles(0);
        self.advance()
    }

    /// Reads the leader's engine, the deputy's and the gate again to learn the outcome of the
    /// deputy's orders. The deputy's engine is read since an order that is sent to an instance that
    /// has just stopped would leave the state of its engine unknown.
    pub(crate) fn reread_roles(&mut self, attempts: u32) {
        self.drop_views(&[self.own, self.roles.gate, self.roles.deputy]);
        self.phase = Phase::DelegateActivation {
            is_requested: false,
            attempts,
        };
    }

    /// Asks the deputy to hold the pass and to activate the map at this engine, and reads the
    /// result from the engines, since the deputy's orders and its reply may be lost or late.
    pub(crate) fn delegate_activation(
        &mut self,
        is_requested: bool,
        attempts: u32,
    ) -> Vec<SwitchOutput> {
        let outputs = self.request_views(&[self.own, self.roles.deputy]);
        let (Some(own), Some(_)) = (self.view(self.own), self.view(self.roles.deputy)) else {
            return outputs;
        };
        // Read last: while the decision is open then, this engine's state is no older than it.
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        self.goal.pass = gate.held;
        let is_open = gate
            .held
            .is_none_or(|it| decision(&gate, it) == Decision::Open);
        let is_loaded = gate.loaded == Some(self.goal.version);
        if !is_open || !is_loaded || (gate.held.is_some() && attempts == 0) {
            return self.end(Ending::Overtaken);
        }
        if gate.held.is_some() && own.active == Some(self.activation()) {
            self.phase = Phase::CommitAtGate {
                sequence: gate.sequence,
            };
            return self.advance();
        }
        if is_requested {
            return Vec::new();
        }
        if attempts >= MAX_DELEGATION_ATTEMPTS {
            self.clear_progress();
            self.phase = Phase::Withdraw;
            return self.advance();
        }
        self.request_activation(&own, &gate, attempts)
    }

    fn request_activation(
        &mut self,
        own: &RankView,
        gate: &RankView,
        attempts: u32,
    ) -> Vec<SwitchOutput> {
        self.may_have_effect = true;
        self.phase = Phase::DelegateActivation {
            is_requested: true,
            attempts: attempts + 1,
        };
        vec![SwitchOutput::DelegateActivation {
            pass: gate.held.unwrap_or(own.pass + self.lead_passes),
            gate_sequence: gate.sequence,
            leader_sequence: own.sequence,
        }]
    }

    /// Gives the switch up. If the gate holds a pass, the switch is rolled back; otherwise nothing
    /// has changed, and the deputy, whose order to hold may still be under way, activates nothing
    /// before that is confirmed.
    pub(crate) fn withdraw(&mut self) -> Vec<SwitchOutput> {
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        let Some(pass) = gate.held else {
            return self.end(Ending::NotHeld);
        };
        self.goal.pass = Some(pass);
        if decision(&gate, pass) != Decision::Open || gate.loaded != Some(self.goal.version) {
            return self.end(Ending::Overtaken);
        }
        // The deputy's order may still be under way with the same term.
        self.goal.term = next_term(self.goal.term, self.own);
        self.begin_rollback(RollbackScope::Leader);
        self.advance()
    }
}
