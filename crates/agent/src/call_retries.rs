//! Budget for retries of calls to the backend server whose connection was reset; only idempotent
//! requests are retried.
//!
//! Arriving requests fill the budget, so that a server that keeps resetting connections does not
//! get twice the work. It starts with at least as many retries as the server runs calls at once:
//! when something between agent and server drops all open connections, every call can be retried
//! once.

use std::sync::{Mutex, PoisonError};

use jj_policy::{
    retry::{self, Attempts, RetryBudget, RetryConfig, RetryDecision, RetryFacts},
    verdict::Verdict,
};
use jj_utils::clock::Timestamp;

/// Name of the only server that is called, as an argument of the retry policy.
const SERVER: &str = "own";

/// The retry budget, shared by all traffic threads.
#[derive(Debug)]
pub struct CallRetryBudget {
    config: RetryConfig,
    budget: Mutex<RetryBudget>,
}

impl CallRetryBudget {
    /// Creates the budget for a server that runs at most `concurrency` calls at once.
    pub fn new(concurrency: u32) -> Self {
        let defaults = RetryConfig::default();
        let config = RetryConfig {
            min_capacity: defaults.min_capacity.max(u64::from(concurrency)),
            ..defaults
        };
        let budget = Mutex::new(RetryBudget::new(&config));
        Self { config, budget }
    }

    /// Adds a request that has arrived to the budget.
    pub fn record_request(&self, now: Timestamp) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_request(&self.config, now);
    }

    /// Returns true when a call may be retried before `due`, and charges the budget for it.
    pub fn try_retry(&self, now: Timestamp, due: Timestamp) -> bool {
        let mut attempts = Attempts::default();
        attempts.record(SERVER, Verdict::MayHaveRun);
        let facts = RetryFacts {
            is_idempotent: true,
            deadline: due,
            has_untried_server: true,
            never_arrived: false,
        };
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let decision = retry::decide_retry(&self.config, &mut budget, &attempts, &facts, now, 0);
        matches!(decision, RetryDecision::Retry { .. })
    }
}
