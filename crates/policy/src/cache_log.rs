//! Log of the recent events of one backend server's prefix cache, from which entries catch up.
//!
//! Events are renumbered so that their sequence numbers increase across restarts of the backend
//! server and of the agent. Gaps in the server's sequence are preserved: a reader treats each
//! missing number as a lost event and lowers its confidence; see [`crate::prefix`].

use std::collections::VecDeque;

use crate::prefix::{CacheChange, CacheEvent};

/// Maximum number of events in the log; a reader that is further behind sees a gap.
const MAX_EVENTS: usize = 256;

/// Maximum number of events returned to a reader at once.
pub const MAX_BATCH_EVENTS: usize = 16;

/// Recent cache events of one backend server.
#[derive(Debug, Clone)]
pub struct CacheLog {
    /// Sequence number before the first event of the server's current boot.
    base_seq: u64,
    /// Sequence number of the last event.
    last_seq: u64,
    boot_id: String,
    events: VecDeque<CacheEvent>,
}

impl CacheLog {
    /// Creates an empty log whose first event gets a sequence number above `base_seq`, which must
    /// be above all numbers of earlier incarnations of the agent.
    pub fn new(base_seq: u64) -> Self {
        Self {
            base_seq,
            last_seq: base_seq,
            boot_id: String::new(),
            events: VecDeque::new(),
        }
    }

    /// Returns the server's own sequence number of the last event of its current boot.
    pub fn last_server_seq(&self) -> u64 {
        self.last_seq - self.base_seq
    }

    /// Records the boot of the server that the next events come from. After a restart its cache is
    /// empty, which is logged as [`CacheChange::Cleared`].
    pub fn record_boot(&mut self, boot_id: &str) {
        if self.boot_id == boot_id {
            return;
        }
        let is_restart = !self.boot_id.is_empty();
        boot_id.clone_into(&mut self.boot_id);
        if is_restart {
            self.base_seq = self.last_seq + 1;
            self.push(CacheEvent {
                seq: self.base_seq,
                change: CacheChange::Cleared,
            });
        }
    }

    /// Records one event with the server's own sequence number; a repeated or reordered one is
    /// ignored.
    pub fn record_event(&mut self, event: CacheEvent) {
        let seq = self.base_seq.saturating_add(event.seq);
        if seq > self.last_seq {
            self.push(CacheEvent { seq, ..event });
        }
    }

    /// Returns the oldest events in the log with sequence numbers above `seen_seq`, at most
    /// [`MAX_BATCH_EVENTS`].
    pub fn events_after(&self, seen_seq: u64) -> Vec<CacheEvent> {
        let start = self.events.partition_point(|event| event.seq <= seen_seq);
        self.events
            .range(start..)
            .take(MAX_BATCH_EVENTS)
            .copied()
            .collect()
    }

    fn push(&mut self, event: CacheEvent) {
        self.last_seq = event.seq;
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}
