//! The slots of a continuous batch; a free slot goes to the waiting request of highest priority.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// A fixed number of slots with a priority queue of waiting requests.
#[derive(Debug)]
pub struct Slots {
    capacity: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    taken: u32,
    sequence: u64,
    waiting: BTreeMap<QueuePosition, oneshot::Sender<()>>,
}

/// Position in the queue: higher priority first, first come first served within a priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: std::cmp::Reverse<i32>,
    sequence: u64,
}

/// One taken slot; released when dropped.
#[derive(Debug)]
pub struct Slot(Arc<Slots>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// Queued request; removed from the queue when dropped, for example on cancellation.
struct QueuedRequest<'a> {
    slots: &'a Slots,
    position: QueuePosition,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.slots.lock().waiting.remove(&self.position);
    }
}

impl Slots {
    /// Creates `capacity` free slots.
    pub fn new(capacity: u32) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            state: Mutex::default(),
        })
    }

    /// Waits for a free slot and takes it.
    pub async fn take(self: &Arc<Self>, priority: i32) -> Slot {
        loop {
            let (position, woken) = {
                let mut state = self.lock();
                if state.taken < self.capacity {
                    state.taken += 1;
                    return Slot(Arc::clone(self));
                }
                state.enqueue(priority)
            };
            let _queued = QueuedRequest {
                slots: self,
                position,
            };
            let _ = woken.await;
        }
    }

    /// Returns the number of slots in use.
    pub fn running(&self) -> u32 {
        self.lock().taken
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Returns the total number of slots.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    fn release(&self) {
        let mut state = self.lock();
        state.taken -= 1;
        while let Some((_, next)) = state.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn enqueue(&mut self, priority: i32) -> (QueuePosition, oneshot::Receiver<()>) {
        self.sequence += 1;
        let position = QueuePosition {
            priority: std::cmp::Reverse(priority),
            sequence: self.sequence,
        };
        let (sender, woken) = oneshot::channel();
        self.waiting.insert(position, sender);
        (position, woken)
    }
}
