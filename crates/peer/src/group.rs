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
    /// Identifies one proposal of an expert map.
    #[derive(Copy, Eq)]
    pub struct MapIdWire {
        /// Term in which it was proposed.
        pub term: Term,
        /// Sequence number within the term.
        pub seq: u32,
    }
}

common_derives! {wire:
    /// Point at which a prepared engine holds, that is, runs no further step until commit or abort.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum HoldWire {
        /// Before this step.
        Before(u64),
        /// Immediately.
        Now,
    }
}

common_derives! {wire:
    /// Action requested of a rank and ordered from its engine.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ActionWire {
        /// Report the state, and refuse lower terms from now on.
        Read,
        /// Load a map and hold.
        Prepare {
            /// The map.
            id: MapIdWire,
            /// When to hold.
            hold: HoldWire,
        },
        /// Use a prepared map from the given step on.
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
        /// Incarnation of the agent that the request is meant for; `None` only for a read.
        pub target: Option<Incarnation>,
        /// Action to perform.
        pub action: ActionWire,
        /// Expert of each slot of the whole group, for a prepare without changes.
        #[serde(default)]
        pub slots: Vec<ExpertId>,
        /// For a prepare: the changes to a base map that the rank's agent knows.
        #[serde(default)]
        pub changes: Option<MapChangesWire>,
    }
}

common_derives! {wire:
    /// The slots in which a map differs from a base map.
    #[derive(Eq)]
    pub struct MapChangesWire {
        /// Digest of the base map.
        pub base: u64,
        /// Changed slots, as indices in the whole group, with their new experts.
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
        /// When the engine starts to hold.
        pub hold: HoldWire,
        /// Whether the commit has arrived.
        pub committed: bool,
    }
}

common_derives! {wire:
    /// State that an engine reports.
    #[derive(Copy, Eq)]
    pub struct EngineViewWire {
        /// Map in force.
        pub map: Option<MapIdWire>,
        /// Next step to run.
        pub next_step: u64,
        /// Prepared map that is not in force yet.
        pub held: Option<HeldMapWire>,
    }
}

common_derives! {wire:
    /// Outcome of a request to a rank.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OutcomeWire {
        /// The request was carried out; contains the state of the engine.
        Done(EngineViewWire),
        /// An order is open, or the startup wait has not elapsed: send the request again.
        Busy,
        /// A leader with this newer term has read this rank.
        StaleTerm(Term),
        /// This incarnation of the agent was not read under the term of the request.
        NotRead,
        /// A commit or an abort of this map or a later one was already received.
        Closed,
        /// The engine can't execute the action.
        Engine,
    }
}

common_derives! {wire:
    /// Reply of a rank's agent to a request.
    pub struct ReplyWire {
        /// The rank.
        pub rank: Rank,
        /// Term of the request.
        pub term: Term,
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Action of the request.
        pub action: ActionWire,
        /// Outcome of the request.
        pub outcome: OutcomeWire,
    }
}

common_derives! {wire:
    /// An order from an agent to its engine.
    pub struct EngineOrder {
        /// Term of the leader, as a fencing token.
        pub term: Term,
        /// Wall-clock time in milliseconds since the Unix epoch after which it has no effect.
        pub deadline_ms: u64,
        /// Action to perform.
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
        /// Newest term that the engine has received, when it is newer than that of the order.
        pub newer: Option<Term>,
    }
}

common_derives! {wire:
    /// Report of an engine about its group.
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
