//! Body of a caller's request, as it arrives.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::connection_table::{ConnectionPhase, SharedConnectionStatus};

/// Body of a caller's request. While it arrives, its connection is in [`ConnectionPhase::Body`].
pub struct CallerBody {
    incoming: Incoming,
    status: SharedConnectionStatus,
}

impl CallerBody {
    /// Wraps the body of a request whose head has arrived.
    pub fn new(incoming: Incoming, status: SharedConnectionStatus) -> Self {
        status.set(match incoming.is_end_stream() {
            true => ConnectionPhase::Busy,
            false => ConnectionPhase::Body,
        });
        Self { incoming, status }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        self.status.set(match frame {
            Some(_) => ConnectionPhase::Body,
            None => ConnectionPhase::Busy,
        });
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
