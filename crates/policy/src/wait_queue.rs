//! Queue of requests that wait for a slot at the servers of one service, in the order of service.
//!
//! Load pattern: after a burst, or when a group has become slower, there are more requests than
//! slots. Higher priorities go first, and equal ones in the order of arrival. A request that has
//! waited so long that its response would hardly be on time is rejected while its caller can still
//! retry, so the queue holds only requests that are worth the work.

use std::collections::BTreeMap;

use jj_utils::{clock::Timestamp, common_derives};

use crate::catalog::Priority;

/// Identifies one queued request.
pub type Ticket = u64;

common_derives! {copy:
    /// Position of a request in the queue, by priority and arrival.
    pub struct QueueKey {
        /// Priority of the request; 0 is the highest.
        pub priority: Priority,
        /// Arrival of the request.
        pub arrived: Timestamp,
        /// Identifier that orders requests with the same priority and arrival.
        pub ticket: Ticket,
    }
}

/// Queued requests in order, each with a value.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<QueueKey, T>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request.
    pub fn push(&mut self, key: QueueKey, item: T) {
        self.waiting.insert(key, item);
    }

    /// Removes a request and returns its value.
    pub fn remove(&mut self, key: &QueueKey) -> Option<T> {
        self.waiting.remove(key)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests before another one.
    pub fn count_before(&self, key: &QueueKey) -> usize {
        self.waiting.range(..key).count()
    }

    /// Returns the keys of all requests in order.
    pub fn keys(&self) -> Vec<QueueKey> {
        self.waiting.keys().copied().collect()
    }

    /// Returns the value of a request.
    pub fn get(&self, key: &QueueKey) -> Option<&T> {
        self.waiting.get(key)
    }
}
