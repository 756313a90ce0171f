//! Detects outages of the lock-step group behind a service, and predicts their end.
//!
//! A slow group is not down: one rank that takes twelve times as long makes passes of half a
//! second, between which no stream has an event. Late responses are better for callers than
//! rejections.
//!
//! Load pattern: one rank of a lock-step group fails and the whole group stalls, at first without
//! any response, then refusing every request, until the rank is back and the group has formed
//! again. Requests sent meanwhile only wait. Their callers retry once, so the retry delay that they
//! are given decides whether they find the group working.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

common_derives! {value:
    /// Thresholds for detecting an outage, and its expected length.
    pub struct OutageConfig {
        /// Time without an event on any stream after which the group counts as stalled.
        pub stall_timeout: Duration,
        /// The same in recent passes, where these are long.
        pub stall_passes: u32,
        /// Minimum number of open streams for detecting a stall.
        pub min_streams: u32,
        /// Time for which the report of an agent is valid.
        pub report_lifetime: Duration,
        /// Time for which the refusal of a server is valid.
        pub refusal_lifetime: Duration,
        /// Expected length of the first outage.
        pub default_length: Duration,
        /// Lower bound of the expected remaining time.
        pub min_remaining: Duration,
    }
}

impl Default for OutageConfig {
    fn default() -> Self {
        Self {
            stall_timeout: Duration::from_millis(350),
            stall_passes: 2,
            min_streams: 4,
            report_lifetime: Duration::from_millis(1_200),
            refusal_lifetime: Duration::from_millis(250),
            default_length: Duration::from_millis(4_500),
            min_remaining: Duration::from_millis(700),
        }
    }
}

/// Outage state of one group.
#[derive(Debug, Clone, Default)]
pub struct Outage {
    began: Option<Timestamp>,
    /// Time and content of the last report of an agent: whether the group works.
    agent_report: Option<(Timestamp, bool)>,
    /// Time of the last refusal of a server because its group does not work.
    last_refusal: Option<Timestamp>,
    /// Time of the last event on any stream.
    last_event: Timestamp,
    /// The last two pauses without any event, which are those between passes.
    pauses: (Duration, Duration),
    /// Moving average of the lengths of past outages.
    mean_length: Option<Duration>,
    /// Whether an outage has ended that `take_ended` has not returned yet.
    has_ended: bool,
}

impl Outage {
    /// Records an event on a stream.
    pub fn record_event(&mut self, now: Timestamp) {
        let pause = now.saturating_sub(self.last_event);
        if pause >= MIN_PASS_PAUSE {
            self.pauses = (self.pauses.1, pause);
        }
        self.last_event = now;
        self.last_refusal = None;
        if self.agent_report.is_some_and(|(_, works)| !works) {
            self.agent_report = None;
        }
        self.end(now);
    }

    /// Records the report of an agent on whether its group works.
    pub fn record_agent_report(&mut self, now: Timestamp, works: bool) {
        self.agent_report = Some((now, works));
        if works {
            self.last_refusal = None;
            self.end(now);
        }
    }

    /// Records that a server refused a request because its group does not work.
    pub fn record_refusal(&mut self, now: Timestamp) {
        let is_contradicted = self
            .agent_report
            .is_some_and(|(at, works)| works && at > self.last_event);
        if !is_contradicted {
            self.last_refusal = Some(now);
        }
    }

    /// Returns whether the group does not work, given the number of open streams; records when an
    /// outage begins or ends.
    pub fn is_down(&mut self, config: &OutageConfig, now: Timestamp, streams: u32) -> bool {
        let is_fresh = |at: Timestamp, lifetime: Duration| now <= at + lifetime;
        let report = self
            .agent_report
            .filter(|(at, _)| is_fresh(*at, config.report_lifetime));
        let is_reported_down = report.is_some_and(|(_, works)| !works);
        let has_refusal = self
            .last_refusal
            .is_some_and(|at| is_fresh(at, config.refusal_lifetime));
        let stall_timeout = config
            .stall_timeout
            .max(self.recent_pass() * config.stall_passes);
        let is_stalled = streams >= config.min_streams && now > self.last_event + stall_timeout;
        let is_down = is_reported_down || has_refusal || is_stalled;
        match is_down {
            true => {
                self.began.get_or_insert(now);
            }
            false => self.end(now),
        }
        is_down
    }

    /// Returns the recent pass length; a single longer pause is not a pass.
    fn recent_pass(&self) -> Duration {
        self.pauses.0.min(self.pauses.1)
    }

    /// Returns the age and the expected remaining time of the outage.
    pub fn forecast(&self, config: &OutageConfig, now: Timestamp) -> OutageForecast {
        let began = self.began.unwrap_or(now);
        let age = now.saturating_sub(began);
        let length = self.mean_length.unwrap_or(config.default_length);
        let remaining = length.saturating_sub(age).max(config.min_remaining);
        OutageForecast { age, remaining }
    }

    /// Returns whether an outage has ended since the last call.
    pub fn take_ended(&mut self) -> bool {
        std::mem::take(&mut self.has_ended)
    }

    /// Ends the current outage, if any, and updates the mean length.
    fn end(&mut self, now: Timestamp) {
        let Some(since) = self.began.take() else {
            return;
        };
        let length = now.saturating_sub(since);
        // A short pause says nothing about how long a failed rank stays away.
        if length > MAX_NON_OUTAGE {
            self.has_ended = true;
            self.mean_length = Some(self.mean_length.map_or(length, |mean| (mean + length) / 2));
        }
    }
}

/// Minimum pause between two passes; events of one pass arrive closer together.
const MIN_PASS_PAUSE: Duration = Duration::from_millis(30);

/// Maximum pause that does not count as an outage.
const MAX_NON_OUTAGE: Duration = Duration::from_millis(1_000);

common_derives! {copy:
    /// Age and expected remaining time of an outage.
    pub struct OutageForecast {
        /// Time since the outage began.
        pub age: Duration,
        /// Expected time until it ends.
        pub remaining: Duration,
    }
}

common_derives! {copy:
    /// Decision on a request whose group does not work.
    pub enum OutageAction {
        /// Reject at once, with this retry delay.
        Reject(Duration),
        /// Queue for at most this long.
        Wait(Duration),
    }
}

/// Maximum wait: callers' limit for the first event, less the time for the event itself.
const MAX_WAIT: Duration = Duration::from_millis(1_700);

/// Maximum retry delay that callers accept, as part of the time that they have left.
pub const MAX_RETRY_AFTER_PART: f64 = 1.0 / 3.0;

/// Minimum age of an outage at which it may end while a caller waits.
const MIN_AGE_TO_WAIT: Duration = Duration::from_millis(500);

/// Decides on a request with `left` until its deadline. A caller retries once: the first request is
/// rejected for the expected rest of the outage, up to the delay that callers accept; its retry is
/// queued if the outage may end soon, since the caller won't retry again.
pub fn decide_during_outage(
    outage: OutageForecast,
    left: Duration,
    is_caller_retry: bool,
) -> OutageAction {
    if is_caller_retry && outage.age >= MIN_AGE_TO_WAIT {
        return OutageAction::Wait(MAX_WAIT.min(left));
    }
    OutageAction::Reject(outage.remaining.min(left.mul_f64(MAX_RETRY_AFTER_PART)))
}
