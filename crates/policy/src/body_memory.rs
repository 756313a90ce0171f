//! Which body of a request may take more memory, and which one is given up when memory is short.
//!
//! Load pattern: clients that keep to no limit send many large bodies at once, whole or a little at a
//! time, stop just short of their end and keep the connection open. Between them, other callers send
//! small bodies, and now and then a large one.
//!
//! Part of the memory is kept for small bodies. A body that makes no progress is given up first, then
//! the largest one of the owner who holds most, so that a crowd with one key displaces itself.

use std::time::Duration;

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives};

/// Number of a body, unique within the process.
pub type BodyId = u64;

/// Whom bodies are counted for: a client account, or an address where there is none.
pub type OwnerId = u64;

common_derives! {copy:
    /// How memory is shared among bodies.
    pub struct BodyMemoryConfig {
        /// Memory for all bodies, in bytes.
        pub capacity: usize,
        /// Part of the memory that only small bodies may take, in percent.
        pub small_percent: usize,
        /// Memory up to which a body is small, in bytes.
        pub small_bytes: usize,
        /// Time without progress after which a body gives way to any other.
        pub max_stall: Duration,
    }
}

impl Default for BodyMemoryConfig {
    fn default() -> Self {
        Self {
            capacity: 32 << 20,
            small_percent: 25,
            small_bytes: 32 * 1024,
            max_stall: Duration::from_secs(2),
        }
    }
}

impl BodyMemoryConfig {
    /// Returns the memory that all bodies together may take that are not small, in bytes. A body that
    /// needs more can never be received.
    pub fn large_capacity(&self) -> usize {
        self.capacity - self.capacity / 100 * self.small_percent
    }

    /// Returns the bytes of a body that count as those of a large one.
    fn large_part(&self, bytes: usize) -> usize {
        match bytes > self.small_bytes {
            true => bytes,
            false => 0,
        }
    }
}

common_derives! {copy:
    /// Reason why a body gets no more memory.
    pub enum BodyRefusal {
        /// Other bodies hold the memory; later there may be some.
        Short,
        /// It needs more than there is.
        NeverFits,
    }
}

/// A body and the memory that it holds.
#[derive(Debug, Clone, Copy)]
struct Body {
    owner: OwnerId,
    bytes: usize,
    /// When it last progressed; `None` once it is complete.
    progress: Option<Timestamp>,
}

/// The memory that bodies hold.
#[derive(Debug, Default)]
pub struct BodyMemory {
    config: BodyMemoryConfig,
    bodies: FastMap<BodyId, Body>,
    owners: FastMap<OwnerId, usize>,
    next_id: BodyId,
    held: usize,
    /// Part of `held` that belongs to bodies that are not small.
    held_large: usize,
}

impl BodyMemory {
    /// Returns the account of a process in which no body holds memory.
    pub fn new(config: BodyMemoryConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Changes the memory for all bodies, in bytes. What they hold beyond it is not taken away.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.config.capacity = capacity;
    }

    /// Returns the memory that all bodies hold, in bytes.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the memory that a body holds, in bytes.
    pub fn held_by(&self, id: BodyId) -> usize {
        self.bodies.get(&id).map_or(0, |it| it.bytes)
    }

    /// Adds a body that holds nothing yet.
    pub fn begin(&mut self, now: Timestamp, owner: OwnerId) -> BodyId {
        self.next_id += 1;
        let body = Body {
            owner,
            bytes: 0,
            progress: Some(now),
        };
        self.bodies.insert(self.next_id, body);
        self.next_id
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, now: Timestamp, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.progress = body.progress.map(|_| now);
        }
    }

    /// Records that a body has arrived in full: it is not given up from now on. Returns false if it was
    /// given up before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else {
            return false;
        };
        body.progress = None;
        true
    }

    /// Removes a body, which holds nothing any more.
    pub fn end(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else {
            return;
        };
        self.held -= body.bytes;
        self.held_large -= self.config.large_part(body.bytes);
        let of_owner = self.owners.entry(body.owner).or_default();
        *of_owner -= body.bytes;
        if *of_owner == 0 {
            self.owners.remove(&body.owner);
        }
    }

    /// Gives a body `more` bytes, and returns the bodies that are given up for it, which hold nothing
    /// any more.
    ///
    /// # Errors
    /// When the body gets nothing. It holds what it held, and no other body is given up.
    pub fn grow(
        &mut self,
        now: Timestamp,
        id: BodyId,
        more: usize,
    ) -> Result<Vec<BodyId>, BodyRefusal> {
        let Some(body) = self.bodies.get(&id).copied() else {
            return Err(BodyRefusal::Short);
        };
        let wanted = body.bytes + more;
        let is_large = wanted > self.config.small_bytes;
        if is_large && wanted > self.config.large_capacity() || wanted > self.config.capacity {
            return Err(BodyRefusal::NeverFits);
        }
        let mut shortage = Shortage {
            total: (self.held + more).saturating_sub(self.config.capacity),
            large: 0,
        };
        if is_large {
            let large = self.held_large - self.config.large_part(body.bytes) + wanted;
            shortage.large = large.saturating_sub(self.config.large_capacity());
        }
        let given_up = self.choose_given_up(now, id, more, shortage)?;
        for id in &given_up {
            self.end(*id);
        }
        self.add(id, more);
        Ok(given_up)
    }

    /// Takes bytes back from a body, at most what it holds.
    pub fn shrink(&mut self, id: BodyId, bytes: usize) {
        if let Some(body) = self.bodies.get(&id).copied() {
            let left = body.bytes.saturating_sub(bytes);
            self.end(id);
            let emptied = Body { bytes: 0, ..body };
            self.bodies.insert(id, emptied);
            self.add(id, left);
        }
    }

    /// Returns the bodies that are given up so that a body can take `more` bytes.
    fn choose_given_up(
        &self,
        now: Timestamp,
        id: BodyId,
        more: usize,
        mut shortage: Shortage,
    ) -> Result<Vec<BodyId>, BodyRefusal> {
        let mut given_up = Vec::new();
        if shortage.is_over() {
            return Ok(given_up);
        }
        let own = self.bodies.get(&id).ok_or(BodyRefusal::Short)?;
        let own_rank = Rank {
            stall: Duration::ZERO,
            of_owner: self.held_by_owner(own.owner),
            bytes: own.bytes + more,
        };
        let others = self.bodies.iter().filter(|(it, _)| **it != id);
        let ranked = others.filter_map(|(it, body)| Some((self.rank(now, body)?, *it)));
        let mut ranked: Vec<(Rank, BodyId)> = ranked.filter(|(rank, _)| *rank > own_rank).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        for (rank, it) in ranked {
            let large = self.config.large_part(rank.bytes);
            // A small body is no help to a body that may take only what large ones hold.
            if shortage.total == 0 && large == 0 {
                continue;
            }
            shortage.total = shortage.total.saturating_sub(rank.bytes);
            shortage.large = shortage.large.saturating_sub(large);
            given_up.push(it);
            if shortage.is_over() {
                return Ok(given_up);
            }
        }
        Err(BodyRefusal::Short)
    }

    /// Returns how soon a body is given up; `None` if it is complete or holds nothing.
    fn rank(&self, now: Timestamp, body: &Body) -> Option<Rank> {
        let stall = now.saturating_sub(body.progress?);
        (body.bytes > 0).then(|| Rank {
            stall: match stall >= self.config.max_stall {
                true => stall,
                false => Duration::ZERO,
            },
            of_owner: self.held_by_owner(body.owner),
            bytes: body.bytes,
        })
    }

    fn held_by_owner(&self, owner: OwnerId) -> usize {
        self.owners.get(&owner).copied().unwrap_or_default()
    }

    fn add(&mut self, id: BodyId, more: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        let (before, after) = (body.bytes, body.bytes + more);
        body.bytes = after;
        *self.owners.entry(body.owner).or_default() += more;
        self.held += more;
        self.held_large -= self.config.large_part(before);
        self.held_large += self.config.large_part(after);
    }
}

/// Bytes that are missing for a body to grow.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// Of the whole memory.
    total: usize,
    /// Of the memory that large bodies may take.
    large: usize,
}

impl Shortage {
    fn is_over(self) -> bool {
        self.total == 0 && self.large == 0
    }
}

/// How soon a body is given up; the highest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Time without progress; zero up to the longest one allowed.
    stall: Duration,
    /// Bytes that its owner's bodies hold.
    of_owner: usize,
    bytes: usize,
}
