//! What a run of a switch of the expert map is told, and what it asks for.

use jj_utils::{
    common_derives,
    ids::{Rank, Term},
};

use crate::map_switch::{Activation, MapVersion, Pass, RankOrder, RankView};

/// Fencing numbers between two steps; each rank has its own one of them.
const TERMS_A_STEP: Term = 4_096;

/// Steps by which a fencing number rises when an engine has refused it for the first time.
const REFUSED_STEPS: Term = 64;

/// Most times that the steps are doubled: two agents that raise theirs against each other must not use
/// all numbers up.
pub const MAX_TERM_RAISES: u32 = 24;

/// A fencing number above all that are known, which no other rank can choose.
pub fn next_term(highest: Term, rank: Rank) -> Term {
    let steps = (highest / TERMS_A_STEP).saturating_add(1);
    steps.saturating_mul(TERMS_A_STEP) | (Term::from(rank) % TERMS_A_STEP)
}

/// A fencing number in place of one that an engine has refused, after so many others of the same switch.
/// An engine remembers numbers of agents that are gone and does not say how high they were, so each try
/// rises twice as far as the one before.
pub fn raised_term(refused: Term, rank: Rank, raises: u32) -> Term {
    let steps = REFUSED_STEPS << raises.min(MAX_TERM_RAISES);
    next_term(refused.saturating_add(steps * TERMS_A_STEP), rank)
}

common_derives! {wire:
    /// Ranks with a part in a switch.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct SwitchRoles {
        /// Its agent leads the switch, and orders nothing at its own engine while a pass is held.
        pub leader: Rank,
        /// Its agent activates the map at the leader's engine.
        pub deputy: Rank,
        /// Its engine holds the pass; its agent orders nothing meanwhile.
        pub gate: Rank,
    }
}

impl SwitchRoles {
    /// Roles in a switch of which nothing is known but that this rank holds a pass.
    pub fn unknown(gate: Rank) -> Self {
        Self {
            leader: gate,
            deputy: gate,
            gate,
        }
    }

    /// Whether it is known who leads the switch; else it can only be taken back.
    pub fn is_known(&self) -> bool {
        self.leader != self.gate
    }
}

common_derives! {wire:
    /// What a deputy knows of the leader's engine.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum DeputyState {
        /// It has not ordered anything there for this switch, and will not for an earlier leader.
        NotOrdered,
        /// The engine has accepted the activation.
        Active(Activation),
        /// It has ordered the activation and does not know what came of it.
        Unknown,
    }
}

common_derives! {wire:
    /// An order at a held pass.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum SwitchOrder {
        /// Hold a pass.
        Hold(Pass),
        /// Use the loaded map from a pass on.
        Activate(Activation),
        /// Undo an activation.
        Cancel(MapVersion),
        /// Begin the held pass.
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
    /// What became of an order.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum RankOrderOutcome {
        /// The engine has accepted it.
        Accepted,
        /// It does not fit the engine's state.
        Refused,
        /// The engine has seen a higher fencing number.
        Fenced,
        /// Nobody knows; it may be carried out later.
        Unknown,
    }
}

impl RankOrderOutcome {
    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Fenced => "fenced",
            Self::Unknown => "unanswered",
        }
    }
}

common_derives! {copy:
    /// What happens to a run.
    pub enum SwitchInput {
        /// A rank's agent has worked on the goal and tells what its engine said after the question.
        View {
            /// The rank.
            rank: Rank,
            /// Number of the question.
            number: u64,
            /// What the engine said.
            view: RankView,
            /// What became of the order that the agent gave; none where it gave none.
            outcome: Option<RankOrderOutcome>,
        },
        /// The outcome of an order.
        OrderOutcome {
            /// The rank.
            rank: Rank,
            /// What became of it.
            outcome: RankOrderOutcome,
        },
        /// The deputy's answer.
        DeputyReply {
            /// What it knows.
            state: DeputyState,
            /// An engine refused one of its orders, since it has seen a higher fencing number.
            is_fenced: bool,
        },
        /// An agent obeys no leader under a fencing number as low as this run's: it has obeyed one under this
        /// number.
        HigherTerm(Term),
        /// Time to ask again what has no answer.
        Tick,
        /// What the run waits for now has had its time.
        Timeout,
    }
}

common_derives! {copy:
    /// What a run does.
    pub enum SwitchOutput {
        /// Have the agent of a rank work on the goal and tell its engine's state.
        SendTask {
            /// The rank.
            rank: Rank,
            /// Number of the question.
            number: u64,
        },
        /// Order something at a rank's engine.
        SendOrder {
            /// The rank.
            rank: Rank,
            /// The order.
            order: SwitchOrder,
            /// Orders that the engine has to have accepted so far.
            sequence: u64,
        },
        /// Have the deputy hold a pass at the gate and activate the map at the leader's engine.
        DelegateActivation {
            /// The pass.
            pass: Pass,
            /// Orders that the gate has to have accepted so far.
            gate_sequence: u64,
            /// Orders that the leader's engine has to have accepted so far.
            leader_sequence: u64,
        },
        /// Ask the deputy what it knows of the leader's engine.
        AskDeputy,
        /// The run has ended.
        End(Ending),
    }
}

common_derives! {copy:
    /// How a run ended.
    pub enum Ending {
        /// The group uses the new map from the pass on.
        Switched,
        /// Somebody else has ended the switch.
        Overtaken,
        /// The fencing number was too low while a pass may have been held.
        Fenced,
        /// Not all ranks have loaded the map.
        NotLoaded,
        /// No pass could be held.
        NotHeld,
        /// The group goes on with the map in force.
        TakenBack,
        /// The group has formed anew.
        Lost,
        /// There is nothing to finish.
        Nothing,
        /// The state of a rank is unknown: nothing can be done now.
        Unclear,
    }
}

impl Ending {
    /// Its name in metrics.
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

/// An engine's state once it has accepted an order.
pub fn apply_order(view: RankView, order: SwitchOrder) -> RankView {
    let sequence = view.sequence + 1;
    match order {
        SwitchOrder::Hold(pass) => RankView {
            sequence,
            held: Some(pass),
            ..view
        },
        SwitchOrder::Activate(activation) => RankView {
            sequence,
            active: Some(activation),
            ..view
        },
        SwitchOrder::Cancel(_) => RankView {
            sequence,
            active: None,
            ..view
        },
        SwitchOrder::Release(_) => RankView {
            sequence,
            held: None,
            ..view
        },
    }
}
