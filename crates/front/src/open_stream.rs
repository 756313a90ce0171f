//! The stream of events of one server, and the rest of a long body.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::StatusCode;
use jj_direct::{
    body::AnswerBody,
    call::CallAnswer,
    dialect::{AnswerFacts, EventId},
    events::Framer,
};
use jj_policy::server_health::Sign;

use crate::{failure::Failure, shared::Place};

/// A stream at one server.
pub struct OpenStream {
    /// Status of the answer.
    pub status: StatusCode,
    pub(crate) answer: CallAnswer,
    pub(crate) facts: AnswerFacts,
    pub(crate) place: Place,
    framer: Framer,
    /// Events that are there and not passed on.
    ready: Bytes,
    ready_events: u32,
    pub(crate) last: Option<EventId>,
}

/// What comes next of a stream.
pub(crate) enum Next {
    /// Whole events, one after the other.
    Events(Bytes, u32),
    /// The server has sent everything.
    End,
    /// The stream broke off.
    Broken(&'static str),
}

impl OpenStream {
    /// A stream whose head has arrived.
    pub fn new(
        answer: CallAnswer,
        facts: AnswerFacts,
        place: Place,
        last: Option<EventId>,
    ) -> Self {
        Self {
            status: answer.status,
            answer,
            facts,
            place,
            framer: Framer::default(),
            ready: Bytes::new(),
            ready_events: 0,
            last,
        }
    }

    /// Waits for the first event.
    ///
    /// # Errors
    /// When the stream breaks before it, or has none in time.
    pub async fn start(mut self, limit: Duration) -> Result<Self, Failure> {
        match tokio::time::timeout(limit, self.next()).await {
            Ok(Next::Events(bytes, count)) => {
                self.ready = bytes;
                self.ready_events = count;
                Ok(self)
            }
            // A stream without events is whole as well.
            Ok(Next::End) => Ok(self),
            Ok(Next::Broken(_)) | Err(_) => {
                self.place.observe(Sign::Failed);
                Err(Failure::Unknown)
            }
        }
    }

    /// What comes next.
    pub(crate) async fn next(&mut self) -> Next {
        if !self.ready.is_empty() {
            let count = std::mem::take(&mut self.ready_events);
            return Next::Events(std::mem::take(&mut self.ready), count);
        }
        loop {
            let bytes = match self.answer.next().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.framer.has_partial() => return Next::Broken("inside an event"),
                Ok(None) => return Next::End,
                Err(_) => return Next::Broken("the connection broke"),
            };
            self.framer.push(&bytes);
            let mut whole = BytesMut::new();
            let mut count = 0;
            while let Some(event) = self.framer.next_event() {
                if event
                    .id
                    .is_some_and(|id| self.last.is_some_and(|last| id <= last))
                {
                    return Next::Broken("an event came twice");
                }
                self.last = event.id.or(self.last);
                whole.extend_from_slice(&event.bytes);
                count += 1;
            }
            if count > 0 {
                return Next::Events(whole.freeze(), count);
            }
            if self.framer.is_overlong() {
                return Next::Broken("an event is too long");
            }
        }
    }
}

/// A long body whose beginning has arrived.
pub fn rest(begun: Bytes, mut answer: CallAnswer, place: Place) -> AnswerBody {
    let length = answer.bytes_left().map(|left| left + begun.len() as u64);
    let parts = async_stream::stream! {
        // Holds the place for as long as the server works on the answer.
        let _place = place;
        yield Ok(begun);
        loop {
            match answer.next().await {
                Ok(Some(bytes)) => yield Ok(bytes),
                Ok(None) => return,
                Err(error) => {
                    yield Err(error);
                    return;
                }
            }
        }
    };
    AnswerBody::parts(parts.boxed_local(), length)
}
