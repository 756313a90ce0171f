//! Messages of the two-phase switch of a group's expert map.
//!
//! The agent of rank 0 leads ([`crate::group_leader::Leader`]); every rank's agent answers
//! ([`crate::group_rank::RankState`]) and passes orders on to the engine beside it. A switch is
//! prepared on all ranks, which then hold before one step, and is committed after the last of them
//! has confirmed. An engine that holds and has heard neither commit nor abort waits.
//!
//! Two numbers fence late messages. A rank obeys only the term that read it last, and a request
//! names the incarnation of the rank's agent that was read; a restarted agent has forgotten its
//! term, so it must be read again before it obeys anyone.

use jj_utils::{
    common_derives,
    ids::{Incarnation, Rank, Term},
};

/// Number of a lock-step step, counted from the formation of the group.
pub type Step = u64;

common_derives! {copy:
    /// Names one proposal of an expert map; unique over all leaders of the group.
    pub struct MapId {
        /// Term in which the map was proposed.
        pub term: Term,
        /// Number of the proposal within its term, from 1.
        pub seq: u32,
    }
}

common_derives! {copy:
    /// When an engine starts to hold after a prepare.
    pub enum Hold {
        /// Runs on and holds before this step, the first that may use the map.
        Before(Step),
        /// Holds at once; commit moves the engine to a step that no rank has run. Forms a group,
        /// or brings it together again after an engine has lost its state.
        Now,
    }
}

common_derives! {copy:
    /// What a leader asks of a rank, and the rank's agent of its engine. Each is idempotent.
    pub enum Action {
        /// Report the state and refuse every smaller term from now on.
        Read,
        /// Load the weights of a map and hold.
        Prepare {
            /// The map.
            id: MapId,
            /// When to start to hold.
            hold: Hold,
        },
        /// Use the prepared map from a step on.
        Commit {
            /// The map.
            id: MapId,
            /// First step that uses it.
            step: Step,
        },
        /// Drop the prepared map and run on with the one in force.
        Abort {
            /// The map.
            id: MapId,
        },
    }
}

common_derives! {copy:
    /// A request from a leader to the agent of one rank.
    pub struct Request {
        /// Term of the leader.
        pub term: Term,
        /// Incarnation of the agent that the request was chosen for; `None` only for a read.
        pub target: Option<Incarnation>,
        /// What to do.
        pub action: Action,
    }
}

common_derives! {copy:
    /// A map that an engine has prepared and that is not in force yet.
    pub struct HeldMap {
        /// The map.
        pub id: MapId,
        /// When the hold starts.
        pub hold: Hold,
        /// True once commit has arrived.
        pub committed: bool,
    }
}

common_derives! {copy:
    /// What an engine says of itself.
    pub struct EngineView {
        /// Map in force; `None` while the engine has just started and is in no group.
        pub map: Option<MapId>,
        /// Next step to run.
        pub next_step: Step,
        /// Prepared map, if any.
        pub held: Option<HeldMap>,
    }
}

common_derives! {copy:
    /// The answer of a rank's agent.
    pub struct Reply {
        /// The rank.
        pub rank: Rank,
        /// Term of the request.
        pub term: Term,
        /// Incarnation of the answering agent.
        pub incarnation: Incarnation,
        /// Action of the request.
        pub action: Action,
        /// What came of it.
        pub outcome: Outcome,
    }
}

common_derives! {copy:
    /// What came of a request.
    pub enum Outcome {
        /// Done, now or by an earlier copy of the request.
        Done(EngineView),
        /// Not done.
        Refused(Refusal),
    }
}

common_derives! {copy:
    /// Why a rank refuses a request.
    pub enum Refusal {
        /// The agent waits for the engine or for older orders to expire; ask again.
        Busy,
        /// A newer leader has read this rank.
        StaleTerm(Term),
        /// This incarnation of the agent was not read under the request's term.
        NotRead,
        /// The map was aborted or replaced already.
        Closed,
        /// The engine cannot do it; for a prepare, the step is past.
        Engine,
    }
}
