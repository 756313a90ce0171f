//! Steps that complete a switch: the decision is recorded at the gate, then the map is activated at
//! the other ranks and the pass is released.

use jj_utils::ids::Rank;

use crate::{
    map_switch::RankView,
    switch_messages::{Decision, Ending, SwitchOrder, SwitchOutput, decision},
    switch_run::{Phase, RollbackScope, SwitchRun, ViewAge},
};

impl SwitchRun {
    /// Records at the gate that the switch is committed. The leader's engine has activated the map;
    /// nobody cancels that while the decision is as it was read, at `sequence`.
    pub(crate) fn commit_at_gate(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        if gate.held != self.goal.pass {
            return self.end(Ending::Overtaken);
        }
        match decision(&gate, self.pass()) {
            Decision::Committed(active) if active == self.activation() => {
                self.phase = Phase::ActivateOthers {
                    sequence: gate.sequence,
                };
                self.advance()
            }
            Decision::Open if gate.sequence == sequence => match gate.loaded {
                Some(version) if version == self.goal.version => {
                    self.order_gate(SwitchOrder::Activate(self.activation()))
                }
                _ => {
                    self.begin_rollback(RollbackScope::All);
                    self.advance()
                }
            },
            _ => self.end(Ending::Overtaken),
        }
    }

    /// Returns the ranks that have to activate the map once the switch is committed: all but the
    /// gate and the leader's, whose engine has activated it. In a takeover by an agent that doesn't
    /// know the leader these are all but the gate.
    fn others(&self) -> Vec<Rank> {
        let mut others = self.all_but_gate();
        if self.roles.has_known_leader() {
            others.retain(|rank| *rank != self.roles.leader);
        }
        others
    }

    /// Activates the map at the other ranks. An order is sent only if the decision was read after
    /// the rank's view: the order is then refused if the switch has been rolled back since.
    pub(crate) fn activate_others(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        if let Some(gate) = self.view(self.roles.gate)
            && !self.is_committed(&gate)
        {
            return self.end(Ending::Overtaken);
        }
        let others = self.others();
        let mut views = others.iter().filter_map(|rank| self.view(*rank));
        if views.any(|it| self.cannot_use_map(&it)) {
            self.begin_rollback(RollbackScope::All);
            return self.advance();
        }
        let mut outputs = self.request_views(&others);
        let pending = others.iter().copied().filter(|rank| !self.has_map(*rank));
        let pending: Vec<Rank> = pending.collect();
        if pending.is_empty() {
            self.phase = Phase::ReleaseSwitched { sequence };
            return self.advance();
        }
        let with_view = pending
            .into_iter()
            .filter(|rank| self.view(*rank).is_some());
        let (ready, too_new): (Vec<Rank>, Vec<Rank>) =
            with_view.partition(|rank| self.ranks[*rank as usize].view_age == ViewAge::Older);
        let order = SwitchOrder::Activate(self.activation());
        for rank in ready {
            outputs.extend(self.send_order(rank, order));
        }
        if !too_new.is_empty() {
            outputs.extend(self.reread_gate());
        }
        outputs
    }

    /// Requests the view of the gate again, unless an answer is awaited.
    fn reread_gate(&mut self) -> Vec<SwitchOutput> {
        let gate = &mut self.ranks[self.roles.gate as usize];
        gate.view = None;
        self.request_gate()
    }

    /// Returns whether the gate still holds the pass and shows that this switch is committed.
    fn is_committed(&self, gate: &RankView) -> bool {
        let committed = Decision::Committed(self.activation());
        gate.held == self.goal.pass && decision(gate, self.pass()) == committed
    }

    /// Returns whether a rank uses the map or has activated it.
    fn has_map(&self, rank: Rank) -> bool {
        let (version, active) = (self.goal.version, Some(self.activation()));
        let view = self.view(rank);
        view.is_some_and(|it| it.map == version || it.active == active)
    }

    /// Returns whether a rank can no longer use the map at the held pass.
    fn cannot_use_map(&self, view: &RankView) -> bool {
        let version = self.goal.version;
        match view.active {
            _ if view.map == version => false,
            Some(active) => active != self.activation(),
            None => view.loaded != Some(version),
        }
    }

    /// Releases the pass, unless the gate has counted another order since `sequence`.
    pub(crate) fn release_switched(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let Some(gate) = self.view(self.roles.gate) else {
            return self.request_gate();
        };
        let has_switched = gate.active == Some(self.activation()) || gate.map == self.goal.version;
        if gate.held != self.goal.pass {
            return self.end(match has_switched {
                true => Ending::Switched,
                false => Ending::Overtaken,
            });
        }
        if !self.is_committed(&gate) || gate.sequence != sequence {
            return self.end(Ending::Overtaken);
        }
        self.order_gate(SwitchOrder::Release(self.pass()))
    }
}
