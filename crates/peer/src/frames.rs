//! Frames of an answer on its way from an agent to an entry.

use crate::{attempt_ref::AttemptRef, cache_events::CacheEventWire, control::LoadReport};
use bytes::{Bytes, BytesMut};
use jj_policy::verdict::Verdict;
use jj_utils::common_derives;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame on the wire, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Content type of framed bodies.
pub const CONTENT_TYPE: &str = "application/x-jujube-frames";

common_derives! {wire:
    /// One part of an answer.
    pub enum Frame {
        /// Status and headers; always first in a whole answer.
        Head(Head),
        /// One contiguous part of the body: one token of a stream, or one piece of a plain body.
        Data(Data),
        /// The agent's load when it began to answer.
        Load(LoadReport),
        /// News of the prefix cache, at most [`jj_policy::cache_log::MAX_BATCH_EVENTS`] events.
        Cache(Vec<CacheEventWire>),
        /// Nothing new, but the attempt is alive.
        Progress,
        /// The answer is whole.
        End {
            /// Number of data frames in the whole answer, those before a resumption included.
            count: u64,
        },
        /// The attempt has ended without a whole answer.
        Failed(Failure),
        /// This attempt waits for its turn, and starts only after the entry that sent it has
        /// released it.
        Held(AttemptRef),
        /// It is the turn of the held attempt: the agent waits for its release.
        Ready,
    }
}

common_derives! {wire:
    /// Status line and headers of an answer.
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
    /// One part of the body.
    pub struct Data {
        /// Position in the answer, from 0 and without gaps.
        pub index: u64,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        pub bytes: Vec<u8>,
    }
}

common_derives! {wire:
    /// Why an attempt ended without a whole answer.
    pub struct Failure {
        /// Whether the request may have run.
        pub verdict: Verdict,
        /// For logs and for the caller's problem document.
        pub reason: String,
        /// True when the backend server takes work of other client accounts: only the backlog of
        /// this one is full.
        pub account_only: bool,
        /// True when the attempt never reached the agent, and now never will: no server bore
        /// anything of it.
        pub never_arrived: bool,
    }
}

impl Failure {
    /// A failure with the given verdict.
    pub fn new(verdict: Verdict, reason: impl Into<String>) -> Self {
        Self {
            verdict,
            reason: reason.into(),
            account_only: false,
            never_arrived: false,
        }
    }
}

/// A body that does not follow this protocol.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The length prefix is out of bounds.
    #[error("bad frame length: {0}")]
    Length(#[from] std::io::Error),
    /// The frame's bytes are not a frame.
    #[error("bad frame: {0}")]
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

/// Takes frames out of a growing buffer.
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

    /// The next whole frame, if there is one.
    ///
    /// # Errors
    /// When the bytes do not follow the protocol; nothing more can be read then.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(bytes) = self.codec.decode(&mut self.buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&bytes)?))
    }

    /// The next whole block of raw bytes, for bodies that begin with one.
    ///
    /// # Errors
    /// When the length prefix is out of bounds.
    pub fn next_block(&mut self) -> Result<Option<Bytes>, FrameError> {
        Ok(self.codec.decode(&mut self.buffer)?.map(BytesMut::freeze))
    }

    /// What follows the blocks taken so far.
    pub fn into_remaining(self) -> Bytes {
        self.buffer.freeze()
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
