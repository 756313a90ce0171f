//! One attempt: the log of its answer's frames, which any connection may read from any position.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use jj_peer::{
    attempt::AttemptRef,
    frames::{self, Data, Failure, Frame, Head, Header},
};
use jj_policy::verdict::Verdict;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// One attempt and the frames of its answer so far.
#[derive(Debug)]
pub struct Attempt {
    /// Cancelled when nobody wants the answer any more.
    pub token: CancellationToken,
    /// Cancelled when the entry that sent a held attempt lets it start.
    pub released: CancellationToken,
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
    /// An attempt that has not started; `first` is the index of its first data frame.
    pub fn new(first: u64, max_answer: usize) -> Self {
        Self {
            token: CancellationToken::new(),
            released: CancellationToken::new(),
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

    /// Tells the entry that the attempt waits, and needs its release to start.
    pub fn hold(&self, id: &AttemptRef) {
        // So small a frame fits: nothing else is in the log yet.
        let _ = self.push(&Frame::Held(id.clone()), false);
    }

    /// Tells the entry that it is the held attempt's turn.
    pub fn ask_release(&self) {
        let _ = self.push(&Frame::Ready, false);
    }

    /// Counts a reader.
    pub fn reader(self: &Arc<Self>) -> Reader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        Reader(Arc::clone(self))
    }

    /// True while anybody reads it.
    pub fn is_read(&self) -> bool {
        self.readers.load(Ordering::SeqCst) > 0
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
        self.fail_with(Failure::new(verdict, reason));
    }

    /// Ends the attempt with this failure.
    pub fn fail_with(&self, failure: Failure) {
        self.close(&Frame::Failed(failure));
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
