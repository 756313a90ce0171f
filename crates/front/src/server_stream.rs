//! An event stream that is received from one server.

use std::time::Duration;

use http::StatusCode;
use jj_direct::{
    call::CallResponse,
    event_sequence::{Delivered, EventSequence, SoundEvents, StreamFault},
    event_stream::MAX_EVENT_BYTES,
    header_codec::{EventId, ResponseHeaders},
};
use jj_policy::server_health::AttemptOutcome;

use crate::shared_state::Reservation;

/// An open event stream from a server.
pub struct ServerStream {
    /// Status of the response.
    pub status: StatusCode,
    pub(crate) answer: CallResponse,
    pub(crate) facts: ResponseHeaders,
    pub(crate) reservation: Reservation,
    sequence: EventSequence,
    /// Events received while waiting for the first one, which `next` returns first.
    buffered: SoundEvents,
    /// Whether an event that is progress has arrived.
    has_progress: bool,
}

/// Reason why a stream can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamBreak {
    /// The connection broke.
    #[error("the connection broke")]
    ConnectionBroke,
    /// The connection ended before the first event.
    #[error("the connection ended without an event")]
    NoEvent,
    /// The server had ended when the connection ended.
    #[error("the server ended")]
    ServerEnded,
    /// The stream ended inside an event.
    #[error("the stream ended inside an event")]
    PartialEvent,
    /// An event repeats an id, or goes back.
    #[error("an event id was not above the last one")]
    IdNotAbove,
    /// An event is too long.
    #[error("an event exceeds the maximum length")]
    EventTooLong,
    /// The stream holds too much before its first event.
    #[error("no event within the maximum length")]
    NothingButComments,
    /// No event came in time.
    #[error("no event for too long")]
    Silent,
}

impl From<StreamFault> for StreamBreak {
    fn from(fault: StreamFault) -> Self {
        match fault {
            StreamFault::IdNotAbove => Self::IdNotAbove,
            StreamFault::EventTooLong => Self::EventTooLong,
        }
    }
}

impl StreamBreak {
    /// Returns whether it may be the end of the server, and not what the server has sent.
    fn may_be_crash(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroke | Self::NoEvent | Self::ServerEnded | Self::PartialEvent
        )
    }
}

/// Reason why a stream had no first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoFirstEvent {
    /// It broke off since the server crashed.
    #[error("the server crashed: {0}")]
    Crashed(StreamBreak),
    /// Its connection was lost.
    #[error("{0}")]
    Lost(StreamBreak),
    /// The server has sent what is no stream.
    #[error("{0}")]
    Unusable(StreamBreak),
    /// It was not there in time.
    #[error("timeout")]
    Timeout,
}

/// Next part of a stream.
pub(crate) enum StreamItem {
    /// One or more whole events.
    Events(SoundEvents),
    /// The server has ended the stream.
    End,
    /// The stream broke off, with the reason.
    Broken(StreamBreak),
}

impl ServerStream {
    /// Returns the stream of a response whose head has been received. `last_event_id` is the last
    /// event that the caller has.
    pub fn new(
        answer: CallResponse,
        facts: ResponseHeaders,
        place: Reservation,
        last_event_id: Option<EventId>,
    ) -> Self {
        Self {
            status: answer.status,
            answer,
            facts,
            reservation: place,
            sequence: EventSequence::after(Delivered::up_to(last_event_id)),
            buffered: SoundEvents::default(),
            has_progress: false,
        }
    }

    /// Waits up to `limit` for the first event or the end of the stream.
    ///
    /// # Errors
    /// When the stream breaks off before its first event, or there is none in time.
    pub async fn wait_for_first_event(mut self, limit: Duration) -> Result<Self, NoFirstEvent> {
        let started = tokio::time::timeout(limit, self.read_first_event()).await;
        let error = match started {
            Ok(Ok(())) => return Ok(self),
            Ok(Err(cause)) if !cause.may_be_crash() => NoFirstEvent::Unusable(cause),
            Ok(Err(cause)) => match self.reservation.has_server_crashed().await {
                true => NoFirstEvent::Crashed(cause),
                false => NoFirstEvent::Lost(cause),
            },
            Err(_) => NoFirstEvent::Timeout,
        };
        self.reservation.record_outcome(AttemptOutcome::Failed);
        Err(error)
    }

    /// Returns whether the server has begun to produce output.
    pub fn has_output(&self) -> bool {
        self.has_progress
    }

    /// Reads up to the first event that is progress. A stream that ends without events is valid.
    ///
    /// # Errors
    /// When the stream breaks off before, with the cause.
    async fn read_first_event(&mut self) -> Result<(), StreamBreak> {
        let mut received = SoundEvents::default();
        while received.progress == 0 {
            match self.next().await {
                StreamItem::Events(events) => received.append(events),
                StreamItem::End => break,
                StreamItem::Broken(cause) => return Err(cause),
            }
            if received.progress == 0 && received.len() > MAX_EVENT_BYTES {
                return Err(StreamBreak::NothingButComments);
            }
        }
        self.buffered = received;
        Ok(())
    }

    /// Returns how a stream has ended that only the end of its connection ends: the end of the server
    /// ends the connection, too.
    async fn check_end(&self) -> StreamItem {
        if !self.has_progress {
            return StreamItem::Broken(StreamBreak::NoEvent);
        }
        match self.reservation.has_server_ended().await {
            true => StreamItem::Broken(StreamBreak::ServerEnded),
            false => StreamItem::End,
        }
    }

    /// Returns the next events, or how the stream has ended: all sound events come before that.
    pub(crate) async fn next(&mut self) -> StreamItem {
        if !self.buffered.is_empty() {
            return StreamItem::Events(std::mem::take(&mut self.buffered));
        }
        loop {
            let events = self.sequence.take_events();
            self.has_progress |= events.progress > 0;
            if !events.is_empty() {
                return StreamItem::Events(events);
            }
            if let Some(fault) = self.sequence.fault() {
                return StreamItem::Broken(fault.into());
            }
            let bytes = match self.answer.next_chunk().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.sequence.has_partial() => {
                    return StreamItem::Broken(StreamBreak::PartialEvent);
                }
                Ok(None) if self.answer.ends_with_connection => return self.check_end().await,
                Ok(None) => return StreamItem::End,
                Err(_) => return StreamItem::Broken(StreamBreak::ConnectionBroke),
            };
            self.sequence.push(&bytes);
        }
    }
}
