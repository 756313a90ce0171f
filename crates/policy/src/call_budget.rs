//! Spaces one process's calls to the platform so that the whole fleet stays within its share.
//!
//! No process sees the others' calls. Each leaves `fleet / rate` between two of its own calls, and
//! a random part of that before a call that all processes would make at the same moment, such as
//! the one after a change has woken every watch.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Longest time between two calls, whatever the size of the fleet.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// What the calls of all processes together may cost.
#[derive(Debug, Clone, PartialEq)]
pub struct CallBudget {
    /// Calls a second over the fleet that the pacing aims at.
    pub fleet_rate: f64,
    /// Shortest time between two calls of one process.
    pub min_interval: Duration,
    /// Longest wait after a failed call.
    pub max_backoff: Duration,
}

impl Default for CallBudget {
    fn default() -> Self {
        Self {
            fleet_rate: 420.0,
            min_interval: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// Why a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallCause {
    /// The process's own turn: the next watch, a further document.
    Turn,
    /// All processes were woken at once: a change, a start of the fleet.
    Woken,
    /// The last `failures` calls failed.
    Failed {
        /// Failed calls in a row, from 1.
        failures: u32,
    },
}

/// Hands out the moments at which one process may call.
#[derive(Debug, Clone)]
pub struct CallPacer {
    budget: CallBudget,
    fleet: u32,
    last: Option<Timestamp>,
}

impl CallPacer {
    /// Starts with an estimate of the number of processes that call.
    pub fn new(budget: CallBudget, fleet: u32) -> Self {
        Self {
            budget,
            fleet: fleet.max(1),
            last: None,
        }
    }

    /// Sets the number of processes that call.
    pub fn set_fleet(&mut self, fleet: u32) {
        self.fleet = fleet.max(1);
    }

    /// Time that this process leaves between two calls.
    pub fn interval(&self) -> Duration {
        let seconds = f64::from(self.fleet) / self.budget.fleet_rate;
        let interval = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL);
        interval.clamp(self.budget.min_interval, MAX_INTERVAL)
    }

    /// Reserves the next call and returns its moment; `random` is uniform in 0..1.
    pub fn reserve(&mut self, now: Timestamp, cause: CallCause, random: f64) -> Timestamp {
        let interval = self.interval();
        let wait = match cause {
            CallCause::Turn => Duration::ZERO,
            CallCause::Woken => interval.mul_f64(random),
            CallCause::Failed { failures } => self.backoff(failures).mul_f64(0.5 + random / 2.0),
        };
        let spaced = self.last.map_or(now, |last| last + interval);
        let at = spaced.max(now + wait);
        self.last = Some(at);
        at
    }

    fn backoff(&self, failures: u32) -> Duration {
        let interval = self.interval();
        let doublings = failures.saturating_sub(1).min(16);
        let grown = interval.saturating_mul(1 << doublings);
        grown.min(self.budget.max_backoff.max(interval))
    }
}
