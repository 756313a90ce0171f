//! Detects unhealthy servers from the outcomes of attempts, so that new requests avoid them.
//!
//! Load pattern: a server whose health check passes fails, refuses or stalls a part of its
//! requests. The failures are spread over the entries, so each has to decide on few of them. An
//! avoided server is tried again after a pause that doubles as long as it keeps failing. A server
//! that breaks off every request at once has the lowest load of all and attracts new ones, so one
//! broken attempt is enough for a pause, and entries share which servers they avoid. Where most
//! servers hang, pauses end before all of them have been tried again; so placement also prefers
//! servers with fewer failures.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

common_derives! {copy:
    /// Outcome of an attempt as far as it concerns the health of the server.
    pub enum AttemptOutcome {
        /// The server responded.
        Succeeded,
        /// The server responded with an error, or stalled the request.
        Failed,
        /// The connection broke without a response.
        Broken,
        /// The server could not be reached at all.
        Unreachable,
        /// The server refused the request.
        Refused,
    }
}

/// Thresholds and pauses.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthConfig {
    /// Part of failed attempts, as a moving average, from which a server is avoided.
    pub max_failed_part: f64,
    /// Weight of the newest attempt in that average.
    pub newest_weight: f64,
    /// Length of the first pause.
    pub first_pause: Duration,
    /// Maximum length of a pause.
    pub max_pause: Duration,
    /// Time for which a success here overrides the avoidance by other entries.
    pub success_lifetime: Duration,
    /// Time without an attempt in which past failures lose half of their weight.
    pub failure_half_life: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            max_failed_part: 0.35,
            newest_weight: 0.2,
            first_pause: Duration::from_millis(400),
            max_pause: Duration::from_secs(3),
            success_lifetime: Duration::from_millis(500),
            failure_half_life: Duration::from_secs(5),
        }
    }
}

/// Health of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    failed_part: f64,
    last_attempt: Timestamp,
    consecutive_pauses: u32,
    paused_until: Timestamp,
    /// Whether the last attempt could not reach the server.
    is_unreachable: bool,
    /// Time of the last success while the server counted as healthy.
    last_success: Option<Timestamp>,
}

impl ServerHealth {
    /// Records the outcome of an attempt.
    pub fn record_attempt(
        &mut self,
        config: &HealthConfig,
        now: Timestamp,
        outcome: AttemptOutcome,
    ) {
        self.is_unreachable = outcome == AttemptOutcome::Unreachable;
        self.last_attempt = now;
        let failed = match outcome {
            AttemptOutcome::Succeeded => 0.0,
            AttemptOutcome::Refused => return self.start_pause(config, now),
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::Unreachable => 1.0,
        };
        self.failed_part += (failed - self.failed_part) * config.newest_weight;
        let is_bad = self.failed_part >= config.max_failed_part;
        match outcome {
            AttemptOutcome::Succeeded if !is_bad => self.record_recovery(now),
            AttemptOutcome::Unreachable | AttemptOutcome::Broken => self.start_pause(config, now),
            AttemptOutcome::Failed if is_bad => self.start_pause(config, now),
            _ => {}
        }
    }

    /// Returns whether new requests should go elsewhere.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Returns the part of failed attempts, as a moving average that fades while there are none, so
    /// that the server is tried again.
    pub fn failed_part(&self, config: &HealthConfig, now: Timestamp) -> f64 {
        if self.failed_part == 0.0 {
            return 0.0;
        }
        let idle = now.saturating_sub(self.last_attempt).as_secs_f64();
        self.failed_part * 0.5_f64.powf(idle / config.failure_half_life.as_secs_f64())
    }

    /// Returns whether the last attempt could not connect to the server, so that it has probably
    /// stopped although it is still listed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns the remaining pause to share with other processes; zero for an unreachable server,
    /// which may be reachable for them.
    pub fn pause_to_share(&self, now: Timestamp) -> Duration {
        match self.is_unreachable {
            true => Duration::ZERO,
            false => self.paused_until.saturating_sub(now),
        }
    }

    /// Returns the number of pauses in a row, each twice as long as the one before.
    pub fn consecutive_pauses(&self) -> u32 {
        self.consecutive_pauses
    }

    /// Raises the number of pauses to that of another process, so that the next pause here is no
    /// shorter.
    pub fn raise_consecutive_pauses(&mut self, consecutive_pauses: u32) {
        self.consecutive_pauses = self.consecutive_pauses.max(consecutive_pauses);
    }

    /// Returns whether the server has just responded successfully. That overrides avoidance by
    /// others, since a server may fail for some callers only.
    pub fn has_recent_success(&self, config: &HealthConfig, now: Timestamp) -> bool {
        self.last_success
            .is_some_and(|at| now < at + config.success_lifetime)
    }

    /// Resets the pauses of a healthy server.
    fn record_recovery(&mut self, now: Timestamp) {
        self.consecutive_pauses = 0;
        self.last_success = Some(now);
    }

    /// Starts a pause unless one is running.
    fn start_pause(&mut self, config: &HealthConfig, now: Timestamp) {
        if now < self.paused_until {
            return;
        }
        let pause = config.first_pause * 2_u32.saturating_pow(self.consecutive_pauses.min(8));
        self.paused_until = now + pause.min(config.max_pause);
        self.consecutive_pauses += 1;
    }
}
