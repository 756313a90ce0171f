//! Attempts that this agent has seen, with their answers, so that a lost connection loses nothing.
//!
//! An attempt outlives the connection that brought it. Its frames go into a log; any connection
//! may read the log from any position. Asking for an attempt that was never seen fences it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jj_peer::attempt::AttemptRef;
use jj_policy::verdict::Verdict;
use jj_utils::{clock::Timestamp, collections::FastMap};

use crate::attempt::Attempt;

/// Bounds on what is kept.
#[derive(Debug, Clone)]
pub struct AttemptsConfig {
    /// How long a finished attempt can still be asked for.
    pub retention: Duration,
    /// How long the answer of a finished attempt is kept; afterwards only its id is.
    pub answer_life: Duration,
    /// Largest answer, in bytes of frames.
    pub max_answer: usize,
    /// Most bytes of ended answers kept; the oldest are dropped beyond it.
    pub max_kept: usize,
    /// How long an attempt that nobody reads goes on: time to resume it over a new connection.
    pub linger: Duration,
    /// Most attempts kept at once; new ones are refused beyond it.
    pub max_attempts: usize,
}

impl Default for AttemptsConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(10),
            answer_life: Duration::from_secs(3),
            max_answer: 8 << 20,
            max_kept: 4 << 20,
            linger: Duration::from_secs(5),
            max_attempts: 100_000,
        }
    }
}

/// Every attempt that can be asked for.
#[derive(Debug)]
pub struct Attempts {
    config: AttemptsConfig,
    /// Stands for every ended attempt whose answer was dropped.
    dropped: Arc<Attempt>,
    known: Mutex<FastMap<AttemptRef, Known>>,
}

#[derive(Debug)]
struct Known {
    attempt: Arc<Attempt>,
    done: Option<Timestamp>,
    /// Since when nobody reads it.
    unread: Option<Timestamp>,
    /// Bytes of the answer, once it has ended.
    kept: usize,
}

impl Known {
    /// Keeps only the id, against which a late copy of the attempt stands.
    fn drop_answer(&mut self, dropped: &Arc<Attempt>) {
        self.kept = 0;
        self.attempt = Arc::clone(dropped);
    }

    /// Cancels an attempt that nobody has read for a while.
    fn cancel_unread(&mut self, now: Timestamp, linger: Duration) {
        if self.done.is_some() || self.attempt.is_read() {
            self.unread = None;
            return;
        }
        let since = *self.unread.get_or_insert(now);
        if now.saturating_sub(since) >= linger {
            self.attempt.cancel();
        }
    }
}

/// Result of [`Attempts::open`].
#[derive(Debug)]
pub enum Opened {
    /// First arrival: the caller of `open` runs it.
    New(Arc<Attempt>),
    /// Seen before, or fenced: only read it.
    Seen(Arc<Attempt>),
    /// Too many attempts are kept.
    Full,
}

impl Attempts {
    /// An empty table.
    pub fn new(config: AttemptsConfig) -> Self {
        let dropped = Attempt::new(0, config.max_answer);
        dropped.fail(Verdict::MayHaveRun, "the answer is no longer kept");
        Self {
            config,
            dropped: Arc::new(dropped),
            known: Mutex::default(),
        }
    }

    /// Age beyond which an arriving attempt must not start: half the retention, so that a fence
    /// outlives every attempt that it stands against.
    pub fn max_age(&self) -> Duration {
        self.config.retention / 2
    }

    /// An attempt that is not in the table yet; `first` is the index of its first data frame.
    pub fn prepare(&self, first: u64) -> Arc<Attempt> {
        Arc::new(Attempt::new(first, self.config.max_answer))
    }

    /// Opens an attempt that has arrived; `attempt` may be the earlier one of the same key.
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
            Known {
                attempt: Arc::clone(&attempt),
                done: None,
                unread: None,
                kept: 0,
            },
        );
        Opened::New(attempt)
    }

    /// The attempt if seen, else a fenced one: it never started here and never will.
    pub fn outcome(&self, id: &AttemptRef) -> Opened {
        let opened = self.open(id, self.prepare(0));
        if let Opened::New(attempt) = &opened {
            attempt.fail(
                Verdict::NotRun {
                    retry_after: Duration::ZERO,
                },
                "attempt never arrived",
            );
        }
        opened
    }

    /// Lets a held attempt start; false when it is not known here.
    pub fn release(&self, id: &AttemptRef) -> bool {
        let known = self.lock();
        let Some(entry) = known.get(id) else {
            return false;
        };
        entry.attempt.released.cancel();
        true
    }

    /// Drops attempts that ended longer than the retention ago, and the answers of the oldest
    /// when those kept take too much memory.
    pub fn sweep(&self, now: Timestamp) {
        let retention = self.config.retention;
        let mut known = self.lock();
        let mut kept = 0;
        known.retain(|_, known| {
            if known.done.is_none() && known.attempt.is_done() {
                known.done = Some(now);
                known.kept = known.attempt.size();
            }
            known.cancel_unread(now, self.config.linger);
            let is_recent = |done| now.saturating_sub(done) < retention;
            let stays = known.done.is_none_or(is_recent);
            let is_old = |done| now.saturating_sub(done) >= self.config.answer_life;
            if known.done.is_some_and(is_old) {
                known.drop_answer(&self.dropped);
            }
            if stays {
                kept += known.kept;
            }
            stays
        });
        if kept > self.config.max_kept {
            self.drop_answers(&mut known, kept);
        }
    }

    fn drop_answers(&self, known: &mut FastMap<AttemptRef, Known>, mut kept: usize) {
        let with_answer = known.values_mut().filter(|known| known.kept > 0);
        let mut oldest: Vec<&mut Known> = with_answer.collect();
        oldest.sort_by_key(|known| known.done);
        for known in oldest {
            if kept <= self.config.max_kept {
                return;
            }
            kept -= known.kept;
            known.drop_answer(&self.dropped);
        }
    }

    /// Number of attempts that have not ended.
    pub fn open_count(&self) -> usize {
        self.lock()
            .values()
            .filter(|known| !known.attempt.is_done())
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<AttemptRef, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
