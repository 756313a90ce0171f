//! KV cache of a stand-in engine: requests reserve tokens, and fail beyond the capacity.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counters of one engine's KV cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Tokens reserved now.
    pub used: u32,
    /// Highest total of tokens so far, including requests that were refused.
    pub peak: u32,
    /// Requests refused because the capacity was exceeded.
    pub evicted: u32,
}

/// The KV cache of one engine.
#[derive(Debug)]
pub struct KvMemory {
    capacity: Option<u32>,
    counts: Mutex<MemoryCounts>,
}

/// The request exceeds the free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Tokens reserved for one request; released when dropped.
#[derive(Debug)]
pub struct Held {
    memory: Arc<KvMemory>,
    tokens: u32,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.lock().used -= self.tokens;
    }
}

impl KvMemory {
    /// Creates an empty cache of `capacity` tokens; `None` is unlimited.
    pub fn new(capacity: Option<u32>) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            counts: Mutex::default(),
        })
    }

    /// Reserves `tokens` for one request.
    ///
    /// # Errors
    /// [`Full`] when they and the tokens in use exceed the capacity.
    pub fn take(self: &Arc<Self>, tokens: u32) -> Result<Held, Full> {
        let mut counts = self.lock();
        let used = counts.used + tokens;
        counts.peak = counts.peak.max(used);
        if self.capacity.is_some_and(|capacity| used > capacity) {
            counts.evicted += 1;
            return Err(Full);
        }
        counts.used = used;
        let memory = Arc::clone(self);
        Ok(Held { memory, tokens })
    }

    /// Returns the current counters.
    pub fn counts(&self) -> MemoryCounts {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
