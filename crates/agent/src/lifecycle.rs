//! Whether this agent accepts new work, readable from every thread.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use jj_policy::authority::WorkPermit;
use jj_utils::clock::Timestamp;

/// State that decides whether the agent accepts new work.
#[derive(Debug, Default)]
pub struct Lifecycle {
    is_draining: AtomicBool,
    is_withdrawn: AtomicBool,
    permit_expires_us: AtomicU64,
}

impl Lifecycle {
    /// Marks the process as draining; this can't be undone.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Sets whether the failure domain is withdrawn from service, or this process must assume so.
    pub fn set_withdrawn(&self, withdrawn: bool) {
        self.is_withdrawn.store(withdrawn, Ordering::SeqCst);
    }

    /// Sets the permit to accept new work; `None` when there is none.
    pub fn set_permit(&self, permit: Option<WorkPermit>) {
        let expires_at = permit.map_or(Duration::ZERO, |permit| permit.expires_at);
        let micros = u64::try_from(expires_at.as_micros()).unwrap_or(u64::MAX);
        self.permit_expires_us.store(micros, Ordering::SeqCst);
    }

    /// Returns true when the process is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Returns why new work is refused at `now`, or `None` if it is accepted.
    pub fn refusal_reason(&self, now: Timestamp) -> Option<&'static str> {
        if self.is_draining() {
            return Some("agent is draining");
        }
        if self.is_withdrawn.load(Ordering::SeqCst) {
            return Some("failure domain is out of service");
        }
        let expires_at = Duration::from_micros(self.permit_expires_us.load(Ordering::SeqCst));
        if now >= expires_at {
            return Some(
                "agent has no valid permit: its failure domain may be withdrawn from service",
            );
        }
        None
    }
}
