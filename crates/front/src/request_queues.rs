//! Requests that wait for a place at a server, of whatever kind places are.

use jj_policy::wait_queue::{Ticket, WaitQueue};
use jj_utils::{
    collections::FastMap,
    ids::{BackendServerId, ServiceId},
};
use tokio::sync::oneshot;

/// A request that waits.
pub struct QueuedRequest<P> {
    /// Servers that it was sent to.
    pub tried_servers: Vec<BackendServerId>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Gets the place at a server.
    pub reservation: oneshot::Sender<P>,
}

/// Requests that wait, by service.
pub struct RequestQueues<P> {
    /// Queues.
    pub by_service: FastMap<ServiceId, WaitQueue<QueuedRequest<P>>>,
    /// Tickets given out.
    pub last_ticket: Ticket,
}

impl<P> Default for RequestQueues<P> {
    fn default() -> Self {
        Self {
            by_service: FastMap::default(),
            last_ticket: Ticket::default(),
        }
    }
}
