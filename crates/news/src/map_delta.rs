//! An expert map in a message: where it differs from another one that the ranks know.

use jj_policy::map_switch::{MapVersion, SetMap};
use jj_utils::common_derives;

common_derives! {wire:
    /// A rank that holds other experts of a set.
    #[derive(Eq)]
    struct RankChange {
        /// Ranks between it and the one named before.
        skipped: u16,
        /// Experts that it holds no longer.
        dropped: Vec<u16>,
        /// Experts that it takes.
        taken: Vec<u16>,
    }
}

common_derives! {wire:
    /// A set in which ranks hold other experts.
    #[derive(Eq)]
    struct SetChange {
        set: u16,
        ranks: Vec<RankChange>,
    }
}

common_derives! {wire:
    /// A map that ranks are to load: where it differs from the one in force, which all agents know
    /// unless they have just started. Experts of a rank are in ascending order.
    #[derive(Eq)]
    pub struct MapDelta {
        /// The other map.
        base: MapVersion,
        changes: Vec<SetChange>,
    }
}

impl MapDelta {
    /// What leads from one map to another.
    pub fn between(base: MapVersion, from: &[SetMap], to: &[SetMap]) -> Self {
        let sets = from.iter().zip(to).enumerate();
        let changes = sets.map(|(set, (from, to))| SetChange {
            set: set as u16,
            ranks: rank_changes(from, to),
        });
        let changes = changes.filter(|it| !it.ranks.is_empty()).collect();
        Self { base, changes }
    }

    /// The map; `known` gives the content of other maps. None where it is of an unknown one.
    pub fn apply(&self, known: impl Fn(MapVersion) -> Option<Vec<SetMap>>) -> Option<Vec<SetMap>> {
        let mut map = known(self.base)?;
        for change in &self.changes {
            let set = map.get_mut(usize::from(change.set))?;
            let mut next = 0;
            for change in &change.ranks {
                let rank = next + usize::from(change.skipped);
                apply_change(set.get_mut(rank)?, change);
                next = rank + 1;
            }
        }
        Some(map)
    }
}

fn rank_changes(from: &SetMap, to: &SetMap) -> Vec<RankChange> {
    let mut changes = Vec::new();
    let mut next = 0;
    for (rank, (from, to)) in from.iter().zip(to).enumerate() {
        let dropped = without(from, to);
        let taken = without(to, from);
        if !dropped.is_empty() || !taken.is_empty() {
            changes.push(RankChange {
                skipped: (rank - next) as u16,
                dropped,
                taken,
            });
            next = rank + 1;
        }
    }
    changes
}

/// Experts of one list that are not in another.
fn without(list: &[u32], other: &[u32]) -> Vec<u16> {
    let rest = list.iter().filter(|it| !other.contains(it));
    rest.map(|it| *it as u16).collect()
}

fn apply_change(experts: &mut Vec<u32>, change: &RankChange) {
    experts.retain(|it| {
        !change
            .dropped
            .iter()
            .any(|dropped| u32::from(*dropped) == *it)
    });
    experts.extend(change.taken.iter().map(|it| u32::from(*it)));
    experts.sort_unstable();
}
