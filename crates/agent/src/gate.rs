//! The gate before the backend server: how many requests may be there at once.

use std::{collections::VecDeque, time::Duration};

use jj_utils::clock::Timestamp;

/// Names one request at the gate.
pub type Ticket = u64;

/// Time to come back after a refusal.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// May go to the backend server now.
    Start,
    /// Waits.
    Queued,
    /// The queue is full.
    Refused {
        /// Time to come back.
        retry_after: Duration,
    },
}

/// A fixed limit that grows from the cold floor with successes.
#[derive(Debug)]
pub struct Gate {
    floor: u32,
    ceiling: u32,
    queue_limit: usize,
    limit: u32,
    running: u32,
    successes: u32,
    queue: VecDeque<Ticket>,
}

impl Gate {
    /// A gate at its floor.
    pub fn new(floor: u32, ceiling: u32, queue_limit: usize) -> Self {
        let queue = VecDeque::new();
        Self {
            floor,
            ceiling,
            queue_limit,
            limit: floor,
            running: 0,
            successes: 0,
            queue,
        }
    }

    /// Takes new limits; a limit above the new ceiling falls to it.
    pub fn configure(&mut self, floor: u32, ceiling: u32, queue_limit: usize) {
        self.floor = floor;
        self.ceiling = ceiling;
        self.queue_limit = queue_limit;
        self.limit = self.limit.clamp(floor, ceiling);
    }

    /// Offers a request.
    pub fn offer(&mut self, _now: Timestamp, ticket: Ticket) -> Offer {
        if self.running < self.limit {
            self.running += 1;
            return Offer::Start;
        }
        if self.queue.len() >= self.queue_limit {
            return Offer::Refused {
                retry_after: RETRY_AFTER,
            };
        }
        self.queue.push_back(ticket);
        Offer::Queued
    }

    /// Takes a finished request out; returns those that may start.
    pub fn finished(&mut self, _now: Timestamp, ok: bool) -> Vec<Ticket> {
        self.running -= 1;
        self.adjust(ok);
        let mut started = Vec::new();
        while self.running < self.limit {
            let Some(ticket) = self.queue.pop_front() else {
                break;
            };
            self.running += 1;
            started.push(ticket);
        }
        started
    }

    /// The limit now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests at the backend server.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn adjust(&mut self, ok: bool) {
        if !ok {
            self.limit = self.floor;
            self.successes = 0;
            return;
        }
        self.successes += 1;
        if self.successes >= self.limit && self.limit < self.ceiling {
            self.limit += 1;
            self.successes = 0;
        }
    }
}
