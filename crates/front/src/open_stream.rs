//! The stream of events of one server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use jj_direct::{
    call::CallAnswer,
    dialect::{AnswerFacts, EventId},
    events::{Framer, LONGEST_EVENT},
};
use jj_policy::server_health::AttemptOutcome;

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
    ready: BytesMut,
    ready_events: u32,
    pub(crate) last: Option<EventId>,
}

/// What comes next of a stream.
pub(crate) enum Next {
    /// Whole events, one after the other, and how many of them carry the stream on.
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
            ready: BytesMut::new(),
            ready_events: 0,
            last,
        }
    }

    /// Waits for the first event.
    ///
    /// # Errors
    /// When the stream breaks before it, or has none in time.
    pub async fn start(mut self, limit: Duration) -> Result<Self, Failure> {
        match tokio::time::timeout(limit, self.first()).await {
            Ok(true) => Ok(self),
            Ok(false) | Err(_) => {
                self.place.observe(AttemptOutcome::Failed);
                Err(Failure::Unknown)
            }
        }
    }

    /// Reads up to the first event that carries the stream on; false where it breaks off before. A stream
    /// without events is whole as well.
    async fn first(&mut self) -> bool {
        let mut begun = BytesMut::new();
        loop {
            let count = match self.next().await {
                Next::Events(bytes, count) => {
                    begun.extend_from_slice(&bytes);
                    count
                }
                Next::End => break,
                Next::Broken(_) => return false,
            };
            if count > 0 || begun.len() > LONGEST_EVENT {
                self.ready_events = count;
                break;
            }
        }
        self.ready = begun;
        true
    }

    /// What comes next.
    pub(crate) async fn next(&mut self) -> Next {
        if !self.ready.is_empty() {
            let count = std::mem::take(&mut self.ready_events);
            return Next::Events(std::mem::take(&mut self.ready).freeze(), count);
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
                count += u32::from(event.is_progress());
            }
            if !whole.is_empty() {
                return Next::Events(whole.freeze(), count);
            }
            if self.framer.is_overlong() {
                return Next::Broken("an event is too long");
            }
        }
    }
}
