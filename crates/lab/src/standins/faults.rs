//! Faults that a test orders from a stand-in over `POST /control`.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_utils::common_derives;

common_derives! {wire:
    /// Body of `POST /control`; what is absent stays as it is.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ControlRequest {
        /// Turns cold now for this long, in milliseconds.
        pub cold_ms: Option<u64>,
        /// Changes the boot id and starts the uptime anew.
        pub new_boot: bool,
        /// Time of each token, or of each call, in microseconds.
        pub delay_us: Option<u64>,
        /// Faults of the next requests, one each, in this order.
        pub next: Vec<Fault>,
    }
}

common_derives! {wire:
    /// One request's fault.
    #[derive(Copy, Eq)]
    #[serde(tag = "fault", rename_all = "snake_case")]
    pub enum Fault {
        /// Answers as it should.
        None,
        /// Goes silent for good after this many tokens; a service: after executing.
        Freeze {
            /// Tokens sent first.
            after: u32,
        },
        /// Breaks the connection after this many tokens; a service: after executing.
        Reset {
            /// Tokens sent first.
            after: u32,
        },
        /// Sends each token twice.
        Double,
        /// Puts tokens of another request between its own.
        Cross,
        /// Ends without an end marker after this many tokens.
        Truncate {
            /// Tokens sent first.
            after: u32,
        },
        /// Answers 500 without executing.
        Refuse,
    }
}

/// The faults that are yet to come.
#[derive(Debug)]
pub struct Faults(Mutex<State>);

#[derive(Debug)]
struct State {
    delay: Duration,
    next: VecDeque<Fault>,
}

impl Faults {
    /// No faults; each token or call takes `delay`.
    pub fn new(delay: Duration) -> Self {
        let next = VecDeque::new();
        Self(Mutex::new(State { delay, next }))
    }

    /// Takes what `request` says on delay and on the next requests.
    pub fn update(&self, request: &ControlRequest) {
        let mut state = self.lock();
        if let Some(delay) = request.delay_us {
            state.delay = Duration::from_micros(delay);
        }
        state.next.extend(&request.next);
    }

    /// The fault of the request that arrives now.
    pub fn take(&self) -> Fault {
        self.lock().next.pop_front().unwrap_or(Fault::None)
    }

    /// Time of each token or call.
    pub fn delay(&self) -> Duration {
        self.lock().delay
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
