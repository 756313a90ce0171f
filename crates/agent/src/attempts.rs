//! Attempts that this agent has seen, with their answers, so that a lost connection loses nothing.
//!
//! An attempt outlives the connection that brought it. Its frames go into a log; any connection
//! may read the log from any position. Asking for an attempt that was never seen fences it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use jj_peer::{
    attempt::AttemptRef,
    frames::{self, Data, Failure, Frame, Head, Header},
};
use jj_policy::verdict::Verdict;
use jj_utils::{clock::Timestamp, collections::FastMap};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

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

/// One attempt and the frames of its answer so far.
#[derive(Debug)]
pub struct Attempt {
    /// Cancelled when nobody wants the answer any more.
    pub token: CancellationToken,
    first: u64,
    max_answer: usize,
    log: Mutex<Log>,
    changed: Notify,
    readers: AtomicUsize,
}

/// Counts one reader of an attempt until dropped.
#[derive(Debug)]
pub struct Reader(Arc<Attempt>);

impl Reader {
    /// The attempt that is read.
    pub fn attempt(&self) -> &Attempt {
        &self.0
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.readers.fetch_sub(1, Ordering::SeqCst);
    }
}

#[derive(Debug, Default)]
struct Log {
    phase: Phase,
    bytes: BytesMut,
    offsets: Vec<usize>,
    /// Where the frame that ends the log starts, or will.
    data_end: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    #[default]
    Waiting,
    Started,
    Done,
}

/// What a reader gets next.
#[derive(Debug)]
pub enum ReadStep {
    /// Encoded frames.
    Bytes(Bytes),
    /// Nothing new yet.
    Pending,
    /// Everything has been read.
    End,
}

/// The answer is larger than allowed.
#[derive(Debug, thiserror::Error)]
#[error("the answer is larger than {limit} bytes")]
pub struct AnswerTooLarge {
    limit: usize,
}

impl Attempt {
    fn new(first: u64, max_answer: usize) -> Self {
        Self {
            token: CancellationToken::new(),
            first,
            max_answer,
            log: Mutex::default(),
            changed: Notify::new(),
            readers: AtomicUsize::new(0),
        }
    }

    /// Marks the attempt as started, directly before its first byte goes to the backend server.
    /// False when it must not start any more.
    pub fn start(&self) -> bool {
        let mut log = self.lock();
        if log.phase != Phase::Waiting || self.token.is_cancelled() {
            return false;
        }
        log.phase = Phase::Started;
        true
    }

    /// Counts a reader.
    pub fn reader(self: &Arc<Self>) -> Reader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        Reader(Arc::clone(self))
    }

    /// True once the attempt has ended, whole or not.
    pub fn is_done(&self) -> bool {
        self.lock().phase == Phase::Done
    }

    /// Bytes of the answer so far.
    pub fn size(&self) -> usize {
        self.lock().bytes.len()
    }

    /// Adds the head of the answer.
    ///
    /// # Errors
    /// When the answer grows too large.
    pub fn push_head(&self, head: Head) -> Result<(), AnswerTooLarge> {
        self.push(&Frame::Head(head), false)
    }

    /// Adds the next part of the body.
    ///
    /// # Errors
    /// When the answer grows too large.
    pub fn push_data(&self, bytes: &[u8]) -> Result<(), AnswerTooLarge> {
        let index = self.first + self.lock().offsets.len() as u64;
        self.push(
            &Frame::Data(Data {
                index,
                bytes: bytes.to_vec(),
            }),
            true,
        )
    }

    /// Ends the answer as whole.
    pub fn finish(&self) {
        let count = self.first + self.lock().offsets.len() as u64;
        self.close(&Frame::End { count });
    }

    /// Ends with an answer of the agent's own: a problem document.
    pub fn refuse(&self, status: u16, detail: &str) {
        let document =
            serde_json::json!({"status": status, "verdict": "not-run", "detail": detail});
        let header = Header {
            name: "content-type".into(),
            value: "application/problem+json".into(),
        };
        let headers = vec![header];
        // A fresh log has room for so small an answer.
        let _ = self.push_head(Head { status, headers });
        let _ = self.push_data(document.to_string().as_bytes());
        self.finish();
    }

    /// Ends the attempt without a whole answer.
    pub fn fail(&self, verdict: Verdict, reason: impl Into<String>) {
        self.close(&Frame::Failed(Failure::new(verdict, reason)));
    }

    /// Cancels an attempt that nobody waits for; one that has not started never will.
    pub fn cancel(&self) {
        self.token.cancel();
    }

    /// Where in the log data frame `index` starts; the whole log for the first.
    pub fn position(&self, index: u64) -> usize {
        if index <= self.first {
            return 0;
        }
        let log = self.lock();
        let at = usize::try_from(index - self.first).unwrap_or(usize::MAX);
        log.offsets.get(at).copied().unwrap_or(log.data_end)
    }

    /// Reads from a position of the log.
    pub fn read(&self, position: usize) -> ReadStep {
        let log = self.lock();
        if position < log.bytes.len() {
            return ReadStep::Bytes(Bytes::copy_from_slice(&log.bytes[position..]));
        }
        if log.phase == Phase::Done {
            ReadStep::End
        } else {
            ReadStep::Pending
        }
    }

    /// Waits until the log may have grown.
    pub async fn changed(&self, position: usize) {
        let notified = self.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        if matches!(self.read(position), ReadStep::Pending) {
            notified.await;
        }
    }

    fn push(&self, frame: &Frame, is_data: bool) -> Result<(), AnswerTooLarge> {
        let mut log = self.lock();
        if log.phase == Phase::Done {
            return Ok(());
        }
        let offset = log.bytes.len();
        let too_large = AnswerTooLarge {
            limit: self.max_answer,
        };
        if frames::encode(frame, &mut log.bytes).is_err() || log.bytes.len() > self.max_answer {
            log.bytes.truncate(offset);
            return Err(too_large);
        }
        if is_data {
            log.offsets.push(offset);
        }
        log.data_end = log.bytes.len();
        drop(log);
        self.changed.notify_waiters();
        Ok(())
    }

    fn close(&self, last: &Frame) {
        let mut log = self.lock();
        if log.phase == Phase::Done {
            return;
        }
        // The last frame is small: encoding it can't exceed the frame limit.
        let _ = frames::encode(last, &mut log.bytes);
        log.phase = Phase::Done;
        // An ended log grows no more: give back what it has in reserve.
        log.bytes = BytesMut::from(&log.bytes[..]);
        log.offsets.shrink_to_fit();
        drop(log);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
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
        if self.done.is_some() || self.attempt.readers.load(Ordering::SeqCst) > 0 {
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

    /// Cancels an attempt; one that has not arrived is fenced.
    pub fn cancel(&self, id: &AttemptRef) {
        if let Opened::Seen(attempt) = self.outcome(id) {
            attempt.cancel();
        }
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
