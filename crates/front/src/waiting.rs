//! Requests that wait for a place at a server, of whatever kind places are.

use jj_policy::wait_queue::{Ticket, WaitQueue};
use jj_utils::{
    collections::FastMap,
    ids::{BackendServerId, ServiceId},
};
use tokio::sync::oneshot;

/// A request that waits.
pub struct Waiter<P> {
    /// Servers that it was sent to.
    pub tried: Vec<BackendServerId>,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Gets the place at a server.
    pub place: oneshot::Sender<P>,
}

/// Requests that wait, by service.
pub struct Waiting<P> {
    /// Queues.
    pub queues: FastMap<ServiceId, WaitQueue<Waiter<P>>>,
    /// Tickets given out.
    pub tickets: Ticket,
}

impl<P> Default for Waiting<P> {
    fn default() -> Self {
        Self {
            queues: FastMap::default(),
            tickets: Ticket::default(),
        }
    }
}
