//! Detects that a backend server is cold: by a restart, its own report, broken connections, or a
//! jump in latency.

use std::{collections::VecDeque, time::Duration};

use jj_utils::{clock::Timestamp, common_derives};

/// Identifies one boot of a backend server.
pub type BootId = String;

common_derives! {value:
    /// Thresholds for detecting a cold server.
    #[derive(Copy)]
    pub struct ColdConfig {
        /// A first byte is slow if it takes more than this multiple of the usual latency.
        pub slow_factor: u32,
        /// A first byte is steady if it takes at most this percentage of the usual latency.
        pub max_steady_percent: u32,
        /// Latency up to which every first byte is steady and none is slow.
        pub min_slow_latency: Duration,
        /// Consecutive slow or overdue responses that indicate a cold server.
        pub slow_burst: u32,
        /// Broken connections within [`ColdConfig::reset_window`] that indicate a cold server.
        pub reset_burst: u32,
        /// Time window of [`ColdConfig::reset_burst`].
        pub reset_window: Duration,
        /// Age up to which a report that the server is warm overrides its latencies, which vary
        /// with the prompt and the content of the prefix cache.
        pub report_lifetime: Duration,
    }
}

impl Default for ColdConfig {
    fn default() -> Self {
        Self {
            slow_factor: 4,
            max_steady_percent: 150,
            min_slow_latency: Duration::from_millis(20),
            slow_burst: 3,
            reset_burst: 2,
            reset_window: Duration::from_secs(1),
            report_lifetime: Duration::from_millis(500),
        }
    }
}

common_derives! {value:
    /// Sign that a server is cold.
    #[derive(Copy, Eq)]
    pub enum ColdCause {
        /// The boot id changed or the uptime decreased.
        Restarted,
        /// The server reported that it is cold.
        Reported,
        /// Several connections to the server broke within a short time.
        Resets,
        /// First bytes take much longer than usual.
        Latency,
    }
}

common_derives! {value:
    /// State reported by a backend server; servers differ in which fields they report.
    #[derive(Default)]
    pub struct ServerReport {
        /// Time of the measurement or earlier, by the agent's clock.
        pub measured_at: Timestamp,
        /// Boot of the server that made the report.
        pub boot_id: Option<BootId>,
        /// Time since that boot.
        pub uptime: Option<Duration>,
        /// Whether the server considers itself warm.
        pub warm: Option<bool>,
        /// Requests that the server is processing.
        pub in_flight: Option<u32>,
    }
}

common_derives! {value:
    /// Classification of one first-byte latency.
    #[derive(Copy, Eq)]
    pub enum LatencyClass {
        /// Within the usual range.
        Steady,
        /// Longer than usual: the limit must not grow.
        Raised,
        /// Last of a burst of slow ones: the server is cold.
        Cold,
    }
}

/// Detects signs that one backend server is cold.
#[derive(Debug, Clone)]
pub struct ColdDetector {
    config: ColdConfig,
    /// Moving average of first-byte latencies, without slow ones unless the server had recently
    /// reported itself warm.
    usual_latency: Option<Duration>,
    /// Consecutive slow first bytes.
    slow_count: u32,
    resets: VecDeque<Timestamp>,
    report: Option<ServerReport>,
}

impl ColdDetector {
    /// Creates a detector without any observations.
    pub fn new(config: ColdConfig) -> Self {
        Self {
            config,
            usual_latency: None,
            slow_count: 0,
            resets: VecDeque::new(),
            report: None,
        }
    }

    /// Applies new thresholds.
    pub fn configure(&mut self, config: ColdConfig) {
        self.config = config;
    }

    /// Records and classifies the time to the first byte of a response.
    pub fn record_latency(&mut self, now: Timestamp, sample: Duration) -> LatencyClass {
        let usual = self.usual_latency.unwrap_or(sample);
        if self.has_recent_warm_report(now) {
            self.slow_count = 0;
            self.usual_latency = Some((usual * 7 + sample) / 8);
            return LatencyClass::Steady;
        }
        if self.is_slow(usual, sample) {
            self.slow_count += 1;
            return match self.slow_count >= self.config.slow_burst {
                true => LatencyClass::Cold,
                false => LatencyClass::Raised,
            };
        }
        self.slow_count = 0;
        self.usual_latency = Some((usual * 7 + sample) / 8);
        let steady = usual * self.config.max_steady_percent / 100;
        match sample <= steady.max(self.config.min_slow_latency) {
            true => LatencyClass::Steady,
            false => LatencyClass::Raised,
        }
    }

    /// Returns the time without a first byte after which a request is overdue; `None` while the
    /// usual latency is unknown.
    pub fn overdue_after(&self) -> Option<Duration> {
        let usual = self.usual_latency?;
        Some((usual * self.config.slow_factor).max(self.config.min_slow_latency))
    }

    /// Returns whether `count` overdue requests, with the slow responses before them, indicate a
    /// cold server.
    pub fn is_overdue_burst(&self, now: Timestamp, count: usize) -> bool {
        !self.has_recent_warm_report(now)
            && count > 0
            && count as u64 + u64::from(self.slow_count) >= u64::from(self.config.slow_burst)
    }

    /// Records a broken connection; returns whether it completes a burst.
    pub fn record_reset(&mut self, now: Timestamp) -> bool {
        self.resets.push_back(now);
        let window = self.config.reset_window;
        while self.resets.front().is_some_and(|at| *at + window < now) {
            self.resets.pop_front();
        }
        self.resets.len() >= self.config.reset_burst as usize
    }

    /// Records a report and returns the sign of a cold server in it, if any. A report older than
    /// the last one is ignored.
    pub fn record_report(&mut self, report: &ServerReport) -> Option<ColdCause> {
        let last = self.report.take().unwrap_or_default();
        if report.measured_at < last.measured_at {
            self.report = Some(last);
            return None;
        }
        let rebooted = matches!((&last.boot_id, &report.boot_id), (Some(a), Some(b)) if a != b);
        let uptime_decreased = matches!((last.uptime, report.uptime), (Some(a), Some(b)) if b < a);
        self.report = Some(report.clone());
        if rebooted || uptime_decreased {
            return Some(ColdCause::Restarted);
        }
        (report.warm == Some(false)).then_some(ColdCause::Reported)
    }

    /// Clears the usual latency and the counts of slow responses and broken connections.
    pub fn clear_baseline(&mut self) {
        self.usual_latency = None;
        self.slow_count = 0;
        self.resets.clear();
    }

    /// Returns whether the server has ever sent a report.
    pub fn has_report(&self) -> bool {
        self.report.is_some()
    }

    /// Returns whether the last report says that the server is warm; `None` if not reported.
    pub fn reported_warm(&self) -> Option<bool> {
        self.report.as_ref()?.warm
    }

    /// Returns the time since the server's boot; `None` if not reported.
    pub fn uptime(&self, now: Timestamp) -> Option<Duration> {
        let report = self.report.as_ref()?;
        Some(report.uptime? + now.saturating_sub(report.measured_at))
    }

    /// Returns whether the last report says that the server is warm and is no older than
    /// [`ColdConfig::report_lifetime`].
    pub fn has_recent_warm_report(&self, now: Timestamp) -> bool {
        self.report.as_ref().is_some_and(|report| {
            let age = now.saturating_sub(report.measured_at);
            report.warm == Some(true) && age <= self.config.report_lifetime
        })
    }

    fn is_slow(&self, usual: Duration, sample: Duration) -> bool {
        sample > (usual * self.config.slow_factor).max(self.config.min_slow_latency)
    }
}
