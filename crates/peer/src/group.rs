//! Wire types of a lock-step group: requests from the leader to the agents of ranks, and orders
//! from an agent to the engine beside it.

use jj_policy::{
    expert_map::MapChanges,
    group_switch::{
        Action, EngineView, HeldMap, Hold, MapId, Reply, Request, RequestOutcome, RequestRefusal,
    },
};
use jj_utils::{
    common_derives,
    ids::{ExpertId, Incarnation, Rank, Term},
};

common_derives! {wire:
    /// Names one proposal of an expert map.
    #[derive(Copy, Eq)]
    pub struct MapIdWire {
        /// Term in which it was proposed.
        pub term: Term,
        /// Number within the term.
        pub seq: u32,
    }
}

common_derives! {wire:
    /// When an engine starts to hold.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum HoldWire {
        /// Before this step.
        Before(u64),
        /// At once.
        Now,
    }
}

common_derives! {wire:
    /// What a rank, and its engine, is asked to do.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ActionWire {
        /// Report the state; refuse smaller terms from now on.
        Read,
        /// Load a map and hold.
        Prepare {
            /// The map.
            id: MapIdWire,
            /// When to hold.
            hold: HoldWire,
        },
        /// Use a prepared map from a step on.
        Commit {
            /// The map.
            id: MapIdWire,
            /// First step that uses it.
            step: u64,
        },
        /// Drop a prepared map.
        Abort {
            /// The map.
            id: MapIdWire,
        },
    }
}

common_derives! {wire:
    /// A request from a leader to the agent of one rank.
    pub struct RequestWire {
        /// Term of the leader.
        pub term: Term,
        /// Life of the agent that it was chosen for.
        pub target: Option<Incarnation>,
        /// What to do.
        pub action: ActionWire,
        /// Expert of each slot of the whole group, for a prepare without changes.
        #[serde(default)]
        pub slots: Vec<ExpertId>,
        /// What a prepare changes in a map that the rank's agent knows.
        #[serde(default)]
        pub changes: Option<MapChangesWire>,
    }
}

common_derives! {wire:
    /// The slots in which a map differs from another.
    #[derive(Eq)]
    pub struct MapChangesWire {
        /// Digest of the other map.
        pub base: u64,
        /// Slot of the whole group, and its expert.
        pub placed: Vec<(u32, ExpertId)>,
    }
}

impl From<MapChanges> for MapChangesWire {
    fn from(
        MapChanges {
            base_digest: base,
            changed_slots: placed,
        }: MapChanges,
    ) -> Self {
        Self { base, placed }
    }
}

impl From<MapChangesWire> for MapChanges {
    fn from(MapChangesWire { base, placed }: MapChangesWire) -> Self {
        Self {
            base_digest: base,
            changed_slots: placed,
        }
    }
}

common_derives! {wire:
    /// A prepared map that is not in force yet.
    #[derive(Copy, Eq)]
    pub struct HeldMapWire {
        /// The map.
        pub id: MapIdWire,
        /// When the hold starts.
        pub hold: HoldWire,
        /// Whether commit has arrived.
        pub committed: bool,
    }
}

common_derives! {wire:
    /// What an engine says of itself.
    #[derive(Copy, Eq)]
    pub struct EngineViewWire {
        /// Map in force.
        pub map: Option<MapIdWire>,
        /// Next step to run.
        pub next_step: u64,
        /// Prepared map.
        pub held: Option<HeldMapWire>,
    }
}

common_derives! {wire:
    /// What came of a request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OutcomeWire {
        /// Done.
        Done(EngineViewWire),
        /// Ask again.
        Busy,
        /// A newer leader has read this rank.
        StaleTerm(Term),
        /// This life of the agent was not read under the term.
        NotRead,
        /// The map was aborted or replaced already.
        Closed,
        /// The engine can't do it.
        Engine,
    }
}

common_derives! {wire:
    /// The answer of a rank's agent.
    pub struct ReplyWire {
        /// The rank.
        pub rank: Rank,
        /// Term of the request.
        pub term: Term,
        /// Life of the agent.
        pub incarnation: Incarnation,
        /// Action of the request.
        pub action: ActionWire,
        /// What came of it.
        pub outcome: OutcomeWire,
    }
}

common_derives! {wire:
    /// An order from an agent to its engine.
    pub struct EngineOrder {
        /// Fencing number.
        pub term: Term,
        /// Wall-clock time in milliseconds since the Unix epoch after which it has no effect.
        pub deadline_ms: u64,
        /// What to do.
        pub action: ActionWire,
        /// Expert of each slot of the whole group, for a prepare.
        #[serde(default)]
        pub slots: Vec<ExpertId>,
    }
}

common_derives! {wire:
    /// An engine's refusal of an order.
    #[derive(Copy, Eq)]
    pub struct EngineRefusal {
        /// The engine's fencing number, when it is newer than the order's.
        pub newer: Option<Term>,
    }
}

common_derives! {wire:
    /// What an engine reports of its group.
    #[derive(Default)]
    pub struct GroupReport {
        /// Expert of each slot under the map in force; empty before the first.
        pub slots: Vec<ExpertId>,
        /// Tokens routed to each expert since the last report; `None` where the count is missing.
        pub counts: Vec<Option<u32>>,
    }
}

impl From<MapId> for MapIdWire {
    fn from(MapId { term, seq }: MapId) -> Self {
        Self { term, seq }
    }
}

impl From<MapIdWire> for MapId {
    fn from(MapIdWire { term, seq }: MapIdWire) -> Self {
        Self { term, seq }
    }
}

impl From<Hold> for HoldWire {
    fn from(hold: Hold) -> Self {
        match hold {
            Hold::Before(step) => Self::Before(step),
            Hold::Now => Self::Now,
        }
    }
}

impl From<HoldWire> for Hold {
    fn from(hold: HoldWire) -> Self {
        match hold {
            HoldWire::Before(step) => Self::Before(step),
            HoldWire::Now => Self::Now,
        }
    }
}

impl From<Action> for ActionWire {
    fn from(action: Action) -> Self {
        match action {
            Action::Read => Self::Read,
            Action::Prepare { id, hold } => Self::Prepare {
                id: id.into(),
                hold: hold.into(),
            },
            Action::Commit { id, step } => Self::Commit {
                id: id.into(),
                step,
            },
            Action::Abort { id } => Self::Abort { id: id.into() },
        }
    }
}

impl From<ActionWire> for Action {
    fn from(action: ActionWire) -> Self {
        match action {
            ActionWire::Read => Self::Read,
            ActionWire::Prepare { id, hold } => Self::Prepare {
                id: id.into(),
                hold: hold.into(),
            },
            ActionWire::Commit { id, step } => Self::Commit {
                id: id.into(),
                step,
            },
            ActionWire::Abort { id } => Self::Abort { id: id.into() },
        }
    }
}

impl From<&RequestWire> for Request {
    fn from(request: &RequestWire) -> Self {
        let RequestWire {
            term,
            target,
            action,
            ..
        } = request;
        Self {
            term: *term,
            target: *target,
            action: (*action).into(),
        }
    }
}

impl From<EngineView> for EngineViewWire {
    fn from(view: EngineView) -> Self {
        let held = view.held.map(|held| HeldMapWire {
            id: held.id.into(),
            hold: held.hold.into(),
            committed: held.committed,
        });
        Self {
            map: view.map.map(Into::into),
            next_step: view.next_step,
            held,
        }
    }
}

impl From<EngineViewWire> for EngineView {
    fn from(view: EngineViewWire) -> Self {
        let held = view.held.map(|held| HeldMap {
            id: held.id.into(),
            hold: held.hold.into(),
            committed: held.committed,
        });
        Self {
            map: view.map.map(Into::into),
            next_step: view.next_step,
            held,
        }
    }
}

impl From<RequestOutcome> for OutcomeWire {
    fn from(outcome: RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Done(view) => Self::Done(view.into()),
            RequestOutcome::Refused(RequestRefusal::Busy) => Self::Busy,
            RequestOutcome::Refused(RequestRefusal::StaleTerm(term)) => Self::StaleTerm(term),
            RequestOutcome::Refused(RequestRefusal::NotRead) => Self::NotRead,
            RequestOutcome::Refused(RequestRefusal::Closed) => Self::Closed,
            RequestOutcome::Refused(RequestRefusal::Engine) => Self::Engine,
        }
    }
}

impl From<OutcomeWire> for RequestOutcome {
    fn from(outcome: OutcomeWire) -> Self {
        match outcome {
            OutcomeWire::Done(view) => Self::Done(view.into()),
            OutcomeWire::Busy => Self::Refused(RequestRefusal::Busy),
            OutcomeWire::StaleTerm(term) => Self::Refused(RequestRefusal::StaleTerm(term)),
            OutcomeWire::NotRead => Self::Refused(RequestRefusal::NotRead),
            OutcomeWire::Closed => Self::Refused(RequestRefusal::Closed),
            OutcomeWire::Engine => Self::Refused(RequestRefusal::Engine),
        }
    }
}

impl From<Reply> for ReplyWire {
    fn from(reply: Reply) -> Self {
        Self {
            rank: reply.rank,
            term: reply.term,
            incarnation: reply.incarnation,
            action: reply.action.into(),
            outcome: reply.outcome.into(),
        }
    }
}

impl From<ReplyWire> for Reply {
    fn from(reply: ReplyWire) -> Self {
        Self {
            rank: reply.rank,
            term: reply.term,
            incarnation: reply.incarnation,
            action: reply.action.into(),
            outcome: reply.outcome.into(),
        }
    }
}
