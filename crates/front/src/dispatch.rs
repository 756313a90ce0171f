//! Gives room at servers to the requests that wait for it.

use std::{rc::Rc, time::Duration};

use jj_policy::wait_queue::{Turn, WaitQueue};
use jj_utils::ids::{BackendServerId, ServiceId};
use tokio::sync::oneshot;

use crate::{
    request::Request,
    request_queues::QueuedRequest,
    shared_state::{Reservation, SharedState},
};

/// Longest time between two looks at the requests that wait.
const LOOK: Duration = Duration::from_millis(20);

/// A place in the queue, given up when dropped.
pub struct QueuePosition {
    shared: Rc<SharedState>,
    service: ServiceId,
    turn: Turn,
    /// Gets the place at a server.
    pub reservation: oneshot::Receiver<Reservation>,
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        let mut waiting = self.shared.request_queues.borrow_mut();
        if let Some(queue) = waiting.by_service.get_mut(&self.service) {
            queue.remove(&self.turn);
        }
    }
}

/// Has a request wait for room.
pub fn enqueue(
    shared: &Rc<SharedState>,
    request: &Request,
    tried: &[BackendServerId],
) -> QueuePosition {
    let (sender, reservation) = oneshot::channel();
    let mut waiting = shared.request_queues.borrow_mut();
    waiting.last_ticket += 1;
    let turn = Turn {
        priority: request.authorized.priority(),
        arrived: request.arrived,
        ticket: waiting.last_ticket,
    };
    let waiter = QueuedRequest {
        tried_servers: tried.to_vec(),
        prompt_tokens: request.facts.usage.prompt,
        reservation: sender,
    };
    let queue = waiting
        .by_service
        .entry(request.service.clone())
        .or_default();
    queue.push(turn, waiter);
    QueuePosition {
        shared: Rc::clone(shared),
        service: request.service.clone(),
        turn,
        reservation,
    }
}

/// Requests that wait for a service.
pub fn queue_length(shared: &SharedState, service: &str) -> usize {
    let waiting = shared.request_queues.borrow();
    waiting.by_service.get(service).map_or(0, WaitQueue::len)
}

/// Whether a new request has to wait behind others.
pub fn has_queued_requests(shared: &SharedState, service: &str) -> bool {
    queue_length(shared, service) > 0
}

/// Gives room away whenever there may be some.
pub async fn run(shared: Rc<SharedState>) {
    loop {
        let changed = shared.capacity_changed.notified();
        if busy(&shared).is_empty() {
            changed.await;
        } else {
            // Passes may get shorter without a word, so there is a look now and then.
            let _ = tokio::time::timeout(LOOK, changed).await;
        }
        for service in busy(&shared) {
            give(&shared, &service);
        }
    }
}

/// Services for which requests wait.
fn busy(shared: &SharedState) -> Vec<ServiceId> {
    let waiting = shared.request_queues.borrow();
    let busy = waiting
        .by_service
        .iter()
        .filter(|(_, queue)| !queue.is_empty());
    busy.map(|(service, _)| service.clone()).collect()
}

/// Gives the room of one service away, in the order of the queue.
fn give(shared: &Rc<SharedState>, service: &str) {
    let turns = {
        let waiting = shared.request_queues.borrow();
        waiting.by_service.get(service).map(WaitQueue::turns)
    };
    for turn in turns.unwrap_or_default() {
        let tried = {
            let waiting = shared.request_queues.borrow();
            let waiter = waiting.by_service.get(service).and_then(|it| it.get(&turn));
            waiter.map(|it| (it.tried_servers.clone(), it.prompt_tokens))
        };
        let Some((tried, prompt)) = tried else {
            continue;
        };
        let Some(place) = shared.reserve_server(service, &tried, prompt) else {
            if tried.is_empty() {
                return;
            }
            continue;
        };
        let waiter = {
            let mut waiting = shared.request_queues.borrow_mut();
            waiting
                .by_service
                .get_mut(service)
                .and_then(|it| it.remove(&turn))
        };
        if let Some(waiter) = waiter {
            // A caller that left just now gives the place back by dropping it.
            drop(waiter.reservation.send(place));
        }
    }
}
