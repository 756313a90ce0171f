//! Which requests an entry that shuts down still accepts: those that end before its process does.
//!
//! In the first seconds a forecast decides, from what other requests took; a wrong one costs a caller a
//! response. Later only what is known of the request itself does: its time limit.
//!
//! Load pattern: callers keep an entry's address for some seconds after it has announced its
//! shutdown, and go on sending requests of all kinds; another entry would accept each of them at once.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::response_times::ResponseForecast;

/// Time from the beginning of a shutdown in which a request is accepted by the forecast of its
/// response. By the end most callers have learned of the shutdown.
const EARLY_PHASE: Duration = Duration::from_millis(2_900);

/// Time before the end of the process at which the last responses must have ended, so that they
/// reach their callers.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(150);

common_derives! {copy:
    /// Shutdown of an entry.
    pub struct Shutdown {
        began: Timestamp,
        ends: Timestamp,
    }
}

common_derives! {copy:
    /// What decides whether a request is accepted during a shutdown.
    pub struct ShutdownRequest {
        /// Time at which the request has a final response, whatever happens.
        pub deadline: Timestamp,
        /// Whether it may be executed again if its response is cut off.
        pub is_repeatable: bool,
        /// Time that the response will take.
        pub forecast: ResponseForecast,
    }
}

impl Shutdown {
    /// Returns a shutdown that begins now, of a process that ends after `grace`.
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        Self {
            began: now,
            ends: now + grace,
        }
    }

    /// Returns the time at which the process ends.
    pub fn ends(&self) -> Timestamp {
        self.ends
    }

    /// Returns the time at which each request without a response is given a final one.
    pub fn final_responses_at(&self) -> Timestamp {
        self.ends.saturating_sub(LAST_RESPONSE_MARGIN)
    }

    /// Returns the last time at which a request may be sent to a server: its response ends before the
    /// process by its time limit, or early in the shutdown can be expected to.
    pub fn latest_send(&self, request: &ShutdownRequest) -> Timestamp {
        let last = self.final_responses_at();
        if request.deadline <= last {
            return request.deadline;
        }
        let expected = match request.is_repeatable {
            true => request.forecast.usual.min(request.forecast.cautious),
            false => request.forecast.cautious,
        };
        let latest = last.saturating_sub(expected);
        latest.min(self.began + EARLY_PHASE)
    }
}
