//! Queues of requests that wait for a server. `P` is the type of the reservation that they wait
//! for.

use jj_policy::wait_queue::{Ticket, WaitQueue};
use jj_utils::{
    collections::FastMap,
    ids::{BackendServerId, ServiceId},
};
use tokio::sync::oneshot;

/// A request in the queue of its service.
pub struct QueuedRequest<P> {
    /// Servers that must not get it, since an attempt there has failed.
    pub tried_servers: Vec<BackendServerId>,
    /// Number of tokens of its prompt.
    pub prompt_tokens: u32,
    /// Sends the reservation to the task of the request.
    pub reservation: oneshot::Sender<P>,
}

/// The queues of all services.
pub struct RequestQueues<P> {
    /// Queue of each service.
    pub by_service: FastMap<ServiceId, WaitQueue<QueuedRequest<P>>>,
    /// Ticket number of the request that was queued last.
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
