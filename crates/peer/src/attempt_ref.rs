//! The name of an attempt.

use jj_utils::{
    common_derives,
    ids::{AttemptId, Incarnation, RequestId},
};

common_derives! {wire:
    /// Names one attempt at one life of one agent.
    #[derive(Eq, Hash)]
    pub struct AttemptRef {
        /// The caller's request.
        pub request: RequestId,
        /// Number of the attempt within the request.
        pub attempt: AttemptId,
        /// Life of the agent that the attempt was chosen for.
        pub incarnation: Incarnation,
    }
}
