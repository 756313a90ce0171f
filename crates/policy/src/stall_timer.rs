//! Schedules checks of all ranks by the leader of a group that makes no steps.
//!
//! An engine that has lost its state stops the whole group without notifying the leader. A group
//! without work makes no steps either, so the interval between checks grows.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Time without steps before the first check.
const FIRST_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time between two checks.
const MAX_INTERVAL: Duration = Duration::from_secs(64);

/// Timer for checks of a stalled group, with exponential backoff.
#[derive(Debug, Default)]
pub struct StallTimer {
    next: Option<ScheduledCheck>,
}

/// The next check of all ranks.
#[derive(Debug, Clone, Copy)]
struct ScheduledCheck {
    at: Timestamp,
    /// Time between this check and the following one.
    next_interval: Duration,
}

impl StallTimer {
    /// Records whether the group has made a step since the last call; returns whether a check is
    /// due.
    pub fn update(&mut self, now: Timestamp, has_stepped: bool) -> bool {
        if has_stepped {
            self.next = None;
            return false;
        }
        let check = *self.next.get_or_insert(ScheduledCheck {
            at: now + FIRST_INTERVAL,
            next_interval: FIRST_INTERVAL * 2,
        });
        if now < check.at {
            return false;
        }
        self.next = Some(ScheduledCheck {
            at: now + check.next_interval,
            next_interval: (check.next_interval * 2).min(MAX_INTERVAL),
        });
        true
    }
}
