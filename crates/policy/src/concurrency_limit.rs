//! How many concurrent requests one backend server gets: from its cold floor to its warm
//! concurrency, and back to the floor at once when it turns cold.
//!
//! A server that says of itself that it is warm gets its full concurrency within a few reports;
//! for one that does not say, the limit grows with steady answers only.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::cold_detector::{ColdCause, ColdConfig, ColdDetector, LatencyClass, ServerReport};

common_derives! {value:
    /// Declared bounds of the limit, and what makes it grow.
    #[derive(Copy)]
    pub struct LimitConfig {
        /// Concurrent requests that a cold backend server bears.
        pub cold_floor: u32,
        /// Concurrent requests that a warm backend server bears.
        pub concurrency: u32,
        /// Steady answers in a row before the limit leaves the floor.
        pub answers_to_leave_floor: u32,
        /// Steady answers for each further request in the limit.
        pub answers_per_increment: u32,
        /// Least time that a server which does not report itself warm is taken for cold.
        pub min_warm_up: Duration,
        /// Signs that the server turned cold.
        pub cold: ColdConfig,
    }
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            cold_floor: 2,
            concurrency: 32,
            answers_to_leave_floor: 8,
            answers_per_increment: 2,
            min_warm_up: Duration::from_secs(10),
            cold: ColdConfig::default(),
        }
    }
}

impl LimitConfig {
    /// Lowest limit: at least 1, and no more than the warm concurrency.
    pub fn floor(&self) -> u32 {
        self.cold_floor.clamp(1, self.ceiling())
    }

    /// Highest limit, at least 1.
    pub fn ceiling(&self) -> u32 {
        self.concurrency.max(1)
    }
}

common_derives! {value:
    /// A change of the limit, for the audit trail.
    #[derive(Copy, Eq)]
    pub struct LimitChange {
        /// Limit before, in concurrent requests.
        pub from: u32,
        /// Limit now, in concurrent requests.
        pub to: u32,
        /// The sign that the server turned cold; `None` when it has become fully warm.
        pub cause: Option<ColdCause>,
    }
}

/// The limit of one backend server.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    config: LimitConfig,
    detector: ColdDetector,
    value: u32,
    steady: u32,
    since: Timestamp,
    turned: bool,
    suspect: Option<Timestamp>,
    change: Option<LimitChange>,
}

impl ConcurrencyLimit {
    /// The limit of a server about which nothing is known: its floor.
    pub fn new(config: LimitConfig, now: Timestamp) -> Self {
        Self {
            detector: ColdDetector::new(config.cold),
            value: config.floor(),
            steady: 0,
            since: now,
            turned: false,
            suspect: None,
            change: None,
            config,
        }
    }

    /// Puts new declared bounds in force at once.
    pub fn configure(&mut self, config: LimitConfig) {
        let was_cold = self.is_cold();
        self.config = config;
        self.detector.configure(config.cold);
        self.value = match was_cold {
            true => config.floor(),
            false => self.value.clamp(config.floor(), config.ceiling()),
        };
    }

    /// Concurrent requests allowed now: the floor while a broken connection makes a restart of
    /// the server likely.
    pub fn value(&self) -> u32 {
        match self.suspect {
            Some(_) => self.config.floor(),
            None => self.value,
        }
    }

    /// Lifts the suspicion of a restart after its time, for a server that makes no reports; one
    /// that does clears itself by its next report.
    pub fn clear_expired_suspicion(&mut self, now: Timestamp) {
        let window = self.config.cold.reset_window;
        let over = self.suspect.is_some_and(|since| now >= since + window);
        if over && !self.detector.has_report() {
            self.suspect = None;
        }
    }

    /// Whether the limit is at its floor because the server is taken for cold.
    pub fn is_cold(&self) -> bool {
        self.value <= self.config.floor() && self.value < self.config.ceiling()
    }

    /// Takes in the time to the first byte of an answer.
    pub fn record_latency(&mut self, now: Timestamp, sample: Duration) {
        match self.detector.record_latency(now, sample) {
            LatencyClass::Steady => self.steady = self.steady.saturating_add(1),
            LatencyClass::Raised => self.steady = 0,
            LatencyClass::Cold => self.fall(now, ColdCause::Latency),
        }
    }

    /// Time without a first byte after which a request is overdue, if that is known.
    pub fn overdue_after(&self) -> Option<Duration> {
        self.detector.overdue_after()
    }

    /// Takes in how many requests are overdue: they tell of a cold server before answers do.
    pub fn record_overdue(&mut self, now: Timestamp, count: usize) {
        if self.detector.is_overdue_burst(now, count) {
            self.fall(now, ColdCause::Latency);
        }
    }

    /// Takes in that an idle connection to the server was closed: it may have restarted. A server
    /// that makes no reports may close idle connections for good reasons, and is not suspected.
    pub fn record_idle_close(&mut self, now: Timestamp) {
        if self.detector.has_report() {
            self.suspect = Some(now);
        }
    }

    /// Takes in a broken connection.
    pub fn record_reset(&mut self, now: Timestamp) {
        self.steady = 0;
        self.suspect = Some(now);
        if self.detector.record_reset(now) {
            self.fall(now, ColdCause::Resets);
        }
    }

    /// Takes in an answer that says that the server failed.
    pub fn record_failure(&mut self) {
        self.steady = 0;
    }

    /// Takes in a whole answer: raises the limit by one when enough steady answers came while it
    /// was in full use.
    pub fn record_success(&mut self, now: Timestamp, in_use: bool) {
        let needed = match self.is_cold() {
            true => self.config.answers_to_leave_floor,
            false => self.config.answers_per_increment,
        };
        if !in_use || self.steady < needed || self.value >= self.config.ceiling() {
            return;
        }
        if self.is_cold() && !self.is_warmed_up(now) {
            return;
        }
        self.steady = 0;
        self.raise_to(self.value + 1);
    }

    /// Doubles the limit at each fresh report in which the server says that it is warm: its word
    /// needs no answers to confirm it, and a few steps show a wrong word before the whole load is
    /// there.
    fn widen(&mut self, now: Timestamp) {
        if self.value < self.config.ceiling() && self.detector.has_recent_warm_report(now) {
            self.raise_to(self.value.saturating_mul(2).min(self.config.ceiling()));
        }
    }

    fn raise_to(&mut self, value: u32) {
        let from = std::mem::replace(&mut self.value, value);
        if value == self.config.ceiling() {
            self.note(from, None);
        }
    }

    /// Takes in a report of the server; true when it shows that the server restarted.
    pub fn record_report(&mut self, now: Timestamp, report: &ServerReport) -> bool {
        if self
            .suspect
            .is_some_and(|since| report.measured_at >= since)
        {
            self.suspect = None;
        }
        let Some(cause) = self.detector.record_report(report) else {
            self.widen(now);
            return false;
        };
        self.fall(now, cause);
        cause == ColdCause::Restarted
    }

    /// The last change that the audit trail has to know, once.
    pub fn take_change(&mut self) -> Option<LimitChange> {
        self.change.take()
    }

    fn fall(&mut self, now: Timestamp, cause: ColdCause) {
        let from = self.value;
        self.value = self.config.floor();
        self.steady = 0;
        self.since = now;
        self.turned = true;
        self.detector.clear_baseline();
        if from > self.value {
            self.note(from, Some(cause));
        }
    }

    fn note(&mut self, from: u32, cause: Option<ColdCause>) {
        self.change = Some(LimitChange {
            from,
            to: self.value,
            cause,
        });
    }

    /// A server that was up before this agent started may be warm already; one that was seen to
    /// turn cold is not, whatever its uptime.
    fn is_warmed_up(&self, now: Timestamp) -> bool {
        if let Some(warm) = self.detector.reported_warm() {
            return warm;
        }
        let seen = now.saturating_sub(self.since);
        let up = match self.turned {
            true => seen,
            false => self.detector.uptime(now).unwrap_or(seen),
        };
        up >= self.config.min_warm_up
    }
}
