//! Reads an event stream up to its first fault, and says where a stream goes on that was delivered up to
//! some event.
//!
//! Whatever the fault is, all sound events before it are returned first, and however the bytes were cut.
//! The reader's state runs ahead of what a caller has; so the place at which a stream goes on is kept
//! apart, from what was delivered ([`Delivered`]).

use bytes::{Bytes, BytesMut};
use jj_utils::common_derives;

use crate::{
    event_stream::{EventParser, MAX_EVENT_BYTES, StreamEvent},
    header_codec::EventId,
};

common_derives! {copy:
    /// Fault in the bytes of a stream.
    pub enum StreamFault {
        /// An event repeats an id, or goes back.
        IdNotAbove,
        /// An event exceeds [`MAX_EVENT_BYTES`].
        EventTooLong,
    }
}

common_derives! {copy:
    /// How far a stream has been delivered.
    #[derive(Default)]
    pub struct Delivered {
        /// Id of the last event that has one.
        pub last_id: Option<EventId>,
        /// Whether an event with data and without an id has come after it.
        pub has_unnumbered: bool,
    }
}

impl Delivered {
    /// Returns the state of a reader that has all events up to an id.
    pub fn up_to(last_id: Option<EventId>) -> Self {
        Self {
            last_id,
            has_unnumbered: false,
        }
    }

    /// Returns whether the stream can go on after the last id without a piece that comes twice.
    pub fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Records that an event has been delivered.
    fn record(&mut self, event: &StreamEvent) {
        match event.id {
            Some(id) => *self = Self::up_to(Some(id)),
            None => self.has_unnumbered |= event.is_progress(),
        }
    }
}

/// Sound events of a stream, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SoundEvents {
    /// Their bytes as they arrived.
    bytes: BytesMut,
    /// Number of those that are progress (not keep-alives).
    pub progress: u32,
    /// How far the stream is delivered with them.
    pub delivered: Delivered,
}

impl SoundEvents {
    /// Returns the bytes of the events.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }

    /// Returns the length of the events in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there is no event.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends the events that follow.
    pub fn append(&mut self, next: Self) {
        self.bytes.extend_from_slice(&next.bytes);
        self.progress += next.progress;
        self.delivered = next.delivered;
    }

    fn push(&mut self, event: &StreamEvent) {
        self.bytes.extend_from_slice(&event.bytes);
        self.progress += u32::from(event.is_progress());
        self.delivered.record(event);
    }
}

/// Reader of one response of a stream.
#[derive(Debug, Default)]
pub struct EventSequence {
    parser: EventParser,
    /// What has been read.
    read: Delivered,
    fault: Option<StreamFault>,
}

impl EventSequence {
    /// Returns a reader of a response that goes on after what was delivered.
    pub fn after(delivered: Delivered) -> Self {
        Self {
            read: delivered,
            ..Self::default()
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.parser.push(bytes);
    }

    /// Removes and returns the whole sound events that have arrived; empty if there are none, or none
    /// before a fault.
    pub fn take_events(&mut self) -> SoundEvents {
        let mut events = SoundEvents {
            delivered: self.read,
            ..SoundEvents::default()
        };
        while self.fault.is_none()
            && let Some(event) = self.parser.next_event()
        {
            self.fault = fault_of(&event, events.delivered.last_id);
            if self.fault.is_none() {
                events.push(&event);
            }
        }
        self.read = events.delivered;
        events
    }

    /// Returns the fault that follows the events that were taken.
    pub fn fault(&self) -> Option<StreamFault> {
        let is_too_long = self.parser.is_too_long();
        self.fault
            .or(is_too_long.then_some(StreamFault::EventTooLong))
    }

    /// Returns whether part of an event has arrived.
    pub fn has_partial(&self) -> bool {
        self.parser.has_partial()
    }
}

/// Returns the fault of an event that follows one with an id.
fn fault_of(event: &StreamEvent, last_id: Option<EventId>) -> Option<StreamFault> {
    if event.bytes.len() > MAX_EVENT_BYTES {
        return Some(StreamFault::EventTooLong);
    }
    let is_above = event.id.zip(last_id).is_none_or(|(id, last)| id > last);
    (!is_above).then_some(StreamFault::IdNotAbove)
}
