//! Inputs, outputs and wire types of a switch of the expert map, as [`crate::switch_run`] decides
//! it.
//!
//! A term is the fencing number of the agent that leads or takes over a switch.

use jj_utils::{
    common_derives,
    ids::{Rank, Term},
};

use crate::map_switch::{Activation, MapVersion, Pass, RankOrder, RankView};

/// Number of terms in a step. The rank modulo this number selects the term within a step, so that
/// ranks never choose the same one.
const TERMS_PER_STEP: Term = 4_096;

/// Steps by which a term is raised when an engine refuses it for the first time.
const FIRST_RAISE_STEPS: Term = 64;

/// Maximum raises of the term in a switch, and maximum doublings of their size: two agents that
/// raise their terms against each other must not use up the number range.
pub const MAX_TERM_RAISES: u32 = 24;

/// Returns a term above `highest` that no other rank can choose.
pub fn next_term(highest: Term, rank: Rank) -> Term {
    let steps = (highest / TERMS_PER_STEP).saturating_add(1);
    steps.saturating_mul(TERMS_PER_STEP) | (Term::from(rank) % TERMS_PER_STEP)
}

/// Returns the term that replaces one that an engine refused, after `raises` earlier ones in the
/// same switch. An engine remembers the terms of agents that are gone and does not report how high
/// they were, so each raise is twice as large as the one before.
pub fn raised_term(refused: Term, rank: Rank, raises: u32) -> Term {
    let steps = FIRST_RAISE_STEPS << raises.min(MAX_TERM_RAISES);
    next_term(refused.saturating_add(steps * TERMS_PER_STEP), rank)
}

common_derives! {wire:
    /// Ranks with a special role in a switch.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct SwitchRoles {
        /// Rank whose agent leads the switch; it sends no orders to its own engine while a pass is
        /// held.
        pub leader: Rank,
        /// Rank whose agent orders the gate to hold the pass, and the leader's engine to activate
        /// the map.
        pub deputy: Rank,
        /// Rank whose engine holds the pass; its agent sends it no orders meanwhile.
        pub gate: Rank,
    }
}

impl SwitchRoles {
    /// Returns the roles of a switch of which only the rank that holds the pass is known.
    pub fn unknown(gate: Rank) -> Self {
        Self {
            leader: gate,
            deputy: gate,
            gate,
        }
    }

    /// Returns whether the leader is known; otherwise the switch can only be rolled back.
    pub fn has_known_leader(&self) -> bool {
        self.leader != self.gate
    }
}

common_derives! {wire:
    /// State of the activation at the leader's engine, as the deputy knows it.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum DeputyState {
        /// The deputy has sent no activation for this switch, and will send none for a term
        /// below that of the query.
        NotOrdered,
        /// The engine has accepted the activation.
        Active(Activation),
        /// The deputy has sent the activation and doesn't know the outcome, or has no record of
        /// the switch.
        Unknown,
    }
}

common_derives! {copy:
    /// What a deputy says about its orders.
    pub struct DeputyReport {
        /// Version of the map of the switch that the report is about; 0 if the deputy has no
        /// record of any switch.
        pub version: MapVersion,
        /// State of the activation in that switch.
        pub state: DeputyState,
    }
}

impl DeputyReport {
    /// Report of a deputy that knows of no switch, such as one that has just started.
    pub const UNINFORMED: Self = Self {
        version: 0,
        state: DeputyState::Unknown,
    };
}

common_derives! {wire:
    /// Order to an engine in a switch after the map was loaded: to hold or release a pass, to
    /// activate the map or to cancel the activation.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum SwitchOrder {
        /// Keep the group from beginning a pass.
        Hold(Pass),
        /// Use the loaded map from a pass onwards.
        Activate(Activation),
        /// Cancel the activation of a map.
        Cancel(MapVersion),
        /// Let the group begin the held pass.
        Release(Pass),
    }
}

impl From<SwitchOrder> for RankOrder {
    fn from(order: SwitchOrder) -> Self {
        match order {
            SwitchOrder::Hold(pass) => Self::Hold { pass },
            SwitchOrder::Activate(activation) => Self::Activate(activation),
            SwitchOrder::Cancel(version) => Self::Cancel { version },
            SwitchOrder::Release(pass) => Self::Release { pass },
        }
    }
}

common_derives! {wire:
    /// Result of an order to an engine.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum RankOrderOutcome {
        /// The engine has accepted the order and counted it.
        Accepted,
        /// The order does not fit the engine's state.
        Refused,
        /// The engine has seen a higher term.
        Fenced,
        /// No answer was received; the order may still be executed later.
        Unknown,
        /// The state that the order asks for is in force, and the engine has not counted the order.
        InForce,
    }
}

impl RankOrderOutcome {
    /// Returns whether the state that the order asks for is in force now.
    pub fn is_in_force(self) -> bool {
        matches!(self, Self::Accepted | Self::InForce)
    }

    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Fenced => "fenced",
            Self::Unknown => "unanswered",
            Self::InForce => "in_force",
        }
    }
}

common_derives! {copy:
    /// Event that a [`crate::switch_run::SwitchRun`] handles.
    pub enum SwitchInput {
        /// A rank's agent has executed a task and reports the state of its engine, read after the
        /// task was received.
        View {
            /// Rank of the agent.
            rank: Rank,
            /// Number of the task.
            number: u64,
            /// State of the engine.
            view: RankView,
            /// Outcome of the order that the agent sent to its engine; `None` if it sent none.
            outcome: Option<RankOrderOutcome>,
        },
        /// Outcome of an order from [`SwitchOutput::SendOrder`].
        OrderOutcome {
            /// Rank that received the order.
            rank: Rank,
            /// Outcome of the order.
            outcome: RankOrderOutcome,
        },
        /// Reply of the deputy.
        DeputyReply {
            /// What the deputy knows of the leader's engine.
            report: DeputyReport,
            /// Whether an engine refused one of the deputy's orders because of a higher term.
            is_fenced: bool,
        },
        /// An agent refuses this run's term, since it has accepted this higher one.
        HigherTerm(Term),
        /// Unanswered requests are due to be sent again.
        Tick,
        /// The time limit of the current stage has passed.
        Timeout,
    }
}

common_derives! {copy:
    /// Action that a [`crate::switch_run::SwitchRun`] requests.
    pub enum SwitchOutput {
        /// Send the goal to the agent of a rank, which loads the map and reports its engine's
        /// state.
        SendTask {
            /// Rank of the agent.
            rank: Rank,
            /// Number of the task.
            number: u64,
        },
        /// Send an order to the engine of a rank.
        SendOrder {
            /// Rank of the engine.
            rank: Rank,
            /// The order.
            order: SwitchOrder,
            /// Number of orders that the engine must have accepted so far.
            sequence: u64,
        },
        /// Ask the deputy to hold a pass at the gate and to activate the map at the leader's
        /// engine.
        DelegateActivation {
            /// The pass.
            pass: Pass,
            /// Number of orders that the gate must have accepted so far.
            gate_sequence: u64,
            /// Number of orders that the leader's engine must have accepted so far.
            leader_sequence: u64,
        },
        /// Ask the deputy what it knows of the leader's engine.
        AskDeputy,
        /// End the run.
        End(Ending),
    }
}

common_derives! {copy:
    /// Result of a run.
    pub enum Ending {
        /// The group uses the new map from the held pass onwards.
        Switched,
        /// Another agent has taken over or ended the switch.
        Overtaken,
        /// The term was too low while a pass may have been held.
        Fenced,
        /// Not all ranks loaded the map in time.
        NotLoaded,
        /// No pass could be held.
        NotHeld,
        /// The switch was rolled back; the group keeps its map.
        TakenBack,
        /// The group has formed anew.
        Lost,
        /// No pass is held, so there is no switch to finish.
        Nothing,
        /// The state of a rank is unknown, so the run can neither complete nor roll back the
        /// switch.
        Unclear,
    }
}

impl Ending {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Switched => "switched",
            Self::Overtaken => "overtaken",
            Self::Fenced => "fenced",
            Self::NotLoaded => "not_loaded",
            Self::NotHeld => "not_held",
            Self::TakenBack => "taken_back",
            Self::Lost => "lost",
            Self::Nothing => "nothing",
            Self::Unclear => "unclear",
        }
    }
}

/// Returns the state of an engine after an order is in force; an order that the engine has
/// `counted` raises its sequence.
pub fn apply_order(view: RankView, order: SwitchOrder, counted: bool) -> RankView {
    let view = RankView {
        sequence: view.sequence + u64::from(counted),
        ..view
    };
    match order {
        SwitchOrder::Hold(pass) => RankView {
            held: Some(pass),
            ..view
        },
        SwitchOrder::Activate(activation) => RankView {
            active: Some(activation),
            ..view
        },
        SwitchOrder::Cancel(_) => RankView {
            active: None,
            ..view
        },
        SwitchOrder::Release(_) => RankView { held: None, ..view },
    }
}

/// Number of passes between a held pass and the one for which the gate's map is activated to mark
/// a switch as rolled back; a group never gets there before the mark is removed.
const ROLLBACK_PASSES: Pass = 1 << 32;

common_derives! {copy:
    /// Decision on a switch, which the engine of the gate keeps while it holds a pass. It outlives
    /// the agents, and changes only from open to one of the others and from committed to rolled
    /// back.
    pub enum Decision {
        /// None yet: no rank but the leader's can have an order to activate the map.
        Open,
        /// The switch is completed; the leader's engine has activated the map.
        Committed(Activation),
        /// The switch is rolled back.
        RolledBack,
    }
}

/// Returns the decision that the gate shows while it holds `pass`.
pub fn decision(gate: &RankView, pass: Pass) -> Decision {
    match gate.active {
        None => Decision::Open,
        Some(active) if active.pass == pass => Decision::Committed(active),
        Some(_) => Decision::RolledBack,
    }
}

/// Returns the activation that marks a switch as rolled back, for the map that the gate has loaded.
pub fn rollback_mark(version: MapVersion, pass: Pass) -> Activation {
    Activation {
        version,
        pass: pass.saturating_add(ROLLBACK_PASSES),
    }
}

/// Returns whether a rank still has the mark of a switch that was rolled back, and holds no pass.
pub fn has_stale_mark(view: &RankView) -> bool {
    let far = view.pass.saturating_add(ROLLBACK_PASSES / 2);
    let is_mark = |it: Activation| it.pass > far;
    view.held.is_none() && view.active.is_some_and(is_mark)
}
