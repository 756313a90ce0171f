//! Whether a failed attempt is followed by another one.
//!
//! Retries are paid from a budget that requests taken in fill, so that attempts stay under a fixed
//! multiple of requests also when every server refuses. An attempt that was lost on the way to its
//! agent costs no server anything, and its retry is free. A request that is given up is answered at
//! once with the gravest verdict over all of its attempts.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives, ids::BackendServerId};

use crate::verdict::Verdict;

/// What one retry costs, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;

/// Tunables of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Thousandths of a retry that each request taken in adds to the budget.
    pub milli_retries_per_request: u64,
    /// Time over which unused retries are saved up; bounds the burst when many attempts fail at
    /// once to the share of the requests taken in since.
    pub window: Duration,
    /// Retries that a process may save up however few requests it takes in; it starts with them.
    pub min_capacity: u64,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Least time left before the deadline that makes an attempt worth starting.
    pub min_time_left: Duration,
    /// Longest wait before the second retry; doubles with each later one.
    pub base_backoff: Duration,
    /// Wait told to the caller when the verdict names none.
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

/// Retries that this process may still make.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_milli: u64,
    /// What requests have yet to pay back of the least burst that the process started with.
    owed_milli: u64,
    /// Requests taken in during this half of the window, and during the one before.
    recent: [u64; 2],
    /// Number of the half of the window that is counted now.
    half: u128,
}

impl RetryBudget {
    /// A budget of the least burst, so that a process that has just started can retry. Requests
    /// pay it back before they add anything: it never raises the share of retries over all.
    pub fn new(config: &RetryConfig) -> Self {
        let advance = config.min_capacity * RETRY_COST_MILLI;
        Self {
            balance_milli: advance,
            owed_milli: advance,
            recent: [0; 2],
            half: 0,
        }
    }

    /// Counts one request taken in; call once a request, before its first attempt.
    pub fn record_request(&mut self, config: &RetryConfig, now: Timestamp) {
        let half = now.as_micros() * 2 / config.window.as_micros().max(1);
        match half.saturating_sub(self.half) {
            0 => {}
            1 => self.recent = [0, self.recent[0]],
            _ => self.recent = [0; 2],
        }
        self.half = self.half.max(half);
        self.recent[0] += 1;
        let saved = config.milli_retries_per_request * (self.recent[0] + self.recent[1]);
        let full = saved.max(config.min_capacity * RETRY_COST_MILLI);
        let paid_back = self.owed_milli.min(config.milli_retries_per_request);
        self.owed_milli -= paid_back;
        let added = config.milli_retries_per_request - paid_back;
        self.balance_milli = (self.balance_milli + added).min(full);
    }

    /// Pays for one retry; false when the budget is spent.
    fn try_retry(&mut self) -> bool {
        let Some(rest) = self.balance_milli.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        self.balance_milli = rest;
        true
    }
}

common_derives! {value:
    /// What became of the attempts of one request so far.
    #[derive(Default)]
    pub struct Attempts {
        /// Servers that an attempt was sent to.
        pub tried_servers: Vec<BackendServerId>,
        /// Gravest verdict so far.
        worst: Option<Verdict>,
    }
}

impl Attempts {
    /// Records the end of one attempt.
    pub fn record(&mut self, server: &str, verdict: Verdict) {
        self.tried_servers.push(server.to_owned());
        let worst = self.worst.unwrap_or(verdict);
        self.worst = Some(graver(worst, verdict));
    }

    /// Verdict on the whole request, if it is given up now.
    pub fn verdict(&self, retry_after: Duration) -> Verdict {
        match self.worst {
            None | Some(Verdict::NotRun { .. }) => Verdict::NotRun { retry_after },
            Some(verdict) => verdict,
        }
    }
}

/// The one that says more surely that the request ran; the later one of two equal ones.
fn graver(earlier: Verdict, later: Verdict) -> Verdict {
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
    /// Facts on the request whose attempt just failed.
    pub struct RetryFacts {
        /// Whether running it twice does no harm.
        pub is_idempotent: bool,
        /// When its answer is worth nothing any more.
        pub deadline: Timestamp,
        /// Whether a server that was not tried yet takes new work.
        pub has_untried_server: bool,
        /// Whether the failed attempt reached no agent, so that another one adds no work to what
        /// servers bear.
        pub never_arrived: bool,
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another server after this wait.
    Retry {
        /// Time to wait first.
        after: Duration,
    },
    /// Answer the caller now.
    GiveUp(Verdict),
}

/// Decides after `attempts` recorded the failed attempt; `draw` is a random number for the wait.
pub fn decide_retry(
    config: &RetryConfig,
    budget: &mut RetryBudget,
    attempts: &Attempts,
    facts: &RetryFacts,
    now: Timestamp,
    draw: u64,
) -> RetryDecision {
    let hint = match attempts.worst {
        Some(Verdict::NotRun { retry_after }) if !retry_after.is_zero() => retry_after,
        _ => config.default_retry_after,
    };
    let verdict = attempts.verdict(hint);
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

/// No wait before the first retry, which goes to another server; then a random, growing one.
fn backoff(config: &RetryConfig, made: u32, draw: u64) -> Duration {
    if made < 2 {
        return Duration::ZERO;
    }
    let longest = config.base_backoff * 2_u32.saturating_pow(made - 2);
    let micros = u64::try_from(longest.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(draw % micros.max(1))
}
