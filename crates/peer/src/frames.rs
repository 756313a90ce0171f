//! Frames of the response to an attempt, sent from an agent to an entry.

use crate::{attempt_ref::AttemptRef, cache_events::CacheEventWire, control::LoadReport};
use bytes::{Bytes, BytesMut};
use jj_policy::verdict::Verdict;
use jj_utils::common_derives;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Content type of framed bodies.
pub const CONTENT_TYPE: &str = "application/x-jujube-frames";

common_derives! {wire:
    /// One frame of the response to an attempt.
    pub enum Frame {
        /// Status and headers; comes before all data of the response.
        Head(Head),
        /// One contiguous part of the body: one token of a stream, or one piece of a plain body.
        Data(Data),
        /// Load of the agent when it began to respond.
        Load(LoadReport),
        /// Events of the prefix cache, at most [`jj_policy::cache_log::MAX_BATCH_EVENTS`].
        Cache(Vec<CacheEventWire>),
        /// The attempt is still in progress; sent while there are no other frames.
        Progress,
        /// The response is complete.
        End {
            /// Number of data frames in the complete response, including those before a resumption.
            count: u64,
        },
        /// The attempt has ended without a complete response.
        Failed(Failure),
        /// This attempt is queued, and starts only after the entry that sent it has released it.
        Held(AttemptRef),
        /// The held attempt is admitted, and the agent waits for its release.
        Ready,
    }
}

common_derives! {wire:
    /// Status and headers of a response.
    pub struct Head {
        /// HTTP status code.
        pub status: u16,
        /// End-to-end headers.
        pub headers: Vec<Header>,
    }
}

common_derives! {wire:
    /// One HTTP header.
    pub struct Header {
        /// Name, lower case.
        pub name: String,
        /// Value.
        pub value: String,
    }
}

common_derives! {wire:
    /// One part of the response body.
    pub struct Data {
        /// Index of the part in the response, from 0 and without gaps.
        pub index: u64,
        /// Content of the part.
        #[serde(with = "serde_bytes")]
        pub bytes: Vec<u8>,
    }
}

common_derives! {wire:
    /// Why an attempt ended without a complete response.
    pub struct Failure {
        /// Whether the request may have run.
        pub verdict: Verdict,
        /// Reason for logs and for the caller's problem document.
        pub reason: String,
        /// True when only the queue limit of this client account is reached; the backend server
        /// accepts work of others.
        pub account_only: bool,
        /// True when the attempt had not reached the agent and is fenced now, so that it caused no
        /// load on any server.
        pub never_arrived: bool,
    }
}

impl Failure {
    /// Creates a failure with the given verdict and reason.
    pub fn new(verdict: Verdict, reason: impl Into<String>) -> Self {
        Self {
            verdict,
            reason: reason.into(),
            account_only: false,
            never_arrived: false,
        }
    }
}

/// Why a body does not follow the frame protocol.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The length prefix is out of bounds.
    #[error("invalid frame length: {0}")]
    Length(#[from] std::io::Error),
    /// The content of the frame can't be deserialized, or not serialized when encoding.
    #[error("invalid frame content: {0}")]
    Content(#[from] postcard::Error),
}

/// Appends one encoded frame to `out`.
///
/// # Errors
/// When the frame is larger than [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame, out: &mut BytesMut) -> Result<(), FrameError> {
    let bytes = postcard::to_stdvec(frame)?;
    codec().encode(Bytes::from(bytes), out)?;
    Ok(())
}

/// Decodes frames from received bytes.
#[derive(Debug)]
pub struct FrameReader {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Default for FrameReader {
    fn default() -> Self {
        Self {
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }
}

impl FrameReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` until more bytes are added.
    ///
    /// # Errors
    /// When the bytes do not follow the protocol; no further frame can be read then.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(bytes) = self.codec.decode(&mut self.buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&bytes)?))
    }

    /// Returns the next complete length-prefixed block without decoding its content, for bodies
    /// that begin with one; `None` until more bytes are added.
    ///
    /// # Errors
    /// When the length prefix is out of bounds.
    pub fn next_block(&mut self) -> Result<Option<Bytes>, FrameError> {
        Ok(self.codec.decode(&mut self.buffer)?.map(BytesMut::freeze))
    }

    /// Returns the bytes after the blocks that were read so far.
    pub fn into_remaining(self) -> Bytes {
        self.buffer.freeze()
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
