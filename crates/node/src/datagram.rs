//! UDP datagrams between processes: small messages that may be lost.

use jj_peer::{
    control::Heartbeat,
    group::{ReplyWire, RequestWire},
};
use jj_utils::{common_derives, ids::ConfigIndex};

/// Receive buffer size: the largest datagram read, in bytes.
pub const MAX_RECEIVED_BYTES: usize = 2048;

/// Largest datagram sent, in bytes: it fits into one packet on common networks.
pub const MAX_SENT_BYTES: usize = 1200;

common_derives! {wire:
    /// One datagram.
    pub enum Datagram {
        /// A heartbeat question, answered under the same number.
        Question {
            /// Number of the question.
            number: u64,
            /// Index of the configuration in force at the sender.
            index: ConfigIndex,
        },
        /// The answer to a heartbeat question.
        Answer {
            /// Number of the question.
            number: u64,
            /// State of the sender.
            heartbeat: Heartbeat,
        },
        /// A request of a group's leader to a rank's agent.
        Group(RequestWire),
        /// The reply of a rank's agent to its leader.
        GroupReply(ReplyWire),
    }
}

impl Datagram {
    /// Encodes the message; `None` if it is longer than [`MAX_SENT_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).ok()?;
        (bytes.len() <= MAX_SENT_BYTES).then_some(bytes)
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Returns the encoded length in bytes, without network headers.
    pub fn encoded_len(&self) -> usize {
        postcard::to_stdvec(self).map_or(0, |bytes| bytes.len())
    }
}
