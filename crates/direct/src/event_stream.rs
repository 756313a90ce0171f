//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};
use jj_utils::common_derives;

use crate::header_codec::EventId;

/// Longest event, in bytes; a longer one is taken for a broken stream.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

common_derives! {value:
    /// One event as it arrived.
    pub struct StreamEvent {
        /// Its id, where it names one.
        pub id: Option<EventId>,
        /// All its bytes, with the empty line that ends it.
        pub bytes: Bytes,
    }
}

impl StreamEvent {
    /// Whether it carries the stream on: comments only keep the connection alive.
    pub fn is_progress(&self) -> bool {
        self.id.is_some() || lines(&self.bytes).any(|it| it.starts_with(b"data"))
    }
}

/// The lines of an event.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| *byte == b'\n')
}

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub struct EventParser {
    pending: BytesMut,
    /// Bytes of `pending` in which no end was found.
    searched: usize,
}

impl EventParser {
    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = end_of_event(&self.pending, self.searched) else {
            self.searched = self.pending.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }

    /// Whether part of an event has arrived.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the event that arrives is longer than any should be.
    pub fn is_too_long(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Index after the empty line that ends the first event.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let newlines = rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    for (index, _) in newlines {
        match rest.get(index + 1..) {
            Some([b'\n', ..]) => return Some(from + index + 2),
            Some([b'\r', b'\n', ..]) => return Some(from + index + 3),
            _ => {}
        }
    }
    None
}

/// Number in the `id` line of an event.
fn event_id(bytes: &[u8]) -> Option<EventId> {
    let text = std::str::from_utf8(bytes).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
