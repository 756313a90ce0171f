//! Gives room at servers to the requests that wait for it.

use std::{rc::Rc, time::Duration};

use jj_policy::wait_queue::{QueueKey, WaitQueue};
use jj_utils::ids::{BackendServerId, ServiceId};
use tokio::sync::oneshot;

use crate::{
    request::Request,
    shared::{Place, Shared},
    waiting::Waiter,
};

/// Longest time between two looks at the requests that wait.
const LOOK: Duration = Duration::from_millis(20);

/// A place in the queue, given up when dropped.
pub struct Spot {
    shared: Rc<Shared>,
    service: ServiceId,
    turn: QueueKey,
    /// Gets the place at a server.
    pub place: oneshot::Receiver<Place>,
}

impl Drop for Spot {
    fn drop(&mut self) {
        let mut waiting = self.shared.waiting.borrow_mut();
        if let Some(queue) = waiting.queues.get_mut(&self.service) {
            queue.remove(&self.turn);
        }
    }
}

/// Has a request wait for room.
pub fn wait(shared: &Rc<Shared>, request: &Request, tried: &[BackendServerId]) -> Spot {
    let (sender, place) = oneshot::channel();
    let mut waiting = shared.waiting.borrow_mut();
    waiting.tickets += 1;
    let turn = QueueKey {
        priority: request.admitted.priority(),
        arrived: request.arrived,
        ticket: waiting.tickets,
    };
    let waiter = Waiter {
        tried: tried.to_vec(),
        prompt: request.facts.usage.prompt,
        place: sender,
    };
    let queue = waiting.queues.entry(request.service.clone()).or_default();
    queue.push(turn, waiter);
    Spot {
        shared: Rc::clone(shared),
        service: request.service.clone(),
        turn,
        place,
    }
}

/// Requests that wait for a service.
pub fn waiting(shared: &Shared, service: &str) -> usize {
    let waiting = shared.waiting.borrow();
    waiting.queues.get(service).map_or(0, WaitQueue::len)
}

/// Whether a new request has to wait behind others.
pub fn has_waiting(shared: &Shared, service: &str) -> bool {
    waiting(shared, service) > 0
}

/// Gives room away whenever there may be some.
pub async fn run(shared: Rc<Shared>) {
    loop {
        let changed = shared.room.notified();
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
fn busy(shared: &Shared) -> Vec<ServiceId> {
    let waiting = shared.waiting.borrow();
    let busy = waiting.queues.iter().filter(|(_, queue)| !queue.is_empty());
    busy.map(|(service, _)| service.clone()).collect()
}

/// Gives the room of one service away, in the order of the queue.
fn give(shared: &Rc<Shared>, service: &str) {
    let turns = {
        let waiting = shared.waiting.borrow();
        waiting.queues.get(service).map(WaitQueue::keys)
    };
    for turn in turns.unwrap_or_default() {
        let tried = {
            let waiting = shared.waiting.borrow();
            let waiter = waiting.queues.get(service).and_then(|it| it.get(&turn));
            waiter.map(|it| (it.tried.clone(), it.prompt))
        };
        let Some((tried, prompt)) = tried else {
            continue;
        };
        let Some(place) = shared.place(service, &tried, prompt) else {
            if tried.is_empty() {
                return;
            }
            continue;
        };
        let waiter = {
            let mut waiting = shared.waiting.borrow_mut();
            waiting
                .queues
                .get_mut(service)
                .and_then(|it| it.remove(&turn))
        };
        if let Some(waiter) = waiter {
            // A caller that left just now gives the place back by dropping it.
            drop(waiter.place.send(place));
        }
    }
}
