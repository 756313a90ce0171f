//! What goes over UDP between the system's processes: small messages that may be lost.

use jj_peer::{
    control::Heartbeat,
    group::{ReplyWire, RequestWire},
};
use jj_utils::{common_derives, ids::ConfigIndex};

/// Largest datagram read, in bytes.
pub const MAX_RECEIVED_BYTES: usize = 2048;

/// Largest datagram sent, in bytes: it fits one packet on the usual networks.
pub const MAX_SENT_BYTES: usize = 1200;

common_derives! {wire:
    /// One datagram.
    pub enum Datagram {
        /// Asks for an answer with the same number.
        Question {
            /// Number of the question.
            number: u64,
            /// Index of the configuration in force at the sender.
            index: ConfigIndex,
        },
        /// The answer to a question.
        Answer {
            /// Number of the question.
            number: u64,
            /// What the sender says of itself.
            heartbeat: Heartbeat,
        },
        /// A request of a group's leader to a rank.
        Group(RequestWire),
        /// The answer of a rank's agent.
        GroupReply(ReplyWire),
    }
}

impl Datagram {
    /// The bytes to send; none for a message that is too long for a datagram.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).ok()?;
        (bytes.len() <= MAX_SENT_BYTES).then_some(bytes)
    }

    /// Reads a datagram; none where it isn't one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Its bytes, without network headers.
    pub fn encoded_len(&self) -> usize {
        postcard::to_stdvec(self).map_or(0, |bytes| bytes.len())
    }
}
