//! Paces the calls of one process to the platform so that the whole fleet stays within its call
//! rate.
//!
//! No process observes the calls of others. Each leaves an interval of `fleet / rate` between two
//! of its own calls, and delays a call that all processes would make at the same time by a random
//! part of the interval, for example the call after a change has completed every watch.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Maximum time between two calls, whatever the size of the fleet.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of calls of one process in as many intervals; up to it, a call after a woken
/// watch may follow another call by less than an interval.
const WINDOW_CALLS: u32 = 4;

/// Limits on the calls of all processes for one purpose.
#[derive(Debug, Clone, PartialEq)]
pub struct CallBudget {
    /// Target call rate of the whole fleet, in calls per second.
    pub fleet_calls_per_sec: f64,
    /// Minimum time between two calls of one process.
    pub min_interval: Duration,
    /// Maximum random wait after failed calls.
    pub max_backoff: Duration,
}

/// Budget for reading the configuration.
impl Default for CallBudget {
    fn default() -> Self {
        Self {
            fleet_calls_per_sec: 315.0,
            min_interval: Duration::from_millis(50),
            max_backoff: Duration::from_millis(3_400),
        }
    }
}

impl CallBudget {
    /// Returns the budget for reading the live list, which lags in any case.
    pub fn live_list() -> Self {
        Self {
            fleet_calls_per_sec: 100.0,
            max_backoff: Duration::from_secs(10),
            ..Self::default()
        }
    }
}

/// Reason for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallCause {
    /// The process makes its next regular call, such as another watch or reading a document.
    Regular,
    /// A change completed a waiting watch, as it did for all processes at the same time, or the
    /// fleet starts. A watch that returns a change without waiting is followed by a
    /// [`CallCause::Regular`] call.
    WatchWoken,
    /// The last `failures` calls failed.
    Failed {
        /// Number of consecutive failed calls, at least 1.
        failures: u32,
    },
}

/// Schedules the calls of one process.
#[derive(Debug, Clone)]
pub struct CallPacer {
    budget: CallBudget,
    fleet: u32,
    /// Times of the recent and the scheduled calls, in order.
    reserved: Vec<Timestamp>,
}

impl CallPacer {
    /// Creates a pacer with an estimate of the number of processes in the fleet.
    pub fn new(budget: CallBudget, fleet: u32) -> Self {
        Self {
            budget,
            fleet: fleet.max(1),
            reserved: Vec::new(),
        }
    }

    /// Sets the number of processes in the fleet.
    pub fn set_fleet_size(&mut self, fleet: u32) {
        self.fleet = fleet.max(1);
    }

    /// Returns the time that this process leaves between two calls.
    pub fn interval(&self) -> Duration {
        let seconds = f64::from(self.fleet) / self.budget.fleet_calls_per_sec;
        let interval = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL);
        interval.clamp(self.budget.min_interval, MAX_INTERVAL)
    }

    /// Schedules the next call and returns its time; `random` is uniform in 0..1.
    pub fn reserve(&mut self, now: Timestamp, cause: CallCause, random: f64) -> Timestamp {
        let interval = self.interval();
        let at = match cause {
            CallCause::Regular => self.free_time(now, interval),
            CallCause::WatchWoken => self.woken_time(now + interval.mul_f64(random), interval),
            CallCause::Failed { failures } => {
                let wait = self.backoff(failures).mul_f64(random);
                self.free_time(now + wait, interval)
            }
        };
        self.reserved
            .retain(|reserved| *reserved + interval * WINDOW_CALLS > now);
        let index = self.reserved.partition_point(|reserved| *reserved < at);
        self.reserved.insert(index, at);
        at
    }

    /// Returns the time of a call after a woken watch. It may follow the start of that watch by
    /// less than an interval: all processes are woken at the same time, so none makes another call
    /// then. Keeping the interval would cluster the calls of processes that had just started to
    /// watch. After [`WINDOW_CALLS`] calls in as many intervals, the interval is kept.
    fn woken_time(&self, wanted: Timestamp, interval: Duration) -> Timestamp {
        let recent = |reserved: &&Timestamp| **reserved + interval * WINDOW_CALLS > wanted;
        let count = self.reserved.iter().filter(recent).count();
        match u32::try_from(count) {
            Ok(count) if count < WINDOW_CALLS => wanted,
            _ => self.free_time(wanted, interval),
        }
    }

    /// Returns the first time from `wanted` on that is an interval away from every scheduled call,
    /// so that a call postponed for long does not delay one that is due before it.
    fn free_time(&self, wanted: Timestamp, interval: Duration) -> Timestamp {
        let mut at = wanted;
        for reserved in &self.reserved {
            let overlaps = *reserved + interval > at && at + interval > *reserved;
            if overlaps {
                at = *reserved + interval;
            }
        }
        at
    }

    fn backoff(&self, failures: u32) -> Duration {
        let interval = self.interval();
        let doublings = failures.saturating_sub(1).min(16);
        let backoff = interval.saturating_mul(1 << doublings);
        backoff.min(self.budget.max_backoff.max(interval))
    }
}
