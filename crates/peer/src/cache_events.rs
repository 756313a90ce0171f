//! Events of a backend server's prefix cache, which an agent sends together with responses.

use jj_policy::prefix::{CacheChange, CacheEvent};
use jj_utils::common_derives;

common_derives! {wire:
    /// One event of a prefix cache.
    pub struct CacheEventWire {
        /// Position in the agent's sequence; a gap means lost events.
        pub seq: u64,
        /// What changed.
        pub change: CacheChangeWire,
    }
}

common_derives! {wire:
    /// What changed in a prefix cache.
    pub enum CacheChangeWire {
        /// The prefix with this hash was added to the cache.
        Stored(u64),
        /// The prefix with this hash was evicted.
        Evicted(u64),
        /// The whole cache was cleared.
        Cleared,
    }
}

impl From<CacheEvent> for CacheEventWire {
    fn from(event: CacheEvent) -> Self {
        let change = match event.change {
            CacheChange::Stored(prefix) => CacheChangeWire::Stored(prefix),
            CacheChange::Evicted(prefix) => CacheChangeWire::Evicted(prefix),
            CacheChange::Cleared => CacheChangeWire::Cleared,
        };
        Self {
            seq: event.seq,
            change,
        }
    }
}

impl From<CacheEventWire> for CacheEvent {
    fn from(wire: CacheEventWire) -> Self {
        let change = match wire.change {
            CacheChangeWire::Stored(prefix) => CacheChange::Stored(prefix),
            CacheChangeWire::Evicted(prefix) => CacheChange::Evicted(prefix),
            CacheChangeWire::Cleared => CacheChange::Cleared,
        };
        Self {
            seq: wire.seq,
            change,
        }
    }
}
