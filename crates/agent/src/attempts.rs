//! Table of the attempts that this agent has received, with their responses, so that a response
//! survives a lost connection.
//!
//! An attempt outlives the connection on which it was received. Its frames are written to a log
//! that any connection can read from any offset. A query for an attempt that was never received
//! fences it: it will not run when it arrives later.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_peer::{attempt::AttemptRef, frames::Failure};
use jj_policy::verdict::Verdict;
use jj_utils::{clock::Timestamp, collections::FastMap};

use crate::attempt::Attempt;

/// Limits of the table of attempts.
#[derive(Debug, Clone)]
pub struct AttemptsConfig {
    /// Time for which the id of an ended attempt is kept.
    pub retention: Duration,
    /// Time for which the response of an ended attempt is kept; afterwards only its id is.
    pub response_retention: Duration,
    /// Maximum size of one response, in bytes of encoded frames.
    pub max_response_bytes: usize,
    /// Maximum total size of the responses of ended attempts; beyond it the oldest are dropped.
    pub max_total_response_bytes: usize,
    /// Time after which an attempt without readers is cancelled; within it, an entry can resume
    /// reading over a new connection.
    pub unread_timeout: Duration,
    /// Maximum number of attempts in the table; beyond it new ones are refused.
    pub max_attempts: usize,
}

impl Default for AttemptsConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(10),
            response_retention: Duration::from_secs(3),
            max_response_bytes: 8 << 20,
            max_total_response_bytes: 4 << 20,
            unread_timeout: Duration::from_secs(5),
            max_attempts: 100_000,
        }
    }
}

/// The attempts that an entry can query.
#[derive(Debug)]
pub struct Attempts {
    config: AttemptsConfig,
    /// Replaces every ended attempt whose response was dropped.
    dropped_response: Arc<Attempt>,
    known: Mutex<FastMap<AttemptRef, KnownAttempt>>,
}

/// A received or fenced attempt.
#[derive(Debug)]
struct KnownAttempt {
    attempt: Arc<Attempt>,
    /// Time of the first sweep after its end.
    ended_at: Option<Timestamp>,
    /// Time since which it has had no readers.
    unread_since: Option<Timestamp>,
    /// Size of the response, in bytes; 0 until the attempt has ended.
    response_bytes: usize,
}

impl KnownAttempt {
    /// Drops the response and keeps the id, so that a late copy of the attempt does not run.
    fn drop_response(&mut self, dropped: &Arc<Attempt>) {
        self.response_bytes = 0;
        self.attempt = Arc::clone(dropped);
    }

    /// Cancels the attempt when it has had no readers for `unread_timeout`.
    fn cancel_unread(&mut self, now: Timestamp, unread_timeout: Duration) {
        if self.ended_at.is_some() || self.attempt.has_readers() {
            self.unread_since = None;
            return;
        }
        let since = *self.unread_since.get_or_insert(now);
        if now.saturating_sub(since) >= unread_timeout {
            self.attempt.cancel();
        }
    }
}

/// Result of [`Attempts::open`].
#[derive(Debug)]
pub enum Opened {
    /// The attempt is new: the caller of `open` runs it.
    New(Arc<Attempt>),
    /// The attempt was received before or is fenced: only its response may be read.
    Seen(Arc<Attempt>),
    /// The table is full.
    Full,
}

impl Attempts {
    /// Creates an empty table.
    pub fn new(config: AttemptsConfig) -> Self {
        let dropped = Attempt::new(0, config.max_response_bytes);
        dropped.fail(Verdict::MayHaveRun, "the response is no longer kept");
        Self {
            config,
            dropped_response: Arc::new(dropped),
            known: Mutex::default(),
        }
    }

    /// Returns the age beyond which an arriving attempt must not start: half the retention, so that
    /// a fence is kept for longer than the attempt that it blocks can still arrive.
    pub fn max_age(&self) -> Duration {
        self.config.retention / 2
    }

    /// Creates an attempt without adding it to the table; `first` is the index of its first data
    /// frame.
    pub fn new_attempt(&self, first: u64) -> Arc<Attempt> {
        Arc::new(Attempt::new(first, self.config.max_response_bytes))
    }

    /// Adds a received attempt unless its id is known; `attempt` may be an earlier one with the
    /// same idempotency key.
    pub fn open(&self, id: &AttemptRef, attempt: Arc<Attempt>) -> Opened {
        let mut known = self.lock();
        if let Some(entry) = known.get(id) {
            return Opened::Seen(Arc::clone(&entry.attempt));
        }
        if known.len() >= self.config.max_attempts {
            return Opened::Full;
        }
        known.insert(
            id.clone(),
            KnownAttempt {
                attempt: Arc::clone(&attempt),
                ended_at: None,
                unread_since: None,
                response_bytes: 0,
            },
        );
        Opened::New(attempt)
    }

    /// Returns the attempt if it was received; otherwise fences its id, so that it never starts
    /// here.
    pub fn outcome_or_fence(&self, id: &AttemptRef) -> Opened {
        let opened = self.open(id, self.new_attempt(0));
        if let Opened::New(attempt) = &opened {
            let retry_after = Duration::ZERO;
            attempt.fail_with(Failure {
                never_arrived: true,
                ..Failure::new(Verdict::NotRun { retry_after }, "attempt never arrived")
            });
        }
        opened
    }

    /// Releases a held attempt, so that it may start; returns false when its id is unknown.
    pub fn release(&self, id: &AttemptRef) -> bool {
        let known = self.lock();
        let Some(entry) = known.get(id) else {
            return false;
        };
        entry.attempt.released.cancel();
        true
    }

    /// Removes attempts that ended longer than the retention ago, drops expired responses, cancels
    /// attempts without readers, and drops the oldest responses when the stored ones exceed their
    /// size limit.
    pub fn sweep(&self, now: Timestamp) {
        let retention = self.config.retention;
        let mut known = self.lock();
        let mut total_bytes = 0;
        known.retain(|_, known| {
            if known.ended_at.is_none() && known.attempt.is_done() {
                known.ended_at = Some(now);
                known.response_bytes = known.attempt.response_bytes();
            }
            known.cancel_unread(now, self.config.unread_timeout);
            let is_retained = |done| now.saturating_sub(done) < retention;
            let is_kept = known.ended_at.is_none_or(is_retained);
            let is_response_expired =
                |done| now.saturating_sub(done) >= self.config.response_retention;
            if known.ended_at.is_some_and(is_response_expired) {
                known.drop_response(&self.dropped_response);
            }
            if is_kept {
                total_bytes += known.response_bytes;
            }
            is_kept
        });
        if total_bytes > self.config.max_total_response_bytes {
            self.drop_oldest_responses(&mut known, total_bytes);
        }
    }

    fn drop_oldest_responses(
        &self,
        known: &mut FastMap<AttemptRef, KnownAttempt>,
        mut total_bytes: usize,
    ) {
        let with_response = known.values_mut().filter(|known| known.response_bytes > 0);
        let mut oldest: Vec<&mut KnownAttempt> = with_response.collect();
        oldest.sort_by_key(|known| known.ended_at);
        for known in oldest {
            if total_bytes <= self.config.max_total_response_bytes {
                return;
            }
            total_bytes -= known.response_bytes;
            known.drop_response(&self.dropped_response);
        }
    }

    /// Returns the number of attempts that have not ended.
    pub fn open_count(&self) -> usize {
        self.lock()
            .values()
            .filter(|known| !known.attempt.is_done())
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<AttemptRef, KnownAttempt>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
