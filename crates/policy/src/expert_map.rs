//! Expert map of a group: the placement of experts in the slots of the ranks.

use jj_utils::{
    common_derives,
    ids::{ExpertId, Rank},
};
use xxhash_rust::xxh3::xxh3_64;

common_derives! {wire:
    /// Dimensions of a group of ranks that run every step together.
    #[derive(Copy, Eq)]
    pub struct GroupShape {
        /// Number of ranks in the group.
        pub ranks: u32,
        /// Number of experts in a layer.
        pub experts: u32,
        /// Expert slots of each rank; a slot holds one replica of an expert.
        pub slots: u32,
    }
}

impl GroupShape {
    /// Returns the number of slots of the whole group; a map needs one for each expert at least.
    pub fn total_slots(&self) -> usize {
        self.ranks as usize * self.slots as usize
    }
}

common_derives! {wire:
    /// Expert held by each slot. The replicas of an expert share its tokens evenly.
    #[derive(Eq)]
    pub struct ExpertMap {
        shape: GroupShape,
        slots: Vec<ExpertId>,
    }
}

common_derives! {key:
    /// Difference between two maps. Sent in place of the whole map, as a switch changes few slots.
    pub struct MapChanges {
        /// Digest of the map that the changes apply to.
        pub base_digest: u64,
        /// Slot, counted over the whole group, and the expert that it holds after the change.
        pub changed_slots: Vec<(u32, ExpertId)>,
    }
}

/// Returns the digest of a map, given as the experts of all its slots.
pub fn digest(slots: &[ExpertId]) -> u64 {
    let bytes: Vec<u8> = slots.iter().flat_map(|it| it.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

/// Returns the changes from one map to another; `None` if their sizes differ.
pub fn diff_slots(from: &[ExpertId], to: &[ExpertId]) -> Option<MapChanges> {
    if from.len() != to.len() {
        return None;
    }
    let slots = (0..).zip(from.iter().zip(to));
    let changed = slots.filter(|(_, (old, new))| old != new);
    Some(MapChanges {
        base_digest: digest(from),
        changed_slots: changed.map(|(slot, (_, new))| (slot, *new)).collect(),
    })
}

/// Returns the map after the changes; `None` if they are based on another map or name a slot that
/// does not exist.
pub fn apply_changes(from: &[ExpertId], changes: &MapChanges) -> Option<Vec<ExpertId>> {
    if digest(from) != changes.base_digest {
        return None;
    }
    let mut slots = from.to_vec();
    for (slot, expert) in &changes.changed_slots {
        *slots.get_mut(*slot as usize)? = *expert;
    }
    Some(slots)
}

impl ExpertMap {
    /// Creates a map that ignores popularity: places the experts round robin, rank by rank.
    pub fn uniform(shape: GroupShape) -> Self {
        let slots = (0..shape.total_slots() as u32).map(|slot| slot % shape.experts.max(1));
        let slots = slots.collect();
        Self { shape, slots }
    }

    /// Creates a map from the experts of all slots; `None` if the number of slots is wrong, an
    /// expert is unknown or an expert is missing.
    pub fn from_slots(shape: GroupShape, slots: Vec<ExpertId>) -> Option<Self> {
        let map = Self { shape, slots };
        let is_complete = map.slots.len() == shape.total_slots();
        let are_known = map.slots.iter().all(|expert| *expert < shape.experts);
        let is_valid = is_complete && are_known && !map.replicas().contains(&0);
        is_valid.then_some(map)
    }

    /// Returns the dimensions of the group.
    pub fn shape(&self) -> GroupShape {
        self.shape
    }

    /// Returns the experts of all slots, rank by rank.
    pub fn slots(&self) -> &[ExpertId] {
        &self.slots
    }

    /// Returns the experts in the slots of one rank.
    pub fn experts_on_rank(&self, rank: Rank) -> &[ExpertId] {
        let slots = self.shape.slots as usize;
        &self.slots[rank as usize * slots..][..slots]
    }

    /// Puts an expert into a slot, counted over the whole group.
    pub(crate) fn set_slot(&mut self, slot: usize, expert: ExpertId) {
        self.slots[slot] = expert;
    }

    /// Returns the number of replicas of each expert.
    pub fn replicas(&self) -> Vec<u32> {
        let mut replicas = vec![0; self.shape.experts as usize];
        for expert in &self.slots {
            replicas[*expert as usize] += 1;
        }
        replicas
    }

    /// Returns the load of each rank, in the unit of `popularity`.
    pub fn rank_loads(&self, popularity: &[f64]) -> Vec<f64> {
        let replicas = self.replicas();
        let share = |expert: &ExpertId| {
            let expert = *expert as usize;
            popularity[expert] / f64::from(replicas[expert])
        };
        let ranks = 0..self.shape.ranks;
        ranks
            .map(|rank| self.experts_on_rank(rank).iter().map(share).sum())
            .collect()
    }

    /// Returns the highest rank load divided by the mean rank load: 1 if balanced or without load.
    pub fn imbalance(&self, popularity: &[f64]) -> f64 {
        let loads = self.rank_loads(popularity);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean <= 0.0 {
            return 1.0;
        }
        loads.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Returns the number of experts that the ranks have to load to switch from `self` to `next`.
    pub fn experts_to_load(&self, next: &ExpertMap) -> u32 {
        let ranks = 0..self.shape.ranks;
        ranks
            .map(|rank| {
                let old = self.experts_on_rank(rank);
                let new = next.experts_on_rank(rank).iter();
                new.filter(|expert| !old.contains(expert)).count() as u32
            })
            .sum()
    }
}
