//! An event stream that is received from one server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use jj_direct::{
    call::CallResponse,
    event_stream::{EventParser, MAX_EVENT_BYTES},
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
    framer: EventParser,
    /// Events received while waiting for the first one, which `next` returns first.
    buffered: BytesMut,
    /// Number of buffered events that are progress.
    buffered_events: u32,
    /// Whether an event that is progress has arrived.
    has_progress: bool,
    /// Id of the last received event.
    pub(crate) last_event_id: Option<EventId>,
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
    /// The server had crashed when the connection ended.
    #[error("the server crashed")]
    ServerCrashed,
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

impl StreamBreak {
    /// Returns whether it may be the end of the server, and not what the server has sent.
    fn may_be_crash(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroke | Self::NoEvent | Self::ServerCrashed | Self::PartialEvent
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
    /// Bytes of one or more whole events, and the number of those that are progress (not
    /// keep-alives).
    Events(Bytes, u32),
    /// The server has ended the stream.
    End,
    /// The stream broke off, with the reason.
    Broken(StreamBreak),
}

impl ServerStream {
    /// Returns the stream of a response whose head has been received. `last_event_id` is the last
    /// event already sent to the caller.
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
            framer: EventParser::default(),
            buffered: BytesMut::new(),
            buffered_events: 0,
            has_progress: false,
            last_event_id,
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
        let mut received = BytesMut::new();
        loop {
            let count = match self.next().await {
                StreamItem::Events(bytes, count) => {
                    received.extend_from_slice(&bytes);
                    count
                }
                StreamItem::End => break,
                StreamItem::Broken(cause) => return Err(cause),
            };
            if count > 0 {
                self.buffered_events = count;
                break;
            }
            if received.len() > MAX_EVENT_BYTES {
                return Err(StreamBreak::NothingButComments);
            }
        }
        self.buffered = received;
        Ok(())
    }

    /// Returns how a stream has ended that only the end of its connection ends: a crash of the server
    /// ends the connection, too.
    async fn check_end(&self) -> StreamItem {
        if !self.has_progress {
            return StreamItem::Broken(StreamBreak::NoEvent);
        }
        match self.reservation.has_server_crashed().await {
            true => StreamItem::Broken(StreamBreak::ServerCrashed),
            false => StreamItem::End,
        }
    }

    /// Returns the next events, or how the stream has ended.
    pub(crate) async fn next(&mut self) -> StreamItem {
        if !self.buffered.is_empty() {
            let count = std::mem::take(&mut self.buffered_events);
            return StreamItem::Events(std::mem::take(&mut self.buffered).freeze(), count);
        }
        loop {
            let bytes = match self.answer.next_chunk().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.framer.has_partial() => {
                    return StreamItem::Broken(StreamBreak::PartialEvent);
                }
                Ok(None) if self.answer.ends_with_connection => return self.check_end().await,
                Ok(None) => return StreamItem::End,
                Err(_) => return StreamItem::Broken(StreamBreak::ConnectionBroke),
            };
            self.framer.push(&bytes);
            let mut whole = BytesMut::new();
            let mut count = 0;
            while let Some(event) = self.framer.next_event() {
                if event
                    .id
                    .is_some_and(|id| self.last_event_id.is_some_and(|last| id <= last))
                {
                    return StreamItem::Broken(StreamBreak::IdNotAbove);
                }
                self.last_event_id = event.id.or(self.last_event_id);
                whole.extend_from_slice(&event.bytes);
                count += u32::from(event.is_progress());
            }
            self.has_progress |= count > 0;
            if !whole.is_empty() {
                return StreamItem::Events(whole.freeze(), count);
            }
            if self.framer.is_too_long() {
                return StreamItem::Broken(StreamBreak::EventTooLong);
            }
        }
    }
}
