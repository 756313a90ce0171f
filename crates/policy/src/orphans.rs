//! Orphaned requests: those that a backend server may still process though its agent no longer
//! tracks them, because they were abandoned, their connection broke, or the agent restarted.

use std::time::Duration;

use jj_utils::clock::Timestamp;

use crate::cold_detector::ServerReport;

#[derive(Debug, Clone, Copy)]
struct Orphan {
    orphaned_at: Timestamp,
    expires_at: Timestamp,
    tokens: u32,
}

/// Orphaned requests at one backend server.
#[derive(Debug, Clone)]
pub struct Orphans {
    timeout: Duration,
    agent_started_at: Timestamp,
    /// Whether a report has shown how many requests an earlier agent incarnation left.
    is_earlier_work_known: bool,
    orphans: Vec<Orphan>,
}

impl Orphans {
    /// Creates the state for an agent that has just started. The number of requests left by its
    /// earlier incarnation is unknown until a report measured since `now`, or until `timeout` has
    /// passed.
    pub fn new(timeout: Duration, now: Timestamp) -> Self {
        Self {
            timeout,
            agent_started_at: now,
            is_earlier_work_known: false,
            orphans: Vec::new(),
        }
    }

    /// Sets the time after which an orphaned request is assumed to have ended.
    pub fn configure(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Returns whether it is unknown how many requests an earlier agent incarnation left at the
    /// server.
    pub fn is_earlier_work_unknown(&self, now: Timestamp) -> bool {
        !self.is_earlier_work_known && now < self.agent_started_at + self.timeout
    }

    /// Returns the number of requests that the server may still process.
    pub fn count(&self, now: Timestamp) -> u32 {
        self.orphans.iter().filter(|it| it.expires_at > now).count() as u32
    }

    /// Returns the tokens of those requests; requests of an earlier agent incarnation count as 0.
    pub fn tokens(&self, now: Timestamp) -> u32 {
        let present = self.orphans.iter().filter(|it| it.expires_at > now);
        present.fold(0, |sum: u32, it| sum.saturating_add(it.tokens))
    }

    /// Adds a request of `tokens` tokens that the agent has just stopped tracking.
    pub fn add(&mut self, now: Timestamp, tokens: u32) {
        self.orphans.retain(|it| it.expires_at > now);
        self.orphans.push(Orphan {
            orphaned_at: now,
            expires_at: now + self.timeout,
            tokens,
        });
    }

    /// Records a report: of the requests orphaned before it, at most its number of requests in
    /// flight remain.
    pub fn record_report(&mut self, report: &ServerReport) {
        let Some(in_flight) = report.in_flight else {
            return;
        };
        if report.measured_at < self.agent_started_at {
            return;
        }
        if !self.is_earlier_work_known {
            self.add_earlier_work(report.measured_at, in_flight);
            return;
        }
        let mut remaining = in_flight;
        self.orphans.retain(|it| {
            if it.orphaned_at > report.measured_at {
                return true;
            }
            let kept = remaining > 0;
            remaining = remaining.saturating_sub(1);
            kept
        });
    }

    /// Records that the server has restarted and been up for `uptime`, which ended the requests
    /// orphaned before that boot.
    pub fn record_restart(&mut self, measured: Timestamp, uptime: Option<Duration>) {
        let Some(boot) = uptime.and_then(|uptime| measured.checked_sub(uptime)) else {
            return;
        };
        self.orphans.retain(|it| it.orphaned_at >= boot);
    }

    /// Adds the requests left by an earlier agent incarnation: all that the first report counts,
    /// since this incarnation starts nothing before it.
    fn add_earlier_work(&mut self, measured: Timestamp, in_flight: u32) {
        self.is_earlier_work_known = true;
        let expires_at = self.agent_started_at + self.timeout;
        if measured >= expires_at {
            return;
        }
        let earlier = (0..in_flight).map(|_| Orphan {
            orphaned_at: self.agent_started_at,
            expires_at,
            tokens: 0,
        });
        self.orphans.extend(earlier);
    }
}
