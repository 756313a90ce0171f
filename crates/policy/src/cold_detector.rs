//! Signs that a backend server has turned cold: a restart, its own report, broken connections,
//! or a jump of its latency.

use std::{collections::VecDeque, time::Duration};

use jj_utils::{clock::Timestamp, common_derives};

/// Names one boot of a backend server.
pub type BootId = String;

common_derives! {value:
    /// What counts as a sign.
    #[derive(Copy)]
    pub struct ColdConfig {
        /// A first byte that takes this many times the usual latency is slow.
        pub slow_factor: u32,
        /// A first byte within this many percent of the usual latency is steady.
        pub max_steady_percent: u32,
        /// Latency under which none is slow.
        pub min_slow_latency: Duration,
        /// Slow or overdue answers in a row that are a sign.
        pub slow_burst: u32,
        /// Broken connections within [`ColdConfig::reset_window`] that are a sign.
        pub reset_burst: u32,
        /// See [`ColdConfig::reset_burst`].
        pub reset_window: Duration,
        /// Age up to which the server's own word that it is warm outweighs its latencies, which
        /// vary with the prompt and with what its prefix cache holds.
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
    /// Which sign told that the server turned cold.
    #[derive(Copy, Eq)]
    pub enum ColdCause {
        /// Its boot id changed or its uptime went back.
        Restarted,
        /// It says so itself.
        Reported,
        /// Connections to it broke in a burst.
        Resets,
        /// Its first bytes take much longer than usual.
        Latency,
    }
}

common_derives! {value:
    /// What a backend server says of itself; servers differ in what they report.
    #[derive(Default)]
    pub struct ServerReport {
        /// No later than the moment to which the report applies, by the agent's clock.
        pub measured_at: Timestamp,
        /// Which boot of the server.
        pub boot_id: Option<BootId>,
        /// Time since that boot.
        pub uptime: Option<Duration>,
        /// Whether it takes itself for warm.
        pub warm: Option<bool>,
        /// Requests it is working on.
        pub in_flight: Option<u32>,
    }
}

common_derives! {value:
    /// What one latency says.
    #[derive(Copy, Eq)]
    pub enum LatencyClass {
        /// As usual.
        Steady,
        /// Longer than usual: no reason to give the server more.
        Raised,
        /// The last of a burst of slow ones: the server has turned cold.
        Cold,
    }
}

/// Watches one backend server for signs that it turned cold.
#[derive(Debug, Clone)]
pub struct ColdDetector {
    config: ColdConfig,
    usual: Option<Duration>,
    slow: u32,
    resets: VecDeque<Timestamp>,
    report: Option<ServerReport>,
}

impl ColdDetector {
    /// A detector that knows nothing of its server.
    pub fn new(config: ColdConfig) -> Self {
        Self {
            config,
            usual: None,
            slow: 0,
            resets: VecDeque::new(),
            report: None,
        }
    }

    /// Puts other bounds in force.
    pub fn configure(&mut self, config: ColdConfig) {
        self.config = config;
    }

    /// Judges the time to the first byte of an answer.
    pub fn record_latency(&mut self, now: Timestamp, sample: Duration) -> LatencyClass {
        let usual = self.usual.unwrap_or(sample);
        if self.has_recent_warm_report(now) {
            self.slow = 0;
            self.usual = Some((usual * 7 + sample) / 8);
            return LatencyClass::Steady;
        }
        if self.is_slow(usual, sample) {
            self.slow += 1;
            return match self.slow >= self.config.slow_burst {
                true => LatencyClass::Cold,
                false => LatencyClass::Raised,
            };
        }
        self.slow = 0;
        self.usual = Some((usual * 7 + sample) / 8);
        let steady = usual * self.config.max_steady_percent / 100;
        match sample <= steady.max(self.config.min_slow_latency) {
            true => LatencyClass::Steady,
            false => LatencyClass::Raised,
        }
    }

    /// Time without a first byte after which a request is overdue; `None` while the usual
    /// latency is unknown.
    pub fn overdue_after(&self) -> Option<Duration> {
        let usual = self.usual?;
        Some((usual * self.config.slow_factor).max(self.config.min_slow_latency))
    }

    /// True when so many overdue requests, with the slow answers before them, are a sign.
    pub fn is_overdue_burst(&self, now: Timestamp, count: usize) -> bool {
        !self.has_recent_warm_report(now)
            && count > 0
            && count as u64 + u64::from(self.slow) >= u64::from(self.config.slow_burst)
    }

    /// Notes a broken connection; true when it completes a burst.
    pub fn record_reset(&mut self, now: Timestamp) -> bool {
        self.resets.push_back(now);
        let window = self.config.reset_window;
        while self.resets.front().is_some_and(|at| *at + window < now) {
            self.resets.pop_front();
        }
        self.resets.len() >= self.config.reset_burst as usize
    }

    /// Takes in a report; one older than the last is ignored.
    pub fn record_report(&mut self, report: &ServerReport) -> Option<ColdCause> {
        let last = self.report.take().unwrap_or_default();
        if report.measured_at < last.measured_at {
            self.report = Some(last);
            return None;
        }
        let rebooted = matches!((&last.boot_id, &report.boot_id), (Some(a), Some(b)) if a != b);
        let went_back = matches!((last.uptime, report.uptime), (Some(a), Some(b)) if b < a);
        self.report = Some(report.clone());
        if rebooted || went_back {
            return Some(ColdCause::Restarted);
        }
        (report.warm == Some(false)).then_some(ColdCause::Reported)
    }

    /// Forgets what the warm server was like.
    pub fn clear_baseline(&mut self) {
        self.usual = None;
        self.slow = 0;
        self.resets.clear();
    }

    /// Whether the server has ever reported.
    pub fn has_report(&self) -> bool {
        self.report.is_some()
    }

    /// Whether the server takes itself for warm; `None` when it does not say.
    pub fn reported_warm(&self) -> Option<bool> {
        self.report.as_ref()?.warm
    }

    /// Time since the server's boot, as far as it was reported.
    pub fn uptime(&self, now: Timestamp) -> Option<Duration> {
        let report = self.report.as_ref()?;
        Some(report.uptime? + now.saturating_sub(report.measured_at))
    }

    /// Whether the server said lately that it is warm; see [`ColdConfig::report_lifetime`].
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
