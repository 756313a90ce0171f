//! A backend server that has just started bears little work, and falls over beyond that.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// How a stand-in behaves while cold.
#[derive(Debug, Clone)]
pub struct ColdConfig {
    /// Concurrent requests that it bears while cold.
    pub floor: u32,
    /// Time from a start to being warm; zero is warm at once.
    pub warm_after: Duration,
    /// How long it refuses everything after it fell over.
    pub fall_time: Duration,
}

impl Default for ColdConfig {
    fn default() -> Self {
        Self {
            floor: 4,
            warm_after: Duration::ZERO,
            fall_time: Duration::from_secs(1),
        }
    }
}

/// Counts of one stand-in's cold phases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdCounts {
    /// Requests at work now.
    pub running: u32,
    /// Most concurrent requests while cold.
    pub peak: u32,
    /// Times that it fell over.
    pub falls: u32,
}

/// The state of one stand-in.
#[derive(Debug)]
pub struct ColdStart {
    config: ColdConfig,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    warm_at: Instant,
    fallen_until: Option<Instant>,
    counts: ColdCounts,
}

/// The stand-in has fallen over and executes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fallen;

/// One request at work; leaves the count when dropped.
#[derive(Debug)]
pub struct Working(Arc<ColdStart>);

impl Drop for Working {
    fn drop(&mut self) {
        self.0.lock().counts.running -= 1;
    }
}

impl ColdStart {
    /// Starts cold.
    pub fn new(config: ColdConfig) -> Arc<Self> {
        let state = State {
            warm_at: Instant::now() + config.warm_after,
            fallen_until: None,
            counts: ColdCounts::default(),
        };
        Arc::new(Self {
            config,
            state: Mutex::new(state),
        })
    }

    /// Begins one request.
    ///
    /// # Errors
    /// [`Fallen`] when cold with more work than the floor, and for a while after that.
    pub fn enter(self: &Arc<Self>) -> Result<Working, Fallen> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.fallen_until.is_some_and(|until| now < until) {
            return Err(Fallen);
        }
        state.counts.running += 1;
        if now < state.warm_at {
            state.counts.peak = state.counts.peak.max(state.counts.running);
            if state.counts.running > self.config.floor {
                state.counts.running -= 1;
                state.counts.falls += 1;
                state.fallen_until = Some(now + self.config.fall_time);
                return Err(Fallen);
            }
        }
        Ok(Working(Arc::clone(self)))
    }

    /// Turns cold again now, for `time`.
    pub fn turn_cold(&self, time: Duration) {
        self.lock().warm_at = Instant::now() + time;
    }

    /// Whether it is cold.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.lock().warm_at
    }

    /// The counts up to now.
    pub fn counts(&self) -> ColdCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
