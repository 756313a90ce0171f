//! Cold start of a stand-in backend server: until it is warm, it fails above a limit on
//! concurrent requests.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Settings of the cold phase.
#[derive(Debug, Clone)]
pub struct ColdConfig {
    /// Maximum concurrent requests while cold.
    pub floor: u32,
    /// Time from the start until the server is warm; zero means that it starts warm.
    pub warm_after: Duration,
    /// Time for which the server refuses all requests after an overload.
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

/// Counters of one stand-in's cold phases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdCounts {
    /// Requests running now.
    pub running: u32,
    /// Highest number of concurrent requests while cold.
    pub peak: u32,
    /// Overloads while cold.
    pub falls: u32,
}

/// Tracks the cold phase and the running requests of one stand-in.
#[derive(Debug)]
pub struct ColdStart {
    config: ColdConfig,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    warm_at: Instant,
    refusing_until: Option<Instant>,
    counts: ColdCounts,
}

/// The request is refused: the stand-in was overloaded while cold and has not recovered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fallen;

/// One running request; removed from the count when dropped.
#[derive(Debug)]
pub struct Working(Arc<ColdStart>);

impl Drop for Working {
    fn drop(&mut self) {
        self.0.lock().counts.running -= 1;
    }
}

impl ColdStart {
    /// Starts the cold phase; it lasts for `config.warm_after`.
    pub fn new(config: ColdConfig) -> Arc<Self> {
        let state = State {
            warm_at: Instant::now() + config.warm_after,
            refusing_until: None,
            counts: ColdCounts::default(),
        };
        Arc::new(Self {
            config,
            state: Mutex::new(state),
        })
    }

    /// Counts the start of one request.
    ///
    /// # Errors
    /// [`Fallen`] for a request beyond the floor while cold, and for `fall_time` after that.
    pub fn enter(self: &Arc<Self>) -> Result<Working, Fallen> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.refusing_until.is_some_and(|until| now < until) {
            return Err(Fallen);
        }
        state.counts.running += 1;
        if now < state.warm_at {
            state.counts.peak = state.counts.peak.max(state.counts.running);
            if state.counts.running > self.config.floor {
                state.counts.running -= 1;
                state.counts.falls += 1;
                state.refusing_until = Some(now + self.config.fall_time);
                return Err(Fallen);
            }
        }
        Ok(Working(Arc::clone(self)))
    }

    /// Makes the stand-in cold for `time` from now.
    pub fn turn_cold(&self, time: Duration) {
        self.lock().warm_at = Instant::now() + time;
    }

    /// Returns whether the stand-in is cold.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.lock().warm_at
    }

    /// Returns the current counters.
    pub fn counts(&self) -> ColdCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
