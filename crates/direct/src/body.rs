//! Bodies of responses to callers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};

use crate::connection_table::{ConnectionPhase, SharedConnectionStatus};

/// Stream of the chunks of a body; an error closes the connection, so that a partial response never
/// looks complete.
pub type BodyStream = LocalBoxStream<'static, io::Result<Bytes>>;

/// Source of the bytes of a body.
enum Content {
    /// All bytes are available.
    Whole(Option<Bytes>),
    /// Bytes arrive over time.
    Stream {
        chunks: BodyStream,
        /// Bytes that have not been sent yet; none where the length is unknown.
        bytes_left: Option<u64>,
    },
}

/// Body of a response to a caller.
pub struct ResponseBody {
    content: Content,
    /// Marks the response as complete when the body is dropped.
    _end: Option<ResponseEndGuard>,
}

/// Sets the phase of a connection when dropped, which is when its response is complete.
pub struct ResponseEndGuard(pub SharedConnectionStatus);

impl Drop for ResponseEndGuard {
    fn drop(&mut self) {
        self.0.set(ConnectionPhase::Flushing);
    }
}

impl ResponseBody {
    /// Returns a body with these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes| !bytes.is_empty());
        Self {
            content: Content::Whole(bytes),
            _end: None,
        }
    }

    /// Returns a body whose bytes arrive over time; `length` is in bytes, none if unknown.
    pub fn stream(chunks: BodyStream, length: Option<u64>) -> Self {
        let content = Content::Stream {
            chunks,
            bytes_left: length,
        };
        Self {
            content,
            _end: None,
        }
    }

    /// Returns the same body with a guard that is dropped when the body has been sent.
    pub fn with_end_guard(self, end: ResponseEndGuard) -> Self {
        Self {
            _end: Some(end),
            ..self
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Content::Stream { chunks, bytes_left } => {
                let chunk = std::task::ready!(chunks.as_mut().poll_next(cx));
                if let (Some(Ok(bytes)), Some(bytes_left)) = (&chunk, bytes_left) {
                    *bytes_left = bytes_left.saturating_sub(bytes.len() as u64);
                }
                Poll::Ready(chunk.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Content::Stream { bytes_left, .. } => {
                bytes_left.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
