//! Requests that wait for room at the servers of one service, in the order in which they get it.
//!
//! Load pattern: a burst, or a group that has become slower, leaves more requests than there is
//! room for. Urgent ones go first and equal ones in the order of their arrival; a request that has
//! waited so long that its answer would hardly be on time is rejected, while its caller can still
//! come back, so that the queue holds only requests that are worth their work.
//!
//! Second load pattern: a group works again after an outage, and a hundred requests have waited for it. Their
//! answers are late whenever they go, so those that can still be on time go first, and of the late ones
//! the one that has to be given up first.

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

use crate::catalog::Priority;

/// Names one waiting request.
pub type Ticket = u64;

common_derives! {copy:
    /// What the order of a request follows from.
    pub struct Turn {
        /// Its rank, 0 first.
        pub priority: Priority,
        /// When it arrived.
        pub arrived: Timestamp,
        /// Until when its answer can be on time.
        pub fresh_until: Timestamp,
        /// When it is given up.
        pub until: Timestamp,
        /// Its name, which tells equal ones apart.
        pub ticket: Ticket,
    }
}

impl Turn {
    /// What is compared at a moment.
    fn key(&self, now: Timestamp) -> (Priority, bool, Timestamp, Ticket) {
        let is_late = now > self.fresh_until;
        let time = if is_late { self.until } else { self.arrived };
        (self.priority, is_late, time, self.ticket)
    }
}

/// Waiting requests with what belongs to each.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: FastMap<Ticket, (Turn, T)>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: FastMap::default(),
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request.
    pub fn push(&mut self, turn: Turn, item: T) {
        self.waiting.insert(turn.ticket, (turn, item));
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket).map(|(_, item)| item)
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// All requests in the order of this moment.
    pub fn order(&self, now: Timestamp) -> Vec<Ticket> {
        let mut turns: Vec<&Turn> = self.waiting.values().map(|(turn, _)| turn).collect();
        turns.sort_unstable_by_key(|it| it.key(now));
        turns.into_iter().map(|it| it.ticket).collect()
    }

    /// What belongs to a request.
    pub fn get(&self, ticket: Ticket) -> Option<&T> {
        self.waiting.get(&ticket).map(|(_, item)| item)
    }
}
