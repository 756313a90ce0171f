//! The expert map of a group: which expert each slot of each rank holds.

use jj_utils::{
    common_derives,
    ids::{ExpertId, Rank},
};
use xxhash_rust::xxh3::xxh3_64;

common_derives! {wire:
    /// Size of a lock-step group.
    #[derive(Copy, Eq)]
    pub struct GroupShape {
        /// Ranks of the group.
        pub ranks: u32,
        /// Experts in a layer.
        pub experts: u32,
        /// Expert slots of each rank, replicas included.
        pub slots: u32,
    }
}

impl GroupShape {
    /// Slots of the whole group; at least one for each expert is needed.
    pub fn total_slots(&self) -> usize {
        self.ranks as usize * self.slots as usize
    }
}

common_derives! {wire:
    /// Which expert each slot holds. The replicas of an expert share its tokens evenly.
    #[derive(Eq)]
    pub struct ExpertMap {
        shape: GroupShape,
        slots: Vec<ExpertId>,
    }
}

common_derives! {key:
    /// The slots in which a map differs from another; a switch of one map for the next moves few.
    pub struct MapChanges {
        /// Digest of the other map.
        pub base_digest: u64,
        /// Slot of the whole group, and its expert.
        pub changed_slots: Vec<(u32, ExpertId)>,
    }
}

/// Digest of the experts of all slots.
pub fn digest(slots: &[ExpertId]) -> u64 {
    let bytes: Vec<u8> = slots.iter().flat_map(|it| it.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

/// What leads from one map to the next; `None` where their sizes differ.
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

/// The map that changes lead to; `None` where they are of another map.
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
    /// A map that knows nothing of popularity: experts in turn, rank by rank.
    pub fn uniform(shape: GroupShape) -> Self {
        let slots = (0..shape.total_slots() as u32).map(|slot| slot % shape.experts.max(1));
        let slots = slots.collect();
        Self { shape, slots }
    }

    /// A map built slot by slot; `None` unless every slot is filled and every expert placed.
    pub fn from_slots(shape: GroupShape, slots: Vec<ExpertId>) -> Option<Self> {
        let map = Self { shape, slots };
        let filled = map.slots.len() == shape.total_slots();
        let known = map.slots.iter().all(|expert| *expert < shape.experts);
        let placed = filled && known && !map.replicas().contains(&0);
        placed.then_some(map)
    }

    /// Size of the group.
    pub fn shape(&self) -> GroupShape {
        self.shape
    }

    /// Experts of all slots, rank by rank.
    pub fn slots(&self) -> &[ExpertId] {
        &self.slots
    }

    /// Experts on one rank.
    pub fn experts_on_rank(&self, rank: Rank) -> &[ExpertId] {
        let slots = self.shape.slots as usize;
        &self.slots[rank as usize * slots..][..slots]
    }

    /// Puts an expert into one slot.
    pub(crate) fn set_slot(&mut self, slot: usize, expert: ExpertId) {
        self.slots[slot] = expert;
    }

    /// Number of replicas of each expert.
    pub fn replicas(&self) -> Vec<u32> {
        let mut replicas = vec![0; self.shape.experts as usize];
        for expert in &self.slots {
            replicas[*expert as usize] += 1;
        }
        replicas
    }

    /// Load of each rank, in the unit of `popularity`.
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

    /// Highest load of a rank over the mean of all ranks; 1 is perfect, and without load.
    pub fn imbalance(&self, popularity: &[f64]) -> f64 {
        let loads = self.rank_loads(popularity);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean <= 0.0 {
            return 1.0;
        }
        loads.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Experts that ranks have to load to get from `self` to `next`.
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
