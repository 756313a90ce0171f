//! Second calls to the backend server for idempotent requests whose connection broke.
//!
//! They are paid from a budget that requests fill, so that a server that breaks all connections is
//! not given twice the work.

use std::sync::{Mutex, PoisonError};

use jj_policy::{
    retry::{self, Attempts, RetryBudget, RetryConfig, RetryDecision, RetryFacts},
    verdict::Verdict,
};
use jj_utils::clock::Timestamp;

/// Name of the only server that is tried.
const SERVER: &str = "own";

/// The budget of second calls, shared by all traffic threads.
#[derive(Debug)]
pub struct Repeats {
    config: RetryConfig,
    budget: Mutex<RetryBudget>,
}

impl Default for Repeats {
    fn default() -> Self {
        let config = RetryConfig::default();
        let budget = Mutex::new(RetryBudget::new(&config));
        Self { config, budget }
    }
}

impl Repeats {
    /// Counts one request that has arrived.
    pub fn take_in(&self, now: Timestamp) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take_in(&self.config, now);
    }

    /// Whether a call that broke may be made once more; pays for it.
    pub fn allows(&self, now: Timestamp, due: Timestamp) -> bool {
        let mut attempts = Attempts::default();
        attempts.record(SERVER, Verdict::MayHaveRun);
        let facts = RetryFacts {
            idempotent: true,
            deadline: due,
            has_untried: true,
        };
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let decision = retry::decide(&self.config, &mut budget, &attempts, &facts, now, 0);
        matches!(decision, RetryDecision::Retry { .. })
    }
}
