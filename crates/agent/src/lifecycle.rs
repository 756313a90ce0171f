//! Whether this agent takes new work, readable from every thread.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use jj_policy::authority::WorkPermit;
use jj_utils::clock::Timestamp;

/// Reasons to take no new work.
#[derive(Debug, Default)]
pub struct Lifecycle {
    draining: AtomicBool,
    withdrawn: AtomicBool,
    permit_until: AtomicU64,
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

    /// Sets the leave to take new work; `None` when there is none.
    pub fn set_permit(&self, permit: Option<WorkPermit>) {
        let until = permit.map_or(Duration::ZERO, |permit| permit.expires_at);
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.permit_until.store(micros, Ordering::SeqCst);
    }

    /// True when the process is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Why new work is refused now, if it is.
    pub fn refusal(&self, now: Timestamp) -> Option<&'static str> {
        if self.is_draining() {
            return Some("agent is draining");
        }
        if self.withdrawn.load(Ordering::SeqCst) {
            return Some("failure domain is out of service");
        }
        let until = Duration::from_micros(self.permit_until.load(Ordering::SeqCst));
        if now >= until {
            return Some("agent can't tell whether its failure domain is still in service");
        }
        None
    }
}
