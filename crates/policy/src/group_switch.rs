//! Messages of the two-phase commit that switches a group to another expert map.
//!
//! The agent of rank 0 is the coordinator ([`crate::group_leader::Leader`]). The agent of each rank
//! ([`crate::group_rank::RankState`]) replies to it and forwards orders to its engine. All ranks
//! first prepare the map and then hold before the same step. The leader commits once all of them
//! have acknowledged. An engine that holds blocks until it receives a commit or an abort.
//!
//! Two numbers fence delayed messages. A rank accepts requests only of the term that read it last.
//! A request also names the incarnation of the agent that was read: a restarted agent has lost its
//! term, so it must be read again before it accepts other requests.

use jj_utils::{
    common_derives,
    ids::{Incarnation, Rank, Term},
};

/// Number of a step that all ranks run together, counted from the formation of the group.
pub type Step = u64;

common_derives! {copy:
    /// Identifier of a proposed expert map, unique across all leaders of the group.
    pub struct MapId {
        /// Term in which the map was proposed.
        pub term: Term,
        /// Sequence number of the proposal within its term, from 1.
        pub seq: u32,
    }
}

common_derives! {copy:
    /// Point at which a prepared engine holds, that is, runs no further step until commit or abort.
    pub enum Hold {
        /// Holds before this step, the first one that may use the map; runs the steps before it.
        Before(Step),
        /// Holds at once; the commit moves the engine to a step that no rank has run. Used to form
        /// the group, also after an engine has lost its state.
        Now,
    }
}

common_derives! {copy:
    /// Operation that a leader requests of a rank, and the rank's agent of its engine. Idempotent.
    pub enum Action {
        /// Report the engine's state, and reject lower terms from now on.
        Read,
        /// Load the weights of a map, and hold at the given point.
        Prepare {
            /// Map to prepare.
            id: MapId,
            /// Point at which to hold.
            hold: Hold,
        },
        /// Use the prepared map from the given step on.
        Commit {
            /// Map to use.
            id: MapId,
            /// First step that uses the map.
            step: Step,
        },
        /// Discard the prepared map and continue with the map in force.
        Abort {
            /// Map to discard.
            id: MapId,
        },
    }
}

common_derives! {copy:
    /// Request from a leader to the agent of one rank.
    pub struct Request {
        /// Term of the leader.
        pub term: Term,
        /// Incarnation of the agent that the request is meant for; `None` only for a read.
        pub target: Option<Incarnation>,
        /// Requested operation.
        pub action: Action,
    }
}

common_derives! {copy:
    /// Map that an engine has prepared and that is not in force yet.
    pub struct HeldMap {
        /// Prepared map.
        pub id: MapId,
        /// Point at which the engine holds.
        pub hold: Hold,
        /// Whether the commit has been received.
        pub committed: bool,
    }
}

common_derives! {copy:
    /// State reported by an engine.
    pub struct EngineView {
        /// Map in force; `None` after a start of the engine, until a group is formed.
        pub map: Option<MapId>,
        /// Next step that the engine will run.
        pub next_step: Step,
        /// Prepared map, if any.
        pub held: Option<HeldMap>,
    }
}

common_derives! {copy:
    /// Reply of a rank's agent to a [`Request`].
    pub struct Reply {
        /// Rank that replies.
        pub rank: Rank,
        /// Term of the request.
        pub term: Term,
        /// Incarnation of the replying agent.
        pub incarnation: Incarnation,
        /// Action of the request.
        pub action: Action,
        /// Result of the request.
        pub outcome: RequestOutcome,
    }
}

common_derives! {copy:
    /// Result of a request.
    pub enum RequestOutcome {
        /// Done, by this request or an earlier copy of it; carries the engine's state.
        Done(EngineView),
        /// Not done.
        Refused(RequestRefusal),
    }
}

common_derives! {copy:
    /// Reason for which a rank refuses a request.
    pub enum RequestRefusal {
        /// An order is open, or the startup wait has not elapsed; to be retried.
        Busy,
        /// A later term, given here, has read this rank.
        StaleTerm(Term),
        /// This incarnation of the agent has not been read under the request's term.
        NotRead,
        /// A commit or an abort of this map or a later one has already been received.
        Closed,
        /// The engine cannot carry out the action, such as a prepare for a step already run.
        Engine,
    }
}
