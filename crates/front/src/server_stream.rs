//! The stream of events of one server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use jj_direct::{
    call::CallAnswer,
    dialect::{AnswerFacts, EventId},
    events::{Framer, LONGEST_EVENT},
};
use jj_policy::server_health::Sign;

use crate::{attempt_failure::AttemptFailure, shared_state::Reservation};

/// A stream at one server.
pub struct ServerStream {
    /// Status of the answer.
    pub status: StatusCode,
    pub(crate) answer: CallAnswer,
    pub(crate) facts: AnswerFacts,
    pub(crate) reservation: Reservation,
    framer: Framer,
    /// Events that are there and not passed on.
    ready: BytesMut,
    ready_events: u32,
    pub(crate) last_event_id: Option<EventId>,
}

/// What comes next of a stream.
pub(crate) enum StreamItem {
    /// Whole events, one after the other, and how many of them carry the stream on.
    Events(Bytes, u32),
    /// The server has sent everything.
    End,
    /// The stream broke off.
    Broken(&'static str),
}

impl ServerStream {
    /// A stream whose head has arrived.
    pub fn new(
        answer: CallAnswer,
        facts: AnswerFacts,
        place: Reservation,
        last: Option<EventId>,
    ) -> Self {
        Self {
            status: answer.status,
            answer,
            facts,
            reservation: place,
            framer: Framer::default(),
            ready: BytesMut::new(),
            ready_events: 0,
            last_event_id: last,
        }
    }

    /// Waits for the first event.
    ///
    /// # Errors
    /// When the stream breaks before it, or has none in time.
    pub async fn wait_for_first_event(mut self, limit: Duration) -> Result<Self, AttemptFailure> {
        match tokio::time::timeout(limit, self.first()).await {
            Ok(true) => Ok(self),
            Ok(false) | Err(_) => {
                self.reservation.record_outcome(Sign::Failed);
                Err(AttemptFailure::Unknown)
            }
        }
    }

    /// Reads up to the first event that carries the stream on; false where it breaks off before. A stream
    /// without events is whole as well.
    async fn first(&mut self) -> bool {
        let mut begun = BytesMut::new();
        loop {
            let count = match self.next().await {
                StreamItem::Events(bytes, count) => {
                    begun.extend_from_slice(&bytes);
                    count
                }
                StreamItem::End => break,
                StreamItem::Broken(_) => return false,
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
    pub(crate) async fn next(&mut self) -> StreamItem {
        if !self.ready.is_empty() {
            let count = std::mem::take(&mut self.ready_events);
            return StreamItem::Events(std::mem::take(&mut self.ready).freeze(), count);
        }
        loop {
            let bytes = match self.answer.next().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.framer.has_partial() => {
                    return StreamItem::Broken("inside an event");
                }
                Ok(None) => return StreamItem::End,
                Err(_) => return StreamItem::Broken("the connection broke"),
            };
            self.framer.push(&bytes);
            let mut whole = BytesMut::new();
            let mut count = 0;
            while let Some(event) = self.framer.next_event() {
                if event
                    .id
                    .is_some_and(|id| self.last_event_id.is_some_and(|last| id <= last))
                {
                    return StreamItem::Broken("an event came twice");
                }
                self.last_event_id = event.id.or(self.last_event_id);
                whole.extend_from_slice(&event.bytes);
                count += u32::from(event.is_progress());
            }
            if !whole.is_empty() {
                return StreamItem::Events(whole.freeze(), count);
            }
            if self.framer.is_overlong() {
                return StreamItem::Broken("an event is too long");
            }
        }
    }
}
