//! Which servers new requests should keep away from, judged by their own answers.
//!
//! Load pattern: a server whose health check is good fails, refuses or holds a part of its
//! requests. Its failures are spread over the entries, so each judges by few answers; a server is
//! tried again after a pause that doubles while it goes on failing.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

common_derives! {copy:
    /// What an attempt says of its server.
    pub enum Sign {
        /// It answered.
        Good,
        /// It failed, or gave no answer.
        Failed,
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
    pub bad_part: f64,
    /// Weight of the newest answer in that part.
    pub weight: f64,
    /// First pause.
    pub pause: Duration,
    /// Longest pause.
    pub longest: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            bad_part: 0.35,
            weight: 0.2,
            pause: Duration::from_millis(400),
            longest: Duration::from_secs(3),
        }
    }
}

/// Judgement on one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    failed_part: f64,
    pauses: u32,
    until: Timestamp,
}

impl ServerHealth {
    /// Takes in the end of an attempt.
    pub fn observe(&mut self, config: &HealthConfig, now: Timestamp, sign: Sign) {
        let failed = match sign {
            Sign::Good => 0.0,
            Sign::Refused => return self.rest(config, now),
            Sign::Failed | Sign::Unreachable => 1.0,
        };
        self.failed_part += (failed - self.failed_part) * config.weight;
        let is_bad = self.failed_part >= config.bad_part;
        match sign {
            Sign::Good if !is_bad => self.pauses = 0,
            Sign::Unreachable => self.rest(config, now),
            Sign::Failed if is_bad => self.rest(config, now),
            _ => {}
        }
    }

    /// Whether new requests should go elsewhere.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.until
    }

    fn rest(&mut self, config: &HealthConfig, now: Timestamp) {
        if self.is_avoided(now) {
            return;
        }
        let pause = config.pause * 2_u32.saturating_pow(self.pauses.min(8));
        self.until = now + pause.min(config.longest);
        self.pauses += 1;
    }
}
