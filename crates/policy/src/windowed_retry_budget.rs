//! Budget for the retries of one process within a time window. These budgets keep all processes
//! together within a limit that is declared for the whole fleet.
//!
//! Load pattern: a failure that affects many requests at once, at every entry. No process knows how
//! many retries the others make at that moment, so each has a fixed share of the limit.

use std::{collections::VecDeque, time::Duration};

use jj_utils::clock::Timestamp;

/// Size of the budget.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowedRetryConfig {
    /// Time over which retries are counted.
    pub window: Duration,
    /// Retries per request of this process.
    pub ratio: f64,
    /// Retries of this process in addition to the ratio.
    pub slack: f64,
}

/// Part of the declared limit that is used. Requests that other processes count late, and retries
/// of a process that has just failed, need the rest.
const USED_PART: f64 = 0.7;

impl WindowedRetryConfig {
    /// Returns this process's share of a limit for `processes` processes.
    pub fn for_process(window: Duration, ratio: f64, slack: f64, processes: usize) -> Self {
        Self {
            window,
            ratio: ratio * USED_PART,
            slack: slack * USED_PART / processes.max(1) as f64,
        }
    }
}

/// Requests and retries within the window.
#[derive(Debug, Clone, Default)]
pub struct WindowedRetryBudget {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl WindowedRetryBudget {
    /// Records a request.
    pub fn record_request(&mut self, config: &WindowedRetryConfig, now: Timestamp) {
        self.requests.push_back(now);
        self.drop_expired(config, now);
    }

    /// Records a retry if the budget allows it, and returns whether it does.
    pub fn try_retry(&mut self, config: &WindowedRetryConfig, now: Timestamp) -> bool {
        self.drop_expired(config, now);
        let max_retries = config.ratio * self.requests.len() as f64 + config.slack;
        if self.retries.len() as f64 + 1.0 > max_retries {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Drops requests and retries that are older than the window.
    fn drop_expired(&mut self, config: &WindowedRetryConfig, now: Timestamp) {
        let since = now.saturating_sub(config.window);
        for list in [&mut self.requests, &mut self.retries] {
            while list.front().is_some_and(|at| *at < since) {
                list.pop_front();
            }
        }
    }
}
