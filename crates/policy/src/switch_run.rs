//! One agent's part in a switch of the expert map: as its leader, or as the one that finishes a switch
//! whose leader is gone.
//!
//! All ranks load the map, each by its own agent. Then the leader's deputy has one rank, the gate, hold
//! a pass, and activates the map at the leader's engine; the leader activates it at all others and
//! releases the pass at the gate. An instance that stops takes its engine out of reach, so while a
//! pass is held no agent orders anything at its own engine, and the leader orders nothing before
//! its own engine uses the map: what was ordered there is known to the deputy, and what was ordered
//! elsewhere shows there.
//!
//! Every view is dated by its question. The release is decided on the gate's view, which is read
//! before the others are confirmed, and is void once the gate has accepted any order since. To take
//! a switch back, each rank that may have an order on its way accepts another one first.

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
    /// What a run does at a time.
    pub enum Stage {
        /// Ranks load the map.
        Load,
        /// The deputy holds a pass and activates the map at the leader's engine.
        Deputy,
        /// The map is activated at the others and the pass released.
        Forward,
        /// The switch is taken back.
        Back,
        /// The gate is asked whether it holds a pass.
        FindGate,
        /// The deputy is asked what it knows.
        FindDeputy,
        /// The leader's engine is asked for.
        FindLeader,
        /// The other ranks are asked.
        FindOthers,
        /// It has ended.
        Ended,
    }
}

/// Longest time for all ranks to load a map; nothing holds meanwhile.
const LOAD_LIMIT: Duration = Duration::from_secs(3);

/// Longest time for the deputy, so that the group does not wait for one that has stopped.
const DEPUTY_LIMIT: Duration = Duration::from_millis(140);

/// Longest time to learn something of one rank while the group may wait.
const FIND_LIMIT: Duration = Duration::from_millis(120);

/// Longest time to bring a held pass to its end before others may try.
const HELD_LIMIT: Duration = Duration::from_secs(2);

common_derives! {copy:
    /// Where a run stands.
    enum Phase {
        Loading,
        Deputising { has_asked: bool, has_answer: bool, tries: u32 },
        /// Only the leader's own engine may be active, by its deputy.
        BackOwn,
        Gate,
        Others,
        Releasing { sequence: u64 },
        /// The gate goes first; its state after that decides whether the release is void.
        InactiveGate,
        Inactive { sequence: u64 },
        Freeing { sequence: u64 },
        FreeingGate { sequence: u64 },
        FindGate,
        FindDeputy,
        FindLeader { deputy: Option<DeputyState> },
        FindOthers { sequence: u64 },
        Ended,
    }
}

common_derives! {key:
    /// What a run knows of a rank and waits for from it.
    #[derive(Default)]
    struct Cell {
        view: Option<RankView>,
        /// Number of the open question.
        asked: Option<u64>,
        ordered: Option<SwitchOrder>,
        /// Whether the rank has accepted an order of a switch that is taken back.
        has_accepted: bool,
    }
}

/// Passes between the last one begun and the first one with the new map: one for the rest of the
/// pass under way, and one for the orders.
const PASS_LEAD: Pass = 2;

/// Ranks for which orders take a pass longer.
const RANKS_A_PASS: u32 = 96;

/// The same where orders have to be given more than once, so that the group need not wait for them.
const UNRELIABLE_LEAD: Pass = 5;

/// Requests to the deputy, each for a later pass while none is held.
const DEPUTY_TRIES: u32 = 5;

common_derives! {key:
    /// One run.
    pub struct SwitchRun {
        goal: Goal,
        roles: SwitchRoles,
        own: Rank,
        /// Whether another agent has begun the switch, so that orders of its may be on their way.
        is_rescue: bool,
        /// Whether the leader's engine can be ordered, which a leader itself never does.
        reaches_leader: bool,
        phase: Phase,
        /// Passes from the last one begun to the first one with the new map.
        lead: Pass,
        cells: Vec<Cell>,
        number: u64,
        /// Times that the fencing number was too low and has been raised.
        raises: u32,
        /// Whether it was too low when it could not be raised any more.
        is_fenced: bool,
        /// Whether an order at a held pass may have been carried out.
        has_ordered: bool,
    }
}

impl SwitchRun {
    /// A switch that this agent leads, with its first steps.
    pub fn lead(
        goal: Goal,
        roles: SwitchRoles,
        size: u32,
        number: u64,
    ) -> (Self, Vec<SwitchOutput>) {
        Self::start(goal, roles, (roles.leader, size), number, Phase::Loading)
    }

    /// Finishes a switch whose leader is gone, with its first steps. One whose roles are unknown is
    /// taken back, which needs the agents of all ranks.
    pub fn take_over(
        goal: Goal,
        roles: SwitchRoles,
        own: Rank,
        size: u32,
        number: u64,
    ) -> (Self, Vec<SwitchOutput>) {
        Self::start(goal, roles, (own, size), number, Phase::FindGate)
    }

    fn start(
        goal: Goal,
        roles: SwitchRoles,
        (own, size): (Rank, u32),
        number: u64,
        phase: Phase,
    ) -> (Self, Vec<SwitchOutput>) {
        let mut run = Self {
            goal,
            roles,
            own,
            is_rescue: phase != Phase::Loading,
            reaches_leader: false,
            phase,
            lead: PASS_LEAD + Pass::from(size / RANKS_A_PASS),
            cells: vec![Cell::default(); size as usize],
            number,
            raises: 0,
            is_fenced: false,
            has_ordered: false,
        };
        let outputs = run.advance();
        (run, outputs)
    }

    /// What is wanted, with the pass once one is held.
    pub fn goal(&self) -> Goal {
        self.goal
    }

    /// Ranks that the run waits for: those that have not told that they have loaded the map, and later those
    /// that have a question or an order open.
    pub fn awaited_ranks(&self) -> Vec<Rank> {
        let version = Some(self.goal.version);
        let is_missing = |it: &Cell| match self.phase {
            Phase::Loading => it.view.is_none_or(|it| it.loaded != version),
            _ => it.asked.is_some() || it.ordered.is_some(),
        };
        let cells = self.cells.iter().enumerate();
        let missing = cells.filter(|(_, it)| is_missing(it));
        missing.map(|(rank, _)| rank as Rank).collect()
    }

    /// What the run does once its fencing number is too low. While the ranks load nothing is held, so it
    /// goes on under a higher one. Later another agent has taken the switch over, and what it has done
    /// meanwhile is not known here.
    fn give_way(&mut self, term: Term) {
        if self.phase != Phase::Loading || self.raises == MAX_TERM_RAISES {
            self.is_fenced = true;
            return;
        }
        self.goal.term = term;
        self.raises += 1;
        let version = Some(self.goal.version);
        for cell in &mut self.cells {
            cell.view = cell.view.filter(|it| it.loaded == version);
            cell.asked = None;
        }
    }

    /// Gives way to whoever has used a higher fencing number at an engine.
    fn take_fence(&mut self) {
        self.give_way(raised_term(self.goal.term, self.own, self.raises));
    }

    /// Whether the run has ended before any of its orders can have changed anything, so that it may begin
    /// anew at once under a higher fencing number.
    pub fn had_no_effect(&self) -> bool {
        !self.has_ordered
    }

    /// Leaves time for orders that are lost.
    pub fn allow_for_lost_orders(&mut self) {
        self.lead = self.lead.max(UNRELIABLE_LEAD);
    }

    /// Whether the ranks still load the map, so that the group waits for nothing.
    pub fn is_loading(&self) -> bool {
        self.phase == Phase::Loading
    }

    /// What the run does now, and how long it may take.
    pub fn stage(&self) -> (Stage, Duration) {
        match self.phase {
            Phase::Loading => (Stage::Load, LOAD_LIMIT),
            Phase::Deputising { .. } => (Stage::Deputy, DEPUTY_LIMIT),
            Phase::Gate | Phase::Others | Phase::Releasing { .. } => (Stage::Forward, HELD_LIMIT),
            Phase::BackOwn
            | Phase::InactiveGate
            | Phase::Inactive { .. }
            | Phase::Freeing { .. }
            | Phase::FreeingGate { .. } => (Stage::Back, HELD_LIMIT),
            Phase::FindGate => (Stage::FindGate, FIND_LIMIT),
            Phase::FindDeputy => (Stage::FindDeputy, FIND_LIMIT),
            Phase::FindLeader { .. } => (Stage::FindLeader, FIND_LIMIT),
            Phase::FindOthers { .. } => (Stage::FindOthers, FIND_LIMIT * 2),
            Phase::Ended => (Stage::Ended, Duration::MAX),
        }
    }

    /// Takes one input and says what to do.
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
            } => self.take_view(rank, number, view, outcome),
            SwitchInput::OrderOutcome { rank, outcome } => self.take_outcome(rank, outcome),
            SwitchInput::DeputyReply { state, is_fenced } => self.take_deputy(state, is_fenced),
            SwitchInput::HigherTerm(term) if term > self.goal.term => {
                self.give_way(next_term(term, self.own));
            }
            SwitchInput::HigherTerm(_) => {}
            SwitchInput::Tick => return self.repeat(),
            SwitchInput::Timeout => return self.time_out(),
        }
        self.advance()
    }

    fn take_view(
        &mut self,
        rank: Rank,
        number: u64,
        view: RankView,
        outcome: Option<RankOrderOutcome>,
    ) {
        let Some(cell) = self.cells.get_mut(rank as usize) else {
            return;
        };
        if cell.asked != Some(number) {
            return;
        }
        cell.asked = None;
        cell.view = Some(view);
        if outcome == Some(RankOrderOutcome::Fenced) {
            self.take_fence();
        }
    }

    fn take_outcome(&mut self, rank: Rank, outcome: RankOrderOutcome) {
        let Some(cell) = self.cells.get_mut(rank as usize) else {
            return;
        };
        let Some(order) = cell.ordered.take() else {
            return;
        };
        let view = cell.view.take();
        match outcome {
            RankOrderOutcome::Accepted => {}
            RankOrderOutcome::Unknown => {
                self.has_ordered = true;
                return;
            }
            RankOrderOutcome::Fenced => return self.take_fence(),
            RankOrderOutcome::Refused => return,
        }
        self.has_ordered = true;
        cell.has_accepted = true;
        let back = [Phase::InactiveGate, Phase::BackOwn];
        let is_back = back.contains(&self.phase) || matches!(self.phase, Phase::Inactive { .. });
        if is_back {
            // What it is like after the order has to be read.
            return;
        }
        cell.view = view.map(|view| apply_order(view, order));
    }

    fn take_deputy(&mut self, state: DeputyState, is_fenced: bool) {
        match self.phase {
            Phase::Deputising {
                has_asked: true,
                tries,
                ..
            } => {
                if is_fenced {
                    return self.take_fence();
                }
                let has_answer = matches!(state, DeputyState::Active(_));
                self.look_again(has_answer, tries);
            }
            Phase::FindDeputy => {
                self.phase = Phase::FindLeader {
                    deputy: Some(state),
                };
            }
            _ => {}
        }
    }

    /// Reads what has become of the deputy's orders, and whether the deputy's own instance is still
    /// there: an order that is sent to one that has just stopped leaves its engine's state unknown.
    fn look_again(&mut self, has_answer: bool, tries: u32) {
        for rank in [self.own, self.roles.gate, self.roles.deputy] {
            let cell = &mut self.cells[rank as usize];
            cell.view = None;
            cell.asked = None;
        }
        self.phase = Phase::Deputising {
            has_asked: false,
            has_answer,
            tries,
        };
    }

    /// Asks again what has no answer.
    fn repeat(&mut self) -> Vec<SwitchOutput> {
        let version = self.goal.version;
        match self.phase {
            Phase::Loading => {
                for cell in &mut self.cells {
                    if cell.view.is_some_and(|it| it.loaded != Some(version)) {
                        cell.view = None;
                    }
                }
            }
            Phase::Deputising {
                has_asked: true,
                tries,
                ..
            } => self.look_again(false, tries),
            Phase::FindDeputy => return vec![SwitchOutput::AskDeputy],
            _ => {}
        }
        let open = self.cells.iter().enumerate();
        let open = open.filter_map(|(rank, cell)| Some((rank as Rank, cell.asked?)));
        let mut outputs: Vec<SwitchOutput> = open
            .map(|(rank, number)| SwitchOutput::SendTask { rank, number })
            .collect();
        outputs.extend(self.advance());
        outputs
    }

    fn time_out(&mut self) -> Vec<SwitchOutput> {
        match self.phase {
            Phase::Loading => self.end(Ending::NotLoaded),
            // The deputy's own engine is out of reach as well: the group can't follow.
            Phase::Deputising { .. } => {
                self.forget_all();
                self.phase = Phase::BackOwn;
                self.advance()
            }
            Phase::FindDeputy => {
                self.phase = Phase::FindLeader { deputy: None };
                self.advance()
            }
            Phase::FindLeader { deputy } => {
                self.cells[self.roles.leader as usize].asked = None;
                self.judge(None, deputy)
            }
            _ => self.end(Ending::Unclear),
        }
    }

    fn end(&mut self, ending: Ending) -> Vec<SwitchOutput> {
        self.phase = Phase::Ended;
        vec![SwitchOutput::End(ending)]
    }

    /// Does what is next, as far as is known.
    fn advance(&mut self) -> Vec<SwitchOutput> {
        if self.is_lost() {
            return self.end(Ending::Lost);
        }
        if self.is_fenced {
            return self.end(Ending::Fenced);
        }
        match self.phase {
            Phase::Loading => self.load(),
            Phase::Deputising {
                has_asked,
                has_answer,
                tries,
            } => self.deputise(has_asked, has_answer, tries),
            Phase::BackOwn => self.make_own_inactive(),
            Phase::Gate => self.activate_gate(),
            Phase::Others => self.activate_others(),
            Phase::Releasing { sequence } => self.release_gate(sequence),
            Phase::InactiveGate => self.make_gate_inactive(),
            Phase::Inactive { sequence } => self.make_inactive(sequence),
            Phase::Freeing { sequence } => self.free_others(sequence),
            Phase::FreeingGate { sequence } => self.free_gate(sequence),
            Phase::FindGate => self.find_gate(),
            Phase::FindDeputy => vec![SwitchOutput::AskDeputy],
            Phase::FindLeader { deputy } => self.find_leader(deputy),
            Phase::FindOthers { sequence } => self.find_others(sequence),
            Phase::Ended => Vec::new(),
        }
    }

    /// Whether the group has formed anew, so that nothing of the switch is left.
    fn is_lost(&self) -> bool {
        let mut views = self.cells.iter().filter_map(|it| it.view);
        views.any(|it| it.epoch != self.goal.epoch || !it.is_open)
    }

    fn activation(&self) -> Activation {
        Activation {
            version: self.goal.version,
            pass: self.goal.pass.unwrap_or_default(),
        }
    }

    fn view(&self, rank: Rank) -> Option<RankView> {
        self.cells.get(rank as usize)?.view
    }

    /// Asks a rank for its state, unless the answer is there or on its way.
    fn need(&mut self, rank: Rank) -> Option<SwitchOutput> {
        let cell = &mut self.cells[rank as usize];
        if cell.view.is_some() || cell.asked.is_some() || cell.ordered.is_some() {
            return None;
        }
        self.number += 1;
        cell.asked = Some(self.number);
        let number = self.number;
        Some(SwitchOutput::SendTask { rank, number })
    }

    fn need_all(&mut self, ranks: &[Rank]) -> Vec<SwitchOutput> {
        ranks.iter().filter_map(|rank| self.need(*rank)).collect()
    }

    /// Orders something at a rank whose state is known.
    fn order(&mut self, rank: Rank, order: SwitchOrder) -> Option<SwitchOutput> {
        let cell = &mut self.cells[rank as usize];
        let sequence = cell.view?.sequence;
        if cell.ordered.is_some() {
            return None;
        }
        cell.ordered = Some(order);
        Some(SwitchOutput::SendOrder {
            rank,
            order,
            sequence,
        })
    }

    fn all(&self) -> Vec<Rank> {
        (0..self.cells.len() as Rank).collect()
    }

    fn all_but_gate(&self) -> Vec<Rank> {
        let mut ranks = self.all();
        ranks.retain(|rank| *rank != self.roles.gate);
        ranks
    }

    /// All ranks but the gate, and the leader's unless this run may order it.
    fn others(&self) -> Vec<Rank> {
        let mut others = self.all_but_gate();
        others.retain(|rank| *rank != self.roles.leader || self.reaches_leader);
        others
    }

    /// Gives each rank the next order that it needs, and asks for those that are not known; none once
    /// all are known and need nothing more.
    fn order_each(
        &mut self,
        ranks: &[Rank],
        next: impl Fn(&Self, Rank, &RankView) -> Option<SwitchOrder>,
    ) -> Option<Vec<SwitchOutput>> {
        let mut outputs = Vec::new();
        let mut is_done = true;
        for rank in ranks.iter().copied() {
            let Some(view) = self.view(rank) else {
                is_done = false;
                outputs.extend(self.need(rank));
                continue;
            };
            if let Some(order) = next(self, rank, &view) {
                is_done = false;
                outputs.extend(self.order(rank, order));
            }
        }
        (!is_done).then_some(outputs)
    }

    /// The next order at a rank on the way forward; none once it uses the map. A run that finishes
    /// the switch of another has each rank accept an order, so that older ones on their way there
    /// are void.
    fn forward_order(&self, rank: Rank, view: &RankView) -> Option<SwitchOrder> {
        let activation = self.activation();
        if view.active != Some(activation) {
            return Some(SwitchOrder::Activate(activation));
        }
        let is_certain = !self.is_rescue || self.cells[rank as usize].has_accepted;
        (!is_certain).then_some(SwitchOrder::Cancel(activation.version))
    }

    fn load(&mut self) -> Vec<SwitchOutput> {
        let all = self.all();
        let outputs = self.need_all(&all);
        let version = Some(self.goal.version);
        let is_loaded = |it: &Cell| it.view.is_some_and(|it| it.loaded == version);
        if !self.cells.iter().all(is_loaded) {
            return outputs;
        }
        self.look_again(false, 0);
        self.advance()
    }

    /// Has the deputy act, and reads what came of it: its orders may be lost or late. The leader goes
    /// on only once the deputy has answered, so that what one that has stopped then did is known.
    fn deputise(&mut self, has_asked: bool, has_answer: bool, tries: u32) -> Vec<SwitchOutput> {
        let (own, gate) = (self.own, self.roles.gate);
        let deputy = self.roles.deputy;
        let outputs = self.need_all(&[own, gate, deputy]);
        let (Some(view), Some(gate_view)) = (self.view(own), self.view(gate)) else {
            return outputs;
        };
        if self.view(deputy).is_none() {
            return outputs;
        }
        self.goal.pass = gate_view.held;
        let is_active = gate_view.held.is_some() && view.active == Some(self.activation());
        if is_active && has_answer {
            self.phase = Phase::Gate;
            return self.advance();
        }
        if has_asked {
            return Vec::new();
        }
        if tries >= DEPUTY_TRIES {
            return match gate_view.held {
                None => self.end(Ending::NotHeld),
                // Late orders of several tries may have left the two at different passes.
                Some(_) => self.time_out(),
            };
        }
        self.has_ordered = true;
        self.phase = Phase::Deputising {
            has_asked: true,
            has_answer: false,
            tries: tries + 1,
        };
        vec![SwitchOutput::DelegateActivation {
            pass: gate_view.held.unwrap_or(view.pass + self.lead),
            gate_sequence: gate_view.sequence,
            leader_sequence: view.sequence,
        }]
    }

    /// Has the leader's own engine accept an order after which it is not active, and releases the gate.
    /// Where the gate does not hold, the deputy's order may still be on its way; it is void once the
    /// gate has held and been released.
    fn make_own_inactive(&mut self) -> Vec<SwitchOutput> {
        let (own, gate) = (self.own, self.roles.gate);
        let Some(gate_view) = self.view(gate) else {
            return self.need(gate).into_iter().collect();
        };
        let Some(pass) = gate_view.held else {
            let hold = SwitchOrder::Hold(gate_view.pass + PASS_LEAD);
            return self.order(gate, hold).into_iter().collect();
        };
        self.goal.pass = Some(pass);
        let Some(view) = self.view(own) else {
            return self.need(own).into_iter().collect();
        };
        let order = match (view.active, view.held) {
            (Some(active), _) => SwitchOrder::Cancel(active.version),
            (None, Some(held)) => SwitchOrder::Release(held),
            (None, None) if !self.cells[own as usize].has_accepted => SwitchOrder::Hold(pass),
            (None, None) => {
                self.phase = Phase::FreeingGate {
                    sequence: gate_view.sequence,
                };
                return self.advance();
            }
        };
        self.order(own, order).into_iter().collect()
    }

    fn activate_gate(&mut self) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.need(gate).into_iter().collect();
        };
        if view.held != self.goal.pass {
            return self.end(Ending::Overtaken);
        }
        if self.is_blocked(&view) {
            self.begin_back();
            return self.advance();
        }
        if let Some(order) = self.forward_order(gate, &view) {
            return self.order(gate, order).into_iter().collect();
        }
        self.phase = Phase::Others;
        // A rank that was active before the gate was read has to be read after it.
        let activation = Some(self.activation());
        for rank in self.others() {
            let cell = &mut self.cells[rank as usize];
            if cell.view.is_some_and(|it| it.active == activation) {
                cell.view = None;
                cell.asked = None;
            }
        }
        self.advance()
    }

    fn activate_others(&mut self) -> Vec<SwitchOutput> {
        let version = self.goal.version;
        let others = self.others();
        let mut views = others.iter().filter_map(|rank| self.view(*rank));
        if views.any(|it| it.map != version && self.is_blocked(&it)) {
            self.begin_back();
            return self.advance();
        }
        let next = |run: &Self, rank: Rank, view: &RankView| match view.map == version {
            true => None,
            false => run.forward_order(rank, view),
        };
        if let Some(outputs) = self.order_each(&others, next) {
            return outputs;
        }
        let Some(gate) = self.view(self.roles.gate) else {
            self.phase = Phase::Gate;
            return self.advance();
        };
        self.phase = Phase::Releasing {
            sequence: gate.sequence,
        };
        self.advance()
    }

    /// Whether a rank can't use the map any more.
    fn is_blocked(&self, view: &RankView) -> bool {
        let version = self.goal.version;
        match view.active {
            Some(active) => active != self.activation(),
            None => view.map != version && view.loaded != Some(version),
        }
    }

    fn release_gate(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let pass = self.goal.pass.unwrap_or_default();
        if self.cells[gate as usize].ordered.is_some() {
            return Vec::new();
        }
        let Some(view) = self.view(gate) else {
            return self.need(gate).into_iter().collect();
        };
        if view.held != Some(pass) {
            let ending = match self.cells[gate as usize].has_accepted && view.held.is_none() {
                true => Ending::Switched,
                false => Ending::Overtaken,
            };
            return self.end(ending);
        }
        if view.sequence != sequence {
            self.phase = Phase::Gate;
            return self.advance();
        }
        self.cells[gate as usize].has_accepted = false;
        self.order(gate, SwitchOrder::Release(pass))
            .into_iter()
            .collect()
    }

    /// Begins to take the switch back at all ranks.
    fn begin_back(&mut self) {
        self.forget_all();
        self.phase = Phase::InactiveGate;
    }

    fn forget_all(&mut self) {
        for cell in &mut self.cells {
            cell.asked = None;
            cell.view = None;
            cell.has_accepted = false;
        }
    }

    /// Has the gate accept an order after which it is not active; its hold stays.
    fn make_gate_inactive(&mut self) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.need(gate).into_iter().collect();
        };
        if view.held != self.goal.pass {
            return self.end(Ending::Overtaken);
        }
        let pass = self.goal.pass.unwrap_or_default();
        let order = match (view.active, view.loaded) {
            (Some(active), _) => SwitchOrder::Cancel(active.version),
            // Without a loaded map no order on its way can activate one.
            (None, Some(version)) if !self.cells[gate as usize].has_accepted => {
                SwitchOrder::Activate(Activation { version, pass })
            }
            (None, _) => {
                self.phase = Phase::Inactive {
                    sequence: view.sequence,
                };
                return self.advance();
            }
        };
        self.order(gate, order).into_iter().collect()
    }

    /// Has each rank accept an order after which it is not active.
    fn make_inactive(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let pass = self.goal.pass.unwrap_or_default();
        let next = |run: &Self, rank: Rank, view: &RankView| match (view.active, view.held) {
            (Some(active), _) => Some(SwitchOrder::Cancel(active.version)),
            (None, _) if run.cells[rank as usize].has_accepted => None,
            // To hold what is held already would change nothing, and void nothing.
            (None, Some(held)) => Some(SwitchOrder::Release(held)),
            (None, None) => Some(SwitchOrder::Hold(pass)),
        };
        if let Some(outputs) = self.order_each(&self.all_but_gate(), next) {
            return outputs;
        }
        self.phase = Phase::Freeing { sequence };
        self.advance()
    }

    /// Releases the holds that were ordered to void other orders.
    fn free_others(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let next = |_: &Self, _, view: &RankView| view.held.map(SwitchOrder::Release);
        if let Some(outputs) = self.order_each(&self.all_but_gate(), next) {
            return outputs;
        }
        self.phase = Phase::FreeingGate { sequence };
        self.advance()
    }

    /// Releases the gate, unless it has accepted an order since the others were known to be inactive.
    fn free_gate(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.need(gate).into_iter().collect();
        };
        match view.held {
            Some(pass) if Some(pass) == self.goal.pass && view.sequence == sequence => {
                let order = SwitchOrder::Release(pass);
                self.order(gate, order).into_iter().collect()
            }
            Some(_) => self.end(Ending::Overtaken),
            None => self.end(Ending::TakenBack),
        }
    }

    fn find_gate(&mut self) -> Vec<SwitchOutput> {
        let gate = self.roles.gate;
        let Some(view) = self.view(gate) else {
            return self.need(gate).into_iter().collect();
        };
        if view.held.is_none() {
            return self.end(Ending::Nothing);
        }
        self.goal.pass = view.held;
        match self.roles.is_known() {
            true => self.phase = Phase::FindDeputy,
            false => self.begin_back(),
        }
        self.advance()
    }

    /// The leader's engine is read after the deputy was asked, since the deputy orders nothing there
    /// for an earlier leader from then on.
    fn find_leader(&mut self, deputy: Option<DeputyState>) -> Vec<SwitchOutput> {
        let leader = self.roles.leader;
        match self.view(leader) {
            None => self.need(leader).into_iter().collect(),
            view => self.judge(view, deputy),
        }
    }

    /// Decides whether the switch goes forward or back.
    fn judge(
        &mut self,
        leader: Option<RankView>,
        deputy: Option<DeputyState>,
    ) -> Vec<SwitchOutput> {
        let pass = self.goal.pass.unwrap_or_default();
        let told = match (leader, deputy) {
            (Some(view), _) => view.active,
            (None, Some(DeputyState::Active(active))) => Some(active),
            (None, _) => None,
        };
        if let Some(active) = told.filter(|it| it.pass == pass) {
            self.goal.version = active.version;
            self.reaches_leader = leader.is_some();
            self.cells[self.roles.gate as usize].view = None;
            self.phase = Phase::Gate;
            return self.advance();
        }
        match (leader, deputy) {
            // The engine can be reached, so that orders on their way there can be made void.
            (Some(_), _) => {
                self.begin_back();
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

    /// Nobody was ordered to use the map, since the leader orders nothing at the others before its
    /// own engine uses it; so the pass is released as it is.
    fn find_others(&mut self, sequence: u64) -> Vec<SwitchOutput> {
        let others = self.others();
        let outputs = self.need_all(&others);
        let views: Option<Vec<RankView>> = others.iter().map(|it| self.view(*it)).collect();
        let Some(views) = views else {
            return outputs;
        };
        if views.iter().any(|it| it.active.is_some()) {
            return self.end(Ending::Unclear);
        }
        self.phase = Phase::FreeingGate { sequence };
        self.advance()
    }
}
