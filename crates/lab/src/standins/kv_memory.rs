//! An engine's KV cache: requests take tokens of it, and more than it holds ends them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts of one engine's memory, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Held now.
    pub used: u32,
    /// Most that was held, or was asked for beyond the capacity.
    pub peak: u32,
    /// Requests that found no room.
    pub evicted: u32,
}

/// The memory of one engine.
#[derive(Debug)]
pub struct KvMemory {
    capacity: Option<u32>,
    counts: Mutex<MemoryCounts>,
}

/// The memory holds no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Tokens of one request; given back when dropped.
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
    /// An empty memory of so many tokens; without a capacity it holds everything.
    pub fn new(capacity: Option<u32>) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            counts: Mutex::default(),
        })
    }

    /// Takes tokens for one request.
    ///
    /// # Errors
    /// [`Full`] when it does not hold them beside the others.
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

    /// The counts up to now.
    pub fn counts(&self) -> MemoryCounts {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
