//! Bodies of answers to callers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};

/// Parts of a body that arrive over time; an error breaks the connection, so that a partial answer
/// never looks complete.
pub type Parts = LocalBoxStream<'static, io::Result<Bytes>>;

/// Body of an answer.
pub enum AnswerBody {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Bytes arrive over time, up to a length if it is known.
    Parts {
        /// The bytes.
        parts: Parts,
        /// Bytes still to come.
        left: Option<u64>,
    },
}

impl AnswerBody {
    /// A body without bytes.
    pub fn empty() -> Self {
        Self::Whole(None)
    }

    /// A body whose bytes are there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }

    /// A body whose bytes arrive over time.
    pub fn parts(parts: Parts, length: Option<u64>) -> Self {
        Self::Parts {
            parts,
            left: length,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Parts { parts, left } => {
                let part = std::task::ready!(parts.as_mut().poll_next(cx));
                if let (Some(Ok(bytes)), Some(left)) = (&part, left) {
                    *left = left.saturating_sub(bytes.len() as u64);
                }
                Poll::Ready(part.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Self::Parts { left, .. } => left.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
