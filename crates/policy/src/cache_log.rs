//! Recent events of one backend server's prefix cache, kept for entries to catch up on.
//!
//! Events are renumbered so that their numbers rise over all starts of the backend server and all
//! lives of the agent. Gaps in the server's own numbers are kept: a reader takes each missing number
//! for a lost event and lowers its confidence; see [`crate::prefix`].

use std::collections::VecDeque;

use crate::prefix::{CacheChange, CacheEvent};

/// Events kept for readers; one that is further behind sees a gap.
const KEPT: usize = 256;

/// Most events given to a reader at once.
pub const MAX_BATCH_EVENTS: usize = 16;

/// Recent cache events of one backend server.
#[derive(Debug, Clone)]
pub struct CacheLog {
    /// Number of the last event before the server's current start.
    base: u64,
    /// Number of the last event, lost ones included.
    last: u64,
    boot: String,
    kept: VecDeque<CacheEvent>,
}

impl CacheLog {
    /// An empty log whose first event gets a number above `base`, which must be above all numbers
    /// of earlier lives.
    pub fn new(base: u64) -> Self {
        Self {
            base,
            last: base,
            boot: String::new(),
            kept: VecDeque::new(),
        }
    }

    /// Number that the server itself gave to the last event of its current start.
    pub fn last_server_seq(&self) -> u64 {
        self.last - self.base
    }

    /// Notes which start of the server the next events come from; a new one has an empty cache.
    pub fn record_boot(&mut self, boot: &str) {
        if self.boot == boot {
            return;
        }
        let is_restart = !self.boot.is_empty();
        boot.clone_into(&mut self.boot);
        if is_restart {
            self.base = self.last + 1;
            self.keep(CacheEvent {
                seq: self.base,
                change: CacheChange::Cleared,
            });
        }
    }

    /// Takes in one event with the server's own number; a repeated or late one is ignored.
    pub fn record_event(&mut self, event: CacheEvent) {
        let seq = self.base.saturating_add(event.seq);
        if seq > self.last {
            self.keep(CacheEvent { seq, ..event });
        }
    }

    /// The oldest kept events above `seen`, at most [`MAX_BATCH_EVENTS`].
    pub fn events_after(&self, seen: u64) -> Vec<CacheEvent> {
        let start = self.kept.partition_point(|event| event.seq <= seen);
        self.kept
            .range(start..)
            .take(MAX_BATCH_EVENTS)
            .copied()
            .collect()
    }

    fn keep(&mut self, event: CacheEvent) {
        self.last = event.seq;
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(event);
    }
}
