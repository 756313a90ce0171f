//! Held start: an agent starts a queued request only after its entry has released it.
//!
//! If an agent crashes, its entry could not know whether a queued non-idempotent request had
//! started. The agent therefore reports that it holds the request and waits for a release by the
//! entry. As long as the entry has not sent the release, it knows that the request never ran.

use std::time::Duration;

use jj_utils::common_derives;

use crate::verdict::Verdict;

common_derives! {value:
    /// State of the start of one attempt, as known to its entry.
    #[derive(Copy, Default, Eq, Hash)]
    pub struct HeldStart {
        /// Whether the agent has reported that it holds the request.
        held: bool,
        /// Whether a release may have reached the agent.
        released: bool,
    }
}

impl HeldStart {
    /// Records that the agent holds this attempt. Must not be called if it holds another attempt
    /// with the same idempotency key, which is released by its own entry.
    pub fn record_held(&mut self) {
        self.held = true;
    }

    /// Returns whether this entry may release the attempt.
    pub fn may_release(&self) -> bool {
        self.held
    }

    /// Records that a release was sent. Must be called unless it is certain that no byte was sent.
    pub fn record_release(&mut self) {
        self.released = true;
    }

    /// Returns the verdict on the request after a failure with the verdict `failed`. A held request
    /// that was not released never ran and never will, since this entry sends no release after its
    /// verdict. Its attempt had claimed the idempotency key, so no other attempt ran under it
    /// either.
    pub fn verdict_after_failure(&self, failed: Verdict, retry_after: Duration) -> Verdict {
        if !self.held || self.released || failed != Verdict::MayHaveRun {
            return failed;
        }
        Verdict::NotRun { retry_after }
    }
}
