//! Steps that roll a switch back: the gate is marked, then the ranks that may have activated the map
//! deactivate it, and the pass is released.

use jj_utils::ids::Rank;

use crate::{
    map_switch::{Activation, RankView},
    switch_messages::{
        Decision, Ending, SwitchOrder, SwitchOutput, decision, has_stale_mark, rollback_mark,
    },
    switch_run::{Phase, RollbackScope, SwitchRun},
};

impl SwitchRun {
    /// Begins to roll the switch back.
    pub(crate) fn begin_rollback(&mut self, scope: RollbackScope) {
        self.clear_progress();
        self.scope = scope;
        self.open_sequence = None;
        self.phase = Phase::MarkRollback;
    }

    /// Marks the switch as rolled back at the gate, whose hold stays. If the gate has no map
    /// loaded, nobody can commit the switch there.
    pub(crate) fn mark_rollback(&mut self) -> Vec<SwitchOutput> {
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        if gate.held != self.goal.pass {
            return self.end(Ending::Overtaken);
        }
        let pass = self.pass();
        match (decision(&gate, pass), gate.loaded) {
            (Decision::Committed(_), _) if self.scope == RollbackScope::Leader => {
                self.end(Ending::Overtaken)
            }
            (Decision::Committed(active), _) => {
                self.order_gate(SwitchOrder::Cancel(active.version))
            }
            (Decision::Open, Some(version)) => {
                self.open_sequence = Some(gate.sequence);
                self.order_gate(SwitchOrder::Activate(rollback_mark(version, pass)))
            }
            (Decision::Open, None) => self.begin_deactivation(&gate, RollbackScope::All),
            (Decision::RolledBack, _) => {
                let scope = match self.is_own_mark(&gate) {
                    true => self.scope,
                    false => RollbackScope::All,
                };
                self.begin_deactivation(&gate, scope)
            }
        }
    }

    /// Returns whether the gate was marked while the decision was still open, as this run has read
    /// it: by this run, or by another one that found the same state.
    fn is_own_mark(&self, gate: &RankView) -> bool {
        let passed = self
            .open_sequence
            .map(|it| gate.sequence.saturating_sub(it));
        passed.is_some_and(|it| it <= 1)
    }

    fn begin_deactivation(&mut self, gate: &RankView, scope: RollbackScope) -> Vec<SwitchOutput> {
        self.scope = scope;
        self.phase = Phase::Deactivate {
            sequence: gate.sequence,
        };
        self.advance()
    }

    /// Makes the ranks that the rollback covers obey an order, which voids older orders to them, and
    /// end without the map activated and without a hold.
    pub(crate) fn deactivate(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let ranks = match self.scope {
            RollbackScope::Leader => vec![self.roles.leader],
            RollbackScope::All => self.all_but_gate(),
        };
        let mut outputs = Vec::new();
        let mut is_done = true;
        for rank in ranks {
            let Some(view) = self.view(rank) else {
                is_done = false;
                outputs.extend(self.request_view(rank));
                continue;
            };
            if let Some(order) = self.deactivation_order(rank, &view) {
                is_done = false;
                outputs.extend(self.send_order(rank, order));
            }
        }
        if !is_done {
            return outputs;
        }
        self.phase = Phase::ReleaseUnswitched { sequence };
        self.advance()
    }

    /// Returns the next order that a rank needs; `None` once it needs none. To hold a pass that is
    /// held already would change nothing, and so void no late order.
    fn deactivation_order(&self, rank: Rank, view: &RankView) -> Option<SwitchOrder> {
        let has_obeyed = self.ranks[rank as usize].has_obeyed;
        match (view.active, view.held) {
            (Some(active), _) => Some(SwitchOrder::Cancel(active.version)),
            (None, Some(held)) => Some(SwitchOrder::Release(held)),
            (None, None) if has_obeyed => None,
            (None, None) => Some(SwitchOrder::Hold(self.pass())),
        }
    }

    /// Releases the gate without a switch, unless it has counted another order since `sequence`.
    pub(crate) fn release_unswitched(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        if gate.held.is_none() {
            self.phase = Phase::RemoveMark;
            return self.advance();
        }
        let is_committed = matches!(decision(&gate, self.pass()), Decision::Committed(_));
        if gate.held != self.goal.pass || gate.sequence != sequence || is_committed {
            return self.end(Ending::Overtaken);
        }
        self.order_gate(SwitchOrder::Release(self.pass()))
    }

    /// Removes the mark from the gate, which holds no pass any more. The mark stays until the
    /// released pass has begun, so that nobody can hold that pass again and take the decision for
    /// open.
    pub(crate) fn remove_mark(&mut self) -> Vec<SwitchOutput> {
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        if !has_stale_mark(&gate) {
            return self.end(Ending::TakenBack);
        }
        let Some(mark) = gate.active.filter(|it| has_begun(*it, &gate)) else {
            return Vec::new();
        };
        self.order_gate(SwitchOrder::Cancel(mark.version))
    }
}

/// Returns whether the pass that was held when the gate was marked has begun.
fn has_begun(mark: Activation, gate: &RankView) -> bool {
    let held = rollback_mark(mark.version, gate.pass);
    mark.pass <= held.pass
}
