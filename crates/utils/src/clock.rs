//! Monotonic clock behind a trait, so that decision code gets its time from the caller and tests
//! can control it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

/// Monotonic time since the origin of the process's clock.
pub type Timestamp = Duration;

/// Clock handle that can be shared between threads.
pub type SharedClock = Arc<dyn Clock>;

/// Source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the time since this clock's origin; never decreases.
    fn now(&self) -> Timestamp;
}

/// The machine's monotonic clock; it keeps counting while the process is stopped or the machine is
/// suspended.
#[derive(Debug, Clone)]
pub struct SystemClock {
    origin: Duration,
}

/// Returns the time since the machine booted, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

impl SystemClock {
    /// Creates a clock whose origin is the time of the call.
    pub fn new() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Creates a clock as [`SystemClock::new`] does, in a shared handle.
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

/// Clock that changes only through [`ManualClock::advance`]; for tests and experiments.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Timestamp>,
}

impl ManualClock {
    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Timestamp {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. Only for logs and
/// incarnations, since it may jump in both directions.
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
