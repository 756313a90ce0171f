//! One attempt and the log of its response frames, which any connection can read from any offset.

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

/// One attempt and the response frames received so far.
#[derive(Debug)]
pub struct Attempt {
    /// Cancelled when no reader needs the response any more.
    pub token: CancellationToken,
    /// Cancelled when the entry that sent a held attempt releases it, so that it may start.
    pub released: CancellationToken,
    first_index: u64,
    max_response_bytes: usize,
    log: Mutex<Log>,
    changed: Notify,
    readers: AtomicUsize,
}

/// Counts one reader of an attempt until dropped.
#[derive(Debug)]
pub struct Reader(Arc<Attempt>);

impl Reader {
    /// Returns the attempt that is read.
    pub fn attempt(&self) -> &Attempt {
        &self.0
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.readers.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Encoded response frames of an attempt.
#[derive(Debug, Default)]
struct Log {
    phase: Phase,
    bytes: BytesMut,
    /// Byte offset of each data frame.
    offsets: Vec<usize>,
    /// Byte offset at which the final frame starts, or will start.
    data_end: usize,
}

/// Progress of an attempt: waiting to start, at the backend server, or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    #[default]
    Waiting,
    Started,
    Done,
}

/// Result of reading the log at an offset.
#[derive(Debug)]
pub enum ReadStep {
    /// Encoded frames; more may follow.
    Bytes(Bytes),
    /// The last encoded frames.
    Last(Bytes),
    /// No new frames yet.
    Pending,
    /// Everything has been read.
    End,
}

/// The encoded response exceeds the size limit of an attempt.
#[derive(Debug, thiserror::Error)]
#[error("response of the backend server exceeds {limit} bytes")]
pub struct ResponseTooLarge {
    limit: usize,
}

impl Attempt {
    /// Creates an attempt that has not started; `first_index` is the index of its first data
    /// frame, `max_response_bytes` the size limit of its encoded frames.
    pub fn new(first_index: u64, max_response_bytes: usize) -> Self {
        Self {
            token: CancellationToken::new(),
            released: CancellationToken::new(),
            first_index,
            max_response_bytes,
            log: Mutex::default(),
            changed: Notify::new(),
            readers: AtomicUsize::new(0),
        }
    }

    /// Marks the attempt as started. Called directly before its first byte is sent to the backend
    /// server; returns false when it must not start any more.
    pub fn start(&self) -> bool {
        let mut log = self.lock();
        if log.phase != Phase::Waiting || self.token.is_cancelled() {
            return false;
        }
        log.phase = Phase::Started;
        true
    }

    /// Notifies the entry that the attempt is queued and must be released by it to start.
    pub fn notify_held(&self, id: &AttemptRef) {
        self.push_notice(&Frame::Held(id.clone()));
    }

    /// Notifies the entry that the held attempt is admitted and waits for its release.
    pub fn request_release(&self) {
        self.push_notice(&Frame::Ready);
    }

    fn push_notice(&self, frame: &Frame) {
        // Such a small frame always fits: the log holds no part of a response yet.
        let _ = self.push(&mut self.lock(), frame);
        self.changed.notify_waiters();
    }

    /// Registers a reader, which counts until it is dropped.
    pub fn add_reader(self: &Arc<Self>) -> Reader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        Reader(Arc::clone(self))
    }

    /// Returns true while the attempt has at least one reader.
    pub fn has_readers(&self) -> bool {
        self.readers.load(Ordering::SeqCst) > 0
    }

    /// Returns true once the attempt has ended, with a complete response or not.
    pub fn is_done(&self) -> bool {
        self.lock().phase == Phase::Done
    }

    /// Returns the size of the encoded response so far, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.lock().bytes.len()
    }

    /// Appends the response head. Readers are not woken for it, so that it is sent together with
    /// the first part of the body.
    ///
    /// # Errors
    /// When the response exceeds its size limit.
    pub fn push_head(&self, head: Head) -> Result<(), ResponseTooLarge> {
        let mut log = self.lock();
        self.push(&mut log, &Frame::Head(head))
    }

    /// Appends the next part of the body.
    ///
    /// # Errors
    /// When the response exceeds its size limit.
    pub fn push_data(&self, bytes: &[u8]) -> Result<(), ResponseTooLarge> {
        let mut log = self.lock();
        let start = log.bytes.len();
        let index = self.first_index + log.offsets.len() as u64;
        let bytes = bytes.to_vec();
        self.push(&mut log, &Frame::Data(Data { index, bytes }))?;
        if log.phase != Phase::Done {
            log.offsets.push(start);
        }
        drop(log);
        self.changed.notify_waiters();
        Ok(())
    }

    /// Ends the attempt with a complete response.
    pub fn finish(&self) {
        self.close(|log| Frame::End {
            count: self.first_index + log.offsets.len() as u64,
        });
    }

    /// Ends the attempt with a problem document that the agent itself generates.
    pub fn finish_with_problem(&self, status: u16, detail: &str) {
        let document =
            serde_json::json!({"status": status, "verdict": "not-run", "detail": detail});
        let header = Header {
            name: "content-type".into(),
            value: "application/problem+json".into(),
        };
        let headers = vec![header];
        // An empty log always has room for such a small response.
        let _ = self.push_head(Head { status, headers });
        let _ = self.push_data(document.to_string().as_bytes());
        self.finish();
    }

    /// Ends the attempt without a complete response.
    pub fn fail(&self, verdict: Verdict, reason: impl Into<String>) {
        self.fail_with(Failure::new(verdict, reason));
    }

    /// Ends the attempt with this failure.
    pub fn fail_with(&self, failure: Failure) {
        self.close(|_| Frame::Failed(failure));
    }

    /// Cancels the attempt; if it has not started, it never will.
    pub fn cancel(&self) {
        self.token.cancel();
    }

    /// Returns the byte offset at which data frame `index` starts; 0, before the response head, for
    /// the first data frame or an earlier one.
    pub fn offset_of(&self, index: u64) -> usize {
        if index <= self.first_index {
            return 0;
        }
        let log = self.lock();
        let at = usize::try_from(index - self.first_index).unwrap_or(usize::MAX);
        log.offsets.get(at).copied().unwrap_or(log.data_end)
    }

    /// Reads the log from byte `offset` on.
    pub fn read(&self, offset: usize) -> ReadStep {
        let log = self.lock();
        let is_done = log.phase == Phase::Done;
        if offset >= log.bytes.len() {
            return match is_done {
                true => ReadStep::End,
                false => ReadStep::Pending,
            };
        }
        let bytes = Bytes::copy_from_slice(&log.bytes[offset..]);
        match is_done {
            true => ReadStep::Last(bytes),
            false => ReadStep::Bytes(bytes),
        }
    }

    /// Waits until the log may have grown beyond `offset` or ended.
    pub async fn changed(&self, offset: usize) {
        let notified = self.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        if self.is_pending(offset) {
            notified.await;
        }
    }

    fn is_pending(&self, offset: usize) -> bool {
        let log = self.lock();
        offset >= log.bytes.len() && log.phase != Phase::Done
    }

    fn push(&self, log: &mut Log, frame: &Frame) -> Result<(), ResponseTooLarge> {
        if log.phase == Phase::Done {
            return Ok(());
        }
        let start = log.bytes.len();
        let too_large = ResponseTooLarge {
            limit: self.max_response_bytes,
        };
        if frames::encode(frame, &mut log.bytes).is_err()
            || log.bytes.len() > self.max_response_bytes
        {
            log.bytes.truncate(start);
            return Err(too_large);
        }
        log.data_end = log.bytes.len();
        Ok(())
    }

    fn close(&self, last: impl FnOnce(&Log) -> Frame) {
        let mut log = self.lock();
        if log.phase == Phase::Done {
            return;
        }
        // The last frame is small: encoding it can't exceed the frame limit.
        let last = last(&log);
        let _ = frames::encode(&last, &mut log.bytes);
        log.phase = Phase::Done;
        // The log no longer grows: release its spare capacity.
        log.bytes = BytesMut::from(&log.bytes[..]);
        log.offsets.shrink_to_fit();
        drop(log);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
