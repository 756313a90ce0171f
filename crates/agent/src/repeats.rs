//! Second calls to the backend server for idempotent requests whose connection broke.
//!
//! They are paid from a budget that requests fill, so that a server that breaks connections again
//! and again is not given twice the work. It starts with as many as the server has calls at once:
//! when something between the two loses track of all open connections, each call is made once more.

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

impl Repeats {
    /// The budget beside a server with at most `concurrency` calls at once.
    pub fn new(concurrency: u32) -> Self {
        let default = RetryConfig::default();
        let config = RetryConfig {
            min_capacity: default.min_capacity.max(u64::from(concurrency)),
            ..default
        };
        let budget = Mutex::new(RetryBudget::new(&config));
        Self { config, budget }
    }

    /// Counts one request that has arrived.
    pub fn take_in(&self, now: Timestamp) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_request(&self.config, now);
    }

    /// Whether a call that broke may be made once more; pays for it.
    pub fn allows(&self, now: Timestamp, due: Timestamp) -> bool {
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
