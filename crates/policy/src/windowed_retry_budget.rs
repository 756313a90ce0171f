//! Repeats that one process may make, so that all together stay within a bound that is declared
//! over the whole fleet.
//!
//! Load pattern: a failure that hits many requests at once, at every entry. No process knows what
//! the others repeat at that moment, so each has its own part of the bound.

use std::{collections::VecDeque, time::Duration};

use jj_utils::clock::Timestamp;

/// Tunables of the budget.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowedRetryConfig {
    /// Time over which repeats are counted.
    pub window: Duration,
    /// Repeats for each request of this process.
    pub ratio: f64,
    /// Repeats of this process beside the ratio.
    pub slack: f64,
}

/// Part of the declared bound that is used: requests that other processes count late, and repeats
/// of a process that has just vanished, need the rest.
const USED_PART: f64 = 0.7;

impl WindowedRetryConfig {
    /// This process's part of a bound over `processes`.
    pub fn for_process(window: Duration, ratio: f64, slack: f64, processes: usize) -> Self {
        Self {
            window,
            ratio: ratio * USED_PART,
            slack: slack * USED_PART / processes.max(1) as f64,
        }
    }
}

/// Requests and repeats within the window.
#[derive(Debug, Clone, Default)]
pub struct WindowedRetryBudget {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl WindowedRetryBudget {
    /// Counts a request that was taken in.
    pub fn record_request(&mut self, config: &WindowedRetryConfig, now: Timestamp) {
        self.requests.push_back(now);
        self.forget(config, now);
    }

    /// Counts a repeat if there is room for it.
    pub fn try_retry(&mut self, config: &WindowedRetryConfig, now: Timestamp) -> bool {
        self.forget(config, now);
        let most = config.ratio * self.requests.len() as f64 + config.slack;
        if self.repeats.len() as f64 + 1.0 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, config: &WindowedRetryConfig, now: Timestamp) {
        let since = now.saturating_sub(config.window);
        for list in [&mut self.requests, &mut self.repeats] {
            while list.front().is_some_and(|at| *at < since) {
                list.pop_front();
            }
        }
    }
}
