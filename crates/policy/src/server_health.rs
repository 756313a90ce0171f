//! Which servers new requests should keep away from, judged by their own answers.
//!
//! Load pattern: a server whose health check is good fails, refuses or holds a part of its
//! requests. Its failures are spread over the entries, so each judges by few answers; a server is
//! tried again after a pause that doubles while it goes on failing. One that breaks every request at
//! once has the least load of all and draws them; so a broken answer is enough, and entries tell
//! each other which servers they keep away from.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

common_derives! {copy:
    /// What an attempt says of its server.
    pub enum AttemptOutcome {
        /// It answered.
        Succeeded,
        /// It answered with a failure, or held the request for too long.
        Failed,
        /// It broke off without an answer.
        Broken,
        /// It can't be reached at all.
        Unreachable,
        /// It refused work.
        Refused,
    }
}

/// Tunables of the judgement.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthConfig {
    /// Part of the answers that fail from which a server is kept away from.
    pub max_failed_part: f64,
    /// Weight of the newest answer in that part.
    pub newest_weight: f64,
    /// First pause.
    pub first_pause: Duration,
    /// Longest pause.
    pub max_pause: Duration,
    /// Time for which a good answer counts more than the word of others.
    pub success_lifetime: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            max_failed_part: 0.35,
            newest_weight: 0.2,
            first_pause: Duration::from_millis(400),
            max_pause: Duration::from_secs(3),
            success_lifetime: Duration::from_millis(500),
        }
    }
}

/// Judgement on one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    failed_part: f64,
    pauses: u32,
    until: Timestamp,
    /// Whether it could not be reached at all.
    is_unreachable: bool,
    /// When it last gave a good answer.
    good: Option<Timestamp>,
}

impl ServerHealth {
    /// Takes in the end of an attempt.
    pub fn record_attempt(&mut self, config: &HealthConfig, now: Timestamp, sign: AttemptOutcome) {
        self.is_unreachable = sign == AttemptOutcome::Unreachable;
        let failed = match sign {
            AttemptOutcome::Succeeded => 0.0,
            AttemptOutcome::Refused => return self.rest(config, now),
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::Unreachable => 1.0,
        };
        self.failed_part += (failed - self.failed_part) * config.newest_weight;
        let is_bad = self.failed_part >= config.max_failed_part;
        match sign {
            AttemptOutcome::Succeeded if !is_bad => self.recover(now),
            AttemptOutcome::Unreachable | AttemptOutcome::Broken => self.rest(config, now),
            AttemptOutcome::Failed if is_bad => self.rest(config, now),
            _ => {}
        }
    }

    /// Whether new requests should go elsewhere.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether nobody listened at the server's address when it was last tried, so that it is likely to
    /// be gone though it is listed still.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Time for which other processes should keep away from the server as well: one that can't be
    /// reached from here may be sound for them.
    pub fn pause_to_share(&self, now: Timestamp) -> Duration {
        match self.is_unreachable {
            true => Duration::ZERO,
            false => self.until.saturating_sub(now),
        }
    }

    /// Pauses in a row, of which each is twice as long as the one before.
    pub fn consecutive_pauses(&self) -> u32 {
        self.pauses
    }

    /// Takes in how many pauses in a row another process has made, so that the next one of this
    /// process is no shorter.
    pub fn raise_consecutive_pauses(&mut self, pauses: u32) {
        self.pauses = self.pauses.max(pauses);
    }

    /// Whether the server has just given a good answer, which counts more than the word of others:
    /// servers may fail for some callers only.
    pub fn has_recent_success(&self, config: &HealthConfig, now: Timestamp) -> bool {
        self.good
            .is_some_and(|at| now < at + config.success_lifetime)
    }

    fn recover(&mut self, now: Timestamp) {
        self.pauses = 0;
        self.good = Some(now);
    }

    fn rest(&mut self, config: &HealthConfig, now: Timestamp) {
        if now < self.until {
            return;
        }
        let pause = config.first_pause * 2_u32.saturating_pow(self.pauses.min(8));
        self.until = now + pause.min(config.max_pause);
        self.pauses += 1;
    }
}
