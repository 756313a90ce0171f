//! Splits the bytes of a server-sent event stream into whole events.

use bytes::{Bytes, BytesMut};
use jj_utils::common_derives;

use crate::header_codec::EventId;

/// Maximum length of an event in bytes; a longer one means that the stream is broken.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

common_derives! {value:
    /// One event, with its bytes as they arrived.
    pub struct StreamEvent {
        /// Id of the event, if it has a numeric one.
        pub id: Option<EventId>,
        /// Bytes of the event, including the empty line that ends it.
        pub bytes: Bytes,
    }
}

impl StreamEvent {
    /// Returns whether the event has an id or data; comments only keep the connection alive.
    pub fn is_progress(&self) -> bool {
        self.id.is_some() || lines(&self.bytes).any(|it| it.starts_with(b"data"))
    }
}

/// Returns the lines of an event.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| *byte == b'\n')
}

/// Parser that collects the bytes of a stream and returns whole events.
#[derive(Debug, Default)]
pub struct EventParser {
    pending: BytesMut,
    /// Number of bytes at the start of `pending` that contain no end of an event.
    searched_bytes: usize,
}

impl EventParser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; none until it has arrived completely.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = find_event_end(&self.pending, self.searched_bytes) else {
            self.searched_bytes = self.pending.len().saturating_sub(3);
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = parse_event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }

    /// Returns whether part of an event has arrived.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the bytes received for the current event exceed [`MAX_EVENT_BYTES`].
    pub fn is_too_long(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Returns the index after the empty line that ends the first event, searching from `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
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

/// Returns the number in the `id` line of an event, whatever its other lines hold.
fn parse_event_id(bytes: &[u8]) -> Option<EventId> {
    let value = lines(bytes).find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
