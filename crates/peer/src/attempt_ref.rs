//! The id of an attempt.

use jj_utils::{
    common_derives,
    ids::{AttemptId, Incarnation, RequestId},
};

common_derives! {wire:
    /// Identifies one attempt at one incarnation of an agent.
    #[derive(Eq, Hash)]
    pub struct AttemptRef {
        /// The caller's request.
        pub request: RequestId,
        /// Number of the attempt within the request.
        pub attempt: AttemptId,
        /// Incarnation of the agent that the attempt is sent to.
        pub incarnation: Incarnation,
    }
}
