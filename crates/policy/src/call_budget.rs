//! Spaces one process's calls to the platform so that the whole fleet stays within its share.
//!
//! No process sees the others' calls. Each leaves `fleet / rate` between two of its own calls, and
//! a random part of that before a call that all processes would make at the same moment, such as
//! the one after a change has woken every watch.

use std::time::Duration;

use jj_utils::clock::Timestamp;

/// Longest time between two calls, whatever the size of the fleet.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// Calls of one process in as many intervals; within them a woken call may come early.
const WINDOW_CALLS: u32 = 4;

/// What the calls of all processes for one purpose may cost together.
#[derive(Debug, Clone, PartialEq)]
pub struct CallBudget {
    /// Calls a second over the fleet that the pacing aims at.
    pub fleet_calls_per_sec: f64,
    /// Shortest time between two calls of one process.
    pub min_interval: Duration,
    /// Longest random wait after failed calls.
    pub max_backoff: Duration,
}

/// The share of the configuration's own reads.
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
    /// The share of the live list's reads, which lags in any case.
    pub fn live_list() -> Self {
        Self {
            fleet_calls_per_sec: 100.0,
            max_backoff: Duration::from_secs(10),
            ..Self::default()
        }
    }
}

/// Why a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallCause {
    /// The process's own turn: the next watch, a further document.
    Regular,
    /// A waiting watch was woken, as were all others at that moment; or the fleet starts. A watch
    /// that is told of a change at once has not waited, and is followed by a [`CallCause::Regular`].
    WatchWoken,
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
    /// Calls of the last interval and those still to come, in order.
    reserved: Vec<Timestamp>,
}

impl CallPacer {
    /// Starts with an estimate of the number of processes that call.
    pub fn new(budget: CallBudget, fleet: u32) -> Self {
        Self {
            budget,
            fleet: fleet.max(1),
            reserved: Vec::new(),
        }
    }

    /// Sets the number of processes that call.
    pub fn set_fleet_size(&mut self, fleet: u32) {
        self.fleet = fleet.max(1);
    }

    /// Time that this process leaves between two calls.
    pub fn interval(&self) -> Duration {
        let seconds = f64::from(self.fleet) / self.budget.fleet_calls_per_sec;
        let interval = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL);
        interval.clamp(self.budget.min_interval, MAX_INTERVAL)
    }

    /// Reserves the next call and returns its moment; `random` is uniform in 0..1.
    pub fn reserve(&mut self, now: Timestamp, cause: CallCause, random: f64) -> Timestamp {
        let interval = self.interval();
        let at = match cause {
            CallCause::Regular => self.free_moment(now, interval),
            CallCause::WatchWoken => self.woken_moment(now + interval.mul_f64(random), interval),
            CallCause::Failed { failures } => {
                let wait = self.backoff(failures).mul_f64(random);
                self.free_moment(now + wait, interval)
            }
        };
        self.reserved
            .retain(|reserved| *reserved + interval * WINDOW_CALLS > now);
        let place = self.reserved.partition_point(|reserved| *reserved < at);
        self.reserved.insert(place, at);
        at
    }

    /// A woken call may follow the watch that was woken by less than an interval: all processes are
    /// woken, so none makes another call in that time. Keeping the distance would heap the calls of
    /// those that had just begun to watch. Calls woken over and over keep the distance.
    fn woken_moment(&self, wanted: Timestamp, interval: Duration) -> Timestamp {
        let recent = |reserved: &&Timestamp| **reserved + interval * WINDOW_CALLS > wanted;
        let count = self.reserved.iter().filter(recent).count();
        match u32::try_from(count) {
            Ok(count) if count < WINDOW_CALLS => wanted,
            _ => self.free_moment(wanted, interval),
        }
    }

    /// The first moment from `wanted` on that is an interval away from every reserved call; a call
    /// that was put off for long must not hold up one that is due before it.
    fn free_moment(&self, wanted: Timestamp, interval: Duration) -> Timestamp {
        let mut at = wanted;
        for reserved in &self.reserved {
            let near = *reserved + interval > at && at + interval > *reserved;
            if near {
                at = *reserved + interval;
            }
        }
        at
    }

    fn backoff(&self, failures: u32) -> Duration {
        let interval = self.interval();
        let doublings = failures.saturating_sub(1).min(16);
        let grown = interval.saturating_mul(1 << doublings);
        grown.min(self.budget.max_backoff.max(interval))
    }
}
