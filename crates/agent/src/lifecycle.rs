//! Whether this agent takes new work, readable from every thread.

use std::sync::atomic::{AtomicBool, Ordering};

/// Reasons to take no new work.
#[derive(Debug, Default)]
pub struct Lifecycle {
    draining: AtomicBool,
    withdrawn: AtomicBool,
}

impl Lifecycle {
    /// From now on the process is leaving.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Sets whether the failure domain is out of service, or this process must assume so.
    pub fn set_withdrawn(&self, withdrawn: bool) {
        self.withdrawn.store(withdrawn, Ordering::SeqCst);
    }

    /// True when the process is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Why new work is refused now, if it is.
    pub fn refusal(&self) -> Option<&'static str> {
        if self.is_draining() {
            return Some("agent is draining");
        }
        if self.withdrawn.load(Ordering::SeqCst) {
            return Some("failure domain is out of service");
        }
        None
    }
}
