//! Monotonic time as an interface, so that decisions never read a clock themselves.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// Monotonic time since the origin of the process's clock.
pub type Timestamp = Duration;

/// A clock handle that can be passed down and shared between threads.
pub type SharedClock = Arc<dyn Clock>;

/// Source of monotonic time.
pub trait Clock: Send + Sync {
    /// Time since this clock's origin; never goes back.
    fn now(&self) -> Timestamp;
}

/// The machine's monotonic clock; goes on while the process is stopped or the machine is suspended.
#[derive(Debug, Clone)]
pub struct SystemClock {
    origin: Duration,
}

/// Time since the machine was started, its suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

impl SystemClock {
    /// Starts a clock whose origin is the moment of the call.
    pub fn new() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Same as [`SystemClock::new`], ready to be shared.
    pub fn shared() -> SharedClock {
        Arc::new(Self::new())
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        since_boot().saturating_sub(self.origin)
    }
}

/// A clock that moves only when told to; for tests and experiments.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Timestamp>,
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; for logs and incarnations only, since it may
/// step in both directions.
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
