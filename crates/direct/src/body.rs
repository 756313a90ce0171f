//! Bodies of answers to callers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};

use crate::caller_io::{ConnectionPhase, SharedConnectionPhase};

/// Parts of a body that arrive over time; an error breaks the connection, so that a partial answer
/// never looks complete.
pub type BodyStream = LocalBoxStream<'static, io::Result<Bytes>>;

/// Where the bytes of a body come from.
enum Content {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Bytes arrive over time, up to a length if it is known.
    Parts {
        /// The bytes.
        parts: BodyStream,
        /// Bytes still to come.
        left: Option<u64>,
    },
}

/// Body of an answer.
pub struct ResponseBody {
    content: Content,
    /// Dropped with the body.
    _end: Option<ResponseEndGuard>,
}

/// Says, when dropped, that the answer on a connection has ended.
pub struct ResponseEndGuard(pub SharedConnectionPhase);

impl Drop for ResponseEndGuard {
    fn drop(&mut self) {
        self.0.set(ConnectionPhase::Idle);
    }
}

impl ResponseBody {
    /// A body whose bytes are there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes| !bytes.is_empty());
        Self {
            content: Content::Whole(bytes),
            _end: None,
        }
    }

    /// A body whose bytes arrive over time.
    pub fn parts(parts: BodyStream, length: Option<u64>) -> Self {
        let content = Content::Parts {
            parts,
            left: length,
        };
        Self {
            content,
            _end: None,
        }
    }

    /// The same body, which says when it has ended.
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
            Content::Parts { parts, left } => {
                let part = std::task::ready!(parts.as_mut().poll_next(cx));
                if let (Some(Ok(bytes)), Some(left)) = (&part, left) {
                    *left = left.saturating_sub(bytes.len() as u64);
                }
                Poll::Ready(part.map(|bytes| bytes.map(Frame::data)))
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
            Content::Parts { left, .. } => {
                left.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
