//! Assigns servers with free capacity to queued requests.

use std::{rc::Rc, time::Duration};

use jj_policy::wait_queue::{QueueKey, WaitQueue};
use jj_utils::ids::{BackendServerId, ServiceId};
use tokio::sync::oneshot;

use crate::{
    request::Request,
    request_queues::QueuedRequest,
    shared_state::{Reservation, SharedState},
};

/// Longest time between two dispatch rounds while requests are queued.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Position of a request in the queue of its service; it leaves the queue on drop.
pub struct QueuePosition {
    shared: Rc<SharedState>,
    service: ServiceId,
    queue_key: QueueKey,
    /// Receives the reserved server.
    pub reservation: oneshot::Receiver<Reservation>,
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        let mut queues = self.shared.request_queues.borrow_mut();
        if let Some(queue) = queues.by_service.get_mut(&self.service) {
            queue.remove(&self.queue_key);
        }
    }
}

/// Adds a request to the queue of its service; `tried` are servers that must not get it.
pub fn enqueue(
    shared: &Rc<SharedState>,
    request: &Request,
    tried: &[BackendServerId],
) -> QueuePosition {
    let (sender, reservation) = oneshot::channel();
    let mut queues = shared.request_queues.borrow_mut();
    queues.last_ticket += 1;
    let queue_key = QueueKey {
        priority: request.authorized.priority(),
        arrived: request.arrived,
        ticket: queues.last_ticket,
    };
    let queued = QueuedRequest {
        tried_servers: tried.to_vec(),
        prompt_tokens: request.facts.token_usage.prompt_tokens,
        reservation: sender,
    };
    let queue = queues
        .by_service
        .entry(request.service.clone())
        .or_default();
    queue.push(queue_key, queued);
    QueuePosition {
        shared: Rc::clone(shared),
        service: request.service.clone(),
        queue_key,
        reservation,
    }
}

/// Returns the number of queued requests of a service.
pub fn queue_length(shared: &SharedState, service: &str) -> usize {
    let queues = shared.request_queues.borrow();
    queues.by_service.get(service).map_or(0, WaitQueue::len)
}

/// Returns whether requests of a service are queued, so that a new one has to wait behind them.
pub fn has_queued_requests(shared: &SharedState, service: &str) -> bool {
    queue_length(shared, service) > 0
}

/// Dispatches queued requests for as long as the process runs, whenever capacity may have become
/// free.
pub async fn run(shared: Rc<SharedState>) {
    loop {
        let changed = shared.capacity_changed.notified();
        if services_with_queue(&shared).is_empty() {
            changed.await;
        } else {
            // Nothing signals that passes get shorter, so the queues are also checked periodically.
            let _ = tokio::time::timeout(MAX_DISPATCH_INTERVAL, changed).await;
        }
        for service in services_with_queue(&shared) {
            dispatch_service(&shared, &service);
        }
    }
}

/// Returns the services that have queued requests.
fn services_with_queue(shared: &SharedState) -> Vec<ServiceId> {
    let queues = shared.request_queues.borrow();
    let nonempty = queues
        .by_service
        .iter()
        .filter(|(_, queue)| !queue.is_empty());
    nonempty.map(|(service, _)| service.clone()).collect()
}

/// Reserves servers of one service for its queued requests, in queue order, until no server has
/// capacity. A request that excludes servers is skipped if none of the others has capacity.
fn dispatch_service(shared: &Rc<SharedState>, service: &str) {
    let keys = {
        let queues = shared.request_queues.borrow();
        queues.by_service.get(service).map(WaitQueue::keys)
    };
    for queue_key in keys.unwrap_or_default() {
        let queued = {
            let queues = shared.request_queues.borrow();
            let queued = queues
                .by_service
                .get(service)
                .and_then(|it| it.get(&queue_key));
            queued.map(|it| (it.tried_servers.clone(), it.prompt_tokens))
        };
        let Some((tried, prompt)) = queued else {
            continue;
        };
        let Some(reservation) = shared.reserve_server(service, &tried, prompt) else {
            if tried.is_empty() {
                return;
            }
            continue;
        };
        let queued = {
            let mut queues = shared.request_queues.borrow_mut();
            queues
                .by_service
                .get_mut(service)
                .and_then(|it| it.remove(&queue_key))
        };
        if let Some(queued) = queued {
            // If the caller has just disconnected, the reservation is dropped here and so released.
            drop(queued.reservation.send(reservation));
        }
    }
}
