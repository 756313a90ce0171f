//! Decides whether a failed attempt is retried.
//!
//! Retries are limited by a budget that each new request adds to, so that the number of attempts
//! stays below a fixed multiple of the number of requests even if every server refuses. The retry
//! of an attempt that reached no agent adds no load to a server and costs no budget. A request
//! that is given up fails immediately with the most severe verdict of all its attempts.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::BackendServerId};

use crate::verdict::Verdict;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;

/// Configuration of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Thousandths of a retry that each new request adds to the budget.
    pub milli_retries_per_request: u64,
    /// Time over which unused retries accumulate. When many attempts fail at once, the burst of
    /// retries is limited to what the requests of this time added.
    pub window: Duration,
    /// Minimum capacity of the budget in retries, whatever the request rate; also its initial
    /// balance.
    pub min_capacity: u64,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Minimum time before the deadline at which an attempt is started.
    pub min_time_left: Duration,
    /// Maximum wait before the second retry; doubles with each later one.
    pub base_backoff: Duration,
    /// Retry delay sent to the caller if no verdict has one.
    pub default_retry_after: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            milli_retries_per_request: 80,
            window: Duration::from_secs(10),
            min_capacity: 12,
            max_attempts: 4,
            min_time_left: Duration::from_millis(20),
            base_backoff: Duration::from_millis(20),
            default_retry_after: Duration::from_secs(1),
        }
    }
}

/// Budget of retries of this process.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_milli: u64,
    /// Part of the initial balance that requests have not paid back yet.
    debt_milli: u64,
    /// Requests during the current half of the window and during the previous one.
    recent_requests: [u64; 2],
    /// Index of the current half of the window since time 0.
    half_window: u128,
}

impl RetryBudget {
    /// Creates a budget of the minimum capacity, so that a process that has just started can
    /// retry. Requests pay this balance back before they add to it, so that it does not raise the
    /// share of retries in the long run.
    pub fn new(config: &RetryConfig) -> Self {
        let initial = config.min_capacity * RETRY_COST_MILLI;
        Self {
            balance_milli: initial,
            debt_milli: initial,
            recent_requests: [0; 2],
            half_window: 0,
        }
    }

    /// Records a new request; must be called once per request, before its first attempt.
    pub fn record_request(&mut self, config: &RetryConfig, now: Timestamp) {
        let half = now.as_micros() * 2 / config.window.as_micros().max(1);
        match half.saturating_sub(self.half_window) {
            0 => {}
            1 => self.recent_requests = [0, self.recent_requests[0]],
            _ => self.recent_requests = [0; 2],
        }
        self.half_window = self.half_window.max(half);
        self.recent_requests[0] += 1;
        let accrued =
            config.milli_retries_per_request * (self.recent_requests[0] + self.recent_requests[1]);
        let capacity = accrued.max(config.min_capacity * RETRY_COST_MILLI);
        let paid_back = self.debt_milli.min(config.milli_retries_per_request);
        self.debt_milli -= paid_back;
        let added = config.milli_retries_per_request - paid_back;
        self.balance_milli = (self.balance_milli + added).min(capacity);
    }

    /// Deducts one retry from the budget; returns false if the budget is exhausted.
    fn try_retry(&mut self) -> bool {
        let Some(remaining) = self.balance_milli.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        self.balance_milli = remaining;
        true
    }
}

common_derives! {value:
    /// Attempts of one request so far.
    #[derive(Default)]
    pub struct Attempts {
        /// Servers that an attempt was sent to.
        pub tried_servers: Vec<BackendServerId>,
        /// Most severe verdict so far.
        worst: Option<Verdict>,
    }
}

impl Attempts {
    /// Records a failed attempt.
    pub fn record(&mut self, server: &str, verdict: Verdict) {
        self.tried_servers.push(server.to_owned());
        let worst = self.worst.unwrap_or(verdict);
        self.worst = Some(more_severe(worst, verdict));
    }

    /// Returns the verdict on the request if it is given up now.
    pub fn verdict(&self, retry_after: Duration) -> Verdict {
        match self.worst {
            None | Some(Verdict::NotRun { .. }) => Verdict::NotRun { retry_after },
            Some(verdict) => verdict,
        }
    }
}

/// Returns the verdict under which the request is more likely to have run; of two equal ones, the
/// later.
fn more_severe(earlier: Verdict, later: Verdict) -> Verdict {
    let rank = |verdict: Verdict| match verdict {
        Verdict::NotRun { .. } => 0,
        Verdict::MayHaveRun => 1,
        Verdict::Ran => 2,
    };
    if rank(earlier) > rank(later) {
        return earlier;
    }
    later
}

common_derives! {copy:
    /// Properties of the request whose attempt just failed.
    pub struct RetryFacts {
        /// Whether the request may run twice without harm.
        pub is_idempotent: bool,
        /// Time after which the response is useless.
        pub deadline: Timestamp,
        /// Whether a server that was not tried yet accepts requests.
        pub has_untried_server: bool,
        /// Whether the failed attempt reached no agent, so that its retry adds no load to the
        /// servers.
        pub never_arrived: bool,
    }
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another server.
    Retry {
        /// Wait before the retry.
        after: Duration,
    },
    /// Fail the request with this verdict.
    GiveUp(Verdict),
}

/// Decides whether to retry after `attempts` has recorded a failed attempt, and deducts a retry
/// from the budget if so; `draw` is a random number for the wait.
pub fn decide_retry(
    config: &RetryConfig,
    budget: &mut RetryBudget,
    attempts: &Attempts,
    facts: &RetryFacts,
    now: Timestamp,
    draw: u64,
) -> RetryDecision {
    let retry_after = match attempts.worst {
        Some(Verdict::NotRun { retry_after }) if !retry_after.is_zero() => retry_after,
        _ => config.default_retry_after,
    };
    let verdict = attempts.verdict(retry_after);
    let made = u32::try_from(attempts.tried_servers.len()).unwrap_or(u32::MAX);
    let after = backoff(config, made, draw);
    let in_time = now + after + config.min_time_left < facts.deadline;
    let allowed = verdict.is_retryable(facts.is_idempotent)
        && facts.has_untried_server
        && made < config.max_attempts
        && in_time;
    if allowed && (facts.never_arrived || budget.try_retry()) {
        return RetryDecision::Retry { after };
    }
    RetryDecision::GiveUp(verdict)
}

/// Returns the wait before the next retry: none before the first one, which goes to another
/// server, then a random one with exponential backoff.
fn backoff(config: &RetryConfig, made: u32, draw: u64) -> Duration {
    if made < 2 {
        return Duration::ZERO;
    }
    let max_wait = config.base_backoff * 2_u32.saturating_pow(made - 2);
    let micros = u64::try_from(max_wait.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(draw % micros.max(1))
}
