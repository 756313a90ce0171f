//! Starting a queued request only on its entry's word.
//!
//! A request that may not be repeated and waits in an agent's queue is lost when the agent dies, and
//! its entry could not tell whether it had started. So the agent says that it holds the request, and
//! starts it only once the entry has released it: before the release, the entry knows that it
//! never ran.

use std::time::Duration;

use jj_utils::common_derives;

use crate::verdict::Verdict;

common_derives! {value:
    /// What an entry knows of the start of one of its attempts.
    #[derive(Copy, Default, Eq, Hash)]
    pub struct HeldStart {
        /// The agent has said that it waits for a release.
        held: bool,
        /// A release may have reached the agent.
        released: bool,
    }
}

impl HeldStart {
    /// Notes that the agent holds this very attempt. Another attempt with the same idempotency key
    /// is released by its own entry.
    pub fn record_held(&mut self) {
        self.held = true;
    }

    /// Whether this entry is the one to release the attempt.
    pub fn may_release(&self) -> bool {
        self.held
    }

    /// Notes that a release was sent, unless surely no byte of it was.
    pub fn record_release(&mut self) {
        self.released = true;
    }

    /// What a failure says of the request: never released, it never ran and never will, since this
    /// entry sends no release after its verdict. The attempt had claimed its idempotency key, so
    /// no other one ran under it either.
    pub fn verdict_after_failure(&self, failed: Verdict, retry_after: Duration) -> Verdict {
        if !self.held || self.released || failed != Verdict::MayHaveRun {
            return failed;
        }
        Verdict::NotRun { retry_after }
    }
}
