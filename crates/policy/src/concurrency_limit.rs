//! Adaptive limit on the concurrent requests at one backend server.
//!
//! The limit grows from the cold floor to the configured concurrency, and drops back to the floor
//! at any sign that the server is cold. It reaches the full concurrency within a few reports if
//! the server reports that it is warm; without such reports it grows only with responses of
//! steady latency.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::cold_detector::{ColdCause, ColdConfig, ColdDetector, LatencyClass, ServerReport};

common_derives! {value:
    /// Configured bounds of the limit and the conditions for its growth.
    #[derive(Copy)]
    pub struct LimitConfig {
        /// Concurrent requests allowed at a cold backend server.
        pub cold_floor: u32,
        /// Concurrent requests allowed at a warm backend server.
        pub concurrency: u32,
        /// Consecutive responses of steady latency after which the limit leaves the floor.
        pub responses_to_leave_floor: u32,
        /// Consecutive responses of steady latency for each further increment of the limit.
        pub responses_per_increment: u32,
        /// Minimum time for which a server that does not report whether it is warm is treated as
        /// cold.
        pub min_warm_up: Duration,
        /// Thresholds for detecting a cold server.
        pub cold: ColdConfig,
    }
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            cold_floor: 2,
            concurrency: 32,
            responses_to_leave_floor: 8,
            responses_per_increment: 2,
            min_warm_up: Duration::from_secs(10),
            cold: ColdConfig::default(),
        }
    }
}

impl LimitConfig {
    /// Returns the lowest limit: at least 1 and at most [`LimitConfig::ceiling`].
    pub fn floor(&self) -> u32 {
        self.cold_floor.clamp(1, self.ceiling())
    }

    /// Returns the highest limit, at least 1.
    pub fn ceiling(&self) -> u32 {
        self.concurrency.max(1)
    }
}

common_derives! {value:
    /// A change of the limit, for the audit trail.
    #[derive(Copy, Eq)]
    pub struct LimitChange {
        /// Previous limit in concurrent requests.
        pub from: u32,
        /// New limit in concurrent requests.
        pub to: u32,
        /// Sign that the server is cold; `None` if the limit has reached its ceiling.
        pub cause: Option<ColdCause>,
    }
}

/// Limit on the concurrent requests at one backend server.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    config: LimitConfig,
    detector: ColdDetector,
    value: u32,
    /// Consecutive responses of steady latency since the last change of the limit.
    steady_responses: u32,
    /// When the limit last started from the floor.
    cold_since: Timestamp,
    /// Whether a cold sign was observed since this agent started.
    was_seen_cold: bool,
    /// When a connection broke or was closed, until it is clear whether the server restarted.
    suspected_restart: Option<Timestamp>,
    change: Option<LimitChange>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a server in unknown state, at its floor.
    pub fn new(config: LimitConfig, now: Timestamp) -> Self {
        Self {
            detector: ColdDetector::new(config.cold),
            value: config.floor(),
            steady_responses: 0,
            cold_since: now,
            was_seen_cold: false,
            suspected_restart: None,
            change: None,
            config,
        }
    }

    /// Applies new bounds immediately.
    pub fn configure(&mut self, config: LimitConfig) {
        let was_cold = self.is_cold();
        self.config = config;
        self.detector.configure(config.cold);
        self.value = match was_cold {
            true => config.floor(),
            false => self.value.clamp(config.floor(), config.ceiling()),
        };
    }

    /// Returns the concurrent requests allowed now: the floor while a broken or closed connection
    /// suggests that the server restarted.
    pub fn value(&self) -> u32 {
        match self.suspected_restart {
            Some(_) => self.config.floor(),
            None => self.value,
        }
    }

    /// Clears the suspicion of a restart after [`ColdConfig::reset_window`] if the server sends no
    /// reports; otherwise a report measured since then clears it.
    pub fn clear_expired_suspicion(&mut self, now: Timestamp) {
        let window = self.config.cold.reset_window;
        let over = self
            .suspected_restart
            .is_some_and(|since| now >= since + window);
        if over && !self.detector.has_report() {
            self.suspected_restart = None;
        }
    }

    /// Returns whether the limit is at its floor because the server is treated as cold.
    pub fn is_cold(&self) -> bool {
        self.value <= self.config.floor() && self.value < self.config.ceiling()
    }

    /// Records the time to the first byte of a response.
    pub fn record_latency(&mut self, now: Timestamp, sample: Duration) {
        match self.detector.record_latency(now, sample) {
            LatencyClass::Steady => self.steady_responses = self.steady_responses.saturating_add(1),
            LatencyClass::Raised => self.steady_responses = 0,
            LatencyClass::Cold => self.drop_to_floor(now, ColdCause::Latency),
        }
    }

    /// Returns the time without a first byte after which a request is overdue; `None` while the
    /// usual latency is unknown.
    pub fn overdue_after(&self) -> Option<Duration> {
        self.detector.overdue_after()
    }

    /// Records the number of overdue requests, which reveal a cold server before slow responses
    /// arrive.
    pub fn record_overdue(&mut self, now: Timestamp, count: usize) {
        if self.detector.is_overdue_burst(now, count) {
            self.drop_to_floor(now, ColdCause::Latency);
        }
    }

    /// Records that the server closed an idle connection: it may have restarted. Ignored for a
    /// server without reports, which could not clear the suspicion and may close idle connections
    /// for other reasons.
    pub fn record_idle_close(&mut self, now: Timestamp) {
        if self.detector.has_report() {
            self.suspected_restart = Some(now);
        }
    }

    /// Records a broken connection.
    pub fn record_reset(&mut self, now: Timestamp) {
        self.steady_responses = 0;
        self.suspected_restart = Some(now);
        if self.detector.record_reset(now) {
            self.drop_to_floor(now, ColdCause::Resets);
        }
    }

    /// Records a response with a server error.
    pub fn record_failure(&mut self) {
        self.steady_responses = 0;
    }

    /// Records a complete response. Raises the limit by one after enough consecutive responses of
    /// steady latency if the limit is fully used, as given by `in_use`.
    pub fn record_success(&mut self, now: Timestamp, in_use: bool) {
        let needed = match self.is_cold() {
            true => self.config.responses_to_leave_floor,
            false => self.config.responses_per_increment,
        };
        if !in_use || self.steady_responses < needed || self.value >= self.config.ceiling() {
            return;
        }
        if self.is_cold() && !self.may_be_warm(now) {
            return;
        }
        self.steady_responses = 0;
        self.raise_to(self.value + 1);
    }

    /// Doubles the limit if a recent report says that the server is warm. Such a report needs no
    /// confirmation by responses, and growing in steps exposes a wrong one before the server gets
    /// its full load.
    fn double_if_warm(&mut self, now: Timestamp) {
        if self.value < self.config.ceiling() && self.detector.has_recent_warm_report(now) {
            self.raise_to(self.value.saturating_mul(2).min(self.config.ceiling()));
        }
    }

    fn raise_to(&mut self, value: u32) {
        let from = std::mem::replace(&mut self.value, value);
        if value == self.config.ceiling() {
            self.record_change(from, None);
        }
    }

    /// Records a report of the server; returns whether it shows that the server restarted.
    pub fn record_report(&mut self, now: Timestamp, report: &ServerReport) -> bool {
        if self
            .suspected_restart
            .is_some_and(|since| report.measured_at >= since)
        {
            self.suspected_restart = None;
        }
        let Some(cause) = self.detector.record_report(report) else {
            self.double_if_warm(now);
            return false;
        };
        self.drop_to_floor(now, cause);
        cause == ColdCause::Restarted
    }

    /// Returns the last change for the audit trail, once.
    pub fn take_change(&mut self) -> Option<LimitChange> {
        self.change.take()
    }

    fn drop_to_floor(&mut self, now: Timestamp, cause: ColdCause) {
        let from = self.value;
        self.value = self.config.floor();
        self.steady_responses = 0;
        self.cold_since = now;
        self.was_seen_cold = true;
        self.detector.clear_baseline();
        if from > self.value {
            self.record_change(from, Some(cause));
        }
    }

    fn record_change(&mut self, from: u32, cause: Option<ColdCause>) {
        self.change = Some(LimitChange {
            from,
            to: self.value,
            cause,
        });
    }

    /// Returns whether the server may have warmed up. Its reported uptime counts only if no cold
    /// sign was observed: it may have been warm before this agent started.
    fn may_be_warm(&self, now: Timestamp) -> bool {
        if let Some(warm) = self.detector.reported_warm() {
            return warm;
        }
        let observed = now.saturating_sub(self.cold_since);
        let uptime = match self.was_seen_cold {
            true => observed,
            false => self.detector.uptime(now).unwrap_or(observed),
        };
        uptime >= self.config.min_warm_up
    }
}
