//! Faults that a test injects into a stand-in with `POST /control`.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_utils::common_derives;

common_derives! {wire:
    /// Body of `POST /control`; absent fields change nothing.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ControlRequest {
        /// Makes the stand-in cold for this time from now, in milliseconds.
        pub cold_ms: Option<u64>,
        /// Changes the boot id and resets the uptime.
        pub new_boot: bool,
        /// Duration of each token (engine) or call (service), in microseconds.
        pub delay_us: Option<u64>,
        /// Faults of the next requests, one per request, appended to those that are pending.
        pub next: Vec<Fault>,
    }
}

common_derives! {wire:
    /// Fault of one request.
    #[derive(Copy, Eq)]
    #[serde(tag = "fault", rename_all = "snake_case")]
    pub enum Fault {
        /// Answers normally.
        None,
        /// Sends nothing more after this many tokens (service: after executing), and keeps the
        /// connection open.
        Freeze {
            /// Tokens sent first.
            after: u32,
        },
        /// Breaks the connection after this many tokens (service: after executing).
        Reset {
            /// Tokens sent first.
            after: u32,
        },
        /// Sends each token twice.
        Double,
        /// Inserts tokens of another request.
        Cross,
        /// Ends the response without an end marker after this many tokens.
        Truncate {
            /// Tokens sent first.
            after: u32,
        },
        /// Answers 500 without executing.
        Refuse,
    }
}

/// Pending faults, and the duration of each token or call.
#[derive(Debug)]
pub struct Faults(Mutex<State>);

#[derive(Debug)]
struct State {
    delay: Duration,
    next: VecDeque<Fault>,
}

impl Faults {
    /// Creates an empty queue of faults; each token or call takes `delay`.
    pub fn new(delay: Duration) -> Self {
        let next = VecDeque::new();
        Self(Mutex::new(State { delay, next }))
    }

    /// Sets the delay if `request` has one, and appends its faults.
    pub fn update(&self, request: &ControlRequest) {
        let mut state = self.lock();
        if let Some(delay) = request.delay_us {
            state.delay = Duration::from_micros(delay);
        }
        state.next.extend(&request.next);
    }

    /// Removes and returns the next fault; [`Fault::None`] if none is pending.
    pub fn take(&self) -> Fault {
        self.lock().next.pop_front().unwrap_or(Fault::None)
    }

    /// Returns the duration of each token or call.
    pub fn delay(&self) -> Duration {
        self.lock().delay
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
