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
pub const MOST_RAISES: u32 = 24;

/// A fencing number above all that are known, which no other rank can choose.
pub fn next_term(highest: Term, rank: Rank) -> Term {
    let steps = (highest / TERMS_A_STEP).saturating_add(1);
    steps.saturating_mul(TERMS_A_STEP) | (Term::from(rank) % TERMS_A_STEP)
}

/// A fencing number in place of one that an engine has refused, after so many others of the same switch.
/// An engine remembers numbers of agents that are gone and does not say how high they were, so each try
/// rises twice as far as the one before.
pub fn raised_term(refused: Term, rank: Rank, raises: u32) -> Term {
    let steps = REFUSED_STEPS << raises.min(MOST_RAISES);
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
        Nothing,
        /// The engine has accepted the activation.
        Active(Activation),
        /// It has ordered the activation and does not know what came of it.
        Unknown,
    }
}

common_derives! {wire:
    /// An order at a held pass.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum HeldOrder {
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

impl From<HeldOrder> for RankOrder {
    fn from(order: HeldOrder) -> Self {
        match order {
            HeldOrder::Hold(pass) => Self::Hold { pass },
            HeldOrder::Activate(activation) => Self::Activate(activation),
            HeldOrder::Cancel(version) => Self::Cancel { version },
            HeldOrder::Release(pass) => Self::Release { pass },
        }
    }
}

common_derives! {wire:
    /// What became of an order.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Outcome {
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

impl Outcome {
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
    pub enum Input {
        /// A rank's agent has worked on the goal and tells what its engine said after the question.
        View {
            /// The rank.
            rank: Rank,
            /// Number of the question.
            number: u64,
            /// What the engine said.
            view: RankView,
            /// What became of the order that the agent gave; none where it gave none.
            outcome: Option<Outcome>,
        },
        /// The outcome of an order.
        Ordered {
            /// The rank.
            rank: Rank,
            /// What became of it.
            outcome: Outcome,
        },
        /// The deputy's answer.
        Deputy {
            /// What it knows.
            state: DeputyState,
            /// An engine refused one of its orders, since it has seen a higher fencing number.
            is_fenced: bool,
        },
        /// An agent obeys no leader under a fencing number as low as this run's: it has obeyed one under this
        /// number.
        Outranked(Term),
        /// Time to ask again what has no answer.
        Tick,
        /// What the run waits for now has had its time.
        Timeout,
    }
}

common_derives! {copy:
    /// What a run does.
    pub enum Output {
        /// Have the agent of a rank work on the goal and tell its engine's state.
        Ask {
            /// The rank.
            rank: Rank,
            /// Number of the question.
            number: u64,
        },
        /// Order something at a rank's engine.
        Order {
            /// The rank.
            rank: Rank,
            /// The order.
            order: HeldOrder,
            /// Orders that the engine has to have accepted so far.
            sequence: u64,
        },
        /// Have the deputy hold a pass at the gate and activate the map at the leader's engine.
        Deputise {
            /// The pass.
            pass: Pass,
            /// Orders that the gate has to have accepted so far.
            gate: u64,
            /// Orders that the leader's engine has to have accepted so far.
            own: u64,
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
pub fn after(view: RankView, order: HeldOrder) -> RankView {
    let sequence = view.sequence + 1;
    match order {
        HeldOrder::Hold(pass) => RankView {
            sequence,
            held: Some(pass),
            ..view
        },
        HeldOrder::Activate(activation) => RankView {
            sequence,
            active: Some(activation),
            ..view
        },
        HeldOrder::Cancel(_) => RankView {
            sequence,
            active: None,
            ..view
        },
        HeldOrder::Release(_) => RankView {
            sequence,
            held: None,
            ..view
        },
    }
}
