//! Steps of an agent that takes a switch over, up to the decision whether it is completed or rolled
//! back.

use jj_utils::ids::Rank;

use crate::{
    map_switch::Activation,
    switch_messages::{
        Decision, DeputyReport, DeputyState, Ending, SwitchOrder, SwitchOutput, SwitchRoles,
        decision, has_stale_mark,
    },
    switch_run::{Phase, RollbackScope, SwitchRun},
};

/// Times that the deputy is asked again before it is taken for silent.
const MAX_DEPUTY_TICKS: u32 = 5;

impl SwitchRun {
    /// Reads the decision at the gate. Before that the gate is ordered to hold the pass that it
    /// holds: an engine that checks terms refuses orders of earlier agents from then on.
    pub(crate) fn find_gate(&mut self, is_fenced: bool) -> Vec<SwitchOutput> {
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        let Some(pass) = gate.held else {
            if has_stale_mark(&gate) {
                self.phase = Phase::RemoveMark;
                return self.advance();
            }
            return self.end(Ending::Nothing);
        };
        if !is_fenced {
            return self.order_gate(SwitchOrder::Hold(pass));
        }
        self.goal.pass = Some(pass);
        match decision(&gate, pass) {
            Decision::Committed(active) => self.complete(active, gate.sequence),
            Decision::Open if self.knows_switch(gate.loaded) => {
                self.phase = Phase::FindLeader {
                    sequence: gate.sequence,
                    deputy_ticks: Some(0),
                };
                let mut outputs = vec![SwitchOutput::AskDeputy];
                outputs.extend(self.advance());
                outputs
            }
            Decision::Open | Decision::RolledBack => {
                self.begin_rollback(RollbackScope::All);
                self.advance()
            }
        }
    }

    /// Reads the gate again once it has answered the first order of a takeover. An engine that
    /// refuses to hold a pass once more has checked the term as well.
    pub(crate) fn handle_gate_order(&mut self, rank: Rank) {
        if rank == self.roles.gate && matches!(self.phase, Phase::FindGate { .. }) {
            self.drop_views(&[self.roles.gate]);
            self.phase = Phase::FindGate { is_fenced: true };
        }
    }

    /// Returns whether the pass is held for the switch that this agent knows: the leader has the
    /// pass held once all ranks have loaded the map, and another switch would load another one.
    fn knows_switch(&self, loaded: Option<u64>) -> bool {
        let version = self.goal.version;
        self.roles.has_known_leader() && version > 0 && loaded == Some(version)
    }

    /// Completes a switch that is committed. If it isn't the one that this agent knows, its leader
    /// is unknown.
    fn complete(&mut self, active: Activation, sequence: u64) -> Vec<SwitchOutput> {
        if active.version != self.goal.version {
            self.roles = SwitchRoles::unknown(self.roles.gate);
            self.goal.version = active.version;
        }
        self.phase = Phase::ActivateOthers { sequence };
        self.advance()
    }

    /// Asks a deputy again that has not replied.
    pub(crate) fn ask_deputy_again(&mut self) -> Option<SwitchOutput> {
        let Phase::FindLeader { deputy_ticks, .. } = &mut self.phase else {
            return None;
        };
        let ticks = deputy_ticks.as_mut()?;
        *ticks += 1;
        Some(SwitchOutput::AskDeputy)
    }

    /// Reads the leader's engine, for the case that the deputy's report decides nothing. If the
    /// deputy is silent, its engine is probably unreachable as well and could not activate the map.
    pub(crate) fn find_leader(
        &mut self,
        sequence: u64,
        deputy_ticks: Option<u32>,
    ) -> Vec<SwitchOutput> {
        let leader = self.roles.leader;
        let Some(view) = self.view(leader) else {
            return self.request_view(leader).into_iter().collect();
        };
        let is_active = view.active == Some(self.activation());
        match deputy_ticks {
            Some(ticks) if ticks < MAX_DEPUTY_TICKS => return Vec::new(),
            None if is_active => self.phase = Phase::CommitAtGate { sequence },
            _ => self.begin_rollback(RollbackScope::Leader),
        }
        self.advance()
    }

    /// Decides by the deputy's report, if it is about this switch. The deputy has accepted this
    /// run's term, so it sends no more orders for the leader.
    pub(crate) fn use_deputy_report(&mut self, report: DeputyReport, sequence: u64) {
        if let Phase::FindLeader { deputy_ticks, .. } = &mut self.phase {
            *deputy_ticks = None;
        }
        if report.version != self.goal.version {
            return;
        }
        match report.state {
            DeputyState::Active(active) if active == self.activation() => {
                self.phase = Phase::CommitAtGate { sequence };
            }
            DeputyState::NotOrdered => self.phase = Phase::ReleaseUnswitched { sequence },
            DeputyState::Active(_) | DeputyState::Unknown => {}
        }
    }
}
