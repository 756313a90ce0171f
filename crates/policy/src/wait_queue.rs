//! Requests that wait for room at the servers of one service, in the order in which they get it.
//!
//! Load pattern: a burst, or a group that has become slower, leaves more requests than there is
//! room for. Urgent ones go first and equal ones in the order of their arrival; a request that has
//! waited so long that its answer would hardly be on time is rejected, while its caller can still
//! come back, so that the queue holds only requests that are worth their work.

use std::collections::BTreeMap;

use jj_utils::{clock::Timestamp, common_derives};

use crate::catalog::Priority;

/// Names one waiting request.
pub type Ticket = u64;

common_derives! {copy:
    /// Place of a request in the order.
    pub struct QueueKey {
        /// Its rank, 0 first.
        pub priority: Priority,
        /// When it arrived.
        pub arrived: Timestamp,
        /// Its name, which tells equal ones apart.
        pub ticket: Ticket,
    }
}

/// Waiting requests with what belongs to each.
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
    pub fn push(&mut self, turn: QueueKey, item: T) {
        self.waiting.insert(turn, item);
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, turn: &QueueKey) -> Option<T> {
        self.waiting.remove(turn)
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests that go before another one.
    pub fn count_before(&self, turn: &QueueKey) -> usize {
        self.waiting.range(..turn).count()
    }

    /// Turns of all requests in their order.
    pub fn keys(&self) -> Vec<QueueKey> {
        self.waiting.keys().copied().collect()
    }

    /// What belongs to a request.
    pub fn get(&self, turn: &QueueKey) -> Option<&T> {
        self.waiting.get(turn)
    }
}
