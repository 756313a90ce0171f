//! State machine of one agent in a switch of the expert map, without I/O: the agent leads the
//! switch, or takes it over from a leader that is gone.
//!
//! All ranks load the map, each by its own agent. Then the leader's deputy holds a pass at one
//! rank, the gate, and activates the map at the leader's engine; the leader activates it at all
//! other ranks and releases the pass at the gate.
//!
//! When an instance stops, its engine becomes unreachable together with its agent. So while a pass
//! is held, no agent sends orders to its own engine (a leader whose deputy does not reply does, to
//! roll back), and the leader sends none to the others before its own engine has activated the map.
//! An agent that takes over can then find out what was ordered: orders to the leader's engine are
//! known to the deputy, and orders to other engines show in their views.
//!
//! A view is requested by a numbered task and was read after that task was sent. The release
//! carries the sequence from a view of the gate that was read before the other ranks were
//! confirmed, so it is void if the gate has accepted another order since. To roll a switch back,
//! each rank to which an order may be under way first accepts another order, which voids the late
//! one.

use std::time::Duration;

use jj_utils::{
    common_derives,
    ids::{Rank, Term},
};

use crate::map_switch::{Activation, Goal, Pass, RankView};
pub use crate::switch_messages::{
    DeputyState, Ending, MAX_TERM_RAISES, RankOrderOutcome, SwitchInput, SwitchOrder, SwitchOutput,
    SwitchRoles, apply_order, next_term, raised_term,
};

common_derives! {copy:
    /// Stage of a run, for time limits and logs.
    pub enum Stage {
        /// The ranks load the map.
        Load,
        /// The deputy holds a pass and activates the map at the leader's engine.
        Deputy,
        /// The map is activated at the other ranks, then the pass is released.
        Forward,
        /// The switch is rolled back.
        Back,
        /// A takeover queries the gate whether it holds a pass.
        FindGate,
        /// A takeover queries the deputy about its orders to the leader's engine.
        FindDeputy,
        /// A takeover queries the leader's engine.
        FindLeader,
        /// A takeover queries the other ranks.
        FindOthers,
        /// The run has ended.
        Ended,
    }
}

/// Time limit for all ranks to load a map; no pass is held meanwhile.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for the deputy's reply, so that the group does not wait for a deputy that has
/// stopped.
const DEPUTY_TIMEOUT: Duration = Duration::from_millis(140);

/// Time limit for a query to one rank while the group may wait at a held pass.
const QUERY_TIMEOUT: Duration = Duration::from_millis(120);

/// Time limit to release a held pass before another agent may take over.
const HELD_PASS_TIMEOUT: Duration = Duration::from_secs(2);

common_derives! {copy:
    /// Step of the protocol that a run is at. `sequence` is that of the gate, from a view that was
    /// read before the other ranks were confirmed.
    enum Phase {
        Loading,
        /// `is_confirmed` tells whether the deputy has reported the activation.
        DelegateActivation { is_requested: bool, is_confirmed: bool, attempts: u32 },
        /// Rolls back at the leader's own engine, the only one where the map may be activated.
        DeactivateOwn,
        ActivateGate,
        ActivateOthers,
        ReleaseGate { sequence: u64 },
        /// The gate is deactivated first; an order that it accepts later voids the release.
        DeactivateGate,
        DeactivateOthers { sequence: u64 },
        /// Releases the holds that were ordered only to void late orders.
        ReleaseOthers { sequence: u64 },
        /// Releases the pass at the gate without a switch.
        ReleaseGateUnswitched { sequence: u64 },
        FindGate,
        FindDeputy,
        FindLeader { deputy: Option<DeputyState> },
        FindOthers { sequence: u64 },
        Ended,
    }
}

common_derives! {key:
    /// State of a rank as far as a run knows it, and what the run waits for from the rank.
    #[derive(Default)]
    struct RankProgress {
        view: Option<RankView>,
        /// Number of the unanswered task.
        open_task: Option<u64>,
        /// Order without a known outcome.
        open_order: Option<SwitchOrder>,
        /// Whether the rank has accepted an order of this run, which voids older orders to it;
        /// reset when a rollback or the release begins.
        has_accepted_order: bool,
    }
}

/// Minimum number of passes from the last begun one to the first one with the new map: one for the
/// rest of the pass under way, and one for the orders.
const MIN_LEAD_PASSES: Pass = 2;

/// Number of ranks for which the orders take one pass longer.
const RANKS_PER_LEAD_PASS: u32 = 96;

/// Minimum number of these passes where orders have to be sent more than once, so that the group
/// need not wait for the repeated ones.
const UNRELIABLE_LEAD_PASSES: Pass = 5;

/// Maximum requests to the deputy; each names a later pass while none is held.
const MAX_DELEGATION_ATTEMPTS: u32 = 5;

common_derives! {key:
    /// One run of a switch by the agent that leads it or has taken it over.
    pub struct SwitchRun {
        goal: Goal,
        roles: SwitchRoles,
        /// Rank of this agent.
        own: Rank,
        /// Whether another agent has begun the switch, so that its orders may still be under way.
        is_takeover: bool,
        /// Whether this takeover reaches the leader's engine with orders; never set in the leader's
        /// own run.
        may_order_leader: bool,
        phase: Phase,
        /// Number of passes from the last begun one to the first one with the new map.
        lead_passes: Pass,
        ranks: Vec<RankProgress>,
        /// Number of the last task.
        last_task: u64,
        /// How often the term was too low and has been raised.
        term_raises: u32,
        /// Whether the term was too low when it could not be raised any more.
        is_fenced: bool,
        /// Whether an order of this run or its deputy may have been executed.
        may_have_effect: bool,
    }
}

impl SwitchRun {
    /// Starts a switch that this agent leads in a group of `size` ranks; returns the run and its
    /// first outputs. Its tasks are numbered from `last_task` + 1.
    pub fn lead(
        goal: Goal,
        roles: SwitchRoles,
        size: u32,
        last_task: u64,
    ) -> (Self, Vec<SwitchOutput>) {
        Self::start(goal, roles, (roles.leader, size), last_task, Phase::Loading)
    }

    /// Takes over a switch whose leader is gone; returns the run and its first outputs. A switch
    /// whose roles are unknown is rolled back, which needs the agents of all ranks.
    pub fn take_over(
        goal: Goal,
        roles: SwitchRoles,
        own: Rank,
        size: u32,
        last_task: u64,
    ) -> (Self, Vec<SwitchOutput>) {
        Self::start(goal, roles, (own, size), last_task, Phase::FindGate)
    }

    fn start(
        goal: Goal,
        roles: SwitchRoles,
        (own, size): (Rank, u32),
        last_task: u64,
        phase: Phase,
    ) -> (Self, Vec<SwitchOutput>) {
        let mut run = Self {
            goal,
            roles,
            own,
            is_takeover: phase != Phase::Loading,
            may_order_leader: false,
            phase,
            lead_passes: MIN_LEAD_PASSES + Pass::from(size / RANKS_PER_LEAD_PASS),
            ranks: vec![RankProgress::default(); size as usize],
            last_task,
            term_raises: 0,
            is_fenced: false,
            may_have_effect: false,
        };
        let outputs = run.advance();
        (run, outputs)
    }

    /// Returns the goal of the switch, with the pass once one is held.
    pub fn goal(&self) -> Goal {
        self.goal
    }

    /// Returns the ranks that the run waits for: while the map is loaded those that have not
    /// reported it as loaded, later those with an unanswered task or order.
    pub fn awaited_ranks(&self) -> Vec<Rank> {
        let version = Some(self.goal.version);
        let is_awaited = |it: &RankProgress| match self.phase {
            Phase::Loading => it.view.is_none_or(|it| it.loaded != version),
            _ => it.open_task.is_some() || it.open_order.is_some(),
        };
        let ranks = self.ranks.iter().enumerate();
        let awaited = ranks.filter(|(_, it)| is_awaited(it));
        awaited.map(|(rank, _)| rank as Rank).collect()
    }

    /// Raises the term while the ranks load the map, since no pass is held then. Later the run ends
    /// fenced, since another agent has taken the switch over and what it has done is not known
    /// here.
    fn raise_term_or_fence(&mut self, term: Term) {
        if self.phase != Phase::Loading || self.term_raises == MAX_TERM_RAISES {
            self.is_fenced = true;
            return;
        }
        self.goal.term = term;
        self.term_raises += 1;
        let version = Some(self.goal.version);
        for progress in &mut self.ranks {
            progress.view = progress.view.filter(|it| it.loaded == version);
            progress.open_task = None;
        }
    }

    /// Handles that an engine has refused this run's term because of a higher one.
    fn handle_fenced(&mut self) {
        self.raise_term_or_fence(raised_term(self.goal.term, self.own, self.term_raises));
    }

    /// Returns whether no order of the run can have changed anything, so that a run that has ended
    /// may start again at once under a higher term.
    pub fn had_no_effect(&self) -> bool {
        !self.may_have_effect
    }

    /// Plans the switch for a later pass, so that lost orders can be sent again before it.
    pub fn allow_for_lost_orders(&mut self) {
        self.lead_passes = self.lead_passes.max(UNRELIABLE_LEAD_PASSES);
    }

    /// Returns whether the ranks still load the map, so that no pass is held.
    pub fn is_loading(&self) -> bool {
        self.phase == Phase::Loading
    }

    /// Returns the current stage and its time limit.
    pub fn stage(&self) -> (Stage, Duration) {
        match self.phase {
            Phase::Loading => (Stage::Load, LOAD_TIMEOUT),
            Phase::DelegateActivation { .. } => (Stage::Deputy, DEPUTY_TIMEOUT),
            Phase::ActivateGate | Phase::ActivateOthers | Phase::ReleaseGate { .. } => {
                (Stage::Forward, HELD_PASS_TIMEOUT)
            }
            Phase::DeactivateOwn
            | Phase::DeactivateGate
            | Phase::DeactivateOthers { .. }
            | Phase::ReleaseOthers { .. }
            | Phase::ReleaseGateUnswitched { .. } => (Stage::Back, HELD_PASS_TIMEOUT),
            Phase::FindGate => (Stage::FindGate, QUERY_TIMEOUT),
            Phase::FindDeputy => (Stage::FindDeputy, QUERY_TIMEOUT),
            Phase::FindLeader { .. } => (Stage::FindLeader, QUERY_TIMEOUT),
            Phase::FindOthers { .. } => (Stage::FindOthers, QUERY_TIMEOUT * 2),
            Phase::Ended => (Stage::Ended, Duration::MAX),
        }
    }

    /// Handles one input and returns what to do next.
    pub fn handle(&mut self, input: SwitchInput) -> Vec<SwitchOutput> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        match input {
            SwitchInput::View {
                rank,
                number,
                view,
                outcome,
            } => self.handle_view(rank, number, view, outcome),
            SwitchInput::OrderOutcome { rank, outcome } => self.handle_order_outcome(rank, outcome),
            SwitchInput::DeputyReply { state, is_fenced } => {
                self.handle_deputy_reply(state, is_fenced)
            }
            SwitchInput::HigherTerm(term) if term > self.goal.term => {
                self.raise_term_or_fence(next_term(term, self.own));
            }
            SwitchInput::HigherTerm(_) => {}
            SwitchInput::Tick => return self.resend(),
            SwitchInput::Timeout => return self.handle_timeout(),
        }
        self.advance()
    }

    fn handle_view(
        &mut self,
        rank: Rank,
        number: u64,
        view: RankView,
        outcome: Option<RankOrderOutcome>,
    ) {
        let Some(progress) = self.ranks.get_mut(rank as usize) else {
            return;
        };
        if progress.open_task != Some(number) {
            return;
        }
        progress.open_task = None;
        progress.view = Some(view);
        if outcome == Some(RankOrderOutcome::Fenced) {
            self.handle_fenced();
        }
    }

    fn handle_order_outcome(&mut self, rank: Rank, outcome: RankOrderOutcome) {
        let Some(progress) = self.ranks.get_mut(rank as usize) else {
            return;
        };
        let Some(order) = progress.open_order.take() else {
            return;
        };
        let view = progress.view.take();
        match outcome {
            RankOrderOutcome::Accepted | RankOrderOutcome::InForce => {}
            RankOrderOutcome::Unknown => {
                self.may_have_effect = true;
                return;
            }
            RankOrderOutcome::Fenced => return self.handle_fenced(),
            RankOrderOutcome::Refused => return,
        }
        self.may_have_effect = true;
        progress.has_accepted_order = true;
        let deactivating = [Phase::DeactivateGate, Phase::DeactivateOwn];
        let is_deactivating = deactivating.contains(&self.phase)
            || matches!(self.phase, Phase::DeactivateOthers { .. });
        if is_deactivating {
            // The state after the order has to be read from the engine.
            return;
        }
        let counted = outcome == RankOrderOutcome::Accepted;
        progress.view = view.map(|view| apply_order(view, order, counted));
    }

    fn handle_deputy_reply(&mut self, state: DeputyState, is_fenced: bool) {
        match self.phase {
            Phase::DelegateActivation {
                is_requested: true,
                attempts,
                ..
            } => {
                if is_fenced {
                    return self.handle_fenced();
                }
                let is_confirmed = matches!(state, DeputyState::Active(_));
                self.reread_roles(is_confirmed, attempts);
            }
            Phase::FindDeputy => {
                self.phase = Phase::FindLeader {
                    deputy: Some(state),
                };
            }
            _ => {}
        }
    }

    /// Reads the leader's engine and the gate again to learn the outcome of the deputy's orders.
    /// Reads the deputy's engine as well: an order that is sent to an instance that has just
    /// stopped would leave the state of its engine unknown.
    fn reread_roles(&mut self, is_confirmed: bool, attempts: u32) {
        for rank in [self.own, self.roles.gate, self.roles.deputy] {
            let progress = &mut self.ranks[rank as usize];
            progress.view = None;
            progress.open_task = None;
        }
        self.phase = Phase::DelegateActivation {
            is_requested: false,
            is_confirmed,
            attempts,
        };
    }

    /// Sends unanswered tasks and queries again.
    fn resend(&mut self) -> Vec<SwitchOutput> {
        let version = self.goal.version;
        match self.phase {
            Phase::Loading => {
                for progress in &mut self.ranks {
                    if progress.view.is_some_and(|it| it.loaded != Some(version)) {
                        progress.view = None;
                    }
                }
            }
            Phase::DelegateActivation {
                is_requested: true,
                attempts,
                ..
            } => self.reread_roles(false, attempts),
            Phase::FindDeputy => return vec![SwitchOutput::AskDeputy],
            _ => {}
        }
        let open = self.ranks.iter().enumerate();
        let open = open.filter_map(|(rank, progress)| Some((rank as Rank, progress.open_task?)));
        let mut outputs: Vec<SwitchOutput> = open
            .map(|(rank, number)| SwitchOutput::SendTask { rank, number })
            .collect();
        outputs.extend(self.advance());
        outputs
    }

    fn handle_timeout(&mut self) -> Vec<SwitchOutput> {
        match self.phase {
            Phase::Loading => self.end(Ending::NotLoaded),
            // The deputy's engine is unreachable as well, so not all ranks can activate the map.
            Phase::DelegateActivation { .. } => {
                self.clear_progress();
                self.phase = Phase::DeactivateOwn;
                self.advance()
            }
            Phase::FindDeputy => {
                self.phase = Phase::FindLeader { deputy: None };
                self.advance()
            }
            Phase::FindLeader { deputy } => {
                self.ranks[self.roles.leader as usize].open_task = None;
                self.choose_direction(None, deputy)
            }
            _ => self.end(Ending::Unclear),
        }
    }

    fn end(&mut self, ending: Ending) -> Vec<SwitchOutput> {
        self.phase = Phase::Ended;
        vec![SwitchOutput::End(ending)]
    }

    /// Returns the next outputs that follow from what is known, and moves to the next phase where
    /// it can.
    fn advance(&mut self) -> Vec<SwitchOutput> {
        if self.has_group_reformed() {
            return self.end(Ending::Lost);
        }
        if self.is_fenced {
            return self.end(Ending::Fenced);
        }
        match self.phase {
            Phase::Loading => self.load_map(),
            Phase::DelegateActivation {
                is_requested,
                is_confirmed,
                attempts,
            } => self.delegate_activation(is_requested, is_confirmed, attempts),
            Phase::DeactivateOwn => self.deactivate_own(),
            Phase::ActivateGate => self.activate_gate(),
            Phase::ActivateOthers => self.activate_others(),
            Phase::ReleaseGate { sequence } => self.release_gate(sequence),
            Phase::DeactivateGate => self.deactivate_gate(),
            Phase::DeactivateOthers { sequence } => self.deactivate_others(sequence),
            Phase::ReleaseOthers { sequence } => self.release_others(sequence),
            Phase::ReleaseGateUnswitched { sequence } => self.release_gate_unswitched(sequence),
            Phase::FindGate => self.find_gate(),
            Phase::FindDeputy => vec![SwitchOutput::AskDeputy],
            Phase::FindLeader { deputy } => self.find_leader(deputy),
            Phase::FindOthers { sequence } => self.find_others(sequence),
            Phase::Ended => Vec::new(),
        }
    }

    /// Returns whether the group has formed anew or closed, so that nothing of the switch is left.
    fn has_group_reformed(&self) -> bool {
        let mut views = self.ranks.iter().filter_map(|it| it.view);
        views.any(|it| it.epoch != self.goal.epoch || !it.is_open)
    }

    fn activation(&self) -> Activation {
        Activation {
            version: self.goal.version,
            pass: self.goal.pass.unwrap_or_default(),
        }
    }

    fn view(&self, rank: Rank) -> Option<RankView> {
        self.ranks.get(rank as usize)?.view
    }

    /// Requests the view of a rank, unless it is known or an answer is awaited.
    fn request_view(&mut self, rank: Rank) -> Option<SwitchOutput> {
        let progress = &mut self.ranks[rank as usize];
        if progress.view.is_some() || progress.open_task.is_some() || progress.open_order.is_some()
        {
            return None;
        }
        self.last_task += 1;
        progress.open_task = Some(self.last_task);
        let number = self.last_task;
        Some(SwitchOutput::SendTask { rank, number })
    }

    fn request_views(&mut self, ranks: &[Rank]) -> Vec<SwitchOutput> {
        ranks
            .iter()
            .filter_map(|rank| self.request_view(*rank))
            .collect()
    }

    /// Sends an order to a rank whose view is known, unless one is unanswered.
    fn send_order(&mut self, rank: Rank, order: SwitchOrder) -> Option<SwitchOutput> {
        let progress = &mut self.ranks[rank as usize];
        let sequence = progress.view?.sequence;
        if progress.open_order.is_some() {
            return None;
        }
        progress.open_order = Some(order);
        Some(SwitchOutput::SendOrder {
            rank,
            order,
            sequence,
        })
    }

    fn all_ranks(&self) -> Vec<Rank> {
        (0..self.ranks.len() as Rank).collect()
    }

    fn all_but_gate(&self) -> Vec<Rank> {
        let mut ranks = self.all_ranks();
        ranks.retain(|rank| *rank != self.roles.gate);
        ranks
    }

    /// Returns all ranks without the gate, and without the leader unless this run may send it
    /// orders.
    fn others(&self) -> Vec<Rank> {
        let mut others = self.all_but_gate();
        others.retain(|rank| *rank != self.roles.leader || self.may_order_leader);
        others
    }

    /// Sends each rank the order that `next` returns for its view, and requests the views that are
    /// not known. Returns `None` once all views are known and need no order.
    fn send_orders(
        &mut self,
        ranks: &[Rank],
        next: impl Fn(&Self, Rank, &RankView) -> Option<SwitchOrder>,
    ) -> Option<Vec<SwitchOutput>> {
        let mut outputs = Vec::new();
        let mut is_done = true;
        for rank in ranks.iter().copied() {
            let Some(view) = self.view(rank) else {
                is_done = false;
                outputs.extend(self.request_view(rank));
                continue;
            };
            if let Some(order) = next(self, rank, &view) {
                is_done = false;
                outputs.extend(self.send_order(rank, order));
            }
        }
        (!is_done).then_some(outputs)
    }

    /// Returns the next order that a rank needs to activate the map; `None` once it has. In a
    /// takeover each rank has to accept an order of this run, which voids older ones under way to
    /// it.
    fn forward_order(&self, rank: Rank, view: &RankView) -> Option<SwitchOrder> {
        let activation = self.activation();
        if view.active != Some(activation) {
            return Some(SwitchOrder::Activate(activation));
        }
        let is_certain = !self.is_takeover || self.ranks[rank as usize].has_accepted_order;
        (!is_certain).then_some(SwitchOrder::Cancel(activation.version))
    }

    fn load_map(&mut self) -> Vec<SwitchOutput> {
        let all = self.all_ranks();
        let outputs = self.request_views(&all);
        let version = Some(self.goal.version);
        let is_loaded = |it: &RankProgress| it.view.is_some_and(|it| it.loaded == version);
        if !self.ranks.iter().all(is_loaded) {
            return outputs;
        }
        self.reread_roles(false, 0);
        self.advance()
    }

    /// Asks the deputy to hold the pass and to activate the map at this engine, and reads the
    /// result from the engines, since the deputy's orders may be lost or late. The leader proceeds
    /// only once the deputy has confirmed: then it is known what was ordered, even if the deputy
    /// stops later.
    fn delegate_activation(
        &mut self,
        is_requested: bool,
        is_confirmed: bool,
        attempts: u32,
    ) -> Vec<SwitchOutput> {
        let (own, gate) = (self.own, self.roles.gate);
        let deputy = self.roles.deputy;
        let outputs = self.request_views(&[own, gate, deputy]);
        let (Some(view), Some(gate_view)) = (self.view(own), self.view(gate)) else {
            return outputs;
        };
        if self.view(deputy).is_none() {
            return outputs;
        }
        self.goal.pass = gate_view.held;
        let is_active = gate_view.held.is_some() && view.active == Some(self.activation());
        if is_active && is_confirmed {
            self.phase = Phase::ActivateGate;
            return self.advance();
        }
        if is_requested {
            return Vec::new();
        }
        if attempts >= MAX_DELEGATION_ATTEMPTS {
            return match gate_view.held {
                None => self.end(Ending::NotHeld),
                // Late orders of several attempts may name different passes at gate and leader.
                Some(_) => self.handle_timeout(),
            };
        }
        self.may_have_effect = true;
        self.phase = Phase::DelegateActivation {
            is_requested: true,
            is_confirmed: false,
            attempts: attempts + 1,
        };
        vec![SwitchOutput::DelegateActivation {
            pass: gate_view.held.unwrap_or(view.pass + self.lead_passes),
            gate_sequence: gate_view.sequence,
            leader_sequence: view.sequence,
        }]
    }

    /// Makes the leader's own engine accept an order after which the map is not activated there,
    /// then releases the gate. If the gate does not hold, the deputy's order may still be under
    /// way; it is void once the gate has held a pass and released it.
    fn deactivate_own(&mut self) -> Vec<SwitchOutput> {
        let (own, gate) = (self.own, self.roles.gate);
        let Some(gate_view) = self.view(gate) else {
            return self.request_view(gate).into_iter().collect();
        };
        let Some(pass) = gate_view.held else {
            let hold = SwitchOrder::Hold(gate_view.pass + MIN_LEAD_PASSES);
            return self.send_order(gate, hold).into_iter().collect();
        };
        self.goal.pass = Some(pass);
        let Some(view) = self.view(own) else {
            return self.request_view(own).into_iter().collect();
        };
        let order = match (view.active, view.held) {
            (Some(active), _) => SwitchOrder::Cancel(active.version),
            (None, Some(held)) => SwitchOrder::Release(held),
            (None, None) if !self.ranks[own as usize].has_accepted_order => SwitchOrder::Hold(pass),
            (None, None) => {
                self.phase = Phase::ReleaseGateUnswitched {
                    sequence: gate_view.sequence,
                };
                return self.advance();
            }
        };
        self.send_order(own, order).into_iter().collect()
    }

    fn activate_gate(&mut self) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.request_view(gate).into_iter().collect();
        };
        if view.held != self.goal.pass {
            return self.end(Ending::Overtaken);
        }
        if self.cannot_use_map(&view) {
            self.begin_rollback();
            return self.advance();
        }
        if let Some(order) = self.forward_order(gate, &view) {
            return self.send_order(gate, order).into_iter().collect();
        }
        self.phase = Phase::ActivateOthers;
        // Ranks that were read as active before the gate was read have to be read again.
        let activation = Some(self.activation());
        for rank in self.others() {
            let progress = &mut self.ranks[rank as usize];
            if progress.view.is_some_and(|it| it.active == activation) {
                progress.view = None;
                progress.open_task = None;
            }
        }
        self.advance()
    }

    fn activate_others(&mut self) -> Vec<SwitchOutput> {
        let version = self.goal.version;
        let others = self.others();
        let mut views = others.iter().filter_map(|rank| self.view(*rank));
        if views.any(|it| it.map != version && self.cannot_use_map(&it)) {
            self.begin_rollback();
            return self.advance();
        }
        let next = |run: &Self, rank: Rank, view: &RankView| match view.map == version {
            true => None,
            false => run.forward_order(rank, view),
        };
        if let Some(outputs) = self.send_orders(&others, next) {
            return outputs;
        }
        let Some(gate) = self.view(self.roles.gate) else {
            self.phase = Phase::ActivateGate;
            return self.advance();
        };
        self.phase = Phase::ReleaseGate {
            sequence: gate.sequence,
        };
        self.advance()
    }

    /// Returns whether a rank can no longer use the map at the held pass.
    fn cannot_use_map(&self, view: &RankView) -> bool {
        let version = self.goal.version;
        match view.active {
            Some(active) => active != self.activation(),
            None => view.map != version && view.loaded != Some(version),
        }
    }

    fn release_gate(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let pass = self.goal.pass.unwrap_or_default();
        if self.ranks[gate as usize].open_order.is_some() {
            return Vec::new();
        }
        let Some(view) = self.view(gate) else {
            return self.request_view(gate).into_iter().collect();
        };
        if view.held != Some(pass) {
            let ending = match self.ranks[gate as usize].has_accepted_order && view.held.is_none() {
                true => Ending::Switched,
                false => Ending::Overtaken,
            };
            return self.end(ending);
        }
        if view.sequence != sequence {
            self.phase = Phase::ActivateGate;
            return self.advance();
        }
        self.ranks[gate as usize].has_accepted_order = false;
        self.send_order(gate, SwitchOrder::Release(pass))
            .into_iter()
            .collect()
    }

    /// Begins to roll the switch back at all ranks.
    fn begin_rollback(&mut self) {
        self.clear_progress();
        self.phase = Phase::DeactivateGate;
    }

    fn clear_progress(&mut self) {
        for progress in &mut self.ranks {
            progress.open_task = None;
            progress.view = None;
            progress.has_accepted_order = false;
        }
    }

    /// Makes the gate accept an order after which the map is not activated there; its hold stays.
    fn deactivate_gate(&mut self) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.request_view(gate).into_iter().collect();
        };
        if view.held != self.goal.pass {
            return self.end(Ending::Overtaken);
        }
        let pass = self.goal.pass.unwrap_or_default();
        let order = match (view.active, view.loaded) {
            (Some(active), _) => SwitchOrder::Cancel(active.version),
            // If no map is loaded, no late order can activate one.
            (None, Some(version)) if !self.ranks[gate as usize].has_accepted_order => {
                SwitchOrder::Activate(Activation { version, pass })
            }
            (None, _) => {
                self.phase = Phase::DeactivateOthers {
                    sequence: view.sequence,
                };
                return self.advance();
            }
        };
        self.send_order(gate, order).into_iter().collect()
    }

    /// Makes each other rank accept an order after which the map is not activated there.
    fn deactivate_others(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let pass = self.goal.pass.unwrap_or_default();
        let next = |run: &Self, rank: Rank, view: &RankView| match (view.active, view.held) {
            (Some(active), _) => Some(SwitchOrder::Cancel(active.version)),
            (None, _) if run.ranks[rank as usize].has_accepted_order => None,
            // Holding a pass that is held already would change nothing and so void no late order.
            (None, Some(held)) => Some(SwitchOrder::Release(held)),
            (None, None) => Some(SwitchOrder::Hold(pass)),
        };
        if let Some(outputs) = self.send_orders(&self.all_but_gate(), next) {
            return outputs;
        }
        self.phase = Phase::ReleaseOthers { sequence };
        self.advance()
    }

    /// Releases the holds that were ordered only to void late orders.
    fn release_others(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let next = |_: &Self, _, view: &RankView| view.held.map(SwitchOrder::Release);
        if let Some(outputs) = self.send_orders(&self.all_but_gate(), next) {
            return outputs;
        }
        self.phase = Phase::ReleaseGateUnswitched { sequence };
        self.advance()
    }

    /// Releases the gate without a switch, unless it has accepted another order since `sequence`.
    fn release_gate_unswitched(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.request_view(gate).into_iter().collect();
        };
        match view.held {
            Some(pass) if Some(pass) == self.goal.pass && view.sequence == sequence => {
                let order = SwitchOrder::Release(pass);
                self.send_order(gate, order).into_iter().collect()
            }
            Some(_) => self.end(Ending::Overtaken),
            None => self.end(Ending::TakenBack),
        }
    }

    fn find_gate(&mut self) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.request_view(gate).into_iter().collect();
        };
        if view.held.is_none() {
            return self.end(Ending::Nothing);
        }
        self.goal.pass = view.held;
        match self.roles.has_known_leader() {
            true => self.phase = Phase::FindDeputy,
            false => self.begin_rollback(),
        }
        self.advance()
    }

    /// Reads the leader's engine. This follows the query to the deputy, which from then on sends no
    /// orders there for a lower term.
    fn find_leader(&mut self, deputy: Option<DeputyState>) -> Vec<SwitchOutput> {
        let leader = self.roles.leader;
        match self.view(leader) {
            None => self.request_view(leader).into_iter().collect(),
            view => self.choose_direction(view, deputy),
        }
    }

    /// Decides whether the switch is completed or rolled back, by the activation at the leader's
    /// engine.
    fn choose_direction(
        &mut self,
        leader: Option<RankView>,
        deputy: Option<DeputyState>,
    ) -> Vec<SwitchOutput> {
        let pass = self.goal.pass.unwrap_or_default();
        let leader_activation = match (leader, deputy) {
            (Some(view), _) => view.active,
            (None, Some(DeputyState::Active(active))) => Some(active),
            (None, _) => None,
        };
        if let Some(active) = leader_activation.filter(|it| it.pass == pass) {
            self.goal.version = active.version;
            self.may_order_leader = leader.is_some();
            self.ranks[self.roles.gate as usize].view = None;
            self.phase = Phase::ActivateGate;
            return self.advance();
        }
        match (leader, deputy) {
            // The leader's engine is reachable, so late orders to it can be voided.
            (Some(_), _) => {
                self.begin_rollback();
                self.advance()
            }
            (None, Some(DeputyState::NotOrdered | DeputyState::Active(_))) => {
                let gate = self.view(self.roles.gate);
                let sequence = gate.map_or(0, |it| it.sequence);
                self.phase = Phase::FindOthers { sequence };
                self.advance()
            }
            (None, Some(DeputyState::Unknown) | None) => self.end(Ending::Unclear),
        }
    }

    /// Checks that the map is activated at no other rank, then releases the pass without a switch.
    /// The leader activates the map at other ranks only after its own engine, which has not
    /// activated it.
    fn find_others(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let others = self.others();
        let outputs = self.request_views(&others);
        let views: Option<Vec<RankView>> = others.iter().map(|it| self.view(*it)).collect();
        let Some(views) = views else {
            return outputs;
        };
        if views.iter().any(|it| it.active.is_some()) {
            return self.end(Ending::Unclear);
        }
        self.phase = Phase::ReleaseGateUnswitched { sequence };
        self.advance()
    }
}
