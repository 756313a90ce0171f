//! One attempt of a request: what an entry sends to an agent.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use jj_utils::{
    common_derives,
    ids::{ClientAccountId, ServiceId},
};
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

pub use crate::attempt_ref::AttemptRef;
use crate::frames::{FrameError, FrameReader, Header, MAX_FRAME_BYTES};

/// Path at which an agent takes attempts, and under which it tells their outcome.
pub const ATTEMPTS_PATH: &str = "/attempts";

common_derives! {wire:
    /// Everything of an attempt but the body.
    pub struct AttemptHead {
        /// Request and attempt.
        pub id: AttemptRef,
        /// Service that the request is for.
        pub service: ServiceId,
        /// Client account that pays for it.
        pub account: ClientAccountId,
        /// Weight of the account under contention.
        pub weight: u32,
        /// When the attempt was made, on the agent's own clock as its last heartbeat told it; never
        /// later than the true time, so that a late arrival shows.
        pub sent: Duration,
        /// Time from then until the whole answer is due.
        pub deadline: Duration,
        /// True when running it twice does no harm.
        pub idempotent: bool,
        /// Idempotency key, when the caller gave one.
        pub key: Option<String>,
        /// Token at which a resumed stream starts.
        pub resume: u64,
        /// Higher goes first in the engine.
        pub priority: i32,
        /// Tokens that it takes in the engine's memory, at most; 0 for a plain call.
        pub tokens: u32,
        /// Number of the last cache event that the entry knows of the agent's backend server.
        pub cache_seen: u64,
        /// How the agent talks to its backend server.
        pub call: Call,
    }
}

impl AttemptHead {
    /// True for a request that may not be repeated and carries an idempotency key: earlier tries
    /// of the same key count too when a verdict is told.
    pub fn is_once_only(&self) -> bool {
        self.key.is_some() && !self.idempotent
    }
}

common_derives! {wire:
    /// The HTTP call to the backend server.
    pub struct Call {
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub target: String,
        /// End-to-end headers.
        pub headers: Vec<Header>,
        /// True when the answer is a stream of tokens.
        pub stream: bool,
    }
}

/// A body of an attempt that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The framing is broken.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The head ends too early.
    #[error("the attempt's head is cut short")]
    Truncated,
    /// The head's bytes are not a head.
    #[error("bad attempt head: {0}")]
    Head(#[from] postcard::Error),
}

/// Encodes head and body as one HTTP body.
///
/// # Errors
/// When the head is larger than a frame may be.
pub fn encode(head: &AttemptHead, body: &Bytes) -> Result<Bytes, AttemptError> {
    let head = Bytes::from(postcard::to_stdvec(head)?);
    let mut out = BytesMut::with_capacity(head.len() + body.len() + 8);
    let mut codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    codec.encode(head, &mut out).map_err(FrameError::from)?;
    out.put_slice(body);
    Ok(out.freeze())
}

/// An attempt as received.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Everything but the body.
    pub head: AttemptHead,
    /// The body for the backend server.
    pub body: Bytes,
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// When the bytes are not a whole attempt.
pub fn decode(bytes: &[u8]) -> Result<Attempt, AttemptError> {
    let mut reader = FrameReader::default();
    reader.push(bytes);
    let head = reader.next_block()?.ok_or(AttemptError::Truncated)?;
    Ok(Attempt {
        head: postcard::from_bytes(&head)?,
        body: reader.into_remaining(),
    })
}
