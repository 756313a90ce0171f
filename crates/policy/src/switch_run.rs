//! State machine of one agent in a switch of the expert map, without I/O: the agent leads the
//! switch, or takes it over from a leader that is gone.
//!
//! All ranks load the map, each by its own agent. Then the leader's deputy holds a pass at one
//! rank, the gate, and activates the map at the leader's engine. The leader records the decision
//! to switch at the gate, by activating the map there; only then it activates the map at the other
//! ranks, and releases the pass.
//!
//! When an instance stops, its engine becomes unreachable together with its agent. So while a pass
//! is held, no agent sends orders to its own engine (a leader that rolls back does), and an agent
//! that takes over must be able to find out what was ordered. It relies on nothing that an agent
//! remembers unless no later order can have changed it:
//!
//! - The decision stands at the gate's engine, see [`Decision`]. While it is open, only the
//!   leader's engine can have activated the map. Once the switch is committed, the leader's engine
//!   has activated it, and nobody cancels an activation; the switch can only be completed, or
//!   rolled back after the decision has been changed. Once it is rolled back, it stays so until the
//!   pass has been released.
//! - The deputy is the only agent that activates the map at the leader's engine while the decision
//!   is open. Its report counts if it names this switch.
//! - A takeover first sends the gate an order that changes nothing, so that the gate refuses
//!   orders with lower terms, and reads the decision after that.
//!
//! A view is requested by a numbered task and was read after that task was sent. An order names
//! the number of orders that the engine had counted at that view, and the term of the run; an
//! engine that counts orders or checks terms refuses one that comes after another agent's.

use std::time::Duration;

use jj_utils::{
    common_derives,
    ids::{Rank, Term},
};

use crate::map_switch::{Activation, Goal, Pass, RankView};
pub use crate::switch_messages::{
    Decision, DeputyReport, DeputyState, Ending, MAX_TERM_RAISES, RankOrderOutcome, SwitchInput,
    SwitchOrder, SwitchOutput, SwitchRoles, apply_order, decision, has_stale_mark, next_term,
    raised_term,
};

common_derives! {copy:
    /// Stage of a run, for time limits and logs.
    pub enum Stage {
        /// The ranks load the map.
        Load,
        /// The deputy holds a pass and activates the map at the leader's engine.
        Deputy,
        /// The switch is committed at the gate and completed at the other ranks.
        Forward,
        /// The switch is rolled back.
        Back,
        /// A takeover reads the decision at the gate.
        FindGate,
        /// A takeover queries the deputy and the leader's engine.
        FindLeader,
        /// The run has ended.
        Ended,
    }
}

/// Time limit for all ranks to load a map; no pass is held meanwhile.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for the deputy's reply, so that the group does not wait for a deputy that has
/// stopped.
const DEPUTY_TIMEOUT: Duration = Duration::from_millis(140);

/// Time limit to read the gate, or the deputy and the leader's engine, in a takeover. A rank that
/// is silent for longer may be reached by the next agent that takes over.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time limit to release a held pass before another agent may take over.
const HELD_PASS_TIMEOUT: Duration = Duration::from_secs(2);

common_derives! {copy:
    /// Step of the protocol that a run is at. `sequence` is that of the gate at the decision on
    /// which the step is based.
    pub(crate) enum Phase {
        Loading,
        /// The deputy is asked to hold the pass and to activate the map at the leader's engine.
        DelegateActivation { is_requested: bool, attempts: u32 },
        /// The leader rolls its own switch back.
        Withdraw,
        CommitAtGate { sequence: u64 },
        ActivateOthers { sequence: u64 },
        ReleaseSwitched { sequence: u64 },
        MarkRollback,
        /// `sequence` is `None` if the gate can't be marked, since it has loaded no map.
        Deactivate { sequence: u64 },
        ReleaseUnswitched { sequence: u64 },
        /// Removes the mark of the rollback, once the released pass has begun.
        RemoveMark,
        FindGate { is_fenced: bool },
        /// `deputy_ticks` counts the times that the deputy was asked again; `None` once it has
        /// replied.
        FindLeader { sequence: u64, deputy_ticks: Option<u32> },
        Ended,
    }
}

common_derives! {copy:
    /// Ranks that may have activated the map when a switch is rolled back.
    pub(crate) enum RollbackScope {
        /// The leader's alone, since the decision was still open.
        Leader,
        /// All but the gate.
        All,
    }
}

common_derives! {copy:
    /// Whether the decision at the gate was read after a view of another rank.
    #[derive(Default)]
    pub(crate) enum ViewAge {
        /// It was not, and has not been requested since.
        #[default]
        Newer,
        /// It has been requested since.
        GateRequested,
        /// It was.
        Older,
    }
}

common_derives! {key:
    /// State of a rank as far as a run knows it, and what the run waits for from the rank.
    #[derive(Default)]
    pub(crate) struct RankProgress {
        pub(crate) view: Option<RankView>,
        /// Age of that view, against the last one of the gate.
        pub(crate) view_age: ViewAge,
        /// Number of the unanswered task.
        pub(crate) open_task: Option<u64>,
        /// Order without a known outcome.
        pub(crate) open_order: Option<SwitchOrder>,
        /// Whether an order of this rollback is in force, which voids older orders to the rank.
        pub(crate) has_obeyed: bool,
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
pub(crate) const MAX_DELEGATION_ATTEMPTS: u32 = 5;

common_derives! {key:
    /// One run of a switch by the agent that leads it or has taken it over.
    pub struct SwitchRun {
        /// `version` is 0 in a takeover by an agent that doesn't know the switch.
        pub(crate) goal: Goal,
        pub(crate) roles: SwitchRoles,
        /// Rank of this agent.
        pub(crate) own: Rank,
        /// Whether another agent has begun the switch.
        pub(crate) is_takeover: bool,
        pub(crate) phase: Phase,
        /// Ranks that a rollback covers.
        pub(crate) scope: RollbackScope,
        /// Sequence of the gate at which a rollback found the decision open.
        pub(crate) open_sequence: Option<u64>,
        /// Number of passes from the last begun one to the first one with the new map.
        pub(crate) lead_passes: Pass,
        pub(crate) ranks: Vec<RankProgress>,
        /// Number of the last task.
        last_task: u64,
        /// How often the term was too low and has been raised.
        term_raises: u32,
        /// Whether the term was too low when it could not be raised any more.
        is_fenced: bool,
        /// Whether an order of this run or its deputy may have been executed.
        pub(crate) may_have_effect: bool,
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

    /// Takes over a switch whose leader is gone; returns the run and its first outputs. The goal's
    /// version is that of the switch's map, or 0 if the agent doesn't know the switch; unless it
    /// is committed, it is rolled back then, for which all ranks have to be read.
    pub fn take_over(
        goal: Goal,
        roles: SwitchRoles,
        own: Rank,
        size: u32,
        last_task: u64,
    ) -> (Self, Vec<SwitchOutput>) {
        let phase = Phase::FindGate { is_fenced: false };
        Self::start(goal, roles, (own, size), last_task, phase)
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
            phase,
            scope: RollbackScope::All,
            open_sequence: None,
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
            Phase::CommitAtGate { .. }
            | Phase::ActivateOthers { .. }
            | Phase::ReleaseSwitched { .. } => (Stage::Forward, HELD_PASS_TIMEOUT),
            Phase::Withdraw
            | Phase::MarkRollback
            | Phase::Deactivate { .. }
            | Phase::ReleaseUnswitched { .. }
            | Phase::RemoveMark => (Stage::Back, HELD_PASS_TIMEOUT),
            Phase::FindGate { .. } => (Stage::FindGate, QUERY_TIMEOUT),
            Phase::FindLeader { .. } => (Stage::FindLeader, QUERY_TIMEOUT),
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
            SwitchInput::DeputyReply { report, is_fenced } => {
                self.handle_deputy_reply(report, is_fenced)
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
        progress.view_age = ViewAge::Newer;
        if outcome == Some(RankOrderOutcome::Fenced) {
            self.handle_fenced();
        }
        if rank == self.roles.gate {
            self.record_gate_read();
        }
    }

    /// Records that the gate was read after the views that were known when it was requested.
    fn record_gate_read(&mut self) {
        for progress in &mut self.ranks {
            if progress.view_age == ViewAge::GateRequested {
                progress.view_age = ViewAge::Older;
            }
        }
    }

    /// Records that the gate is read, or receives an order, after the views that are known now.
    fn record_gate_requested(&mut self) {
        for progress in &mut self.ranks {
            if progress.view.is_some() && progress.view_age == ViewAge::Newer {
                progress.view_age = ViewAge::GateRequested;
            }
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
            RankOrderOutcome::Refused => return self.handle_gate_order(rank),
        }
        // To hold a pass that is held already changes nothing.
        self.may_have_effect |= !matches!(self.phase, Phase::FindGate { .. });
        let is_first = !std::mem::replace(&mut progress.has_obeyed, true);
        // An older order may have been executed between the view and the first order of a rollback.
        let is_exact = !(is_first && matches!(self.phase, Phase::Deactivate { .. }));
        if is_exact {
            let counted = outcome == RankOrderOutcome::Accepted;
            progress.view = view.map(|view| apply_order(view, order, counted));
        }
        if rank == self.roles.gate {
            self.record_gate_read();
        }
        self.handle_gate_order(rank);
    }

    fn handle_deputy_reply(&mut self, report: DeputyReport, is_fenced: bool) {
        match self.phase {
            Phase::DelegateActivation {
                is_requested: true,
                attempts,
            } => {
                if is_fenced {
                    return self.handle_fenced();
                }
                self.reread_roles(attempts);
            }
            Phase::FindLeader { sequence, .. } => self.use_deputy_report(report, sequence),
            _ => {}
        }
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
            } => self.reread_roles(attempts),
            // The pass that was released may have begun since.
            Phase::RemoveMark => self.ranks[self.roles.gate as usize].view = None,
            _ => {}
        }
        let open = self.ranks.iter().enumerate();
        let open = open.filter_map(|(rank, progress)| Some((rank as Rank, progress.open_task?)));
        let mut outputs: Vec<SwitchOutput> = open
            .map(|(rank, number)| SwitchOutput::SendTask { rank, number })
            .collect();
        outputs.extend(self.ask_deputy_again());
        outputs.extend(self.advance());
        outputs
    }

    fn handle_timeout(&mut self) -> Vec<SwitchOutput> {
        match self.phase {
            Phase::Loading => self.end(Ending::NotLoaded),
            // The deputy's engine is unreachable as well, so not all ranks can activate the map.
            Phase::DelegateActivation { .. } => {
                self.clear_progress();
                self.phase = Phase::Withdraw;
                self.advance()
            }
            _ => self.end(Ending::Unclear),
        }
    }

    pub(crate) fn end(&mut self, ending: Ending) -> Vec<SwitchOutput> {
        self.phase = Phase::Ended;
        vec![SwitchOutput::End(ending)]
    }

    /// Returns the next outputs that follow from what is known, and moves to the next phase where
    /// it can.
    pub(crate) fn advance(&mut self) -> Vec<SwitchOutput> {
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
                attempts,
            } => self.delegate_activation(is_requested, attempts),
            Phase::Withdraw => self.withdraw(),
            Phase::CommitAtGate { sequence } => self.commit_at_gate(sequence),
            Phase::ActivateOthers { sequence } => self.activate_others(sequence),
            Phase::ReleaseSwitched { sequence } => self.release_switched(sequence),
            Phase::MarkRollback => self.mark_rollback(),
            Phase::Deactivate { sequence } => self.deactivate(sequence),
            Phase::ReleaseUnswitched { sequence } => self.release_unswitched(sequence),
            Phase::RemoveMark => self.remove_mark(),
            Phase::FindGate { is_fenced } => self.find_gate(is_fenced),
            Phase::FindLeader {
                sequence,
                deputy_ticks,
            } => self.find_leader(sequence, deputy_ticks),
            Phase::Ended => Vec::new(),
        }
    }

    /// Returns whether the group has formed anew or closed, so that nothing of the switch is left.
    fn has_group_reformed(&self) -> bool {
        let mut views = self.ranks.iter().filter_map(|it| it.view);
        views.any(|it| it.epoch != self.goal.epoch || !it.is_open)
    }

    /// Returns the held pass; 0 before one is held.
    pub(crate) fn pass(&self) -> Pass {
        self.goal.pass.unwrap_or_default()
    }

    pub(crate) fn activation(&self) -> Activation {
        Activation {
            version: self.goal.version,
            pass: self.pass(),
        }
    }

    pub(crate) fn view(&self, rank: Rank) -> Option<RankView> {
        self.ranks.get(rank as usize)?.view
    }

    /// Drops the views and unanswered tasks of some ranks, so that they are read again.
    pub(crate) fn drop_views(&mut self, ranks: &[Rank]) {
        for rank in ranks {
            let progress = &mut self.ranks[*rank as usize];
            progress.view = None;
            progress.open_task = None;
        }
    }

    /// Forgets the views of all ranks and which of them have obeyed.
    pub(crate) fn clear_progress(&mut self) {
        self.drop_views(&self.all_ranks());
        for progress in &mut self.ranks {
            progress.has_obeyed = false;
        }
    }

    /// Requests the view of a rank, unless it is known or an answer is awaited.
    pub(crate) fn request_view(&mut self, rank: Rank) -> Option<SwitchOutput> {
        let progress = &mut self.ranks[rank as usize];
        if progress.view.is_some() || progress.open_task.is_some() || progress.open_order.is_some()
        {
            return None;
        }
        self.last_task += 1;
        progress.open_task = Some(self.last_task);
        let number = self.last_task;
        if rank == self.roles.gate {
            self.record_gate_requested();
        }
        Some(SwitchOutput::SendTask { rank, number })
    }

    pub(crate) fn request_views(&mut self, ranks: &[Rank]) -> Vec<SwitchOutput> {
        let requests = ranks.iter().filter_map(|rank| self.request_view(*rank));
        requests.collect()
    }

    /// Sends an order to a rank whose view is known, unless one is unanswered.
    pub(crate) fn send_order(&mut self, rank: Rank, order: SwitchOrder) -> Option<SwitchOutput> {
        let progress = &mut self.ranks[rank as usize];
        let sequence = progress.view?.sequence;
        if progress.open_order.is_some() {
            return None;
        }
        progress.open_order = Some(order);
        if rank == self.roles.gate {
            self.record_gate_requested();
        }
        Some(SwitchOutput::SendOrder {
            rank,
            order,
            sequence,
        })
    }

    /// Sends an order to the gate, as [`Self::send_order`].
    pub(crate) fn order_gate(&mut self, order: SwitchOrder) -> Vec<SwitchOutput> {
        self.send_order(self.roles.gate, order)
            .into_iter()
            .collect()
    }

    /// Requests the view of the gate, as [`Self::request_view`].
    pub(crate) fn request_gate(&mut self) -> Vec<SwitchOutput> {
        self.request_view(self.roles.gate).into_iter().collect()
    }

    pub(crate) fn all_ranks(&self) -> Vec<Rank> {
        (0..self.ranks.len() as Rank).collect()
    }

    pub(crate) fn all_but_gate(&self) -> Vec<Rank> {
        let mut ranks = self.all_ranks();
        ranks.retain(|rank| *rank != self.roles.gate);
        ranks
    }
}
