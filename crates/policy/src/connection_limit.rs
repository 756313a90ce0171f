//! Which connection of a caller is closed for a new one, when there are as many as the process may have.
//!
//! Load pattern: clients open thousands of connections that send nothing, half a head or a part of a
//! body, and keep them. Other callers open a connection, send a request and may use it again later.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

/// Number of a connection, unique within its port.
pub type ConnectionId = u64;

/// Time without progress after which a connection is closed in the middle of a request's body or of a
/// response.
const MAX_TRANSFER_STALL: Duration = Duration::from_millis(500);

common_derives! {copy:
    /// What a connection is doing.
    pub enum ConnectionUse {
        /// Its last response has been sent, and it is about to close.
        Closing,
        /// It waits for a request, or for the rest of its head.
        Waiting,
        /// The body of a request is arriving, or the last bytes of a response are being sent.
        Transferring,
        /// A request that has arrived in full is being handled.
        Busy,
    }
}

common_derives! {copy:
    /// State of a connection.
    pub struct ConnectionState {
        /// What it is doing.
        pub current: ConnectionUse,
        /// When it began to, or when bytes were last transferred.
        pub since: Timestamp,
    }
}

/// Returns the connection that is closed for a new one: one that closes anyway, or has waited longest
/// for a request, or has stalled longest in a transfer. A request that is being handled goes on, so that
/// there may be none.
pub fn choose_closed(
    now: Timestamp,
    connections: impl IntoIterator<Item = (ConnectionId, ConnectionState)>,
) -> Option<ConnectionId> {
    let closable = connections.into_iter().filter(|(_, state)| {
        let since = now.saturating_sub(state.since);
        match state.current {
            ConnectionUse::Closing | ConnectionUse::Waiting => true,
            ConnectionUse::Transferring => since >= MAX_TRANSFER_STALL,
            ConnectionUse::Busy => false,
        }
    });
    let first = closable.min_by_key(|(id, state)| (state.current, state.since, *id));
    first.map(|(id, _)| id)
}
