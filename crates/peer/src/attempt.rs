//! One attempt of a request, as an entry sends it to an agent.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use jj_utils::{
    common_derives,
    ids::{ClientAccountId, ServiceId},
};
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

pub use crate::attempt_ref::AttemptRef;
use crate::frames::{FrameError, FrameReader, Header, MAX_FRAME_BYTES};

/// Path at which an agent accepts attempts, and below which it returns their outcomes.
pub const ATTEMPTS_PATH: &str = "/attempts";

common_derives! {wire:
    /// An attempt without its body.
    pub struct AttemptHead {
        /// Id of the attempt.
        pub id: AttemptRef,
        /// Service that the request is for.
        pub service: ServiceId,
        /// Client account that sent the request.
        pub account: ClientAccountId,
        /// Weight of the account under contention.
        pub weight: u32,
        /// Time at which the attempt was sent, on the agent's clock as estimated from its last
        /// heartbeat. Never later than the true time, so that the agent can detect a late arrival.
        pub sent: Duration,
        /// Time from `sent` until the complete response is due.
        pub deadline: Duration,
        /// True when the request may run more than once.
        pub idempotent: bool,
        /// Idempotency key, when the caller gave one.
        pub key: Option<String>,
        /// Index of the first token to return; above 0 when a stream is resumed.
        pub resume: u64,
        /// Priority in the engine; higher values first.
        pub priority: i32,
        /// Maximum number of tokens that it occupies in the engine's memory; 0 for a plain call.
        pub tokens: u32,
        /// Number of the last cache event of the agent's backend server that the entry received.
        pub cache_seen: u64,
        /// The HTTP call that the agent makes to its backend server.
        pub call: Call,
    }
}

impl AttemptHead {
    /// Returns true for a non-idempotent request with an idempotency key. The verdict on such an
    /// attempt also covers earlier attempts with the same key.
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
        /// True when the response is a stream of tokens.
        pub stream: bool,
    }
}

/// Why an attempt can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The framing is invalid.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The head is truncated.
    #[error("attempt head is truncated")]
    Truncated,
    /// The head can't be serialized or deserialized.
    #[error("invalid attempt head: {0}")]
    Head(#[from] postcard::Error),
}

/// Encodes head and body as one HTTP body.
///
/// # Errors
/// When the head exceeds [`MAX_FRAME_BYTES`].
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

/// A received attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The attempt without its body.
    pub head: AttemptHead,
    /// The body for the backend server.
    pub body: Bytes,
}

/// Decodes the output of [`encode`].
///
/// # Errors
/// When the bytes are not a complete attempt.
pub fn decode(bytes: &[u8]) -> Result<Attempt, AttemptError> {
    let mut reader = FrameReader::default();
    reader.push(bytes);
    let head = reader.next_block()?.ok_or(AttemptError::Truncated)?;
    Ok(Attempt {
        head: postcard::from_bytes(&head)?,
        body: reader.into_remaining(),
    })
}
