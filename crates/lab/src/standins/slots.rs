//! The slots of a continuous batch: free ones go to the waiting request of highest priority.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// A fixed number of slots.
#[derive(Debug)]
pub struct Slots {
    capacity: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    taken: u32,
    sequence: u64,
    waiting: BTreeMap<Place, oneshot::Sender<()>>,
}

/// Order of waiting: higher priority first, then first come first served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: std::cmp::Reverse<i32>,
    sequence: u64,
}

/// One taken slot; free again when dropped.
#[derive(Debug)]
pub struct Slot(Arc<Slots>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// Leaves the queue when its request is dropped while waiting.
struct Waiter<'a> {
    slots: &'a Slots,
    place: Place,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.slots.lock().waiting.remove(&self.place);
    }
}

impl Slots {
    /// All slots free.
    pub fn new(capacity: u32) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            state: Mutex::default(),
        })
    }

    /// Waits for a slot.
    pub async fn take(self: &Arc<Self>, priority: i32) -> Slot {
        loop {
            let (place, turn) = {
                let mut state = self.lock();
                if state.taken < self.capacity {
                    state.taken += 1;
                    return Slot(Arc::clone(self));
                }
                state.enqueue(priority)
            };
            let _waiter = Waiter { slots: self, place };
            let _ = turn.await;
        }
    }

    /// Slots taken now.
    pub fn running(&self) -> u32 {
        self.lock().taken
    }

    /// Requests waiting now.
    pub fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Number of slots.
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
    fn enqueue(&mut self, priority: i32) -> (Place, oneshot::Receiver<()>) {
        self.sequence += 1;
        let place = Place {
            priority: std::cmp::Reverse(priority),
            sequence: self.sequence,
        };
        let (sender, turn) = oneshot::channel();
        self.waiting.insert(place, sender);
        (place, turn)
    }
}
