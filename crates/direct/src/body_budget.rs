//! Memory for the bodies of callers' requests: each is received in segments, which count until the last
//! holder of the body is gone. When memory is short, bodies that are still arriving are given up.

use std::{
    collections::VecDeque,
    pin::{Pin, pin},
    sync::{Arc, Mutex},
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http_body::{Body, Frame, SizeHint};
use jj_policy::body_memory::{BodyId, BodyMemory, BodyMemoryConfig, BodyRefusal, OwnerId};
use jj_utils::{clock::SharedClock, collections::FastMap};
use tokio_util::sync::CancellationToken;

use crate::locks::lock;

/// Largest segment of a body, in bytes.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// Memory of a segment besides its bytes.
const SEGMENT_OVERHEAD_BYTES: usize = 128;

/// Reason why a body was not received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError<E> {
    /// The transfer failed before the body's end.
    #[error("the body broke off: {0}")]
    Interrupted(E),
    /// The body is longer than allowed, or than the process can ever hold.
    #[error("the body is too long")]
    TooLong,
    /// There is no memory for the body now.
    #[error("there is no memory for the body now")]
    NoMemory,
}

impl<E> From<BodyRefusal> for ReceiveError<E> {
    fn from(refusal: BodyRefusal) -> Self {
        match refusal {
            BodyRefusal::Short => Self::NoMemory,
            BodyRefusal::NeverFits => Self::TooLong,
        }
    }
}

/// Segments of a body, in order.
type Segments = Arc<Mutex<Vec<Bytes>>>;

/// A body that holds memory.
struct Holder {
    /// What is received so far; emptied if the body is given up.
    segments: Segments,
    /// Cancelled if the body is given up.
    given_up: CancellationToken,
}

/// Memory of a process for bodies of requests.
#[derive(Clone)]
pub struct BodyBudget(Arc<Inner>);

struct Inner {
    state: Mutex<State>,
    clock: SharedClock,
}

struct State {
    memory: BodyMemory,
    holders: FastMap<BodyId, Holder>,
}

impl BodyBudget {
    /// Returns the memory of a process for bodies, of `capacity` bytes.
    pub fn new(capacity: usize, clock: SharedClock) -> Self {
        let config = BodyMemoryConfig {
            capacity,
            ..BodyMemoryConfig::default()
        };
        let state = State {
            memory: BodyMemory::new(config),
            holders: FastMap::default(),
        };
        Self(Arc::new(Inner {
            state: Mutex::new(state),
            clock,
        }))
    }

    /// Changes the memory for bodies, in bytes.
    pub fn set_capacity(&self, capacity: usize) {
        lock(&self.0.state).memory.set_capacity(capacity);
    }

    /// Receives a body of at most `limit` bytes for an owner. `announced` is its length, if known.
    ///
    /// # Errors
    /// When the transfer fails, the body is too long, or there is no memory for it.
    pub async fn receive<E>(
        &self,
        owner: OwnerId,
        limit: usize,
        announced: Option<u64>,
        body: impl Stream<Item = Result<Bytes, E>>,
    ) -> Result<StoredBody, ReceiveError<E>> {
        if announced.is_some_and(|it| it > limit as u64) {
            return Err(ReceiveError::TooLong);
        }
        let mut receiver = Receiver {
            last: BytesMut::new(),
            received: 0,
            announced: announced.map(|it| it as usize),
            charge: self.begin(owner),
        };
        let given_up = receiver.charge.given_up.clone();
        let mut body = pin!(body);
        loop {
            let bytes = tokio::select! {
                biased;
                () = given_up.cancelled() => return Err(ReceiveError::NoMemory),
                bytes = body.next() => bytes,
            };
            let Some(bytes) = bytes else {
                return receiver.finish().ok_or(ReceiveError::NoMemory);
            };
            let bytes = bytes.map_err(ReceiveError::Interrupted)?;
            if receiver.received + bytes.len() > limit {
                return Err(ReceiveError::TooLong);
            }
            receiver.push(&bytes)?;
        }
    }

    /// Adds a body that holds nothing yet.
    fn begin(&self, owner: OwnerId) -> BodyCharge {
        let holder = Holder {
            segments: Segments::default(),
            given_up: CancellationToken::new(),
        };
        let mut state = lock(&self.0.state);
        let id = state.memory.begin(self.0.clock.now(), owner);
        let charge = BodyCharge {
            budget: self.clone(),
            id,
            segments: Arc::clone(&holder.segments),
            given_up: holder.given_up.clone(),
        };
        state.holders.insert(id, holder);
        charge
    }
}

impl State {
    /// Gives up a body: what was received of it is freed at once.
    fn give_up(&mut self, id: BodyId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        lock(&holder.segments).clear();
        holder.given_up.cancel();
        metrics::counter!("jujube_bodies_given_up_total").increment(1);
    }
}

/// What a body holds; given back on drop.
struct BodyCharge {
    budget: BodyBudget,
    id: BodyId,
    segments: Segments,
    given_up: CancellationToken,
}

impl BodyCharge {
    /// Takes memory for the body.
    fn grow(&self, bytes: usize) -> Result<(), BodyRefusal> {
        let budget = &self.budget.0;
        let now = budget.clock.now();
        let mut state = lock(&budget.state);
        for id in state.memory.grow(now, self.id, bytes)? {
            state.give_up(id);
        }
        Ok(())
    }

    /// Gives back a part of the body's memory.
    fn shrink(&self, bytes: usize) {
        lock(&self.budget.0.state).memory.shrink(self.id, bytes);
    }

    /// Records that bytes of the body have arrived.
    fn record_progress(&self) {
        let budget = &self.budget.0;
        let now = budget.clock.now();
        lock(&budget.state).memory.record_progress(now, self.id);
    }

    /// Records that the body has arrived in full; returns false if it was given up just before.
    fn complete(&self) -> bool {
        lock(&self.budget.0.state).memory.complete(self.id)
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        let mut state = lock(&self.budget.0.state);
        state.memory.end(self.id);
        state.holders.remove(&self.id);
    }
}

/// A body while it is received.
struct Receiver {
    /// Segment that is being filled.
    last: BytesMut,
    /// Bytes received so far.
    received: usize,
    /// Length of the body, if announced.
    announced: Option<usize>,
    charge: BodyCharge,
}

impl Receiver {
    /// Copies bytes that have arrived, so that a few bytes don't keep a whole read buffer.
    fn push(&mut self, mut bytes: &[u8]) -> Result<(), BodyRefusal> {
        self.charge.record_progress();
        while !bytes.is_empty() {
            let free = self.last.capacity() - self.last.len();
            if free == 0 {
                self.add_segment(bytes.len())?;
                continue;
            }
            let (now, later) = bytes.split_at(free.min(bytes.len()));
            self.last.extend_from_slice(now);
            self.received += now.len();
            bytes = later;
        }
        Ok(())
    }

    /// Begins a segment for `arrived` bytes and more: as long as what was received before, and no longer
    /// than what is still announced.
    fn add_segment(&mut self, arrived: usize) -> Result<(), BodyRefusal> {
        let left = self.announced.map(|it| it.saturating_sub(self.received));
        let wanted = arrived.max(self.received).min(MAX_SEGMENT_BYTES);
        let length = wanted.min(left.unwrap_or(wanted)).max(1);
        self.charge.grow(length + SEGMENT_OVERHEAD_BYTES)?;
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(length));
        self.keep(full);
        Ok(())
    }

    fn keep(&self, segment: BytesMut) {
        if !segment.is_empty() {
            lock(&self.charge.segments).push(segment.freeze());
        }
    }

    /// Returns the body, which has arrived in full; `None` if another thread has given it up meanwhile.
    fn finish(mut self) -> Option<StoredBody> {
        if !self.charge.complete() {
            return None;
        }
        let last = std::mem::take(&mut self.last);
        self.keep(last);
        let segments = std::mem::take(&mut *lock(&self.charge.segments));
        Some(StoredBody(Arc::new(Stored {
            segments,
            length: self.received,
            charge: Some(self.charge),
        })))
    }
}

/// A body that has arrived in full; clones share it.
#[derive(Clone, Default)]
pub struct StoredBody(Arc<Stored>);

#[derive(Default)]
struct Stored {
    segments: Vec<Bytes>,
    length: usize,
    charge: Option<BodyCharge>,
}

impl StoredBody {
    /// Returns the segments, in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.0.segments
    }

    /// Returns the length, in bytes.
    pub fn len(&self) -> usize {
        self.0.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.length == 0
    }
}

/// Bytes of a body in one piece, which count until nobody holds them any more.
struct Contiguous {
    bytes: Bytes,
    _charge: Option<BodyCharge>,
}

impl AsRef<[u8]> for Contiguous {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl StoredBody {
    /// Returns the bytes in one piece, which count until they are dropped; `None` if there is no memory
    /// for it, or if the body is shared.
    pub fn into_contiguous(self) -> Option<Bytes> {
        let stored = Arc::into_inner(self.0)?;
        let bytes = match (&stored.segments[..], &stored.charge) {
            ([], _) => return Some(Bytes::new()),
            ([single], _) => single.clone(),
            (segments, charge) => join(segments, stored.length, charge.as_ref())?,
        };
        Some(Bytes::from_owner(Contiguous {
            bytes,
            _charge: stored.charge,
        }))
    }
}

/// Copies segments into one piece; `None` if there is no memory for it. The segments are counted until
/// they have been copied.
fn join(segments: &[Bytes], length: usize, charge: Option<&BodyCharge>) -> Option<Bytes> {
    let charge = charge?;
    charge.grow(length).ok()?;
    let mut whole = BytesMut::with_capacity(length);
    for segment in segments {
        whole.extend_from_slice(segment);
    }
    charge.shrink(length);
    Some(whole.freeze())
}

/// Body of a request to a backend server.
#[derive(Default)]
pub struct RequestBody {
    unsent: VecDeque<Bytes>,
    bytes_left: u64,
    /// Keeps the memory counted until the request has been sent.
    _stored: StoredBody,
}

impl From<StoredBody> for RequestBody {
    fn from(stored: StoredBody) -> Self {
        Self {
            unsent: stored.segments().iter().cloned().collect(),
            bytes_left: stored.len() as u64,
            _stored: stored,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let segment = self.unsent.pop_front();
        if let Some(segment) = &segment {
            self.bytes_left -= segment.len() as u64;
        }
        Poll::Ready(segment.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes_left)
    }
}
